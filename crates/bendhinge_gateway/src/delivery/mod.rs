//! The duty of delivery: sends until there is one answer, and passing it back whole.

mod attempt;
mod crash;
mod race;
mod relay;

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bendhinge_admission::{Asker, Paced};
use bendhinge_codes::ResultCode;
use bendhinge_delivery::{IdentityKey, RequestIdentity, RetryState, SendOutcome};
use bendhinge_fleet::UpstreamFailure;
use bendhinge_http::{Body, Pool, Tasks, full_body};
use bendhinge_ids::{Instant, NameHash, PoolName, RequestDigest};
use bendhinge_routes::{Customer, Regions, Route};
use bytes::Bytes;
use hyper::Response;
use hyper::http::request;
use rand::Rng;

use self::attempt::{Attempt, AttemptBody, Ended, FailureAnswer, NewSend, attempt, promises_not_run};
pub(crate) use self::crash::CrashLooks;
use self::crash::look_into;
use self::race::{FailedSend, Sending, Sent, race};
use self::relay::{Relay, Source, relayed};
use crate::dialect::{CallFields, Dialect};
use crate::intake::Refused;
use crate::intake::headers;
use crate::knowledge::{Chosen, PlacementQuestion, RulesKeeper, UpstreamView};
use crate::lifecycle::InProgress;
use crate::log::{Log, RequestLine};
use crate::metrics::Metrics;
use crate::pacing::Pacing;
use crate::quarantine::{Kept, QuarantineKeeper, WatchedSend};
use crate::retries::Retries;

/// What delivery needs of the other duties.
pub(crate) struct Delivering {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) rules: Arc<RulesKeeper>,
    pub(crate) upstreams: Arc<UpstreamView>,
    pub(crate) retries: Retries,
    pub(crate) pacing: Pacing,
    pub(crate) identities: IdentityKey,
    pub(crate) quarantine: Arc<QuarantineKeeper>,
    pub(crate) crash_looks: CrashLooks,
    pub(crate) pool: Pool,
    pub(crate) tasks: Tasks,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) answer_bytes: usize,
}

/// One request that is allowed.
pub(crate) struct Turn {
    pub(crate) call: CallFields,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: PoolName,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) priority: u8,
    /// The head as it goes upstream, but for what each attempt adds.
    pub(crate) head: request::Parts,
    pub(crate) body: Bytes,
    pub(crate) began: Instant,
    /// When it must have its final answer.
    pub(crate) limit: Instant,
    pub(crate) tie_breaker: u64,
    /// What tells it from all requests that are not the same, once that was asked for.
    pub(crate) digest: OnceLock<RequestDigest>,
}

impl Delivering {
    /// The digest of a request that may be suspected. Of others it is not worth its time, 13 us with 18 KB.
    pub(crate) fn suspect(&self, turn: &Turn) -> Option<RequestDigest> {
        let keeper = &self.quarantine;
        let may_be = !keeper.is_empty() && keeper.may_know(turn.identity().hint(&self.identities));
        may_be.then(|| turn.digest(&self.identities))
    }

    /// When a turn should come back if all upstreams that could take it asked for a rest.
    fn all_rest_for(&self, turn: &Turn) -> Option<Duration> {
        /// Those that are refused together come back over this part of the rest that is left, or over this time if that
        /// is longer: the first upstream to end its rest is not to get all of them at once.
        const SPREAD: f64 = 0.25;
        const LEAST_SPREAD: Duration = Duration::from_millis(200);
        let end = self.upstreams.first_rest_end(&turn.pool, turn.regions())?;
        let left = end.since(bendhinge_clock::now());
        Some(left + left.mul_f64(SPREAD).max(LEAST_SPREAD).mul_f64(rand::rng().random()))
    }

    /// Whether requests to a pool are paced by what its upstreams answer: so they are where these say nothing
    /// of their load. Engines that keep prompts say it, and an answer of theirs is late for other reasons, too.
    fn is_paced(&self, pool: &PoolName) -> bool {
        let rules = self.rules.current();
        rules.is_some_and(|current| current.rules.pools.get(pool).is_none_or(|rule| !rule.keeps_prompts))
    }
}

impl Turn {
    fn asker(&self) -> Asker {
        let customer = self.customer.as_ref().map_or("", |customer| customer.name.as_str());
        Asker { priority: self.priority, customer: NameHash::of(customer) }
    }

