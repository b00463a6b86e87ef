//! Routers that count the requests of upstreams, and the questions that others ask them.

use bendhinge_placement::CostModel;

use super::Choice;
use super::model::{Event, Model, Request};
use crate::bench::whole;

/// A question whether a request may be sent to an upstream.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Question {
    request: usize,
    upstream: usize,
    /// The number of requests from which on it is refused.
    limit: usize,
}

/// The answer to a question.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Verdict {
    Counted,
    Refused,
}

impl Model {
    /// Asks for one of the upstreams `left`; returns `false` if there is none.
    pub(super) fn ask(&mut self, request: usize, left: &[usize]) -> bool {
        let Request { router, ref refused, .. } = self.requests[request];
        let open: Vec<usize> = left.iter().copied().filter(|upstream| !refused.contains(upstream)).collect();
        let question = match self.choice {
            Choice::PoolCounter => left.first().map(|first| (*first, usize::MAX)),
            _ if open.is_empty() => self.least_loaded(left).map(|upstream| (upstream, usize::MAX)),
            _ => {
                let limit = self.limit(router);
                self.choose(router, &open).map(|upstream| (upstream, limit))
            }
        };
        let Some((upstream, limit)) = question else { return false };
        self.questions += 1;
        let after = self.latency(router, self.counter(upstream));
        self.after(after, Event::Asked(Question { request, upstream, limit }));
        true
    }

    /// Decides a question at the router that counts.
    pub(super) fn decide(&mut self, mut question: Question) {
        if self.choice == Choice::PoolCounter {
            let left = self.left_upstreams(question.request);
            question.upstream = self.least_loaded(&left).unwrap_or(question.upstream);
        }
        let Question { request, upstream, limit } = question;
        let verdict = if self.counts[upstream] < limit { Verdict::Counted } else { Verdict::Refused };
        self.counts[upstream] += usize::from(verdict == Verdict::Counted);
        let after = self.latency(self.requests[request].router, self.counter(upstream));
        self.after(after, Event::Answered(question, verdict));
    }

    pub(super) fn answered(&mut self, question: Question, verdict: Verdict) {
        let Question { request, upstream, .. } = question;
        match verdict {
            Verdict::Counted => self.send_to(request, upstream),
            Verdict::Refused => {
                self.requests[request].refused.push(upstream);
                self.send(request);
            }
        }
    }

    /// Reports the end of a send to the router that counts it.
    pub(super) fn uncount(&mut self, router: usize, upstream: usize) {
        if matches!(self.choice, Choice::Counted | Choice::PoolCounter) {
            let after = self.latency(router, self.counter(upstream));
            self.after(after, Event::Uncounted(upstream));
        }
    }

    /// Returns the router that counts the requests of an upstream. It is in the same data centre.
    fn counter(&self, upstream: usize) -> usize {
        if self.choice == Choice::PoolCounter { 0 } else { upstream }
    }

    fn least_loaded(&self, upstreams: &[usize]) -> Option<usize> {
        upstreams.iter().copied().min_by_key(|upstream| self.counts[*upstream])
    }

    /// Returns the load limit by the totals that the router knows.
    fn limit(&self, router: usize) -> usize {
        let CostModel { load_bound_factor, load_bound_slack, .. } = CostModel::default();
        let upstreams = 0..self.load.upstreams;
        let total: f32 = upstreams.map(|upstream| self.candidate(router, upstream).in_progress).sum();
        let limit = load_bound_factor * total / self.load.upstreams as f32 + load_bound_slack;
        usize::try_from(whole(f64::from(limit.round()))).unwrap_or(usize::MAX)
    }
}
