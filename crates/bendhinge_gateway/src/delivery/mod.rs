//! Delivers requests: sends each one, with retries, until there is a response, and relays the response to the
//! caller.

mod attempt;
mod choice;
mod context;
mod crash;
mod cut;
mod engine_admission;
mod forward;
mod hedge;
mod inbound;
mod link_probes;
mod measured_send;
mod outcome;
mod race;
mod race_timer;
mod relay;
mod relay_body;
mod software;
mod stream_race;
mod stream_source;
mod upstream_body;

use std::sync::Arc;
use std::time::Duration;

use bendhinge_admission::PacingDecision;
use bendhinge_codes::{Ran, ResultCode};
use bendhinge_delivery::RetryState;
use bendhinge_http::{Body, BodyFraming, full_body};
use bendhinge_ids::NameHash;
use hyper::{Response, StatusCode};
use rand::Rng;

pub(crate) use self::attempt::ConnectFailure;
use self::attempt::{AttemptParams, ErrorResponse, UpstreamResponse, send_to_upstream};
pub(crate) use self::context::DeliveryContext;
pub(crate) use self::crash::CrashProbes;
pub(crate) use self::cut::Cut;
use self::forward::ForwardOutcome;
pub(crate) use self::inbound::InboundRequest;
pub(crate) use self::link_probes::LinkProbes;
use self::measured_send::MeasuredSend;
pub(crate) use self::measured_send::SendRegistry;
use self::race::{PendingSend, SendRecord};
use self::relay::Relay;
use self::relay_body::relay_body;
use self::software::RequiredSoftware;
use self::stream_source::{ResponseSource, StreamSource};
use self::upstream_body::{EndedBody, UpstreamBody};
use crate::intake::Refusal;
use crate::intake::headers;
use crate::lifecycle::InProgress;
use crate::log::RequestLogEntry;
use crate::metrics::{ResumedSoftware, Resumer};
use crate::quarantine::TrackedSend;
use crate::state::{ChosenUpstream, SoftwareRule};

/// Sends a request and returns the final response.
pub(crate) async fn deliver(
    context: &Arc<DeliveryContext>,
    inbound: InboundRequest,
    in_progress: InProgress,
) -> Result<Response<Body>, Refusal> {
    context.quarantine.check(context.suspects(&inbound)).map_err(|refusal| Refusal {
        suspect: Some(refusal.suspect),
        ..Refusal::with_retry_after(refusal.code, refusal.retry_after)
    })?;
    let is_counted = !context.forwards_at_once(&inbound);
    if is_counted {
        // Otherwise the gateway that it is forwarded to counts and admits it.
        admit(context, &inbound)?;
    }
    context.metrics.count_request();
    let route_attempts = inbound.route.max_attempts;
    let retry_state = RetryState::new(bendhinge_delivery::RetryPolicy {
        repeatable: inbound.route.kind.is_retryable(),
        max_attempts: inbound
            .forwarded
            .as_ref()
            .map_or(route_attempts, |forwarded| route_attempts.min(forwarded.max_attempts)),
    });
    let log_line = RequestLogEntry::new(&inbound);
    let mut delivery = Delivery {
        software: inbound.initial_software(context),
        context: Arc::clone(context),
        is_paced: context.is_paced(&inbound.pool),
        inbound: Arc::new(inbound),
        retry_state,
        is_counted,
        has_failed_to_connect: false,
        tried_upstreams: Vec::new(),
        unreached_upstreams: Vec::new(),
        unused_retry: None,
        open_sends: Vec::new(),
        open_forward: None,
        log_line,
    };
    let resume_after = delivery.inbound.fields.resume_after.clone();
    match delivery.next_response(resume_after.as_deref()).await {
        Ok(response) => Ok(delivery.into_response(response, in_progress)),
        Err(DeliveryError::ErrorResponse(response)) => Ok(delivery.error_response(*response)),
        Err(DeliveryError::RetryLater { code, retry_after }) => {
            delivery.record_refusal(code).await;
            Err(Refusal { was_sent: true, ..Refusal::with_retry_after(code, retry_after) })
        }
        Err(DeliveryError::Code(code)) => {
            delivery.record_refusal(code).await;
            // Right after the start, the first upstream list is expected within moments.
            let awaits_next_list = code == ResultCode::NoUpstream && context.upstreams.has_list();
            let retry_after = awaits_next_list.then(delay_until_next_list);
            Err(Refusal { code, was_sent: true, retry_after, suspect: None })
        }
    }
}

