//! When a router reads the platform's store itself.
//!
//! Nobody is appointed. Each router lets its belief grow to an age that depends on its rank
//! among the live routers, and reads when the belief is older: the first in rank reads most, the
//! others hear from it and stay silent, and when it dies, is cut off or is turned away, the next
//! one's patience ends a little later.

use std::time::Duration;

use bendhinge_ids::Instant;

/// The times that reading depends on.
#[derive(Clone, Copy, Debug)]
pub struct StoreReadTimings {
    /// The age at which the first in rank reads.
    pub first_rank_age: Duration,
    /// How much later the next in rank does.
    pub rank_step: Duration,
    /// The age at which every router reads.
    pub max_age: Duration,
    /// How long after a failed read a router waits whose belief others keep fresh.
    pub retry_delay: Duration,
    /// How long the first in rank wait when nobody does; the others wait longer, the later the
    /// longer: a store that is down is not asked by all.
    pub urgent_retry_delay: Duration,
}

/// How many routers in rank wait equally long after a read that gave nothing.
const RANKS_PER_GROUP: usize = 4;

/// For so many groups of [`RANKS_PER_GROUP`] routers the pause grows evenly, from then on with the square of the
/// group's number. So a fleet of any size makes at most 40 calls a second to a store that gives nothing:
/// 28 of the even groups, and 12 of all others. Were the pause to end at [`StoreReadTimings::retry_delay`], 295
/// routers would make some 170.
const LINEAR_GROUPS: u32 = 4;

/// How long a router that holds no list waits before it reads a long one by itself: within two exchanges it hears of
/// most others, and knows its rank.
const RANK_SETTLE_TIME: Duration = Duration::from_millis(600);

/// The longest such pause. It is for those whom others tell that the store is back: a router that
/// reaches nobody has the first rank as soon as it counts the others as dead, and that rank's pause.
const MAX_URGENT_DELAY: Duration = Duration::from_secs(30);

/// The shortest pause after a read that found the store empty. Nobody can be served before it holds
/// something, and a fleet that has just started needs about as long to know its ranks: before that, each of
/// its routers takes itself for one of the first.
const EMPTY_STORE_DELAY: Duration = Duration::from_secs(1);

/// One router's plan.
#[derive(Debug)]
pub struct StoreReadSchedule {
    timings: StoreReadTimings,
    failed_at: Option<Instant>,
    answered_at: Option<Instant>,
}

impl StoreReadSchedule {
    /// A plan before any read.
    #[must_use]
    pub const fn new(timings: StoreReadTimings) -> Self {
        Self { timings, failed_at: None, answered_at: None }
    }

    /// Whether the last read failed.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Notes a read that gave an answer, which may have held nothing yet.
    pub const fn record_success(&mut self, now: Instant) {
        self.failed_at = None;
        self.answered_at = Some(now);
    }

    /// Notes a read without an answer.
    pub const fn record_failure(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// The age of the belief at which a router of `rank` reads, to whom a read takes `cost`.
    #[must_use]
    pub fn read_age(&self, rank: usize, cost: Duration) -> Duration {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let first = self.timings.first_rank_age.saturating_add(cost);
        first.saturating_add(self.timings.rank_step.saturating_mul(rank)).min(self.max_read_age(cost))
    }

    /// The age at which every router reads. What takes long to read is that old when it is there, and
    /// as old again before the next read is through: nobody else is to read for that alone.
    #[must_use]
    pub const fn max_read_age(&self, cost: Duration) -> Duration {
        self.timings.max_age.saturating_add(cost.saturating_mul(2))
    }

    /// How long a router of `rank` waits before it reads a list of many pages to its end, which others may tell it
    /// meanwhile. The store hands all such lists out through one link: were hundreds of routers to read one of thousands
    /// of upstreams at the same time, all would wait for seconds, and the first would have it as late as the last.
    #[must_use]
    pub fn full_list_delay(&self, rank: usize, holds_list: bool) -> Duration {
        let settle_time = if holds_list { Duration::ZERO } else { RANK_SETTLE_TIME };
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        settle_time.saturating_add(self.timings.rank_step.saturating_mul(rank))
    }

    /// How long a router of `rank` waits after a read that gave nothing while nobody has news.
    fn urgent_delay(&self, rank: usize) -> Duration {
        let group = u32::try_from(1 + rank / RANKS_PER_GROUP).unwrap_or(u32::MAX);
        let multiplier =
            if group <= LINEAR_GROUPS { group } else { group.saturating_mul(group) / LINEAR_GROUPS };
        self.timings.urgent_retry_delay.saturating_mul(multiplier).min(MAX_URGENT_DELAY)
    }

    /// How long until the router should read: zero if it is due. `age` is that of its oldest
    /// belief, `None` if it believes nothing yet; a read takes `cost`.
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
            // Others are heard, but by the age at which all read nobody counts on that any more.
            self.timings.retry_delay.saturating_sub(elapsed).min(until_max_age)
        };
        until_due.max(delay)
    }
}
