//! The duty of delivery: sends until there is one answer, and passing it back whole.

mod attempt;
mod relay;

use std::sync::Arc;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::{Course, SendEnd};
use bendhinge_fleet::{Mishap, UpstreamEntry};
use bendhinge_http::{Body, Pool, Tasks, full_body};
use bendhinge_ids::{Instant, NameHash, PoolName};
use bendhinge_routes::{Customer, Route};
use bytes::Bytes;
use hyper::Response;
use hyper::http::request;

use self::attempt::{Attempt, AttemptBody, Ended, FailureAnswer, SendTimes, attempt, promises_not_run};
use self::relay::{Relay, relayed};
use crate::dialect::{CallFields, Dialect};
use crate::intake::Refused;
use crate::intake::headers;
use crate::knowledge::{Chosen, PlacementQuestion, RulesKeeper, UpstreamView};
use crate::lifecycle::InProgress;
use crate::log::{Log, RequestLine};
use crate::metrics::Metrics;
use crate::retries::Retries;

/// What delivery needs of the other duties.
pub(crate) struct Delivering {
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) rules: Arc<RulesKeeper>,
    pub(crate) upstreams: Arc<UpstreamView>,
    pub(crate) retries: Retries,
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
}

impl Turn {
    /// Whether its key is still held by its customer, by rules that may be acted on.
    pub(crate) fn is_allowed(&self, rules: &RulesKeeper) -> bool {
        let (Some(key), Some(customer)) = (&self.call.key, &self.customer) else { return true };
        if !rules.may_be_acted_on() {
            return false;
        }
        let Some(current) = rules.current() else { return false };
        current.rules.customers.holder(key).is_some_and(|holder| holder.name == customer.name)
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
    delivering.retries.first(&turn.pool);
    delivering.metrics.request();
    let course = Course::new(bendhinge_delivery::CourseRules {
        repeatable: turn.route.kind.is_repeatable(),
        attempts: turn.route.attempts,
    });
    let line = RequestLine::new(&turn);
    let mut delivery = Delivery { delivering: Arc::clone(delivering), turn, course, tried: Vec::new(), line };
    let resume_after = delivery.turn.call.resume_after.clone();
    match delivery.next_answer(resume_after.as_deref()).await {
        Ok(attempt) => Ok(delivery.pass_back(attempt, in_progress)),
        Err(GivenUp::Failure(failure)) => Ok(delivery.pass_failure(*failure)),
        Err(GivenUp::Code(code)) => {
            delivery.line.ended(&delivering.log, code.http_status(), Some(code), &delivery.course);
            Err(Refused { code, was_sent: true })
        }
    }
}

/// Why there is no answer to pass on.
enum GivenUp {
    /// The upstream answered that it failed.
    Failure(Box<FailureAnswer>),
    Code(ResultCode),
}

/// One request on its way.
struct Delivery {
    delivering: Arc<Delivering>,
    turn: Turn,
    course: Course,
    tried: Vec<NameHash>,
    line: RequestLine,
}

impl Delivery {
    /// Sends until an upstream's answer can be passed on.
    async fn next_answer(&mut self, resume_after: Option<&str>) -> Result<Attempt, GivenUp> {
        loop {
            let times = self.send_times()?;
            let chosen = self.choose()?;
            self.line.sent(&chosen);
            let upstream = chosen.entry.hash;
            match attempt(&self.delivering, &self.turn, chosen, &times, resume_after).await {
                Ok(attempt) => {
                    self.delivering.upstreams.answered(upstream);
                    self.delivering.metrics.first_byte(bendhinge_clock::now().since(self.turn.began));
                    return Ok(attempt);
                }
                Err((chosen, ended)) => self.after(&chosen, ended)?,
            }
        }
    }