/// Counts a request toward the retry budget and decides whether it is admitted.
fn admit(context: &DeliveryContext, inbound: &InboundRequest) -> Result<(), Refusal> {
    if inbound.forwarded.as_ref().is_none_or(|forwarded| !forwarded.was_counted) {
        context.retry_budgets.record_request(&inbound.pool);
    }
    // Checked before pacing, whose retry delay could be shorter than the backoff.
    if let Some(backoff) = context.remaining_backoff(inbound) {
        return Err(Refusal::with_retry_after(ResultCode::AllUpstreamsRest, backoff));
    }
    if context.is_paced(&inbound.pool)
        && let PacingDecision::Refused(retry_after) =
            context.pacing.decide(&inbound.pool, inbound.requester())
    {
        return Err(Refusal::with_retry_after(ResultCode::AllUpstreamsAtBound, retry_after));
    }
    context.admit_to_engines(inbound)
}

/// Returns the retry delay for a request to a pool without available upstreams: a retry before the next
/// upstream list would fail again.
fn delay_until_next_list() -> Duration {
    /// Upstream lists are read every 0.7 s and reach all gateways within the same time again.
    const DELAY_RANGE_MS: std::ops::Range<u64> = 700..1_400;
    Duration::from_millis(rand::rng().random_range(DELAY_RANGE_MS))
}

/// Why there is no response to relay.
enum DeliveryError {
    /// The upstream sent an error response.
    ErrorResponse(Box<ErrorResponse>),
    /// The request did not run; the caller should retry after the given delay.
    RetryLater {
        code: ResultCode,
        retry_after: Duration,
    },
    Code(ResultCode),
}

/// A retry that was taken from the retry budget of the pool.
struct TakenRetry;

/// The delivery of one request.
struct Delivery {
    context: Arc<DeliveryContext>,
    inbound: Arc<InboundRequest>,
    retry_state: RetryState,
    /// Whether requests to the pool are paced.
    is_paced: bool,
    /// Whether this gateway has counted and admitted the request.
    is_counted: bool,
    /// Whether a send of the request did not connect.
    has_failed_to_connect: bool,
    tried_upstreams: Vec<NameHash>,
    /// Upstreams that earlier sends did not reach.
    unreached_upstreams: Vec<NameHash>,
    /// The retry that was taken from the retry budget, until a send has reached an upstream.
    unused_retry: Option<TakenRetry>,
    /// Sends to upstreams whose end is not recorded.
    open_sends: Vec<SendRecord>,
    /// The index of the forward whose end is not recorded.
    open_forward: Option<usize>,
    /// The software that may process the request.
    software: RequiredSoftware,
    log_line: RequestLogEntry,
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.return_unused_retry();
        if !self.log_line.is_written() {
            self.log_line.write_dropped(&self.context.log, self.retry_state.ran());
        }
    }
}

impl Delivery {
    /// Sends the request until an upstream's response can be relayed.
    async fn next_response(&mut self, resume_after: Option<&str>) -> Result<UpstreamResponse, DeliveryError> {
        loop {
            if self.should_forward() {
                self.resolve_software_locally();
                match self.forward(resume_after).await {
                    ForwardOutcome::Response(response) => return Ok(*response),
                    ForwardOutcome::Failed(error) => return Err(error),
                    ForwardOutcome::NotForwarded => {}
                }
            }
            if let Some(error) = self.partition_error() {
                return Err(error);
            }
            self.admit_if_not_counted()?;
            self.resolve_software().await?;
            let send = self.start_first_send(resume_after).await?;
            match self.await_response(send, resume_after).await {
                Ok(response) => {
                    self.unused_retry = None;
                    // Of a forwarded request the other gateway records the response.
                    if let ResponseSource::Upstream(send) = &response.source {
                        self.context.upstreams.record_response(send.chosen.entry.hash);
                        self.context.record_response(&self.inbound);
                    }
                    self.context
                        .metrics
                        .record_first_byte(bendhinge_clock::now().since(self.inbound.received_at));
                    return Ok(response);
                }
                Err(failed) => self.handle_failure(failed)?,
            }
        }
    }

    /// Counts and admits a request that was to be forwarded and is now delivered here.
    fn admit_if_not_counted(&mut self) -> Result<(), DeliveryError> {
        if self.is_counted {
            return Ok(());
        }
        self.is_counted = true;
        admit(&self.context, &self.inbound).map_err(|refusal| match refusal.retry_after {
            Some(retry_after) => self.retry_later(refusal.code, retry_after),
            None => DeliveryError::Code(self.code_if_not_run(refusal.code)),
        })
    }

    /// Starts a send to the best upstream, or a retry. It may be the probe request of an ejected upstream if it can be
    /// retried.
    async fn start_first_send(&mut self, resume_after: Option<&str>) -> Result<PendingSend, DeliveryError> {
        self.check_time_left()?;
        let tracked = self.track_send()?;
        let chosen = self.choose_upstream(self.retry_state.allows_hedge()).await?;
        Ok(self.start_send(chosen, tracked, resume_after))
    }

    /// Starts a hedge request.
    fn start_second_send(&mut self, resume_after: Option<&str>) -> Result<PendingSend, DeliveryError> {
        self.check_time_left()?;
        let tracked = self.track_send()?;
        let chosen = self.choose_upstream_of_hedge()?;
        Ok(self.start_send(chosen, tracked, resume_after))
    }

