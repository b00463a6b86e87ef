//! Requests in progress by affinity key, summed over the fleet.
//!
//! A key whose requests are more than one upstream should bear has several homes. A router has few of them in progress
//! itself, so the number comes from the totals of the fleet.

use std::cmp::Reverse;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::totals::{Figure, FleetTotals, TotalKey};

/// Minimum number of a router's own requests with a key that it reports. Most keys have one at most.
const MIN_REPORTED: u32 = 2;
/// Maximum number of keys that a router reports, so that other totals are not displaced.
const MAX_REPORTED_KEYS: usize = 8;

/// Requests of this router in progress, by affinity key. Each key is identified by a hash of the pool and of the key.
#[derive(Debug, Default)]
pub struct KeyRequests {
    own: FxHashMap<TotalKey, u32>,
}

impl KeyRequests {
    /// Returns the identifier of an affinity key in a pool.
    #[must_use]
    pub fn key(pool: NameHash, affinity_key: u64) -> TotalKey {
        TotalKey::of(&[pool, NameHash(affinity_key)])
    }

    /// Counts a request that was sent.
    pub fn start(&mut self, key: TotalKey) {
        *self.own.entry(key).or_default() += 1;
    }

    /// Counts the end of a request.
    pub fn end(&mut self, key: TotalKey) {
        if let Some(count) = self.own.get_mut(&key) {
            *count -= 1;
            if *count == 0 {
                self.own.remove(&key);
            }
        }
    }

    /// Returns the number of this router's own requests with `key`.
    #[must_use]
    pub fn own(&self, key: TotalKey) -> u32 {
        self.own.get(&key).copied().unwrap_or_default()
    }

    /// Returns the figures of this router: its most popular keys.
    #[must_use]
    pub fn own_figures(&self) -> Vec<Figure> {
        let mut popular: Vec<(u32, TotalKey)> = self.own.iter().map(|(key, count)| (*count, *key)).collect();
        popular.retain(|(count, _)| *count >= MIN_REPORTED);
        popular.sort_unstable_by_key(|entry| Reverse(*entry));
        popular.truncate(MAX_REPORTED_KEYS);
        popular.into_iter().map(|(count, key)| Figure { key, value: count as f32 }).collect()
    }

    /// Estimates the number of requests with `key` that all routers together have in progress.
    #[must_use]
    pub fn estimate(&self, key: TotalKey, totals: &FleetTotals, routers: usize, now: Instant) -> f32 {
        let own = self.own(key).saturating_sub(1) as f32 * routers as f32;
        totals.get(key, now).map_or(own, |total| total.value.max(own))
    }
}
