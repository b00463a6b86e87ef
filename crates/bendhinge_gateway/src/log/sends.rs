//! What is logged of the sends of a request.

use std::net::SocketAddr;

use bendhinge_admission::RetryDecision;
use serde::Serialize;

/// A send of the request to an upstream.
#[derive(Serialize)]
pub(super) struct SendRecord {
    pub(super) upstream: String,
    pub(super) why: &'static str,
    pub(super) load: f32,
    pub(super) mean_load: f32,
    #[serde(skip_serializing_if = "is_zero")]
    pub(super) own: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) reported: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) report_age_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) totals_age_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) totals_gateways: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) counted: Option<u32>,
    #[serde(skip_serializing_if = "is_zero")]
    pub(super) refused_permits: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) permit_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) mean_age_ms: Option<u64>,
    #[serde(skip_serializing_if = "is_zero")]
    pub(super) unreported: u32,
    #[serde(skip_serializing_if = "is_one")]
    pub(super) homes: usize,
    #[serde(skip_serializing_if = "is_zero")]
    pub(super) missing: u32,
    pub(super) at_ms: u64,
    pub(super) list_age_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) retry: Option<RetryFields>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) end: Option<&'static str>,
    /// Status of the response that is not passed on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) status: Option<u16>,
    /// Why nothing was written, if the send ended as `not_sent`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) unsent: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) connect: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) responded_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) framing: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) body_end: Option<&'static str>,
    #[serde(skip_serializing_if = "is_zero_bytes")]
    pub(super) partial_bytes: usize,
    /// Hash of the software of the upstream, if those of the pool run several versions.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) software: Option<String>,
    /// Events of an interrupted stream that were relayed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) events: Option<usize>,
    #[serde(skip_serializing_if = "is_false")]
    pub(super) fetched: bool,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde requires")]
const fn is_false(value: &bool) -> bool {
    !*value
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde requires")]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde requires")]
const fn is_zero_bytes(bytes: &usize) -> bool {
    *bytes == 0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the signature that serde requires")]
const fn is_one(number: &usize) -> bool {
    *number == 1
}

/// The state of the gateway's retry budget when it allowed or denied a retry.
#[derive(Clone, Copy, Serialize)]
pub(super) struct RetryFields {
    pub(super) spent: u32,
    pub(super) budget: f64,
    pub(super) base: f64,
}

impl From<&RetryDecision> for RetryFields {
    fn from(decision: &RetryDecision) -> Self {
        let &RetryDecision { spent, budget, base, .. } = decision;
        Self { spent, budget: round_to_hundredths(budget), base: round_to_hundredths(base) }
    }
}

fn round_to_hundredths(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

/// A gateway to which the request was forwarded.
#[derive(Serialize)]
pub(super) struct ForwardRecord {
    pub(super) gateway: SocketAddr,
    pub(super) at_ms: u64,
    pub(super) candidates: usize,
    pub(super) own: usize,
    pub(super) heard_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) end: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) code: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) body_end: Option<&'static str>,
}
