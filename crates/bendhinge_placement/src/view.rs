//! A router's estimate of upstream loads: the last reported counts, adjusted by its own requests
//! since.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash, PoolName};
use rustc_hash::FxHashMap;

use crate::{KnownLoad, PoolLoad};

/// Time for which an upstream is avoided after it refused a connection.
const AVOID_DURATION: Duration = Duration::from_secs(2);

/// Time for which own changes are kept, to be added to counts that were measured before them.
const OWN_CHANGE_RETENTION: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Default)]
struct UpstreamLoad {
    in_progress: u32,
    measured_at: Instant,
    /// Recent load changes by this router's own requests, with their times.
    own_changes: VecDeque<(Instant, i32)>,
    /// Sum of the own changes since the measurement.
    own_change_since: i32,
    /// This router's own requests in progress on the upstream.
    own_in_progress: u32,
    avoid_until: Instant,
}

impl UpstreamLoad {
    /// Returns the estimated load, which is at least the number of own requests.
    fn load(&self) -> u32 {
        self.in_progress.saturating_add_signed(self.own_change_since).max(self.own_in_progress)
    }

    fn add_own_change(&mut self, by: i32, now: Instant) {
        self.own_in_progress = self.own_in_progress.saturating_add_signed(by);
        self.own_change_since += by;
        self.own_changes.push_back((now, by));
        while self.own_changes.front().is_some_and(|(at, _)| now.since(*at) > OWN_CHANGE_RETENTION) {
            self.own_changes.pop_front();
        }
    }

    /// Sets the reported count and recomputes the own changes since its measurement. Both
    /// started and ended requests are included; omitting the ended ones would overestimate the
    /// load.
    fn record_count(&mut self, in_progress: u32, measured_at: Instant) {
        self.in_progress = in_progress;
        self.measured_at = measured_at;
        let later = self.own_changes.iter().filter(|(at, _)| *at > measured_at);
        self.own_change_since = later.map(|(_, by)| by).sum();
    }
}

/// Identifies an upstream and its pool in a [`LoadView`].
#[derive(Clone, Copy, Debug)]
pub struct LoadKey<'a> {
    /// Hash of the upstream's name.
    pub upstream: NameHash,
    /// Name of the pool.
    pub pool: &'a PoolName,
}

/// Estimated loads of all upstreams and pools.
#[derive(Debug, Default)]
pub struct LoadView {
    upstreams: FxHashMap<NameHash, UpstreamLoad>,
    totals: FxHashMap<PoolName, i64>,
    /// The latest `avoid_until` of all upstreams.
    avoid_until: Instant,
}

impl LoadView {
    /// Returns the estimated load of an upstream and the age of its measurement.
    #[must_use]
    pub fn known_load(&self, upstream: NameHash, now: Instant) -> Option<KnownLoad> {
        let known = self.upstreams.get(&upstream)?;
        Some(KnownLoad { in_progress: known.load(), age: now.since(known.measured_at) })
    }

    /// Returns the estimated load of an upstream, or 0 if it is unknown.
    #[must_use]
    pub fn load(&self, upstream: NameHash) -> u32 {
        self.upstreams.get(&upstream).map_or(0, UpstreamLoad::load)
    }

    /// Returns the estimated load of a pool.
    #[must_use]
    pub fn pool_load(&self, pool: &PoolName) -> PoolLoad {
        let total = self.totals.get(pool).copied().unwrap_or(0);
        PoolLoad { in_progress: u32::try_from(total).unwrap_or(0) }
    }

    /// Records a count measured at `measured_at`, unless a newer one is known.
    ///
    /// Permit responses carry counts too, so that during a burst a router learns of other
    /// routers' requests before the next periodic report.
    pub fn record_count(&mut self, key: LoadKey<'_>, in_progress: u32, measured_at: Instant) {
        self.update(key, |known| {
            if measured_at >= known.measured_at {
                known.record_count(in_progress, measured_at);
            }
        });
    }

    /// Records that one of this router's own requests was sent.
    pub fn request_started(&mut self, key: LoadKey<'_>, now: Instant) {
        self.update(key, |known| known.add_own_change(1, now));
    }

    /// Records that one of this router's own requests has ended.
    pub fn request_ended(&mut self, key: LoadKey<'_>, now: Instant) {
        self.update(key, |known| known.add_own_change(-1, now));
    }

    fn update(&mut self, key: LoadKey<'_>, update: impl FnOnce(&mut UpstreamLoad)) {
        let known = self.upstreams.entry(key.upstream).or_default();
        let before = known.load();
        update(known);
        let difference = i64::from(known.load()) - i64::from(before);
        if difference != 0
            && let Some(total) = self.totals.get_mut(key.pool)
        {
            *total += difference;
        }
    }

    /// Marks an upstream as avoided for a short time because it refused a connection.
    pub fn avoid(&mut self, upstream: NameHash, now: Instant) {
        let until = now + AVOID_DURATION;
        self.upstreams.entry(upstream).or_default().avoid_until = until;
        self.avoid_until = until;
    }

    /// Returns whether any upstream is currently avoided.
    #[must_use]
    pub fn avoids_any(&self, now: Instant) -> bool {
        self.avoid_until > now
    }

    /// Returns whether an upstream is currently avoided.
    #[must_use]
    pub fn is_avoided(&self, upstream: NameHash, now: Instant) -> bool {
        self.upstreams.get(&upstream).is_some_and(|known| known.avoid_until > now)
    }

    /// Sets the upstreams of a pool and recomputes its total load.
    pub fn set_pool(&mut self, pool: &PoolName, upstreams: impl Iterator<Item = NameHash>) {
        let total = upstreams.map(|upstream| i64::from(self.load(upstream))).sum();
        self.totals.insert(pool.clone(), total);
    }

    /// Removes pools and upstreams that are no longer listed. Upstreams with own requests in
    /// progress are kept.
    pub fn retain(
        &mut self,
        is_listed_pool: impl Fn(&PoolName) -> bool,
        is_listed_upstream: impl Fn(NameHash) -> bool,
    ) {
        self.totals.retain(|name, _| is_listed_pool(name));
        self.upstreams.retain(|name, known| known.own_in_progress > 0 || is_listed_upstream(*name));
    }
}
