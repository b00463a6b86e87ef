//! What follows from the end of a send: what is recorded of it, and whether the request is sent again.

use bendhinge_delivery::SendOutcome;
use bendhinge_fleet::UpstreamFailure;

use super::attempt::{ConnectFailure, SendError, implies_not_run};
use super::crash::detect_crash;
use super::cut::Cut;
use super::race::{FailedSend, SendRecord};
use super::upstream_body::EndedBody;
use super::{Delivery, DeliveryContext, DeliveryError, InboundRequest};

impl Delivery {
    /// Records how a send ended, for the request and for its upstream; returns `false` if no further send may
    /// follow.
    pub(super) fn record_send_end(&mut self, record: &SendRecord, end: SendOutcome) -> bool {
        self.record_send_failure(record, end, upstream_failure(end))
    }

    /// Does the same as [`Self::record_send_end`] with the `failure` that counts against the upstream.
    fn record_send_failure(
        &mut self,
        record: &SendRecord,
        end: SendOutcome,
        failure: Option<UpstreamFailure>,
    ) -> bool {
        let DeliveryContext { upstreams, metrics, log, .. } = &*self.context;
        let SendRecord { number, upstream, started_at, .. } = record;
        self.open_sends.retain(|open| open.number != *number);
        self.log_line.record_send_end(*number, end);
        metrics.count_send_end(end);
        match end {
            SendOutcome::Rejected if !self.is_paced => {
                self.context.admission.record_rejection(&self.inbound.pool);
            }
            SendOutcome::Rejected => {
                let upstream_count = upstreams.count_accepting_work(&self.inbound.pool);
                self.context.pacing.record_rejection(&self.inbound.pool, upstream.hash, upstream_count);
            }
            SendOutcome::Failed => {
                self.record_response();
                self.record_complete_response();
            }
            SendOutcome::Lost => {
                self.log_line.set_digest(self.inbound.digest(&self.context.identity_key));
                detect_crash(&self.context, &self.inbound, record.clone());
            }
            _ => {}
        }
        if failure.is_some_and(|failure| upstreams.record_failure(upstream.hash, failure, *started_at)) {
            log.upstream_ejected(&upstream.name, end);
        }
        self.retry_state.record_outcome(end)
    }

    /// Records a response for the pacing of the pool.
    pub(super) fn record_response(&self) {
        if !self.is_paced {
            return;
        }
        let InboundRequest { pool, received_at, route, .. } = &*self.inbound;
        self.context.pacing.record_response(pool, *received_at, route.target_latency);
    }

    /// Records a complete response, which means that the request did not crash the upstream.
    pub(super) fn record_complete_response(&self) {
        if let Some(digest) = self.context.tracked_digest(&self.inbound) {
            self.context.quarantine.record_response(digest);
        }
    }

    /// Records a failed send; returns `Err` if it is not retried.
    pub(super) fn handle_failure(&mut self, failed: FailedSend) -> Result<(), DeliveryError> {
        let FailedSend { record, error } = failed;
        let SendError { end, error_response, body, connect_failure } = error;
        if let Some(connect_failure) = connect_failure {
            self.has_failed_to_connect = true;
            self.record_connect_failure(&record, connect_failure);
        }
        if let Some(EndedBody { framing, end }) = body {
            self.log_line.record_body_end(record.number, framing, end, 0);
        }
        let failure = match connect_failure {
            Some(ConnectFailure::TimedOut) => Some(UpstreamFailure::ConnectTimedOut),
            _ => upstream_failure(end),
        };
        let may_retry = self.record_send_failure(&record, end, failure);
        let is_past_deadline = self.inbound.time_left().is_zero();
        if may_retry && !is_past_deadline && (!self.retry_state.needs_retry_budget() || self.try_retry()) {
            return Ok(());
        }
        Err(match error_response {
            Some(error) if !implies_not_run(error.head.status) => DeliveryError::ErrorResponse(error),
            _ if is_past_deadline => DeliveryError::Code(self.retry_state.final_code(true)),
            _ => self.no_upstream_error(),
        })
    }

    /// Records why a send did not connect, and when any gateway last had a response from its upstream: a recent one
    /// suggests that the upstream works and the link of this gateway does not.
    fn record_connect_failure(&mut self, record: &SendRecord, connect_failure: ConnectFailure) {
        let DeliveryContext { upstreams, metrics, .. } = &*self.context;
        metrics.count_connect_failure(connect_failure);
        let response_age = upstreams.last_response_age(record.upstream.hash);
        self.log_line.record_connect_failure(record.number, connect_failure, response_age);
    }

    /// Records that the response to the caller ends before it is complete.
    pub(super) fn record_cut(&mut self, cut: &Cut) {
        let DeliveryContext { metrics, rules, .. } = &*self.context;
        metrics.count_cut(cut);
        let held_rules = rules.held_version(bendhinge_clock::now());
        self.log_line.set_cut(cut, held_rules.map(|held| held.version.document().0));
    }

    /// Takes a retry from the retry budget; returns `false` if the budget is exhausted.
    pub(super) fn try_retry(&mut self) -> bool {
        let Some(decision) = self.context.retry_budgets.decide_retry(&self.inbound.pool) else {
            return false;
        };
        self.context.metrics.count_retry_decision(decision.is_allowed);
        self.log_line.record_retry_decision(&decision);
        decision.is_allowed
    }

    /// Returns the last retry to the retry budget if no send has started since there were `sends_before`.
    pub(super) fn return_unused_retry(&mut self, sends_before: usize) {
        if self.started_sends == sends_before {
            self.context.retry_budgets.return_retry(&self.inbound.pool);
            self.log_line.drop_allowed_retry();
        }
    }

    /// Records that all sends but that with the index `kept` were cancelled.
    pub(super) fn cancel_other_sends(&mut self, kept: usize) {
        let (_, cancelled): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.open_sends).into_iter().partition(|open| open.number == kept);
        for record in cancelled {
            self.record_send_end(&record, SendOutcome::Superseded);
        }
        if let Some(number) = self.open_forward.take() {
            self.record_forward_end(number, SendOutcome::Superseded);
            self.retry_state.record_forward(None);
        }
    }
}

/// Returns the failure to record for the upstream, if any.
const fn upstream_failure(end: SendOutcome) -> Option<UpstreamFailure> {
    match end {
        SendOutcome::NotConnected => Some(UpstreamFailure::ConnectFailed),
        SendOutcome::NotSent | SendOutcome::Superseded => None,
        SendOutcome::Rejected => Some(UpstreamFailure::Rejected),
        SendOutcome::Replaced => Some(UpstreamFailure::WrongInstance),
        SendOutcome::Lost | SendOutcome::InvalidResponse => Some(UpstreamFailure::ConnectionLost),
        SendOutcome::TimedOut => Some(UpstreamFailure::TimedOut),
        SendOutcome::Failed => Some(UpstreamFailure::ErrorResponse),
    }
}
