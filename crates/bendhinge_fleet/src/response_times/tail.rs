//! Distribution of the response times of a pool, from counts that can be summed over the fleet.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};

use super::{decay, from_millis, short_key};
use crate::totals::{Figure, FleetTotals, TotalKey};

/// Time constant of the decay of the counts. The usual tail must outlast a slow phase of 0.6 s at one
/// upstream, and adapt when all of the pool becomes slower.
const TAIL_WINDOW: Duration = Duration::from_secs(5);
/// Number of ranges of response times; the last one is open.
const RANGES: usize = 12;
/// Upper bound of the first range, in milliseconds.
const FIRST_BOUND_MS: f32 = 10.0;
/// Ratio of the bounds of successive ranges. The last bound is 865 ms.
const BOUND_RATIO: f32 = 1.5;
/// Fraction of responses that are not in the tail. Hedging more than one request in twenty would take most
/// of a retry budget of a fifth, which lost upstreams need, too.
const TAIL_QUANTILE: f32 = 0.95;
/// Responses that must be known for a tail of one in twenty.
const MIN_RESPONSES: f32 = 20.0;

/// Decaying counts of response times of this router by range.
#[derive(Debug, Default)]
pub(super) struct TailTimes {
    counts: [f32; RANGES],
    at: Instant,
}

/// Quantiles of the response times of the whole fleet.
pub(super) struct Distribution {
    pub(super) median: Duration,
    /// Nine in ten are shorter.
    pub(super) ninetieth: Duration,
    pub(super) tail: Duration,
}

impl TailTimes {
    pub(super) fn record(&mut self, response_time: Duration, now: Instant) {
        self.counts = self.counts_at(now);
        self.at = self.at.max(now);
        let range = (0..RANGES - 1).find(|range| response_time < from_millis(upper_bound_millis(*range)));
        self.counts[range.unwrap_or(RANGES - 1)] += 1.0;
    }

    pub(super) fn figures(&self, pool: NameHash, now: Instant) -> impl Iterator<Item = Figure> {
        let counts = self.counts_at(now).into_iter().enumerate();
        counts.map(move |(range, value)| Figure { key: range_key(pool, range), value })
    }

    /// Returns the quantiles over the fleet, or `None` if there are too few responses.
    pub(super) fn distribution(
        &self,
        pool: NameHash,
        totals: &FleetTotals,
        now: Instant,
    ) -> Option<Distribution> {
        let mut counts = self.counts_at(now);
        for (range, count) in counts.iter_mut().enumerate() {
            *count += totals.others(range_key(pool, range), now).map_or(0.0, |total| total.value);
        }
        let total: f32 = counts.iter().sum();
        (total >= MIN_RESPONSES).then(|| Distribution {
            median: quantile(&counts, total * 0.5),
            ninetieth: quantile(&counts, total * 0.9),
            tail: quantile(&counts, total * TAIL_QUANTILE),
        })
    }

    fn counts_at(&self, now: Instant) -> [f32; RANGES] {
        let weight = decay(now.since(self.at), TAIL_WINDOW);
        self.counts.map(|count| count * weight)
    }
}

/// Returns the response time below which `below` responses are, interpolated within its range.
fn quantile(counts: &[f32; RANGES], below: f32) -> Duration {
    let mut cumulative = 0.0;
    for (range, count) in counts.iter().enumerate() {
        if cumulative + count >= below && *count > 0.0 {
            let upper = upper_bound_millis(range);
            let lower = if range == 0 { 0.0 } else { upper / BOUND_RATIO };
            return from_millis(lower + (upper - lower) * (below - cumulative) / count);
        }
        cumulative += count;
    }
    from_millis(upper_bound_millis(RANGES - 1))
}

#[expect(clippy::cast_possible_truncation, clippy::cast_possible_wrap, reason = "a small number")]
fn upper_bound_millis(range: usize) -> f32 {
    FIRST_BOUND_MS * BOUND_RATIO.powi(range as i32)
}

fn range_key(pool: NameHash, range: usize) -> TotalKey {
    /// Seed that separates these keys from those of other parts.
    const SEED: u64 = 0x7a11;
    short_key(pool.0, SEED + range as u64)
}
