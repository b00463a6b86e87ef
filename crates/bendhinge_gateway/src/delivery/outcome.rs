//! What follows from the end of a send: what is recorded of it, and whether the request is sent again.

use std::sync::Arc;

use bendhinge_delivery::{NotRunReason, SendOutcome};
use bendhinge_fleet::UpstreamFailure;
use bendhinge_ids::NameHash;

use super::attempt::{ConnectFailure, SendError, implies_not_run};
use super::crash::detect_crash;
use super::cut::Cut;
use super::race::{FailedSend, SendRecord};
use super::upstream_body::EndedBody;
use super::{Delivery, DeliveryContext, DeliveryError, InboundRequest, TakenRetry};

impl Delivery {
    /// Records how a send ended, for the request and for its upstream; returns `false` if no further send may
    /// follow.
    pub(super) fn record_send_end(&mut self, record: &SendRecord, end: SendOutcome) -> bool {
        self.context.record_upstream_end(&self.inbound, record, end);
        self.record_request_end(record, end)
    }

    /// Records how a send ended for the request alone; returns `false` if no further send may follow.
    pub(super) fn record_request_end(&mut self, record: &SendRecord, end: SendOutcome) -> bool {
        self.open_sends.retain(|open| open.number != record.number);
        self.log_line.record_send_end(record.number, end);
        if end == SendOutcome::Lost {
            self.record_lost();
        }
        if end.reached_upstream() {
            self.unused_retry = None;
        } else {
            self.unreached_upstreams.push(record.upstream.hash);
        }
        self.retry_state.record_outcome(end)
    }

    /// Records what identifies a request that was lost with the connection to its upstream.
    fn record_lost(&mut self) {
        let Self { context, inbound, log_line, .. } = self;
        log_line.set_digest(inbound.digest(&context.identity_key));
        log_line.set_part_digests(context.part_digests(inbound));
    }

    /// Records that an upstream answered the request completely and with success.
    pub(super) fn record_success(&mut self) {
        let Self { context, inbound, log_line, .. } = self;
        if context.quarantine.tracks_any(context.suspects(inbound).parts) {
            log_line.set_part_digests(context.part_digests(inbound));
        }
        context.record_success(inbound);
    }

    /// Records a failed send; returns `Err` if it is not retried.
    pub(super) fn handle_failure(&mut self, failed: FailedSend) -> Result<(), DeliveryError> {
        let FailedSend { record, error } = failed;
        let SendError { end, error_response, body, connect_failure, status } = error;
        self.log_line.record_basis(record.number, end, status);
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
        self.context.record_upstream_failure(&self.inbound, &record, end, failure);
        let may_retry = self.record_request_end(&record, end);
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

    /// Takes a retry from the retry budget, unless one is left that was not sent; returns `false` if the budget is
    /// exhausted.
    pub(super) fn try_retry(&mut self) -> bool {
        if self.unused_retry.is_some() {
            return true;
        }
        let Some(decision) = self.context.retry_budgets.decide_retry(&self.inbound.pool) else {
            return false;
        };
        self.context.metrics.count_retry_decision(decision.is_allowed);
        self.log_line.record_retry_decision(&decision);
        self.unused_retry = decision.is_allowed.then_some(TakenRetry);
        decision.is_allowed
    }

    /// Returns a retry that was not sent to the retry budget.
    pub(super) fn return_unused_retry(&mut self) {
        if self.unused_retry.take().is_some() {
            self.context.retry_budgets.return_retry(&self.inbound.pool);
            self.context.metrics.count_returned_retry();
            self.log_line.drop_allowed_retry();
        }
    }

    /// Records that all open sends but that with the index `kept` ended with `outcome`.
    pub(super) fn end_other_sends(&mut self, kept: Option<usize>, outcome: SendOutcome) {
        for record in self.open_sends.clone() {
            if Some(record.number) != kept {
                self.record_send_end(&record, outcome);
            }
        }
        if let Some(number) = self.open_forward {
            self.record_forward_end(number, outcome);
            self.retry_state.record_forward(None);
        }
    }
}

impl DeliveryContext {
    /// Records how a send ended for its upstream.
    pub(super) fn record_upstream_end(
        self: &Arc<Self>,
        inbound: &Arc<InboundRequest>,
        record: &SendRecord,
        end: SendOutcome,
    ) {
        self.record_upstream_failure(inbound, record, end, upstream_failure(end));
    }

    /// Records how a send ended for its upstream, with the `failure` that counts against it.
    fn record_upstream_failure(
        self: &Arc<Self>,
        inbound: &Arc<InboundRequest>,
        record: &SendRecord,
        end: SendOutcome,
        failure: Option<UpstreamFailure>,
    ) {
        let SendRecord { upstream, started_at, .. } = record;
        self.metrics.count_send_end(end);
        match end {
            SendOutcome::NotRun(evidence) if evidence.reason() == NotRunReason::Rejected => {
                self.record_rejection(inbound, record);
            }
            SendOutcome::Failed => {
                self.record_response(inbound);
                self.record_complete_response(inbound);
            }
            SendOutcome::Lost => detect_crash(self, inbound, record.clone()),
            _ => {}
        }
        if failure.is_some_and(|failure| self.upstreams.record_failure(upstream.hash, failure, *started_at)) {
            self.log.upstream_ejected(&upstream.name, end);
        }
    }

    fn record_rejection(&self, inbound: &InboundRequest, record: &SendRecord) {
        let pool = &inbound.pool;
        if self.is_paced(pool) {
            let upstream_count = self.upstreams.count_accepting_work(pool);
            self.pacing.record_rejection(pool, record.upstream.hash, upstream_count);
        } else {
            self.admission.record_rejection(pool);
        }
    }

    /// Records a response for the pacing of the pool.
    pub(super) fn record_response(&self, inbound: &InboundRequest) {
        let InboundRequest { pool, received_at, route, .. } = inbound;
        if self.is_paced(pool) {
            self.pacing.record_response(pool, *received_at, route.target_latency);
        }
    }

    /// Records a complete successful response, which means that no part of the prompt crashes upstreams.
    pub(super) fn record_success(&self, inbound: &InboundRequest) {
        self.record_complete_response(inbound);
        if self.tracks_prompt_parts && inbound.fields.prompt.is_some() {
            let parts = self.part_digests(inbound);
            self.quarantine.record_response_with_parts(parts, NameHash::of(inbound.pool.as_str()));
        }
    }

    /// Records a complete response, which means that the request did not crash the upstream.
    pub(super) fn record_complete_response(&self, inbound: &InboundRequest) {
        if let Some(digest) = self.tracked_digest(inbound) {
            self.quarantine.record_response(digest);
        }
    }
}

/// Returns the failure to record for the upstream, if any.
const fn upstream_failure(end: SendOutcome) -> Option<UpstreamFailure> {
    match end {
        SendOutcome::NotRun(evidence) => match evidence.reason() {
            NotRunReason::NotConnected => Some(UpstreamFailure::ConnectFailed),
            NotRunReason::Withheld | NotRunReason::Returned | NotRunReason::Refused => None,
            NotRunReason::Rejected => Some(UpstreamFailure::Rejected),
            NotRunReason::Replaced => Some(UpstreamFailure::WrongInstance),
        },
        SendOutcome::Superseded => None,
        SendOutcome::Lost | SendOutcome::InvalidResponse | SendOutcome::TooLarge => {
            Some(UpstreamFailure::ConnectionLost)
        }
        SendOutcome::TimedOut => Some(UpstreamFailure::TimedOut),
        SendOutcome::Failed => Some(UpstreamFailure::ErrorResponse),
    }
}
