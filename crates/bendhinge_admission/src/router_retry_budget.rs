//! One router's part of the retry budget that the whole fleet shares for a pool.
//!
//! The fleet's budget counts requests and retries within a window, and each router counts within the same window.
//! It can therefore spend at once all retries earned in the window, as needed when an upstream with many requests in
//! progress fails. A token bucket could not: its capacity would be only the router's part of the base retries.
//!
//! A router that restarts has forgotten what it spent. The budget of a restarted router therefore assumes for one window
//! that the previous process spent its whole budget just before, and uses only what the margins leave beside that.
//!
//! In a large fleet, the part of a router is often less than one retry. Rounding it up would exceed the budget of the
//! fleet, and rounding it down would allow no retries at all. Values below one are therefore rounded randomly, up with
//! a probability equal to the value.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{Instant, hash_to_fraction};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Retry budget of the whole fleet for one pool: within any `window`, `ratio` retries per request plus `base_retries`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryBudget {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed regardless of the number of requests.
    pub base_retries: f64,
    /// Window within which requests and retries are counted.
    pub window: Duration,
}

impl FleetRetryBudget {
    /// Fraction of the ratio that is used. The rest is for routers that have restarted, and covers routers whose
    /// requests are counted in different windows.
    const USED_RATIO_FRACTION: f64 = 0.8;
    /// Fraction of the base retries that is used. The margin covers routers that restart or do not know of each other.
    const USED_BASE_FRACTION: f64 = 0.5;

    /// Creates the budget of one router, which has `base_share` of the base retries and the random number `seed`.
    ///
    /// Each router earns retries with its own requests only, so the budgets of all routers add up to that of the fleet
    /// without coordination, whatever the distribution of requests.
    #[must_use]
    pub fn router_budget(self, base_share: f64, seed: u64) -> RouterRetryBudget {
        RouterRetryBudget {
            ratio: self.ratio * Self::USED_RATIO_FRACTION,
            base_share,
            restart: None,
            rounding: RandomRounding { seed, period: self.window * WINDOWS_PER_DRAW },
            bucket_duration: self.window / BUCKETS_PER_WINDOW,
            buckets: VecDeque::new(),
        }
    }

    /// Creates the budget of a router that started at `started_at` and may have spent a whole budget just before.
    #[must_use]
    pub fn restarted_router_budget(
        self,
        base_share: f64,
        seed: u64,
        started_at: Instant,
    ) -> RouterRetryBudget {
        let restart = Restart { at: started_at, window: self.window };
        RouterRetryBudget { restart: Some(restart), ..self.router_budget(base_share, seed) }
    }

    /// Returns the part of the base retries for one of `router_count` routers.
    #[must_use]
    pub fn base_share(self, router_count: usize) -> f64 {
        self.base_retries * Self::USED_BASE_FRACTION / router_count.max(1) as f64
    }
}

/// Whether a retry was taken from a router's budget, with the figures behind the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry may be made.
    pub is_allowed: bool,
    /// Retries within the window before this one.
    pub spent: u32,
    /// Retries that the router may make within the window, before rounding.
    pub budget: f64,
    /// The part of `budget` that does not depend on the number of requests.
    pub base: f64,
}

/// The start of a router that may have spent a budget just before.
#[derive(Clone, Copy, Debug)]
struct Restart {
    at: Instant,
    window: Duration,
}

impl Restart {
    /// Returns the fraction of the router's ratio that may be used at `now`. During the first window, this is what the
    /// previous process left unused of the fleet's ratio.
    fn ratio_fraction(self, now: Instant) -> f64 {
        const UNUSED_FRACTION: f64 =
            (1.0 - FleetRetryBudget::USED_RATIO_FRACTION) / FleetRetryBudget::USED_RATIO_FRACTION;
        if now.since(self.at) < self.window { UNUSED_FRACTION } else { 1.0 }
    }

    /// Returns the fraction of the base share that may be used at `now`. It grows with time, so that several restarts
    /// within a window use no more than one share together.
    fn base_fraction(self, now: Instant) -> f64 {
        now.since(self.at).div_duration_f64(self.window).min(1.0)
    }
}

/// Number of windows for which a random number stays valid. A router may spend two budgets in a window in which its
/// number changes; a longer validity reduces the fraction of routers that change theirs in the same window.
const WINDOWS_PER_DRAW: u32 = 6;

/// Random rounding of a router's budget, with a random number that changes every `period`.
#[derive(Clone, Copy, Debug)]
struct RandomRounding {
    seed: u64,
    period: Duration,
}

impl RandomRounding {
    /// Returns the random number in `[0, 1)` for the period of `now`; larger values are rounded up.
    fn draw(self, now: Instant) -> f64 {
        let period_micros = u64::try_from(self.period.as_micros()).unwrap_or(u64::MAX).max(1);
        let period_index = (now.0 + self.seed % period_micros) / period_micros;
        hash_to_fraction(xxh3_64_with_seed(&period_index.to_le_bytes(), self.seed))
    }
}

