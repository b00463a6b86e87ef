//! Sends in flight, two of which may race for the first response.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::UpstreamEntry;
use bendhinge_ids::Instant;
use futures_lite::FutureExt;
use smol::Timer;

use super::attempt::{SendError, UpstreamResponse};
use crate::quarantine::TrackedSend;
use crate::state::ChosenUpstream;

type ResponseFuture = Pin<Box<dyn Future<Output = Result<UpstreamResponse, SendError>> + Send>>;

/// The data by which a send is recorded for its request and its upstream.
#[derive(Clone)]
pub(super) struct SendRecord {
    /// The index among the sends of the request.
    pub(super) number: usize,
    pub(super) upstream: Arc<UpstreamEntry>,
    /// When the upstream was chosen.
    pub(super) started_at: Instant,
    /// When the upstream sent the first event of its response, once the send has ended.
    pub(super) first_event_at: Option<Instant>,
    /// Reports the send to other gateways if the request is tracked by the quarantine.
    _tracked: Option<Arc<TrackedSend>>,
}

impl SendRecord {
    pub(super) fn new(number: usize, chosen: &ChosenUpstream, tracked: Option<Arc<TrackedSend>>) -> Self {
        Self {
            number,
            upstream: Arc::clone(&chosen.entry),
            started_at: chosen.chosen_at,
            first_event_at: None,
            _tracked: tracked,
        }
    }
}

/// A send in flight. Dropping it closes the connection, which cancels the request at the upstream.
pub(super) struct PendingSend {
    pub(super) record: SendRecord,
    pub(super) response: ResponseFuture,
}

/// A send that ended without a response that can be relayed.
pub(super) struct FailedSend {
    pub(super) record: SendRecord,
    pub(super) error: SendError,
}

impl PendingSend {
    /// Waits for the result.
    pub(super) async fn result(&mut self) -> Result<UpstreamResponse, FailedSend> {
        let result = (&mut self.response).await;
        result.map_err(|error| FailedSend { record: self.record.clone(), error })
    }

    /// Waits for the result for no longer than `timeout`.
    pub(super) async fn result_within(
        &mut self,
        timeout: Duration,
    ) -> Option<Result<UpstreamResponse, FailedSend>> {
        let result = async { Some(self.result().await) };
        let timer = async {
            Timer::after(timeout).await;
            None
        };
        result.or(timer).await
    }
}

/// Waits until one of two sends ends; returns its result and the other send.
pub(super) async fn race(
    mut first: PendingSend,
    mut second: PendingSend,
) -> (Result<UpstreamResponse, FailedSend>, PendingSend) {
    let first_result = async { (first.result().await, true) };
    let second_result = async { (second.result().await, false) };
    let (result, is_first) = first_result.or(second_result).await;
    (result, if is_first { second } else { first })
}
