//! Response times of the upstreams of a plain pool, which do not report their load, shared as fleet totals.
//!
//! Made for a pool of a few upstreams in front of which each of many routers sends about one request per
//! second, too few to notice by itself that an upstream is slow for half a second.
//!
//! The response time follows from Little's law: the time that requests have spent in progress, divided by the
//! responses. Unlike the mean of the times of complete responses, it grows while an upstream does not
//! respond at all.

mod tail;

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use self::tail::TailTimes;
use crate::totals::{Figure, FleetTotals, TotalKey};

/// Time constant of the decay of responses and of the time in progress. Totals reach all routers of a large
/// fleet after up to 1.6 s, when a slow phase of 0.6 s is over; a shorter constant would shift requests after
/// the phase. Lasting differences between upstreams are learned within this time.
const WINDOW: Duration = Duration::from_millis(2_000);
/// Time constant with which what other routers reported loses weight against the mean of the pool, once it
/// has been summed. With 2 s, all routers avoided the same upstream for too long under four times the demand.
const TOTALS_FADE: Duration = Duration::from_millis(600);
/// How long an exact number of requests in progress takes precedence over the totals.
const EXACT_COUNT_TTL: Duration = Duration::from_millis(300);
/// Responses at the mean response time of the pool by which the response time of each upstream is extended.
/// Without them, a single response would decide.
const PRIOR_RESPONSES: f32 = 2.0;
/// Expected response time while nothing is known. It is the same for all upstreams, so that only the
/// requests in progress count.
const UNKNOWN_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Longest response time that is expected. Longer ones are not told apart.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(60);
/// Values below this are not shared.
const MIN_SHARED: f32 = 0.01;
/// Earliest hedge. Sooner, delays within the router's own box look like a slow upstream.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);
/// Latest hedge as a fraction of the target latency. The remainder is for the response to the hedge.
const MAX_HEDGE_FRACTION: f64 = 0.7;

/// What a request that is sent to an upstream now can expect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedResponse {
    /// Requests of all routers in progress there.
    pub in_progress: f32,
    /// Requests of this router in progress there, which is exact.
    pub own_in_progress: f32,
    /// Expected response time.
    pub response_time: Duration,
    /// Time since the requests of other routers were summed; zero if nothing is known of them.
    pub totals_age: Duration,
}

/// What a figure counts.
#[derive(Clone, Copy)]
enum Quantity {
    /// Requests in progress.
    InProgress,
    /// Decaying number of responses.
    Responses,
    /// Decaying sum of the time that requests spent in progress, in milliseconds. In seconds, it would be
    /// among the lowest values, which long messages leave out.
    BusyMillis,
}

impl Quantity {
    fn key(self, upstream: NameHash) -> TotalKey {
        /// Seed that separates these keys from those of other parts.
        const SEED: u64 = 0x9e5b;
        short_key(upstream.0, SEED + self as u64)
    }
}

fn short_key(number: u64, seed: u64) -> TotalKey {
    TotalKey((xxh3_64_with_seed(&number.to_le_bytes(), seed) >> 32) as u32)
}

/// Decaying statistics of requests of this router, or of all routers.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    in_progress: f32,
    responses: f32,
    busy_millis: f32,
}

impl Usage {
    fn plus(self, other: Self) -> Self {
        Self {
            in_progress: self.in_progress + other.in_progress,
            responses: self.responses + other.responses,
            busy_millis: self.busy_millis + other.busy_millis,
        }
    }

    /// Returns the usage at `now` if no request starts or ends after `at`.
    fn advanced(self, at: Instant, now: Instant) -> Self {
        let weight = decay(now.since(at), WINDOW);
        let added = self.in_progress * millis(WINDOW) * (1.0 - weight);
        Self {
            in_progress: self.in_progress,
            responses: self.responses * weight,
            busy_millis: self.busy_millis * weight + added,
        }
    }

    /// Returns the response time in milliseconds, given that of the whole pool.
    fn response_millis(self, pool_millis: f32) -> f32 {
        (self.busy_millis + PRIOR_RESPONSES * pool_millis) / (self.responses + PRIOR_RESPONSES)
    }
}

