//! When a router that has just started asks the upstreams themselves what they keep.
//!
//! One router that asks is enough: the others learn from it. But after a loss of many boxes at
//! once all start together, and a router that has not heard of the others yet takes itself for the
//! first. It waits for a moment after its own start, in which it hears of some, and then for its
//! turn. That a few ask in place of one costs little; each tenth of a second in which nobody knows
//! anything costs as much as hundreds of questions, in prompts read again.

use std::time::Duration;

use bendhinge_ids::Instant;

/// The times that relearning depends on.
#[derive(Clone, Copy, Debug)]
pub struct RelearnLimits {
    /// How long after its start the first in rank asks at the earliest.
    pub first: Duration,
    /// How much later for each upstream that there is: the more there are to be asked, the surer
    /// it should be of being the first, and so the more of the others it should have heard of.
    pub per_upstream: Duration,
    /// How much later a router that knows nobody: it more likely has not found the others yet.
    pub alone: Duration,
    /// How much later than the one before it each further router in rank asks.
    pub step: Duration,
    /// When nobody needs to ask any more: requests have taught enough.
    pub given_up: Duration,
}

/// What a router without knowledge does now, beside asking the other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelearnStep {
    /// It waits.
    Wait,
    /// It asks the upstreams.
    AskUpstreams,
    /// It goes on without.
    GiveUp,
}

/// What a router that has just started sees of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct RelearnView {
    /// Live routers that it knows, itself among them.
    pub members: usize,
    /// Its own place among them; 0 is the first.
    pub rank: usize,
    /// Upstreams that there are.
    pub upstreams: usize,
}

/// One router's waiting for its turn.
#[derive(Debug)]
pub struct Relearning {
    limits: RelearnLimits,
    started: Instant,
}

impl Relearning {
    /// A router that started at `now`.
    #[must_use]
    pub const fn new(limits: RelearnLimits, now: Instant) -> Self {
        Self { limits, started: now }
    }

    /// What to do at `now`.
    #[must_use]
    pub fn step(&self, seen: RelearnView, now: Instant) -> RelearnStep {
        let waited = now.since(self.started);
        if waited > self.limits.given_up {
            return RelearnStep::GiveUp;
        }
        if waited < self.turn(seen) { RelearnStep::Wait } else { RelearnStep::AskUpstreams }
    }

    /// How long after its start it is the router's turn.
    fn turn(&self, seen: RelearnView) -> Duration {
        let times =
            |span: Duration, count: usize| span.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX));
        let alone = if seen.members <= 1 { self.limits.alone } else { Duration::ZERO };
        let first = self.limits.first + times(self.limits.per_upstream, seen.upstreams);
        first.saturating_add(alone).saturating_add(times(self.limits.step, seen.rank))
    }
}
