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
    /// How long after its start the first in rank asks: the time in which it hears of the others.
    pub first: Duration,
    /// The same for a router that knows nobody: it more likely has not found the others yet.
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

    /// What to do at `now`, with `members` live routers known, of which this one is at `rank`.
    #[must_use]
    pub fn step(&self, members: usize, rank: usize, now: Instant) -> RelearnStep {
        let waited = now.since(self.started);
        if waited > self.limits.given_up {
            return RelearnStep::GiveUp;
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let first = if members <= 1 { self.limits.alone } else { self.limits.first };
        let turn = first.saturating_add(self.limits.step.saturating_mul(rank));
        if waited < turn { RelearnStep::Wait } else { RelearnStep::AskUpstreams }
    }
}
