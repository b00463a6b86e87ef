//! Hedge requests: a second send of a request whose first one is slow to respond.

use std::time::Duration;

use bendhinge_delivery::SendOutcome;

use super::attempt::UpstreamResponse;
use super::race::{FailedSend, PendingSend, race};
use super::upstream_body::UpstreamBody;
use super::{Delivery, DeliveryContext};

impl Delivery {
    /// Waits for the response to a send. If it is slow and the request may be sent once more, sends a hedge
    /// request to another upstream and takes the first response.
    pub(super) async fn await_response(
        &mut self,
        mut first: PendingSend,
        resume_after: Option<&str>,
    ) -> Result<UpstreamResponse, FailedSend> {
        if !self.retry_state.allows_hedge() {
            return first.result().await;
        }
        let Some(hedge_delay) = self.hedge_delay() else { return first.result().await };
        if let Some(result) = first.result_within(hedge_delay).await {
            return result;
        }
        let Some(second) = self.start_hedge(resume_after) else { return first.result().await };
        let (result, mut other) = race(first, second).await;
        match result {
            Ok(response) if matches!(response.body, UpstreamBody::Stream(..)) => {
                Ok(UpstreamResponse { hedge: Some(other), ..response })
            }
            Ok(response) => {
                self.end_hedge(&other, response.source.upstream_number());
                Ok(response)
            }
            Err(failed) => {
                self.record_send_end(&failed.record, failed.error.end);
                other.result().await
            }
        }
    }

    /// Records the end of a send that another one, with the index `winner`, has overtaken. It is late only if the other one
    /// took less time than it was ahead; otherwise both upstreams were silent alike.
    pub(super) fn end_hedge(&mut self, overtaken: &PendingSend, winner: Option<usize>) {
        let winner = self.open_sends.iter().find(|open| Some(open.number) == winner);
        let is_late = winner.is_some_and(|winner| {
            let lead = winner.started_at.since(overtaken.record.started_at);
            bendhinge_clock::now().since(winner.started_at) < lead
        });
        let end = if is_late { SendOutcome::TimedOut } else { SendOutcome::Superseded };
        self.record_send_end(&overtaken.record, end);
    }

    /// Returns how long to wait for a response before a hedge request is sent; `None` if none is sent.
    fn hedge_delay(&self) -> Option<Duration> {
        /// Fraction of the route's target latency. The remainder is for the response to the hedge request.
        const TARGET_LATENCY_FRACTION: f64 = 0.7;
        let DeliveryContext { upstreams, load_settings, .. } = &*self.context;
        let target_latency = self.inbound.route.target_latency;
        if self.is_paced && upstreams.is_active(load_settings.shared_response_times) {
            return upstreams.plain_hedge_delay(&self.inbound.pool, target_latency);
        }
        Some(target_latency.mul_f64(TARGET_LATENCY_FRACTION))
    }

    /// Starts a hedge request; returns `None` if that is not possible.
    fn start_hedge(&mut self, resume_after: Option<&str>) -> Option<PendingSend> {
        if !self.try_retry() {
            return None;
        }
        self.start_second_send(resume_after).ok()
    }
}
