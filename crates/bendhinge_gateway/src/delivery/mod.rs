//! Delivers requests: sends each one, with retries, until there is a response, and relays the response to the
//! caller.

mod attempt;
mod crash;
mod race;
mod relay;

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bendhinge_admission::{PacingDecision, Requester};
use bendhinge_codes::ResultCode;
use bendhinge_delivery::{IdentityKey, RequestIdentity, RetryState, SendOutcome};
use bendhinge_fleet::UpstreamFailure;
use bendhinge_http::{Body, Pool, Tasks, full_body};
use bendhinge_ids::{Instant, NameHash, PoolName, RequestDigest};
use bendhinge_routes::{Customer, RegionFilter, Route};
use bytes::Bytes;
use hyper::Response;
use hyper::http::request;
use rand::Rng;

use self::attempt::{
    AttemptParams, ErrorResponse, SendError, UpstreamBody, UpstreamResponse, implies_not_run,
    send_to_upstream,
};
pub(crate) use self::crash::CrashProbes;
use self::crash::detect_crash;
use self::race::{FailedSend, PendingSend, SendRecord, race};
use self::relay::{Relay, StreamSource, relay_body};
use crate::dialect::{Dialect, RequestFields};
use crate::intake::Refusal;
use crate::intake::headers;
use crate::lifecycle::InProgress;
use crate::log::{Log, RequestLogEntry};
use crate::metrics::Metrics;
use crate::pacing::Pacing;
use crate::quarantine::{SendRefusal, SharedQuarantine, TrackedSend};
use crate::retries::RetryBudgets;
use crate::state::{ChosenUpstream, PlacementRequest, RulesReplica, UpstreamView};

/// The shared state that delivery uses.
pub(crate) struct DeliveryContext {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) rules: Arc<RulesReplica>,
    pub(crate) upstreams: Arc<UpstreamView>,
    pub(crate) retry_budgets: RetryBudgets,
    pub(crate) pacing: Pacing,
    pub(crate) identity_key: IdentityKey,
    pub(crate) quarantine: Arc<SharedQuarantine>,
    pub(crate) crash_probes: CrashProbes,
    pub(crate) connection_pool: Pool,
    pub(crate) tasks: Tasks,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) max_response_bytes: usize,
}

/// A request that was authorized and is to be sent to an upstream.
pub(crate) struct InboundRequest {
    pub(crate) fields: RequestFields,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: PoolName,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) priority: u8,
    /// The head that is sent upstream, without the headers that each attempt adds.
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) received_at: Instant,
    /// The time by which the final response is due.
    pub(crate) deadline: Instant,
    pub(crate) tie_breaker: u64,
    /// The digest that identifies equal requests, computed on first use.
    pub(crate) digest: OnceLock<RequestDigest>,
}

impl DeliveryContext {
    /// Returns the digest of a request that may be tracked by the quarantine. Other requests are not hashed.
    pub(crate) fn tracked_digest(&self, inbound: &InboundRequest) -> Option<RequestDigest> {
        let quarantine = &self.quarantine;
        let may_be_tracked =
            !quarantine.is_empty() && quarantine.may_contain(inbound.identity().hint(&self.identity_key));
        may_be_tracked.then(|| inbound.digest(&self.identity_key))
    }

    /// Returns after which time the caller should retry if all upstreams that could serve the request have
    /// requested a backoff.
    fn remaining_backoff(&self, inbound: &InboundRequest) -> Option<Duration> {
        /// Jitter as a fraction of the remaining backoff, but no less than the minimum, so that callers
        /// refused together do not all return to the first upstream that is available again.
        const JITTER_FRACTION: f64 = 0.25;
        const MIN_JITTER: Duration = Duration::from_millis(200);
        let end = self.upstreams.earliest_backoff_end(&inbound.pool, inbound.allowed_regions())?;
        let remaining = end.since(bendhinge_clock::now());
        Some(remaining + remaining.mul_f64(JITTER_FRACTION).max(MIN_JITTER).mul_f64(rand::rng().random()))
    }

    /// Whether requests to a pool are paced by the responses of its upstreams. Upstreams that cache prompts
    /// report their load instead, and their responses may be late for other reasons.
    fn is_paced(&self, pool: &PoolName) -> bool {
        let rules = self.rules.current();
        rules.is_some_and(|current| current.rules.pools.get(pool).is_none_or(|rule| !rule.caches_prompts))
    }
}

impl InboundRequest {
    fn requester(&self) -> Requester {
        let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
        Requester { priority: self.priority, customer: NameHash::of(customer) }
    }

