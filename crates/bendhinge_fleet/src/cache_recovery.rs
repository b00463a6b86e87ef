//! Decides when a router that has just started queries the upstreams for their cached prompts.
//!
//! One router that queries them is enough, since the others receive the result from it. After a loss of
//! many boxes, however, all routers start at the same time and do not know each other yet. Each
//! therefore waits for a short discovery period and then for the delay of its rank.

use std::time::Duration;

use bendhinge_ids::Instant;

/// Timings of cache recovery.
#[derive(Clone, Copy, Debug)]
pub struct CacheRecoveryTimings {
    /// Delay of the first rank after its start.
    pub initial_delay: Duration,
    /// Additional delay for each upstream. The more upstreams are queried, the more members a router
    /// should have discovered before it takes the first rank.
    pub per_upstream_delay: Duration,
    /// Additional delay for a router that has not discovered any other one.
    pub isolated_delay: Duration,
    /// Additional delay for each further rank.
    pub rank_step: Duration,
    /// Time after which recovery is abandoned, since regular requests have supplied enough information.
    pub timeout: Duration,
}

/// Next action of a router that recovers, besides asking its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheRecoveryStep {
    /// Keep waiting.
    Wait,
    /// Query the upstreams.
    QueryUpstreams,
    /// Continue without recovery.
    GiveUp,
}

/// The fleet as seen by a router that has just started.
#[derive(Clone, Copy, Debug)]
pub struct FleetView {
    /// Number of known live routers, including this one.
    pub live_routers: usize,
    /// Rank of this router among them, starting at 0.
    pub rank: usize,
    /// Number of upstreams.
    pub upstream_count: usize,
}

/// Recovery state of one router.
#[derive(Debug)]
pub struct CacheRecovery {
    timings: CacheRecoveryTimings,
    started_at: Instant,
}

impl CacheRecovery {
    /// Creates the state of a router that starts at `now`.
    #[must_use]
    pub const fn new(timings: CacheRecoveryTimings, now: Instant) -> Self {
        Self { timings, started_at: now }
    }

    /// Returns the action to take at `now`.
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

    /// Returns the delay between the router's start and its query of the upstreams.
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
