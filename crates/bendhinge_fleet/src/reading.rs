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
pub struct ReadingLimits {
    /// The age at which the first in rank reads.
    pub first: Duration,
    /// How much later the next in rank does.
    pub step: Duration,
    /// The age at which every router reads.
    pub last: Duration,
    /// How long after a failed read a router waits whose belief others keep fresh.
    pub retry: Duration,
    /// How long the first in rank wait when nobody does; the others wait longer, the later the
    /// longer: a store that is down is not asked by all.
    pub urgent_retry: Duration,
}

/// How many routers in rank wait equally long after a read that gave nothing.
const EAGER: usize = 4;

/// For so many groups of [`EAGER`] routers the pause grows evenly, from then on with the square of the
/// group's number. So a fleet of any size makes at most 40 calls a second to a store that gives nothing:
/// 28 of the even groups, and 12 of all others. Were the pause to end at [`ReadingLimits::retry`], 295
/// routers would make some 170.
const EVEN_GROUPS: u32 = 4;

/// How long a router that holds no list waits before it reads a long one by itself: within two exchanges it hears of
/// most others, and knows its rank.
const SETTLING: Duration = Duration::from_millis(600);

/// The longest such pause. It is for those whom others tell that the store is back: a router that
/// reaches nobody has the first rank as soon as it counts the others as dead, and that rank's pause.
const LONGEST_URGENT_PAUSE: Duration = Duration::from_secs(30);

/// The shortest pause after a read that found the store empty. Nobody can be served before it holds
/// something, and a fleet that has just started needs about as long to know its ranks: before that, each of
/// its routers takes itself for one of the first.
const EMPTY_PAUSE: Duration = Duration::from_secs(1);

/// One router's plan.
#[derive(Debug)]
pub struct ReadingPlan {
    limits: ReadingLimits,
    failed_at: Option<Instant>,
    answered_at: Option<Instant>,
}

impl ReadingPlan {
    /// A plan before any read.
    #[must_use]
    pub const fn new(limits: ReadingLimits) -> Self {
        Self { limits, failed_at: None, answered_at: None }
    }

    /// Whether the last read failed.
    #[must_use]
    pub const fn is_failing(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Notes a read that gave an answer, which may have held nothing yet.
    pub const fn succeeded(&mut self, now: Instant) {
        self.failed_at = None;
        self.answered_at = Some(now);
    }

    /// Notes a read without an answer.
    pub const fn failed(&mut self, now: Instant) {
        self.failed_at = Some(now);
    }

    /// The age of the belief at which a router of `rank` reads, to whom a read takes `cost`.
    #[must_use]
    pub fn patience(&self, rank: usize, cost: Duration) -> Duration {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let first = self.limits.first.saturating_add(cost);
        first.saturating_add(self.limits.step.saturating_mul(rank)).min(self.last(cost))
    }

    /// The age at which every router reads. What takes long to read is that old when it is there, and
    /// as old again before the next read is through: nobody else is to read for that alone.
    #[must_use]
    pub const fn last(&self, cost: Duration) -> Duration {
        self.limits.last.saturating_add(cost.saturating_mul(2))
    }

    /// How long a router of `rank` waits before it reads a list of many pages to its end, which others may tell it
    /// meanwhile. The store hands all such lists out through one link: were hundreds of routers to read one of thousands
    /// of upstreams at the same time, all would wait for seconds, and the first would have it as late as the last.
    #[must_use]
    pub fn turn(&self, rank: usize, holds_list: bool) -> Duration {
        let settling = if holds_list { Duration::ZERO } else { SETTLING };
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        settling.saturating_add(self.limits.step.saturating_mul(rank))
    }

    /// How long a router of `rank` waits after a read that gave nothing while nobody has news.
    fn urgent_pause(&self, rank: usize) -> Duration {
        let group = u32::try_from(1 + rank / EAGER).unwrap_or(u32::MAX);
        let steps = if group <= EVEN_GROUPS { group } else { group.saturating_mul(group) / EVEN_GROUPS };
        self.limits.urgent_retry.saturating_mul(steps).min(LONGEST_URGENT_PAUSE)
    }

    /// How long until the router should read: zero if it is due. `age` is that of its oldest
    /// belief, `None` if it believes nothing yet; a read takes `cost`.
    #[must_use]
    pub fn wait(&self, age: Option<Duration>, rank: usize, cost: Duration, now: Instant) -> Duration {
        let until_due = match age {
            None => self.answered_at.map_or(Duration::ZERO, |at| {
                let pause = self.urgent_pause(rank).max(EMPTY_PAUSE);
                pause.saturating_sub(now.since(at))
            }),
            Some(age) => self.patience(rank, cost).saturating_sub(age),
        };
        let Some(failed_at) = self.failed_at else { return until_due };
        let paused = now.since(failed_at);
        let until_last = age.map_or(Duration::ZERO, |age| self.last(cost).saturating_sub(age));
        let pause = if until_last.is_zero() {
            self.urgent_pause(rank).saturating_sub(paused)
        } else {
            // Others are heard, but by the age at which all read nobody counts on that any more.
            self.limits.retry.saturating_sub(paused).min(until_last)
        };
        until_due.max(pause)
    }
}