    /// Whether its key is still held by its customer, by rules that may be acted on.
    pub(crate) fn is_allowed(&self, rules: &RulesKeeper) -> bool {
        let (Some(key), Some(customer)) = (&self.call.key, &self.customer) else { return true };
        if !rules.may_be_acted_on() {
            return false;
        }
        let Some(current) = rules.current() else { return false };
        current.rules.customers.holder(key).is_some_and(|holder| holder.name == customer.name)
    }

    /// Where it may run, by its route and by its customer.
    fn regions(&self) -> [&Regions; 2] {
        let route = &self.route.regions;
        [route, self.customer.as_ref().map_or(route, |customer| &customer.regions)]
    }

    /// What tells it from all requests that are not the same.
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
        self.limit.since(bendhinge_clock::now())
    }
}

/// Serves a request to its final answer.
pub(crate) async fn deliver(
    delivering: &Arc<Delivering>,
    turn: Turn,
    in_progress: InProgress,
) -> Result<Response<Body>, Refused> {
    if let Some(digest) = delivering.suspect(&turn) {
        let refused =
            |kept: Kept| Refused { digest: Some(digest), ..Refused::until(kept.code, kept.retry_after) };
        delivering.quarantine.check(digest).map_err(refused)?;
    }
    delivering.retries.first(&turn.pool);
    // Before the pace: that would say to come back sooner than the first rest is over.
    if let Some(rest) = delivering.all_rest_for(&turn) {
        return Err(Refused::until(ResultCode::AllUpstreamsRest, rest));
    }
    let is_paced = delivering.is_paced(&turn.pool);
    if is_paced && let Paced::Refused(after) = delivering.pacing.decide(&turn.pool, turn.asker()) {
        return Err(Refused::until(ResultCode::AllUpstreamsAtBound, after));
    }
    delivering.metrics.request();
    let course = RetryState::new(bendhinge_delivery::RetryPolicy {
        repeatable: turn.route.kind.is_repeatable(),
        max_attempts: turn.route.attempts,
    });
    let line = RequestLine::new(&turn);
    let turn = Arc::new(turn);
    let mut delivery =
        Delivery { delivering: Arc::clone(delivering), turn, course, is_paced, tried: Vec::new(), line };
    let resume_after = delivery.turn.call.resume_after.clone();
    match delivery.next_answer(resume_after.as_deref()).await {
        Ok(attempt) => Ok(delivery.pass_back(attempt, in_progress)),
        Err(GivenUp::Failure(failure)) => Ok(delivery.pass_failure(*failure)),
        Err(GivenUp::NotNow { code, retry_after }) => {
            delivery.line.ended(&delivering.log, code.http_status(), Some(code), &delivery.course);
            Err(Refused { was_sent: true, ..Refused::until(code, retry_after) })
        }
        Err(GivenUp::Code(code)) => {
            delivery.line.ended(&delivering.log, code.http_status(), Some(code), &delivery.course);
            // Right after the start the first list is a moment away.
            let needs_another_list = code == ResultCode::NoUpstream && delivering.upstreams.is_known();
            let retry_after = needs_another_list.then(with_the_next_list);
            Err(Refused { code, was_sent: true, retry_after, digest: None })
        }
    }
}

/// When a request should come back for which no upstream takes work: not before there can be another list.
fn with_the_next_list() -> Duration {
    /// Lists are read each 0.7 s and are known to all within as much again.
    const MILLIS: std::ops::Range<u64> = 700..1_400;
    Duration::from_millis(rand::rng().random_range(MILLIS))
}

/// Why there is no answer to pass on.
enum GivenUp {
    /// The upstream answered that it failed.
    Failure(Box<FailureAnswer>),
    /// It did not run, and would not before so long a time.
    NotNow {
        code: ResultCode,
        retry_after: Duration,
    },
    Code(ResultCode),
}

/// One request on its way.
struct Delivery {
    delivering: Arc<Delivering>,
    turn: Arc<Turn>,
    course: RetryState,
    /// Whether requests to its pool are paced.
    is_paced: bool,
    tried: Vec<NameHash>,
    line: RequestLine,
}

impl Delivery {
    /// Sends until an upstream's answer can be passed on.
    async fn next_answer(&mut self, resume_after: Option<&str>) -> Result<Attempt, GivenUp> {
        loop {
            let sending = self.send(resume_after, self.course.allows_hedge())?;
            match self.answer_to(sending, resume_after).await {
                Ok(attempt) => {
                    self.delivering.upstreams.answered(attempt.chosen.entry.hash);
                    self.note_answer();
                    self.delivering.metrics.first_byte(bendhinge_clock::now().since(self.turn.began));
                    return Ok(attempt);
                }
                Err(failed) => self.after(failed)?,
            }
        }
    }