#[derive(Clone, Copy, Debug)]
struct OwnUsage {
    usage: Usage,
    at: Instant,
}

impl OwnUsage {
    fn at(self, now: Instant) -> Usage {
        self.usage.advanced(self.at, now)
    }

    fn update(&mut self, now: Instant, change: impl FnOnce(&mut Usage)) {
        self.usage = self.at(now);
        self.at = self.at.max(now);
        change(&mut self.usage);
    }
}

/// Response times of the upstreams of one pool.
#[derive(Debug)]
pub struct ResponseTimes {
    upstreams: FxHashMap<NameHash, OwnUsage>,
    /// The latest exact numbers of requests in progress, and when they were learned.
    exact_counts: FxHashMap<NameHash, (u32, Instant)>,
    tail: TailTimes,
    /// Identifies the pool in the keys of the values that concern all of it.
    pool: NameHash,
}

impl ResponseTimes {
    /// Creates the statistics of the pool with this hash of its name.
    #[must_use]
    pub fn new(pool: NameHash) -> Self {
        Self {
            upstreams: FxHashMap::default(),
            exact_counts: FxHashMap::default(),
            tail: TailTimes::default(),
            pool,
        }
    }

    /// Counts a request sent by this router.
    pub fn start(&mut self, upstream: NameHash, now: Instant) {
        self.own_usage(upstream, now).update(now, |usage| usage.in_progress += 1.0);
        self.own_usage(self.pool, now).update(now, |usage| usage.in_progress += 1.0);
    }

    /// Counts the end of a request of this router; `response_time` is `None` if there was no response. A
    /// send that another one superseded ends with the time that it took so far: otherwise hedges would hide
    /// the slow responses that they replace.
    pub fn end(&mut self, upstream: NameHash, response_time: Option<Duration>, now: Instant) {
        let change = |usage: &mut Usage| {
            usage.in_progress = (usage.in_progress - 1.0).max(0.0);
            usage.responses += if response_time.is_some() { 1.0 } else { 0.0 };
        };
        self.own_usage(upstream, now).update(now, change);
        self.own_usage(self.pool, now).update(now, change);
        if let Some(response_time) = response_time {
            self.tail.record(response_time, now);
        }
    }

    /// Records the exact number of requests of all routers in progress at `upstream`.
    pub fn record_exact_count(&mut self, upstream: NameHash, in_progress: u32, now: Instant) {
        self.exact_counts.insert(upstream, (in_progress, now));
    }

    fn exact_count(&self, upstream: NameHash, now: Instant) -> Option<f32> {
        let (in_progress, at) = *self.exact_counts.get(&upstream)?;
        (now.since(at) < EXACT_COUNT_TTL).then_some(in_progress as f32)
    }

    /// Removes the upstreams that are not listed and have no request of this router in progress.
    pub fn retain_listed(&mut self, listed: impl Fn(NameHash) -> bool) {
        let pool = self.pool;
        self.exact_counts.retain(|upstream, _| listed(*upstream));
        self.upstreams
            .retain(|upstream, own| *upstream == pool || own.usage.in_progress > 0.0 || listed(*upstream));
    }

    /// Returns this router's part of the fleet totals.
    #[must_use]
    pub fn own_figures(&self, now: Instant) -> Vec<Figure> {
        let of_upstream = |(upstream, own): (&NameHash, &OwnUsage)| {
            let usage = own.at(now);
            [
                Figure { key: Quantity::InProgress.key(*upstream), value: usage.in_progress },
                Figure { key: Quantity::Responses.key(*upstream), value: usage.responses },
                Figure { key: Quantity::BusyMillis.key(*upstream), value: usage.busy_millis },
            ]
        };
        let usages = self.upstreams.iter().flat_map(of_upstream);
        usages.chain(self.tail.figures(self.pool, now)).filter(|figure| figure.value >= MIN_SHARED).collect()
    }

