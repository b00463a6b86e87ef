//! Schedules this router's reads of the platform's store.
//!
//! There is no elected leader. A router reads when its replica exceeds an age that grows with the
//! router's rank among the live ones. The first in rank therefore reads most often and the others
//! receive the value from it. If it fails, the next in rank reads shortly after.

use std::time::Duration;

use bendhinge_ids::Instant;

/// Timings of store reads.
#[derive(Clone, Copy, Debug)]
pub struct StoreReadTimings {
    /// Replica age at which the router of the first rank reads.
    pub first_rank_age: Duration,
    /// Additional age for each further rank.
    pub rank_step: Duration,
    /// Replica age at which every router reads.
    pub max_age: Duration,
    /// Delay after a failed read while peers keep the replica fresh.
    pub retry_delay: Duration,
    /// Delay after a failed read for the first ranks when no peer has a fresh value. Later ranks wait
    /// longer, so that a store that is down is not flooded with requests.
    pub urgent_retry_delay: Duration,
}

/// Number of consecutive ranks that share one urgent retry delay.
const RANKS_PER_GROUP: usize = 4;

/// Number of rank groups over which the urgent retry delay grows linearly. For later groups it grows
/// quadratically, which bounds the request rate of fleets of any size to 40 per second: 28 from the linear groups and
/// 12 from all others. With linear growth up to a maximum delay, 295 routers would make some 170.
const LINEAR_GROUPS: u32 = 4;

/// Time for a router without a list to discover the other members and determine its rank.
const RANK_SETTLE_TIME: Duration = Duration::from_millis(600);

/// Upper bound of the urgent retry delay. A router that reaches no other one takes the first rank and
/// its shorter delay.
const MAX_URGENT_DELAY: Duration = Duration::from_secs(30);

/// Minimum delay after a read that found the store empty. It gives routers that have just started time
/// to determine their ranks.
const EMPTY_STORE_DELAY: Duration = Duration::from_secs(1);

/// Read schedule of one router.
#[derive(Debug)]
pub struct StoreReadSchedule {
    timings: StoreReadTimings,
    failed_at: Option<Instant>,
    answered_at: Option<Instant>,
}

impl StoreReadSchedule {
    /// Creates a schedule without any past read.
    #[must_use]
    pub const fn new(timings: StoreReadTimings) -> Self {
        Self { timings, failed_at: None, answered_at: None }
    }

    /// Returns whether the last read failed.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Records a read that succeeded, even if the store was empty.
    pub const fn record_success(&mut self, now: Instant) {
        self.failed_at = None;
        self.answered_at = Some(now);
    }

    /// Records a read that failed.
    pub const fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// Returns the replica age at which a router of `rank` reads, given that a read takes `cost`.
    #[must_use]
    pub fn read_age(&self, rank: usize, cost: Duration) -> Duration {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let first = self.timings.first_rank_age.saturating_add(cost);
        first.saturating_add(self.timings.rank_step.saturating_mul(rank)).min(self.max_read_age(cost))
    }

    /// Returns the replica age at which every router reads, given that a read takes `cost`.
    ///
    /// A value is already `cost` old when a read completes and ages as much again during the next one.
    /// This alone must not trigger reads by other routers.
    #[must_use]
    pub const fn max_read_age(&self, cost: Duration) -> Duration {
        self.timings.max_age.saturating_add(cost.saturating_mul(2))
    }

    /// Returns how long a router of `rank` waits before it reads all pages of a long list.
    ///
    /// Reading in rank order keeps the routers of a fleet from sharing the store's bandwidth. Most of
    /// them receive the list from a peer before their delay has passed.
    #[must_use]
    pub fn full_list_delay(&self, rank: usize, holds_list: bool) -> Duration {
        let settle_time = if holds_list { Duration::ZERO } else { RANK_SETTLE_TIME };
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        settle_time.saturating_add(self.timings.rank_step.saturating_mul(rank))
    }

    /// Returns the delay of `rank` after a failed or empty read while no peer has a fresh value.
    fn urgent_delay(&self, rank: usize) -> Duration {
        let group = u32::try_from(1 + rank / RANKS_PER_GROUP).unwrap_or(u32::MAX);
        let multiplier =
            if group <= LINEAR_GROUPS { group } else { group.saturating_mul(group) / LINEAR_GROUPS };
        self.timings.urgent_retry_delay.saturating_mul(multiplier).min(MAX_URGENT_DELAY)
    }

    /// Returns the time until the next read, or zero if it is due. `age` is the age of the oldest
    /// replica, or `None` if there is none; a read takes `cost`.
    #[must_use]
    pub fn time_until_read(
        &self,
        age: Option<Duration>,
        rank: usize,
        cost: Duration,
        now: Instant,
    ) -> Duration {
        let until_due = match age {
            None => self.answered_at.map_or(Duration::ZERO, |at| {
                let delay = self.urgent_delay(rank).max(EMPTY_STORE_DELAY);
                delay.saturating_sub(now.since(at))
            }),
            Some(age) => self.read_age(rank, cost).saturating_sub(age),
        };
        let Some(failed_at) = self.failed_at else { return until_due };
        let elapsed = now.since(failed_at);
        let until_max_age = age.map_or(Duration::ZERO, |age| self.max_read_age(cost).saturating_sub(age));
        let delay = if until_max_age.is_zero() {
            self.urgent_delay(rank).saturating_sub(elapsed)
        } else {
            // Peers may still have a fresh value, but at the maximum age a router no longer relies on
            // it.
            self.timings.retry_delay.saturating_sub(elapsed).min(until_max_age)
        };
        until_due.max(delay)
    }
}