    /// Whether the customer still holds the key of the request, according to rules that have not expired.
    pub(crate) fn is_authorized(&self, rules: &RulesReplica) -> bool {
        let (Some(key), Some(customer)) = (&self.fields.key, &self.customer) else { return true };
        if !rules.is_within_lease() {
            return false;
        }
        let Some(current) = rules.current() else { return false };
        current.rules.customers.find_by_key(key).is_some_and(|holder| holder.name == customer.name)
    }

    /// Returns the regions that the route and the customer allow; both apply.
    fn allowed_regions(&self) -> [&RegionFilter; 2] {
        let route = &self.route.regions;
        [route, self.customer.as_ref().map_or(route, |customer| &customer.regions)]
    }

    /// Returns the digest that identifies equal requests.
    fn digest(&self, key: &IdentityKey) -> RequestDigest {
        *self.digest.get_or_init(|| self.identity().digest(key))
    }

    fn identity(&self) -> RequestIdentity<'_> {
        RequestIdentity {
            customer: self.customer.as_ref().map_or("", |customer| customer.name.as_str()),
            method: self.head.method.as_str(),
            target: self.head.uri.path_and_query().map_or("", |target| target.as_str()),
            body: &self.body,
        }
    }

    fn time_left(&self) -> Duration {
        self.deadline.since(bendhinge_clock::now())
    }
}

