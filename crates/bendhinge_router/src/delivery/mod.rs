//! The duty of delivery: attempts at upstreams until there is one answer, and passing it back
//! whole.

mod attempt;
mod end_mark;
mod once;
mod relay;

use std::sync::Arc;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::{AttemptEnd, NextStep, OnceOutcome, Repeatable, next_step};
use bendhinge_http::Body;
use bendhinge_ids::{ChatKey, CustomerName, RequestId, UpstreamName};
use bendhinge_timeline::EventKind;
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use opentelemetry::KeyValue;

pub(crate) use once::{answer_claim, answer_settle};

use self::attempt::{Attempt, AttemptFailure, Outgoing};
use self::once::{Claimed, OnceMark};
use crate::admission::{self, Admitted};
use crate::intake::answers;
use crate::membership::FleetPool;
use crate::node::Node;
use crate::placement;

/// How often a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Marking {
    /// As often as the retry budget allows.
    Repeatable,
    /// Again only if it surely did not run; its caller did not ask for more.
    SingleAttempt,
    /// At most once in the whole fleet, whatever its caller does.
    Once(OnceMark),
}

impl Marking {
    const fn repeatable(self) -> Repeatable {
        match self {
            Self::Repeatable => Repeatable::Yes,
            Self::SingleAttempt | Self::Once(_) => Repeatable::Never,
        }
    }

    /// A request that runs at most once, under `idempotency_key`.
    pub(crate) fn once(customer: &CustomerName, idempotency_key: &[u8], declared_first: bool) -> Self {
        let key = bendhinge_delivery::OnceKey::of(customer.as_str(), idempotency_key);
        Self::Once(OnceMark { key, declared_first })
    }
}

/// What a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TurnKind {
    /// A turn of a chat, answered whole.
    Whole,
    /// A turn of a chat, answered as a stream of events.
    Stream,
    /// A call of a plain service.
    Service,
}

/// One admitted request.
pub(crate) struct Turn {
    pub(crate) request: RequestId,
    pub(crate) pool: Arc<FleetPool>,
    pub(crate) chat: ChatKey,
    pub(crate) kind: TurnKind,
    pub(crate) marking: Marking,
    pub(crate) engine_priority: u8,
    /// The head as it goes upstream, but for what each attempt adds.
    pub(crate) head: Parts,
    pub(crate) body: Outgoing,
}

pub(crate) use attempt::{Outgoing as TurnBody, streamed};

/// Serves an admitted request to its final answer.
pub(crate) async fn deliver(node: &Arc<Node>, turn: Turn, admitted: Admitted) -> Response<Body> {
    let claimed = match once::claim(node, &turn).await {
        Ok(claimed) => claimed,
        Err(code) => return answers::failure(node, turn.request, code, None),
    };
    let mut delivery = Delivery { node, turn, claimed, tried: Vec::new(), certain: true };
    match delivery.run().await {
        Ok(attempt) => delivery.pass_back(attempt, admitted),
        Err(code) => delivery.give_up(code),
    }
}

struct Delivery<'a> {
    node: &'a Arc<Node>,
    turn: Turn,
    claimed: Claimed,
    tried: Vec<UpstreamName>,
    /// Whether no attempt so far may have run.
    certain: bool,
}

impl Delivery<'_> {
    async fn run(&mut self) -> Result<Attempt, ResultCode> {
        loop {
            let chosen =
                placement::choose(self.node, &self.turn.pool, self.turn.chat, self.turn.request, &self.tried)
                    .await
                    .map_err(|code| self.unless_uncertain(code))?;
            // Waiting for the permit or the claim may have been a freeze: what was believed
            // when they were asked for no longer holds.
            if !self.node.is_fresh() {
                return Err(self.unless_uncertain(ResultCode::ViewNotFresh));
            }
            let number = u32::try_from(self.tried.len() + 1).unwrap_or(u32::MAX);
            let upstream = chosen.target.name.clone();
            let started = EventKind::AttemptStarted { upstream: upstream.to_string(), number };
            self.node.note_request(self.turn.request, started);
            match attempt::attempt(self.node, &mut self.turn, chosen).await {
                Ok(attempt) => return Ok(attempt),
                Err(failure) => self.after(upstream, failure.end, &failure)?,
            }
        }
    }

    /// Notes a failed attempt; `Err` if it was the last.
    fn after(
        &mut self,
        upstream: UpstreamName,
        end: AttemptEnd,
        failure: &AttemptFailure,
    ) -> Result<(), ResultCode> {
        let name = format!("{end:?}");
        self.node.metrics.attempts_failed.add(1, &[KeyValue::new("end", name.clone())]);
        let ended = EventKind::AttemptEnded { upstream: upstream.to_string(), end: name };
        self.node.note_request(self.turn.request, ended);
        self.tried.push(upstream);
        self.certain &= end.definitely_not_run();
        let left = self.tried.len() < self.node.settings.limits.attempts.get() as usize;
        let may_retry =
            left && failure.body_is_whole && admission::may_retry(self.node, &self.turn.pool.name);
        match next_step(end, self.turn.marking.repeatable(), self.certain, may_retry) {
            NextStep::TryAnother => {
                self.node.metrics.retries.add(1, &[]);
                Ok(())
            }
            NextStep::Answer(code) => Err(code),
        }
    }

    /// A code that says "not run" may only be used while no attempt may have run.
    fn unless_uncertain(&self, code: ResultCode) -> ResultCode {
        if self.certain {
            return code;
        }
        match self.turn.marking.repeatable() {
            Repeatable::Yes => ResultCode::RepeatableLost,
            Repeatable::Never => ResultCode::UpstreamLost,
        }
    }

    fn give_up(&mut self, code: ResultCode) -> Response<Body> {
        let outcome = if self.certain { OnceOutcome::NotRun } else { OnceOutcome::Unknown };
        self.claimed.settle(outcome);
        answers::failure(self.node, self.turn.request, code, None)
    }

    fn pass_back(mut self, attempt: Attempt, admitted: Admitted) -> Response<Body> {
        self.claimed.settle(OnceOutcome::Ran);
        let upstream = attempt.target.name.to_string();
        let status = attempt.head.status;
        self.node.note_request(self.turn.request, EventKind::Answered { upstream, status: status.as_u16() });
        let is_stream = self.turn.kind == TurnKind::Stream && status == StatusCode::OK;
        relay::answer(self.node, self.turn.request, attempt, admitted, is_stream)
    }
}
