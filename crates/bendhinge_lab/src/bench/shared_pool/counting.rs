//! Routers that count the requests of upstreams, and the questions that others ask them.

use std::time::Duration;

use bendhinge_fleet::{PermitNumber, PermitRequest};
use bendhinge_placement::{PlainCandidate, PlainChoice, choose_plain};
use rand::Rng;

use super::Choice;
use super::model::{Event, Model, Request, instant, name};

/// A request has ended by then.
const PERMIT_LIFETIME: Duration = Duration::from_secs(4);

/// A question whether a request may be sent to an upstream.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Question {
    request: usize,
    upstream: usize,
    /// The number of requests at which it is refused.
    limit: u32,
}

/// The answer to a question.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Verdict {
    /// With the number of other requests at the upstream.
    Counted(Counted, u32),
    Refused(u32),
}

/// A send that is counted.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Counted {
    pub(super) upstream: usize,
    pub(super) permit: PermitNumber,
}

impl Model {
    /// Asks for one of the upstreams `left`; returns `false` if there is none.
    pub(super) fn ask(&mut self, request: usize, left: &[usize]) -> bool {
        let question = match self.choice {
            // The router that counts chooses.
            Choice::PoolCounter => left.first().map(|upstream| (*upstream, u32::MAX)),
            _ => self.choose_to_ask(request, left),
        };
        let Some((upstream, limit)) = question else { return false };
        self.questions += 1;
        let after = self.latency(self.requests[request].router, self.counter(upstream));
        self.after(after, Event::Asked(Question { request, upstream, limit }));
        true
    }

    fn choose_to_ask(&mut self, request: usize, left: &[usize]) -> Option<(usize, u32)> {
        let draw = self.random().random();
        let Request { router, ref refused, .. } = self.requests[request];
        let candidate = |upstream: &usize| {
            let mut candidate = self.candidate(router, *upstream);
            if let Some((_, in_progress)) = refused.iter().find(|refused| refused.0 == *upstream) {
                candidate.is_at_limit = true;
                candidate.in_progress = *in_progress as f32;
            }
            candidate
        };
        let candidates: Vec<PlainCandidate> = left.iter().map(candidate).collect();
        let PlainChoice { candidate, limit } = choose_plain(&candidates, draw)?;
        Some((left[candidate], limit))
    }

    /// Decides a question at the router that counts.
    pub(super) fn decide(&mut self, mut question: Question) {
        if self.choice == Choice::PoolCounter {
            let left = self.left_upstreams(question.request);
            let load = |upstream: &usize| self.permits.in_progress(name(*upstream), instant(self.now));
            question.upstream = left.into_iter().min_by_key(load).unwrap_or(question.upstream);
        }
        let Question { request, upstream, limit } = question;
        let permit = PermitRequest { upstream: name(upstream), limit, lifetime: PERMIT_LIFETIME };
        let decision = self.permits.issue(permit, instant(self.now));
        let verdict = match decision.permit {
            Some(permit) => Verdict::Counted(Counted { upstream, permit }, decision.in_progress),
            None => Verdict::Refused(decision.in_progress),
        };
        let after = self.latency(self.requests[request].router, self.counter(upstream));
        self.after(after, Event::Answered(question, verdict));
    }

    pub(super) fn answered(&mut self, question: Question, verdict: Verdict) {
        let Question { request, upstream, .. } = question;
        let in_progress = match verdict {
            Verdict::Counted(_, in_progress) | Verdict::Refused(in_progress) => in_progress,
        };
        let Request { router, .. } = self.requests[request];
        self.routers[router].times.record_exact_count(name(upstream), in_progress, instant(self.now));
        match verdict {
            Verdict::Counted(counted, _) => self.send_to(request, upstream, Some(counted)),
            Verdict::Refused(_) => {
                self.requests[request].refused.push((upstream, in_progress));
                self.send(request);
            }
        }
    }

    /// Reports the end of a send to the router that counts it.
    pub(super) fn uncount(&mut self, router: usize, counted: Option<Counted>) {
        let Some(counted) = counted else { return };
        let after = self.latency(router, self.counter(counted.upstream));
        self.after(after, Event::Uncounted(counted));
    }

    /// Returns the router that counts the requests of an upstream. It is in the same data centre.
    fn counter(&self, upstream: usize) -> usize {
        if self.choice == Choice::PoolCounter { 0 } else { upstream }
    }
}