/// Number of buckets into which the window is divided.
const BUCKETS_PER_WINDOW: u32 = 20;
/// Number of retained buckets: a window, the one before, and one bucket that is partly in the window.
const RETAINED_BUCKETS: u32 = 2 * BUCKETS_PER_WINDOW + 1;
/// Number of buckets from which the current request rate is estimated.
const RECENT_BUCKETS: u32 = 5;

/// Requests and retries within one bucket of time.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    started_at: Instant,
    requests: u32,
    retries: u32,
}

/// Requests and retries that count for one window.
#[derive(Clone, Copy, Debug, Default)]
struct WindowUse {
    spent: u32,
    requests: f64,
}

/// Retry budget of one router, earned by its requests within the window.
#[derive(Clone, Debug)]
pub struct RouterRetryBudget {
    ratio: f64,
    base_share: f64,
    /// `None` if the router did not restart, so that what it spent is known.
    restart: Option<Restart>,
    rounding: RandomRounding,
    bucket_duration: Duration,
    /// Oldest first; buckets without requests or retries are absent.
    buckets: VecDeque<Bucket>,
}

impl RouterRetryBudget {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, now: Instant) {
        self.current_bucket(now).requests += 1;
    }

    /// Takes one retry from the budget; returns `false` if it is exhausted.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.decide_retry(now).is_allowed
    }

    /// Takes one retry from the budget unless it is exhausted.
    pub fn decide_retry(&mut self, now: Instant) -> RetryDecision {
        self.current_bucket(now);
        let ratio = self.ratio * self.restart.map_or(1.0, |restart| restart.ratio_fraction(now));
        let base = self.base_share * self.restart.map_or(1.0, |restart| restart.base_fraction(now));
        let WindowUse { spent, requests } = self.tightest_window(ratio, now);
        let budget = base + ratio * requests;
        let is_rounded_up = budget < 1.0 && self.rounding.draw(now) < budget;
        let is_allowed = f64::from(spent) + 1.0 <= if is_rounded_up { 1.0 } else { budget };
        if is_allowed {
            self.current_bucket(now).retries += 1;
        }
        RetryDecision { is_allowed, spent, budget, base }
    }

    /// Returns the last retry that was taken, because it was not sent.
    pub fn return_retry(&mut self) {
        if let Some(bucket) = self.buckets.iter_mut().rev().find(|bucket| bucket.retries > 0) {
            bucket.retries -= 1;
        }
    }

    /// Sets this router's part of the base retries.
    pub fn set_base_share(&mut self, base_share: f64) {
        self.base_share = base_share;
    }

    /// Returns the window around `now` in which the fewest retries are left.
    fn tightest_window(&self, ratio: f64, now: Instant) -> WindowUse {
        let window = self.bucket_duration * BUCKETS_PER_WINDOW;
        let current = self.requests_at_current_rate(now);
        let starts = self.buckets.iter().map(|bucket| bucket.started_at);
        let starts = starts.filter(|start| now.since(*start) < window + self.bucket_duration);
        let uses = starts.map(|start| WindowUse {
            spent: self.between(start, now).map(|bucket| bucket.retries).sum(),
            requests: self.counted_requests(start, window).min(current),
        });
        let left = |usage: &WindowUse| ratio * usage.requests - f64::from(usage.spent);
        uses.min_by(|a, b| left(a).total_cmp(&left(b))).unwrap_or_default()
    }

    /// Returns the number of requests that earn retries in the window from `start`: those within the window, the one
    /// before or the one half a window earlier, whichever has the most.
    fn counted_requests(&self, start: Instant, window: Duration) -> f64 {
        let offsets = [Duration::ZERO, window / 2, window];
        let counts = offsets.map(|offset| {
            let buckets = self.between(start - offset, start - offset + window);
            buckets.map(|bucket| bucket.requests).sum::<u32>()
        });
        f64::from(counts.into_iter().max().unwrap_or(0))
    }

    /// Returns the number of requests within the last window, but no more than the current rate would give. After a
    /// burst, its requests no longer count in full, since the following windows contain fewer.
    fn requests_at_current_rate(&self, now: Instant) -> f64 {
        let requests_within = |bucket_count: u32| -> f64 {
            let period = self.bucket_duration * bucket_count;
            let counted = self.buckets.iter().filter(|bucket| now.since(bucket.started_at) < period);
            counted.map(|bucket| f64::from(bucket.requests)).sum()
        };
        let at_current_rate =
            requests_within(RECENT_BUCKETS) * f64::from(BUCKETS_PER_WINDOW) / f64::from(RECENT_BUCKETS);
        requests_within(BUCKETS_PER_WINDOW).min(at_current_rate)
    }

    /// Returns the buckets that start from `start` on and no later than `end`.
    fn between(&self, start: Instant, end: Instant) -> impl Iterator<Item = &Bucket> {
        self.buckets.iter().filter(move |bucket| (start..=end).contains(&bucket.started_at))
    }

    /// Drops expired buckets and returns the bucket of `now`.
    fn current_bucket(&mut self, now: Instant) -> &mut Bucket {
        let retention = self.bucket_duration * RETAINED_BUCKETS;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.started_at) >= retention) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now.since(bucket.started_at) >= self.bucket_duration) {
            self.buckets.push_back(Bucket { started_at: now, requests: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