/// Sends a request and returns the final response.
pub(crate) async fn deliver(
    context: &Arc<DeliveryContext>,
    inbound: InboundRequest,
    in_progress: InProgress,
) -> Result<Response<Body>, Refusal> {
    if let Some(digest) = context.tracked_digest(&inbound) {
        let to_refusal = |refusal: SendRefusal| Refusal {
            digest: Some(digest),
            ..Refusal::with_retry_after(refusal.code, refusal.retry_after)
        };
        context.quarantine.check(digest).map_err(to_refusal)?;
    }
    context.retry_budgets.record_request(&inbound.pool);
    // Checked before pacing, whose retry delay could be shorter than the backoff.
    if let Some(backoff) = context.remaining_backoff(&inbound) {
        return Err(Refusal::with_retry_after(ResultCode::AllUpstreamsRest, backoff));
    }
    let is_paced = context.is_paced(&inbound.pool);
    if is_paced
        && let PacingDecision::Refused(retry_after) =
            context.pacing.decide(&inbound.pool, inbound.requester())
    {
        return Err(Refusal::with_retry_after(ResultCode::AllUpstreamsAtBound, retry_after));
    }
    context.metrics.count_request();
    let retry_state = RetryState::new(bendhinge_delivery::RetryPolicy {
        repeatable: inbound.route.kind.is_retryable(),
        max_attempts: inbound.route.max_attempts,
    });
    let log_line = RequestLogEntry::new(&inbound);
    let inbound = Arc::new(inbound);
    let mut delivery = Delivery {
        context: Arc::clone(context),
        inbound,
        retry_state,
        is_paced,
        tried_upstreams: Vec::new(),
        log_line,
    };
    let resume_after = delivery.inbound.fields.resume_after.clone();
    match delivery.next_response(resume_after.as_deref()).await {
        Ok(response) => Ok(delivery.into_response(response, in_progress)),
        Err(DeliveryError::ErrorResponse(response)) => Ok(delivery.error_response(*response)),
        Err(DeliveryError::RetryLater { code, retry_after }) => {
            delivery.log_line.write_answered(
                &context.log,
                code.http_status(),
                Some(code),
                &delivery.retry_state,
            );
            Err(Refusal { was_sent: true, ..Refusal::with_retry_after(code, retry_after) })
        }
        Err(DeliveryError::Code(code)) => {
            delivery.log_line.write_answered(
                &context.log,
                code.http_status(),
                Some(code),
                &delivery.retry_state,
            );
            // Right after the start, the first upstream list is expected within moments.
            let awaits_next_list = code == ResultCode::NoUpstream && context.upstreams.has_list();
            let retry_after = awaits_next_list.then(delay_until_next_list);
            Err(Refusal { code, was_sent: true, retry_after, digest: None })
        }
    }
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

/// The delivery of one request.
struct Delivery {
    context: Arc<DeliveryContext>,
    inbound: Arc<InboundRequest>,
    retry_state: RetryState,
    /// Whether requests to the pool are paced.
    is_paced: bool,
    tried_upstreams: Vec<NameHash>,
    log_line: RequestLogEntry,
}

impl Delivery {
    /// Sends the request until an upstream's response can be relayed.
    async fn next_response(&mut self, resume_after: Option<&str>) -> Result<UpstreamResponse, DeliveryError> {
        loop {
            let send = self.start_send(resume_after, self.retry_state.allows_hedge())?;
            match self.await_response(send, resume_after).await {
                Ok(response) => {
                    self.context.upstreams.record_response(response.chosen.entry.hash);
                    self.record_response();
                    self.context
                        .metrics
                        .record_first_byte(bendhinge_clock::now().since(self.inbound.received_at));
                    return Ok(response);
                }
                Err(failed) => self.handle_failure(failed)?,
            }
        }
    }

    /// Starts a send to the best upstream. `may_probe` is whether it may be the probe request of an ejected
    /// upstream.
    fn start_send(
        &mut self,
        resume_after: Option<&str>,
        may_probe: bool,
    ) -> Result<PendingSend, DeliveryError> {
        let timeout = self.inbound.time_left();
        if timeout.is_zero() {
            return Err(DeliveryError::Code(self.retry_state.final_code(true)));
        }
        let tracked = self.track_send()?;
        let chosen = self.choose_upstream(may_probe)?;
        self.tried_upstreams.push(chosen.entry.hash);
        let number = self.log_line.record_send(&chosen);
        self.context.metrics.record_list_age(chosen.list_age);
        let record = SendRecord::new(number, &chosen, tracked);
        let params = AttemptParams {
            record: record.clone(),
            chosen,
            timeout,
            resume_after: resume_after.map(str::to_owned),
        };
        let response = send_to_upstream(Arc::clone(&self.context), Arc::clone(&self.inbound), params);
        Ok(PendingSend { record, response: Box::pin(response) })
    }

    /// Waits for the response to a send. If it is slow and the request may be sent once more, sends a hedge
    /// request to another upstream and takes the first response.
    async fn await_response(
        &mut self,
        mut first: PendingSend,
        resume_after: Option<&str>,
    ) -> Result<UpstreamResponse, FailedSend> {
        if !self.retry_state.allows_hedge() {
            return first.result().await;
        }
        if let Some(result) = first.result_within(self.hedge_delay()).await {
            return result;
        }
        let Some(second) = self.start_hedge(resume_after) else { return first.result().await };
        let (result, mut other) = race(first, second).await;
        match result {
            Ok(response) => {
                // The hedge request is not late just because the response to the first one arrived before.
                let is_later = other.record.number > response.record.number;
                let end = if is_later { SendOutcome::Superseded } else { SendOutcome::TimedOut };
                self.record_send_end(&other.record, end);
                Ok(response)
            }
            Err(failed) => {
                self.record_send_end(&failed.record, failed.error.end);
                other.result().await
            }
        }
    }

    /// Returns how long to wait for a response before a hedge request is sent.
    fn hedge_delay(&self) -> Duration {
        /// Fraction of the route's target latency. The remainder is for the response to the hedge request.
        const TARGET_LATENCY_FRACTION: f64 = 0.7;
        self.inbound.route.target_latency.mul_f64(TARGET_LATENCY_FRACTION)
    }

    /// Starts a hedge request; returns `None` if that is not possible.
    fn start_hedge(&mut self, resume_after: Option<&str>) -> Option<PendingSend> {
        if !self.try_retry() {
            return None;
        }
        self.start_send(resume_after, false).ok()
    }

    /// Starts a tracked send if the quarantine tracks the request; returns `Err` if it must not be sent.
    fn track_send(&mut self) -> Result<Option<Arc<TrackedSend>>, DeliveryError> {
        let Some(digest) = self.context.tracked_digest(&self.inbound) else { return Ok(None) };
        match self.context.quarantine.begin_send(digest) {
            Ok(tracked) => Ok(tracked.map(Arc::new)),
            Err(refusal) => {
                self.log_line.set_digest(digest);
                Err(self.retry_later(refusal.code, refusal.retry_after))
            }
        }
    }

    fn choose_upstream(&self, may_probe: bool) -> Result<ChosenUpstream, DeliveryError> {
        if !self.inbound.is_authorized(&self.context.rules) {
            return Err(DeliveryError::Code(self.code_if_not_run(ResultCode::ViewNotFresh)));
        }
        let rules = self.context.rules.current();
        let query = PlacementRequest {
            pool: &self.inbound.pool,
            rule: rules.as_ref().and_then(|current| current.rules.pools.get(&self.inbound.pool)),
            prompt: self.inbound.fields.prompt.as_ref(),
            regions: self.inbound.allowed_regions(),
            tried: &self.tried_upstreams,
            may_probe,
            tie_breaker: self.inbound.tie_breaker,
        };
        self.context.upstreams.choose(&query).ok_or_else(|| self.no_upstream_error())
    }

    /// Returns the error for a request that no upstream accepts or that must not be sent again.
    fn no_upstream_error(&self) -> DeliveryError {
        match self.context.remaining_backoff(&self.inbound) {
            Some(backoff) => self.retry_later(ResultCode::AllUpstreamsRest, backoff),
            None => DeliveryError::Code(self.retry_state.final_code(false)),
        }
    }

    /// Returns the error that asks the caller to retry later, unless the request may have run.
    fn retry_later(&self, code: ResultCode, retry_after: Duration) -> DeliveryError {
        match self.retry_state.ran() {
            bendhinge_codes::Ran::No => DeliveryError::RetryLater { code, retry_after },
            _ => DeliveryError::Code(self.retry_state.final_code(false)),
        }
    }

    /// Returns `code`, which reports that the request did not run, or the final code if it may have run.
    fn code_if_not_run(&self, code: ResultCode) -> ResultCode {
        if self.retry_state.ran() == bendhinge_codes::Ran::No {
            code
        } else {
            self.retry_state.final_code(false)
        }
    }

    /// Records how a send ended, for the request and for its upstream; returns `false` if no further send may
    /// follow.
    fn record_send_end(&mut self, record: &SendRecord, end: SendOutcome) -> bool {
        let DeliveryContext { upstreams, metrics, log, .. } = &*self.context;
        let SendRecord { number, upstream, started_at, .. } = record;
        self.log_line.record_send_end(*number, end);
        metrics.count_send_end(end);
        match end {
            SendOutcome::Rejected if self.is_paced => {
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
        if upstream_failure(end)
            .is_some_and(|failure| upstreams.record_failure(upstream.hash, failure, *started_at))
        {
            log.upstream_ejected(&upstream.name, end);
        }
        self.retry_state.record_outcome(end)
    }

    /// Records a response for the pacing of the pool.
    fn record_response(&self) {
        if !self.is_paced {
            return;
        }
        let InboundRequest { pool, received_at, route, .. } = &*self.inbound;
        self.context.pacing.record_response(pool, *received_at, route.target_latency);
    }

    /// Records a complete response, which means that the request did not crash the upstream.
    fn record_complete_response(&self) {
        if let Some(digest) = self.context.tracked_digest(&self.inbound) {
            self.context.quarantine.record_response(digest);
        }
    }

    /// Records a failed send; returns `Err` if it is not retried.
    fn handle_failure(&mut self, failed: FailedSend) -> Result<(), DeliveryError> {
        let FailedSend { record, error: SendError { end, error_response } } = failed;
        let may_retry = self.record_send_end(&record, end);
        let is_past_deadline = self.inbound.time_left().is_zero();
        let is_within_budget = || !self.retry_state.needs_retry_budget() || self.try_retry();
        if may_retry && !is_past_deadline && is_within_budget() {
            return Ok(());
        }
        Err(match error_response {
            Some(error) if !implies_not_run(error.head.status) => DeliveryError::ErrorResponse(error),
            _ if is_past_deadline => DeliveryError::Code(self.retry_state.final_code(true)),
            _ => self.no_upstream_error(),
        })
    }

    /// Takes a retry from the retry budget; returns `false` if the budget is exhausted.
    fn try_retry(&self) -> bool {
        self.context.retry_budgets.try_retry(&self.inbound.pool)
    }

    fn error_response(&mut self, response: ErrorResponse) -> Response<Body> {
        let ErrorResponse { mut head, body } = response;
        self.log_line.write_answered(&self.context.log, head.status.as_u16(), None, &self.retry_state);
        headers::prepare_for_caller(&mut head.headers);
        Response::from_parts(head, full_body(body))
    }

    fn into_response(mut self, response: UpstreamResponse, in_progress: InProgress) -> Response<Body> {
        let UpstreamResponse { record, chosen, mut head, body } = response;
        let upstream_headers = head.headers.clone();
        headers::prepare_for_caller(&mut head.headers);
        match body {
            UpstreamBody::Complete(bytes) => {
                self.record_complete_response();
                self.log_line.write_answered(
                    &self.context.log,
                    head.status.as_u16(),
                    None,
                    &self.retry_state,
                );
                Response::from_parts(head, full_body(bytes))
            }
            UpstreamBody::Stream(body, connection) => {
                let source =
                    StreamSource { record, _chosen: chosen, headers: upstream_headers, body, connection };
                Response::from_parts(head, relay_body(Relay::new(self, source, in_progress)))
            }
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