    /// Returns what a request sent to `upstream` now can expect.
    ///
    /// What is known of other routers fades towards the mean of the pool with its age. Relying on it for
    /// longer would make all routers avoid an upstream that is as fast as the others again.
    #[must_use]
    pub fn expected(&self, upstream: NameHash, totals: &FleetTotals, now: Instant) -> ExpectedResponse {
        let own = self.own(upstream, now);
        let (others, age) = others(upstream, totals, now);
        let pool_millis = self.pool_millis(totals, now);
        let known_millis = own.plus(others).response_millis(pool_millis);
        let weight = decay(age, TOTALS_FADE);
        let response_millis = pool_millis + (known_millis - pool_millis) * weight;
        // The count at one moment holds for about as long as a request; then, the mean of the window does.
        let mean_in_progress = others.busy_millis / millis(WINDOW);
        let count_weight = (-age.as_secs_f32() * 1_000.0 / known_millis.max(1.0)).exp();
        let others_in_progress = mean_in_progress + (others.in_progress - mean_in_progress) * count_weight;
        ExpectedResponse {
            in_progress: self
                .exact_count(upstream, now)
                .unwrap_or(own.in_progress + others_in_progress.max(0.0)),
            own_in_progress: own.in_progress,
            response_time: from_millis(response_millis),
            totals_age: age,
        }
    }

    /// Returns how long to wait for a response before a hedge is sent; `None` if a hedge is not expected to
    /// respond within the target latency.
    ///
    /// A hedge is sent as late as nine in ten would still respond in time, so that the retry budget is left
    /// for requests that would otherwise be late or failed, but not before the usual tail of the response
    /// times and not after 0.7 of the target latency. Without enough responses to know them, it is 0.7 of
    /// the target latency.
    #[must_use]
    pub fn hedge_delay(
        &self,
        target_latency: Duration,
        totals: &FleetTotals,
        now: Instant,
    ) -> Option<Duration> {
        let max_delay = target_latency.mul_f64(MAX_HEDGE_FRACTION);
        let Some(times) = self.tail.distribution(self.pool, totals, now) else { return Some(max_delay) };
        let last_in_time = target_latency.saturating_sub(times.ninetieth);
        let delay = last_in_time.max(times.tail).max(MIN_HEDGE_DELAY).min(max_delay);
        (delay + times.median <= target_latency).then_some(delay)
    }

    fn own_usage(&mut self, upstream: NameHash, now: Instant) -> &mut OwnUsage {
        self.upstreams.entry(upstream).or_insert(OwnUsage { usage: Usage::default(), at: now })
    }

    fn own(&self, upstream: NameHash, now: Instant) -> Usage {
        self.upstreams.get(&upstream).map(|own| own.at(now)).unwrap_or_default()
    }

    /// Returns the mean response time of the pool in milliseconds.
    fn pool_millis(&self, totals: &FleetTotals, now: Instant) -> f32 {
        let usage = self.own(self.pool, now).plus(others(self.pool, totals, now).0);
        usage.response_millis(millis(UNKNOWN_RESPONSE_TIME))
    }
}

/// Returns what is known of the requests of other routers, and its age.
fn others(upstream: NameHash, totals: &FleetTotals, now: Instant) -> (Usage, Duration) {
    let value = |quantity: Quantity| totals.others(quantity.key(upstream), now);
    let in_progress = value(Quantity::InProgress);
    let amount = |quantity| value(quantity).map_or(0.0, |total| total.value);
    let usage = Usage {
        in_progress: in_progress.map_or(0.0, |total| total.value),
        responses: amount(Quantity::Responses),
        busy_millis: amount(Quantity::BusyMillis),
    };
    (usage, in_progress.map_or(Duration::ZERO, |total| total.age))
}

fn decay(age: Duration, time_constant: Duration) -> f32 {
    (-age.as_secs_f32() / time_constant.as_secs_f32()).exp()
}

fn millis(duration: Duration) -> f32 {
    duration.as_secs_f32() * 1_000.0
}

fn from_millis(millis: f32) -> Duration {
    Duration::from_secs_f32((millis / 1_000.0).clamp(0.0, MAX_RESPONSE_TIME.as_secs_f32()))
}
