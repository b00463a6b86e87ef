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
pub struct CacheRecoveryTimings {
    /// How long after its start the first in rank asks at the earliest.
    pub initial_delay: Duration,
    /// How much later for each upstream that there is: the more there are to be asked, the surer
    /// it should be of being the first, and so the more of the others it should have heard of.
    pub per_upstream_delay: Duration,
    /// How much later a router that knows nobody: it more likely has not found the others yet.
    pub isolated_delay: Duration,
    /// How much later than the one before it each further router in rank asks.
    pub rank_step: Duration,
    /// When nobody needs to ask any more: requests have taught enough.
    pub timeout: Duration,
}

/// What a router without knowledge does now, beside asking the other routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheRecoveryStep {
    /// It waits.
    Wait,
    /// It asks the upstreams.
    QueryUpstreams,
    /// It goes on without.
    GiveUp,
}

/// What a router that has just started sees of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// Live routers that it knows, itself among them.
    pub live_routers: usize,
    /// Its own place among them; 0 is the first.
    pub rank: usize,
    /// Upstreams that there are.
    pub upstream_count: usize,
}

/// One router's waiting for its turn.
#[derive(Debug)]
pub struct CacheRecovery {
    timings: CacheRecoveryTimings,
    started_at: Instant,
}

impl CacheRecovery {
    /// A router that started at `now`.
    #[must_use]
    pub const fn new(timings: CacheRecoveryTimings, now: Instant) -> Self {
        Self { timings, started_at: now }
    }

    /// What to do at `now`.
    #[must_use]
    pub fn next_step(&self, view: FleetView, now: Instant) -> CacheRecoveryStep {
        let elapsed = now.since(self.started_at);
        if elapsed > self.timings.timeout {
            return CacheRecoveryStep::GiveUp;
        }
        if elapsed < self.query_delay(view) {
            CacheRecoveryStep::Wait
        } else {
            CacheRecoveryStep::QueryUpstreams
        }
    }

    /// How long after its start it is the router's turn.
    fn query_delay(&self, view: FleetView) -> Duration {
        let multiply =
            |unit: Duration, count: usize| unit.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX));
        let isolated_delay =
            if view.live_routers <= 1 { self.timings.isolated_delay } else { Duration::ZERO };
        let initial_delay =
            self.timings.initial_delay + multiply(self.timings.per_upstream_delay, view.upstream_count);
        initial_delay
            .saturating_add(isolated_delay)
            .saturating_add(multiply(self.timings.rank_step, view.rank))
    }
}
