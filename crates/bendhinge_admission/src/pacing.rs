//! Adaptive rate limiting for pools of plain upstreams, which reject requests when full and do not report their load.
//!
//! Without a limit, a burst from one customer or the loss of an upstream fills all queues: admitted requests spend
//! most of their time waiting, rejected ones are retried at other full upstreams, and the customer that sends most
//! gets most of the capacity.
//!
//! Each router therefore adapts a rate limit to what it observes: a response in time increases it, a rejected or late
//! request decreases it. Requests are never queued here. Capacity goes to the most urgent priority first and is
//! divided fairly among customers of equal priority; other requests are refused at once. There is no limit until
//! upstreams reject requests.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::{DecayingRate, WeightedDemand, max_min_fair_shares};

/// Window within which several upstreams must reject requests for the pool to count as full.
const REJECTION_WINDOW: Duration = Duration::from_secs(1);
/// Number of upstreams that must reject requests for the pool to count as full, if it has as many.
const MIN_REJECTING_UPSTREAMS: usize = 2;
/// Fraction of the target latency after which a response counts as late. The remainder is for the way to the caller.
const LATE_FRACTION: f64 = 0.85;
/// Increase of the rate limit for each response in time, in requests per second. At a router with eight requests per
/// second, the limit is stable with one late response in four. 0.25 uses the pool less, and 0.6 makes longer queues; both
/// answer fewer of the usual customers' requests in time.
const INCREASE_PER_RESPONSE: f64 = 0.4;
/// Factor by which the rate limit is decreased.
const DECREASE_FACTOR: f64 = 0.85;
/// Minimum interval between decreases, since requests in flight all report the same overload.
const DECREASE_INTERVAL: Duration = Duration::from_millis(200);
/// Lower bound of the rate limit. A router that sends no requests would not notice when the pool recovers.
const MIN_REQUESTS_PER_SECOND: f64 = 0.5;
/// Time for which unused tokens accumulate.
const BURST_DURATION: Duration = Duration::from_millis(250);
/// Time constant of the demand of each requester. Long enough that one request every ten seconds is not mistaken for
/// one per second.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Time without rejected or late requests after which a rate limit above the demand is removed.
const RECOVERY_DURATION: Duration = Duration::from_secs(2);
/// Minimum delay before a refused caller should retry. An earlier retry would meet the same burst.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Maximum delay before a refused caller should retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);