    fn choose(&self) -> Result<Chosen, GivenUp> {
        if !self.turn.is_allowed(&self.delivering.rules) {
            return Err(GivenUp::Code(self.unless_uncertain(ResultCode::ViewNotFresh)));
        }
        let rules = self.delivering.rules.current();
        let question = PlacementQuestion {
            pool: &self.turn.pool,
            rule: rules.as_ref().and_then(|current| current.rules.pools.get(&self.turn.pool)),
            prompt: self.turn.call.prompt.as_ref(),
            tried: &self.tried,
            may_try: self.course.has_spare_run(),
            tie_breaker: self.turn.tie_breaker,
        };
        let chosen = self.delivering.upstreams.choose(&question);
        chosen.ok_or_else(|| GivenUp::Code(self.course.final_code(false)))
    }

    /// A code that says "not run" may only be used while no attempt may have run.
    fn unless_uncertain(&self, code: ResultCode) -> ResultCode {
        if self.course.ran() == bendhinge_codes::Ran::No { code } else { self.course.final_code(false) }
    }

    /// How long the next send may take; one that can be followed by another is not waited for
    /// until nothing is left of the time in which an answer is worth most.
    fn send_times(&self) -> Result<SendTimes, GivenUp> {
        /// The part of the route's target that a send gets which another can follow.
        const FIRST_SHARE: f64 = 0.7;
        let left = self.turn.time_left();
        if left.is_zero() {
            return Err(GivenUp::Code(self.course.final_code(true)));
        }
        if !self.course.has_spare_run() {
            return Ok(SendTimes { head: left, left });
        }
        Ok(SendTimes { head: left.min(self.turn.route.target.mul_f64(FIRST_SHARE)), left })
    }

    /// Notes how a send ended, for the request and for what is known of its upstream; `false` if no
    /// other may follow.
    fn note_end(&mut self, upstream: &UpstreamEntry, end: SendEnd) -> bool {
        let Delivering { upstreams, metrics, log, .. } = &*self.delivering;
        self.line.send_ended(end);
        metrics.send_ended(end);
        if mishap(end).is_some_and(|mishap| upstreams.failed(upstream.hash, mishap)) {
            log.upstream_rests(&upstream.name, end);
        }
        self.tried.push(upstream.hash);
        self.course.ended(end)
    }

    /// Notes how a send ended; `Err` if it was the last.
    fn after(&mut self, chosen: &Chosen, ended: Ended) -> Result<(), GivenUp> {
        let Ended { end, failure } = ended;
        let may_go_on = self.note_end(&chosen.entry, end);
        let time_is_over = self.turn.time_left().is_zero();
        let affordable = || !self.course.needs_budget() || self.takes_second_send();
        if may_go_on && !time_is_over && affordable() {
            return Ok(());
        }
        Err(match failure {
            Some(failure) if !promises_not_run(failure.head.status) => GivenUp::Failure(failure),
            _ => GivenUp::Code(self.course.final_code(time_is_over)),
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
        let Attempt { chosen, mut head, body } = attempt;
        let upstream_headers = head.headers.clone();
        headers::to_caller(&mut head.headers);
        match body {
            AttemptBody::Whole(bytes) => {
                self.line.ended(&self.delivering.log, head.status.as_u16(), None, &self.course);
                Response::from_parts(head, full_body(bytes))
            }
            AttemptBody::Stream(body, connection) => {
                let relay = Relay::new(self, chosen, upstream_headers, body, connection, in_progress);
                Response::from_parts(head, relayed(relay))
            }
        }
    }
}

/// What the end of a send says about the upstream.
const fn mishap(end: SendEnd) -> Option<Mishap> {
    match end {
        SendEnd::NotConnected => Some(Mishap::NotConnected),
        SendEnd::NotSent => None,
        SendEnd::Rejected => Some(Mishap::Shed),
        SendEnd::Replaced => Some(Mishap::Replaced),
        SendEnd::Lost | SendEnd::Spoilt => Some(Mishap::Lost),
        SendEnd::Silent => Some(Mishap::Silent),
        SendEnd::Failed => Some(Mishap::Failed),
    }
}