    /// Begins a send to the upstream that is best now. `may_try` says whether it may be an
    /// upstream's trial.
    fn send(&mut self, resume_after: Option<&str>, may_try: bool) -> Result<Sending, GivenUp> {
        let left = self.turn.time_left();
        if left.is_zero() {
            return Err(GivenUp::Code(self.course.final_code(true)));
        }
        let watched = self.watch()?;
        let chosen = self.choose(may_try)?;
        self.tried.push(chosen.entry.hash);
        let number = self.line.sent(&chosen);
        self.delivering.metrics.list_age(chosen.list_age);
        let sent = Sent::new(number, &chosen, watched);
        let send =
            NewSend { sent: sent.clone(), chosen, left, resume_after: resume_after.map(str::to_owned) };
        let answer = attempt(Arc::clone(&self.delivering), Arc::clone(&self.turn), send);
        Ok(Sending { sent, answer: Box::pin(answer) })
    }

    /// Waits for the answer to a send. If it is long in coming and the request may be sent once
    /// more, that is done beside it, and the answer that comes first is taken: an upstream that is
    /// silent may be lost, but may as well be about to answer.
    async fn answer_to(
        &mut self,
        mut first: Sending,
        resume_after: Option<&str>,
    ) -> Result<Attempt, FailedSend> {
        if !self.course.allows_hedge() {
            return first.ended().await;
        }
        if let Some(ended) = first.ended_within(self.patience()).await {
            return ended;
        }
        let Some(second) = self.send_beside(resume_after) else { return first.ended().await };
        let (ended, mut other) = race(first, second).await;
        match ended {
            Ok(attempt) => {
                // Of a later send it says nothing that an earlier one was answered before it.
                let is_later = other.sent.number > attempt.sent.number;
                let end = if is_later { SendOutcome::Superseded } else { SendOutcome::TimedOut };
                self.note_end(&other.sent, end);
                Ok(attempt)
            }
            Err(failed) => {
                self.note_end(&failed.sent, failed.ended.end);
                other.ended().await
            }
        }
    }

    /// How long a send may be silent before another is made beside it.
    fn patience(&self) -> Duration {
        /// The part of the route's target: what is left of it must do for the other's answer.
        const SHARE_OF_TARGET: f64 = 0.7;
        self.turn.route.target.mul_f64(SHARE_OF_TARGET)
    }

    /// A send beside one that is silent; `None` if it cannot be made.
    fn send_beside(&mut self, resume_after: Option<&str>) -> Option<Sending> {
        if !self.takes_second_send() {
            return None;
        }
        self.send(resume_after, false).ok()
    }

    /// Begins a send as far as it is suspected; `Err` if it must not be sent.
    fn watch(&mut self) -> Result<Option<Arc<WatchedSend>>, GivenUp> {
        let Some(digest) = self.delivering.suspect(&self.turn) else { return Ok(None) };
        match self.delivering.quarantine.begin(digest) {
            Ok(watched) => Ok(watched.map(Arc::new)),
            Err(kept) => {
                self.line.same_as(digest);
                Err(self.not_now(kept.code, kept.retry_after))
            }
        }
    }

    fn choose(&self, may_try: bool) -> Result<Chosen, GivenUp> {
        if !self.turn.is_allowed(&self.delivering.rules) {
            return Err(GivenUp::Code(self.unless_uncertain(ResultCode::ViewNotFresh)));
        }
        let rules = self.delivering.rules.current();
        let question = PlacementQuestion {
            pool: &self.turn.pool,
            rule: rules.as_ref().and_then(|current| current.rules.pools.get(&self.turn.pool)),
            prompt: self.turn.call.prompt.as_ref(),
            regions: self.turn.regions(),
            tried: &self.tried,
            may_try,
            tie_breaker: self.turn.tie_breaker,
        };
        self.delivering.upstreams.choose(&question).ok_or_else(|| self.untaken())
    }

    /// Why there is no answer, in time, if no upstream takes the request or it may not be sent again.
    fn untaken(&self) -> GivenUp {
        match self.delivering.all_rest_for(&self.turn) {
            Some(rest) => self.not_now(ResultCode::AllUpstreamsRest, rest),
            None => GivenUp::Code(self.course.final_code(false)),
        }
    }

    /// That the request is to come back later, unless it may have run.
    fn not_now(&self, code: ResultCode, retry_after: Duration) -> GivenUp {
        match self.course.ran() {
            bendhinge_codes::Ran::No => GivenUp::NotNow { code, retry_after },
            _ => GivenUp::Code(self.course.final_code(false)),
        }
    }

