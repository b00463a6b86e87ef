//! What is tracked of requests, and why they are refused.

use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_fleet::{SendPermission, UpstreamEntry};
use bendhinge_ids::{Instant, NameHash, PartDigest, RequestDigest};
use bendhinge_peer::{ObservedCrashHistory, ObservedPartHistory};
use rand::Rng;

/// What may be tracked of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Suspects<'a> {
    /// The request itself, if it may be tracked.
    pub(crate) request: Option<RequestDigest>,
    /// The shared parts of its prompt.
    pub(crate) parts: &'a [PartDigest],
}

/// What a refusal is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Suspect {
    Request(RequestDigest),
    Part(PartDigest),
}

/// A request that was lost because its upstream crashed.
pub(crate) struct CrashedSend<'a> {
    /// The ID of the request.
    pub(crate) request_id: &'a str,
    pub(crate) request: RequestDigest,
    /// The shared parts of its prompt, if they may be to blame.
    pub(crate) parts: &'a [PartDigest],
    /// The pool of the upstream.
    pub(crate) pool: NameHash,
    pub(crate) upstream: &'a UpstreamEntry,
    pub(crate) sent_at: Instant,
    /// When the connection was lost.
    pub(crate) lost_at: Instant,
}

/// Histories to send to another gateway.
pub(crate) struct SuspectChanges {
    pub(crate) requests: Vec<ObservedCrashHistory>,
    pub(crate) parts: Vec<ObservedPartHistory>,
}

/// The numbers of what is quarantined.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuarantinedCounts {
    pub(crate) requests: usize,
    pub(crate) parts: usize,
}

/// Why a request must not be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SendRefusal {
    pub(crate) code: ResultCode,
    /// The delay after which a retry may succeed.
    pub(crate) retry_after: Duration,
    pub(crate) suspect: Suspect,
}

impl SendRefusal {
    pub(super) fn new((permission, suspect): (SendPermission, Option<Suspect>)) -> Option<Self> {
        /// The range of the retry delay while sends are in flight. Requests that crash their upstream usually do
        /// so within a second or two.
        const DEFERRAL_RANGE_MS: std::ops::Range<u64> = 500..1_500;
        let (code, retry_after) = match permission {
            SendPermission::Allowed | SendPermission::Tracked => return None,
            SendPermission::Deferred => {
                let millis = rand::rng().random_range(DEFERRAL_RANGE_MS);
                (ResultCode::SuspectUnderWay, Duration::from_millis(millis))
            }
            SendPermission::Quarantined(period) => (ResultCode::Quarantined, period),
        };
        Some(Self { code, retry_after, suspect: suspect? })
    }
}