    pub(super) fn check_time_left(&self) -> Result<(), DeliveryError> {
        if self.inbound.time_left().is_zero() {
            return Err(DeliveryError::Code(self.retry_state.final_code(true)));
        }
        Ok(())
    }

    fn start_send(
        &mut self,
        chosen: ChosenUpstream,
        tracked: Option<Arc<TrackedSend>>,
        resume_after: Option<&str>,
    ) -> PendingSend {
        self.tried_upstreams.push(chosen.entry.hash);
        let number = self.log_line.record_send(&chosen);
        self.context.metrics.record_list_age(chosen.list_age);
        if let Some(report) = chosen.load_basis.report {
            self.context.metrics.record_load_report_age(report.age);
        }
        match chosen.totals_age {
            Some(age) => self.context.metrics.record_totals_age(age),
            None => self.context.metrics.record_mean_load_age(chosen.pool_reports.mean_age),
        }
        let record = SendRecord::new(number, &chosen, tracked);
        self.open_sends.push(record.clone());
        self.retry_state.begin_send();
        let params = AttemptParams {
            record: record.clone(),
            measured: MeasuredSend::start(&self.context.sends, chosen.entry.hash, &self.inbound),
            chosen,
            timeout: self.inbound.time_left(),
            resume_after: resume_after.map(str::to_owned),
        };
        let response = send_to_upstream(Arc::clone(&self.context), Arc::clone(&self.inbound), params);
        PendingSend { record, response: Box::pin(response) }
    }

    /// Starts a tracked send if the request or a part of its prompt is tracked; returns `Err` if it must not be sent.
    fn track_send(&mut self) -> Result<Option<Arc<TrackedSend>>, DeliveryError> {
        match self.context.quarantine.begin_send(self.context.suspects(&self.inbound)) {
            Ok(tracked) => Ok(tracked.map(Arc::new)),
            Err(refusal) => {
                self.log_line.set_suspect(refusal.suspect);
                Err(self.retry_later(refusal.code, refusal.retry_after))
            }
        }
    }

    /// Records how a body ended that was received completely, in a response with this status.
    fn record_complete_body(&mut self, source: &ResponseSource, status: StatusCode, ended: EndedBody) {
        match source {
            ResponseSource::Upstream(send) => {
                self.log_line.record_body_end(send.record.number, ended.framing, ended.end, 0);
                if status.is_success() {
                    self.record_success();
                } else {
                    self.context.record_complete_response(&self.inbound);
                }
            }
            ResponseSource::Gateway(send) => self.log_line.record_forward_body_end(send.number, ended.end),
        }
    }

    /// Logs that the request is refused with `code`. If that states that a request which was sent has not run, the line is
    /// written before the response, so that it exists even if the process is killed right after it.
    async fn record_refusal(&mut self, code: ResultCode) {
        let Self { context, log_line, retry_state, .. } = self;
        log_line.write_answered(&context.log, code.http_status(), Some(code), retry_state);
        if code.ran() == Some(Ran::No) && log_line.was_sent() {
            context.metrics.count_unrun(code);
            context.log.flush().await;
        }
    }

    fn error_response(&mut self, response: ErrorResponse) -> Response<Body> {
        let ErrorResponse { mut head, body } = response;
        self.log_line.write_answered(&self.context.log, head.status.as_u16(), None, &self.retry_state);
        headers::prepare_for_caller(&mut head);
        Response::from_parts(head, full_body(body))
    }

    fn into_response(mut self, response: UpstreamResponse, in_progress: InProgress) -> Response<Body> {
        let UpstreamResponse { source, mut head, body, hedge } = response;
        let upstream_headers = head.headers.clone();
        headers::prepare_for_caller(&mut head);
        match body {
            UpstreamBody::Complete(bytes, ended) => {
                self.record_complete_body(&source, head.status, ended);
                self.log_line.write_answered(
                    &self.context.log,
                    head.status.as_u16(),
                    None,
                    &self.retry_state,
                );
                Response::from_parts(head, full_body(bytes))
            }
            UpstreamBody::Stream(body, framing, connection) => {
                if self.inbound.resumes_stream() {
                    let resumed = match self.software_rule() {
                        SoftwareRule::Only(_) => ResumedSoftware::Same,
                        SoftwareRule::Any | SoftwareRule::Settled => ResumedSoftware::Unknown,
                    };
                    self.context.metrics.count_resumption(Resumer::Caller, resumed);
                }
                self.log_line.set_caller_framing(BodyFraming::of_stream_to(self.inbound.head.version));
                let headers = upstream_headers;
                let source = StreamSource::new(&self.context, source, headers, framing, body, connection);
                Response::from_parts(head, relay_body(Relay::new(self, source, hedge, in_progress)))
            }
        }
    }
}