    /// A code that says "not run" may only be used while no attempt may have run.
    fn unless_uncertain(&self, code: ResultCode) -> ResultCode {
        if self.course.ran() == bendhinge_codes::Ran::No { code } else { self.course.final_code(false) }
    }

    /// Notes how a send ended, for the request and for what is known of its upstream; `false` if no
    /// other may follow.
    fn note_end(&mut self, sent: &Sent, end: SendOutcome) -> bool {
        let Delivering { upstreams, metrics, log, .. } = &*self.delivering;
        let Sent { number, upstream, at, .. } = sent;
        self.line.send_ended(*number, end);
        metrics.send_ended(end);
        match end {
            SendOutcome::Rejected if self.is_paced => {
                let upstreams = upstreams.working_in(&self.turn.pool);
                self.delivering.pacing.turned_away(&self.turn.pool, upstream.hash, upstreams);
            }
            SendOutcome::Failed => {
                self.note_answer();
                self.note_whole_answer();
            }
            SendOutcome::Lost => {
                self.line.same_as(self.turn.digest(&self.delivering.identities));
                look_into(&self.delivering, &self.turn, sent.clone());
            }
            _ => {}
        }
        if upstream_failure(end).is_some_and(|failure| upstreams.failed(upstream.hash, failure, *at)) {
            log.upstream_rests(&upstream.name, end);
        }
        self.course.record_outcome(end)
    }

    /// Notes, for the pace towards the pool, that an upstream answered.
    fn note_answer(&self) {
        if !self.is_paced {
            return;
        }
        let Turn { pool, began, route, .. } = &*self.turn;
        self.delivering.pacing.answered(pool, *began, route.target);
    }

    /// Notes that an upstream answered the request to the end, and so did not crash under it.
    fn note_whole_answer(&self) {
        if let Some(digest) = self.delivering.suspect(&self.turn) {
            self.delivering.quarantine.answered(digest);
        }
    }

    /// Notes how a send ended; `Err` if it was the last.
    fn after(&mut self, failed: FailedSend) -> Result<(), GivenUp> {
        let FailedSend { sent, ended: Ended { end, failure } } = failed;
        let may_go_on = self.note_end(&sent, end);
        let time_is_over = self.turn.time_left().is_zero();
        let affordable = || !self.course.needs_retry_budget() || self.takes_second_send();
        if may_go_on && !time_is_over && affordable() {
            return Ok(());
        }
        Err(match failure {
            Some(failure) if !promises_not_run(failure.head.status) => GivenUp::Failure(failure),
            _ if time_is_over => GivenUp::Code(self.course.final_code(true)),
            _ => self.untaken(),
        })
    }

    /// Takes one further send of this gateway's share; `false` if there is none left.
    fn takes_second_send(&self) -> bool {
        self.delivering.retries.second(&self.turn.pool)
    }

    fn pass_failure(&mut self, failure: FailureAnswer) -> Response<Body> {
        let FailureAnswer { mut head, body } = failure;
        self.line.ended(&self.delivering.log, head.status.as_u16(), None, &self.course);
        headers::to_caller(&mut head.headers);
        Response::from_parts(head, full_body(body))
    }

    fn pass_back(mut self, attempt: Attempt, in_progress: InProgress) -> Response<Body> {
        let Attempt { sent, chosen, mut head, body } = attempt;
        let upstream_headers = head.headers.clone();
        headers::to_caller(&mut head.headers);
        match body {
            AttemptBody::Whole(bytes) => {
                self.note_whole_answer();
                self.line.ended(&self.delivering.log, head.status.as_u16(), None, &self.course);
                Response::from_parts(head, full_body(bytes))
            }
            AttemptBody::Stream(body, connection) => {
                let source = Source { sent, _chosen: chosen, headers: upstream_headers, body, connection };
                Response::from_parts(head, relayed(Relay::new(self, source, in_progress)))
            }
        }
    }
}

/// What the end of a send says about the upstream.
const fn upstream_failure(end: SendOutcome) -> Option<UpstreamFailure> {
    match end {
        SendOutcome::NotConnected => Some(UpstreamFailure::NotConnected),
        SendOutcome::NotSent | SendOutcome::Superseded => None,
        SendOutcome::Rejected => Some(UpstreamFailure::Shed),
        SendOutcome::Replaced => Some(UpstreamFailure::Replaced),
        SendOutcome::Lost | SendOutcome::InvalidResponse => Some(UpstreamFailure::Lost),
        SendOutcome::TimedOut => Some(UpstreamFailure::Silent),
        SendOutcome::Failed => Some(UpstreamFailure::Failed),
    }
}
