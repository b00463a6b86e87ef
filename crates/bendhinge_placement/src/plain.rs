//! Selection of the upstream that serves a request to a plain pool, by expected response time.
//!
//! Made for pools of a few upstreams that do not report their load, in front of which many routers each send
//! about one request per second. All routers know nearly the same expected response times, which are up to
//! 1 s old. The choice is therefore random, with a probability that falls with the expected response time:
//! routers that all chose the fastest upstream would overload it before they learn of that.

use std::time::Duration;

use bendhinge_ids::NameHash;

use crate::Distance;
use crate::cost::CostModel;
use crate::hash::hash_pair_unit;

/// An upstream considered for a request to a plain pool.
#[derive(Clone, Copy, Debug)]
pub struct PlainCandidate {
    /// Hash of the upstream's name.
    pub upstream: NameHash,
    /// Estimated number of requests of all routers in progress.
    pub in_progress: f32,
    /// Number of requests of this router in progress, which is exact.
    pub own_in_progress: f32,
    /// Expected response time.
    pub response_time: Duration,
    /// Recent fraction of failed requests, from 0 to 1.
    pub failure_rate: f32,
    /// Whether it accepts new requests.
    pub takes_work: bool,
    /// Whether the router that issues its permits refused one for the request. `in_progress` is exact then.
    pub is_at_limit: bool,
    /// Whether its requests in progress count in the pool's mean.
    pub counts_in_mean: bool,
    /// Where it is relative to the router.
    pub distance: Distance,
}

/// Power of the expected response time with which the probability of a choice falls.
const RESPONSE_TIME_POWER: i32 = 2;
/// Cost of a failure rate of 1, as a multiple of the response time. As in `choose`, it is that of some 66
/// requests in progress.
const FAILURE_FACTOR: f32 = 66.0;
/// Cost of a request of this router in progress there, as a multiple of the response time.
const OWN_REQUEST_FACTOR: f32 = 0.5;
/// Cost of an upstream in another data centre, as a multiple of the response time.
const REMOTE_FACTOR: f32 = 1.0;
/// Number of requests at which no permit is issued, as a multiple of the mean of the upstreams that accept requests, and
/// in addition to it. Lower than the load limit, which allows for counts that are not exact.
const PERMIT_LIMIT_FACTOR: f32 = 1.25;
const PERMIT_LIMIT_SLACK: f32 = 1.0;
/// Shortest response time that is told apart.
const MIN_RESPONSE_SECS: f32 = 0.001;

/// The choice of an upstream of a plain pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlainChoice {
    /// Index of the chosen candidate.
    pub candidate: usize,
    /// Number of requests there at which it should refuse the request; `u32::MAX` if all others have refused it.
    pub limit: u32,
}

/// Returns the chosen candidate, or `None` if no candidate accepts requests.
///
/// `tie_breaker` is a random number of the request. If all candidates are at the limit, the one with the fewest requests is
/// chosen.
#[must_use]
pub fn choose_plain(candidates: &[PlainCandidate], tie_breaker: u64) -> Option<PlainChoice> {
    let limit = load_limit(candidates);
    let accepting = || (0..candidates.len()).filter(|index| candidates[*index].takes_work);
    let open = || accepting().filter(|index| !candidates[*index].is_at_limit);
    let within_limit = open().filter(|index| candidates[*index].in_progress < limit);
    let drawn = draw(candidates, within_limit, tie_breaker).or_else(|| draw(candidates, open(), tie_breaker));
    if let Some(candidate) = drawn {
        let limit = limit.min(permit_limit(candidates));
        return Some(PlainChoice { candidate, limit: whole_requests(limit) });
    }
    let load = |index: &usize| candidates[*index].in_progress;
    let least_loaded = accepting().min_by(|left, right| load(left).total_cmp(&load(right)));
    least_loaded.map(|candidate| PlainChoice { candidate, limit: u32::MAX })
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small positive number")]
const fn whole_requests(limit: f32) -> u32 {
    limit.round() as u32
}

/// Returns the number of requests in progress at which an upstream is passed over, as in `choose`.
fn load_limit(candidates: &[PlainCandidate]) -> f32 {
    let CostModel { load_bound_factor, load_bound_slack, .. } = CostModel::default();
    let counted = candidates.iter().filter(|candidate| candidate.counts_in_mean);
    load_bound_factor * mean_load(counted) + load_bound_slack
}

/// Returns the number of requests in progress at which no permit is issued.
fn permit_limit(candidates: &[PlainCandidate]) -> f32 {
    let accepting = candidates.iter().filter(|candidate| candidate.takes_work);
    PERMIT_LIMIT_FACTOR * mean_load(accepting) + PERMIT_LIMIT_SLACK
}

fn mean_load<'a>(candidates: impl Iterator<Item = &'a PlainCandidate>) -> f32 {
    let (count, total) = candidates
        .fold((0.0_f32, 0.0_f32), |(count, total), candidate| (count + 1.0, total + candidate.in_progress));
    total / count.max(1.0)
}

/// Draws one of the candidates at `indices` with a probability in proportion to its weight.
///
/// Each candidate has an exponentially distributed time with its weight as the rate, and the first one is
/// chosen. If a candidate drops out, only its requests are redistributed.
fn draw(
    candidates: &[PlainCandidate],
    indices: impl Iterator<Item = usize>,
    tie_breaker: u64,
) -> Option<usize> {
    let time = |index: usize| {
        let unit = hash_pair_unit(tie_breaker, candidates[index].upstream.0);
        -(1.0 - unit).ln() / weight(&candidates[index])
    };
    indices.map(|index| (index, time(index))).min_by(|left, right| left.1.total_cmp(&right.1)).map(first)
}

fn first((index, _): (usize, f32)) -> usize {
    index
}

fn weight(candidate: &PlainCandidate) -> f32 {
    let remote = if candidate.distance == Distance::Remote { REMOTE_FACTOR } else { 0.0 };
    // `max` first: it replaces a value that is not a number.
    let failures = FAILURE_FACTOR * candidate.failure_rate.max(0.0).clamp(0.0, 1.0);
    let own_requests = OWN_REQUEST_FACTOR * candidate.own_in_progress.max(0.0);
    let response_secs = candidate.response_time.as_secs_f32().max(MIN_RESPONSE_SECS);
    (response_secs * (1.0 + remote + failures + own_requests)).powi(-RESPONSE_TIME_POWER)
}