/// Priority and customer of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Requester {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Hash of the customer's name.
    pub customer: NameHash,
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacingDecision {
    /// The request may be sent.
    Admitted,
    /// The request is refused; the caller should retry after this delay.
    Refused(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Rejection {
    upstream: NameHash,
    at: Instant,
}

/// Token bucket with an adaptive rate.
#[derive(Clone, Copy, Debug)]
struct RateLimit {
    /// Requests per second.
    per_second: f64,
    /// Requests that may be admitted now; negative if some were admitted in excess of the rate.
    tokens: f64,
    refilled_at: Instant,
    decreased_at: Instant,
    /// Time of the last rejected or late request.
    overloaded_at: Instant,
}

impl RateLimit {
    fn refill(&mut self, now: Instant) {
        let earned = self.per_second * now.since(self.refilled_at).as_secs_f64();
        let max_tokens = (self.per_second * BURST_DURATION.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + earned).min(max_tokens);
        self.refilled_at = now;
    }

    fn take_token(&mut self) {
        // The deficit is limited to the tokens of one second.
        self.tokens = (self.tokens - 1.0).max(-self.per_second);
    }

    fn decrease(&mut self, now: Instant) {
        self.overloaded_at = now;
        if now.since(self.decreased_at) >= DECREASE_INTERVAL {
            self.per_second = (self.per_second * DECREASE_FACTOR).max(MIN_REQUESTS_PER_SECOND);
            self.decreased_at = now;
        }
    }
}

/// Adaptive rate limiter of one router for one pool.
#[derive(Debug)]
pub struct Pacer {
    rate_limit: Option<RateLimit>,
    /// Latest rejection of each upstream within [`REJECTION_WINDOW`].
    rejections: Vec<Rejection>,
    /// Rate of responses, in time or late.
    response_rate: DecayingRate,
    demands: FxHashMap<Requester, DecayingRate>,
}

impl Default for Pacer {
    fn default() -> Self {
        let response_rate = DecayingRate::new(REJECTION_WINDOW);
        Self { rate_limit: None, rejections: Vec::new(), response_rate, demands: FxHashMap::default() }
    }
}

impl Pacer {
    /// Returns the rate limit in requests per second, or `None` if there is no limit.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.rate_limit.map(|limit| limit.per_second)
    }

    /// Admits or refuses a request. `jitter` is uniform in `[0, 1]` and spreads the retries of callers that are
    /// refused together.
    pub fn decide(&mut self, requester: Requester, jitter: f64, now: Instant) -> PacingDecision {
        self.demands.entry(requester).or_insert(DecayingRate::new(DEMAND_TIME_CONSTANT)).record(now);
        let Some(mut limit) = self.rate_limit else { return PacingDecision::Admitted };
        let demand = self.total_demand(now);
        if now.since(limit.overloaded_at) > RECOVERY_DURATION && demand < limit.per_second {
            self.rate_limit = None;
            return PacingDecision::Admitted;
        }
        limit.refill(now);
        let is_within_fair_rate =
            self.demand_of(requester, now) <= self.fair_rate(requester, limit.per_second, now);
        let is_admitted = is_within_fair_rate || limit.tokens >= 1.0;
        if is_admitted {
            limit.take_token();
        }
        self.rate_limit = Some(limit);
        if is_admitted {
            PacingDecision::Admitted
        } else {
            PacingDecision::Refused(retry_delay(demand / limit.per_second, jitter))
        }
    }

    /// Records a response that took `latency`, where `target_latency` is that of the route.
    pub fn record_response(&mut self, latency: Duration, target_latency: Duration, now: Instant) {
        self.response_rate.record(now);
        let Some(limit) = &mut self.rate_limit else { return };
        if latency > target_latency.mul_f64(LATE_FRACTION) {
            limit.decrease(now);
        } else {
            limit.per_second += INCREASE_PER_RESPONSE;
        }
    }

    /// Records that `upstream` rejected a request for lack of capacity. `upstream_count` is the number of upstreams of
    /// the pool that accept work.
    pub fn record_rejection(&mut self, upstream: NameHash, upstream_count: usize, now: Instant) {
        self.rejections
            .retain(|earlier| earlier.upstream != upstream && now.since(earlier.at) < REJECTION_WINDOW);
        self.rejections.push(Rejection { upstream, at: now });
        if let Some(limit) = &mut self.rate_limit {
            return limit.decrease(now);
        }
        if self.rejections.len() >= upstream_count.clamp(1, MIN_REJECTING_UPSTREAMS) {
            let per_second = f64::from(self.response_rate.per_second(now)).max(MIN_REQUESTS_PER_SECOND);
            self.rate_limit = Some(RateLimit {
                per_second,
                tokens: 0.0,
                refilled_at: now,
                decreased_at: now,
                overloaded_at: now,
            });
        }
    }

    /// Removes requesters whose demand has decayed to nearly zero.
    pub fn prune(&mut self, now: Instant) {
        const MIN_DEMAND_PER_SECOND: f32 = 0.01;
        self.demands.retain(|_, demand| demand.per_second(now) > MIN_DEMAND_PER_SECOND);
    }

    fn demand_of(&self, requester: Requester, now: Instant) -> f64 {
        self.demands.get(&requester).map_or(0.0, |demand| f64::from(demand.per_second(now)))
    }

    fn total_demand(&self, now: Instant) -> f64 {
        self.demands.values().map(|demand| f64::from(demand.per_second(now))).sum()
    }

    /// Returns the requester's fair part of the rate that more urgent requests leave, in requests per second.
    fn fair_rate(&self, requester: Requester, per_second: f64, now: Instant) -> f64 {
        let demands =
            || self.demands.iter().map(|(other, demand)| (other, f64::from(demand.per_second(now))));
        let more_urgent = demands().filter(|(other, _)| other.priority < requester.priority);
        let remaining = (per_second - more_urgent.map(|(_, demand)| demand).sum::<f64>()).max(0.0);
        let same_priority = || demands().filter(|(other, _)| other.priority == requester.priority);
        let weighted: Vec<WeightedDemand> = same_priority()
            .map(|(_, amount)| WeightedDemand { weight: 1.0, amount, is_growing: false })
            .collect();
        let own = same_priority().position(|(other, _)| *other == requester);
        own.map_or(remaining, |own| max_min_fair_shares(&weighted, remaining)[own])
    }
}

/// Returns the delay before a retry; `overload_ratio` is the demand relative to the rate limit.
fn retry_delay(overload_ratio: f64, jitter: f64) -> Duration {
    let min_delay = MIN_RETRY_AFTER.mul_f64(overload_ratio.max(1.0)).min(MAX_RETRY_AFTER / 2);
    min_delay.mul_f64(1.0 + jitter)
}
