//! The loads that one router believes in: as last heard, and its own requests since.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash, PoolName};
use rustc_hash::FxHashMap;

use crate::{KnownLoad, PoolLoad};

/// How long an upstream that refused a connection is passed over.
const AVOID_TIME: Duration = Duration::from_secs(2);

/// How long own changes are kept, to be added to counts that were measured before them.
const HISTORY: Duration = Duration::from_secs(5);

#[derive(Clone, Debug, Default)]
struct Known {
    in_progress: u32,
    measured_at: Instant,
    /// Changes by this router's own requests of late, each with its time.
    own_changes: VecDeque<(Instant, i32)>,
    /// Their sum since the measurement.
    own_since: i32,
    /// Requests of this router's own in progress there.
    own: u32,
    avoid_until: Instant,
}

impl Known {
    /// The load believed in: never less than the router's own requests there.
    fn load(&self) -> u32 {
        self.in_progress.saturating_add_signed(self.own_since).max(self.own)
    }

    fn own_change(&mut self, by: i32, now: Instant) {
        self.own = self.own.saturating_add_signed(by);
        self.own_since += by;
        self.own_changes.push_back((now, by));
        while self.own_changes.front().is_some_and(|(at, _)| now.since(*at) > HISTORY) {
            self.own_changes.pop_front();
        }
    }

    /// Takes in a count; what this router itself began and ended after it was measured is added,
    /// both, or the load believed in would be too high by what ended.
    fn learn(&mut self, in_progress: u32, measured_at: Instant) {
        self.in_progress = in_progress;
        self.measured_at = measured_at;
        let later = self.own_changes.iter().filter(|(at, _)| *at > measured_at);
        self.own_since = later.map(|(_, by)| by).sum();
    }
}

/// An upstream of a pool, as the view names it.
#[derive(Clone, Copy, Debug)]
pub struct ViewKey<'a> {
    /// The upstream.
    pub upstream: NameHash,
    /// Its pool.
    pub pool: &'a PoolName,
}

/// The view.
#[derive(Debug, Default)]
pub struct LoadView {
    upstreams: FxHashMap<NameHash, Known>,
    totals: FxHashMap<PoolName, i64>,
    /// Until when any upstream is passed over.
    avoid_until: Instant,
}

impl LoadView {
    /// What is known of one upstream.
    #[must_use]
    pub fn known(&self, upstream: NameHash, now: Instant) -> Option<KnownLoad> {
        let known = self.upstreams.get(&upstream)?;
        Some(KnownLoad { in_progress: known.load(), age: now.since(known.measured_at) })
    }

    /// The load of one upstream; 0 if nothing is known.
    #[must_use]
    pub fn load(&self, upstream: NameHash) -> u32 {
        self.upstreams.get(&upstream).map_or(0, Known::load)
    }

    /// The load of a pool.
    #[must_use]
    pub fn pool_load(&self, pool: &PoolName) -> PoolLoad {
        let total = self.totals.get(pool).copied().unwrap_or(0);
        PoolLoad { in_progress: u32::try_from(total).unwrap_or(0) }
    }

    /// Takes in a count that was measured at `measured_at`; older word than what is known is
    /// passed over. Whoever denies or grants a permit tells its count, so that a router in a
    /// burst learns of the others' part of it before their next summaries come.
    pub fn learn(&mut self, key: ViewKey<'_>, in_progress: u32, measured_at: Instant) {
        self.change(key, |known| {
            if measured_at >= known.measured_at {
                known.learn(in_progress, measured_at);
            }
        });
    }

    /// Counts a request of this router's own in.
    pub fn sent(&mut self, key: ViewKey<'_>, now: Instant) {
        self.change(key, |known| known.own_change(1, now));
    }

    /// Counts one out.
    pub fn ended(&mut self, key: ViewKey<'_>, now: Instant) {
        self.change(key, |known| known.own_change(-1, now));
    }

    fn change(&mut self, key: ViewKey<'_>, change: impl FnOnce(&mut Known)) {
        let known = self.upstreams.entry(key.upstream).or_default();
        let before = known.load();
        change(known);
        let difference = i64::from(known.load()) - i64::from(before);
        if difference != 0
            && let Some(total) = self.totals.get_mut(key.pool)
        {
            *total += difference;
        }
    }

    /// Passes an upstream over for a while, because it refused a connection.
    pub fn avoid(&mut self, upstream: NameHash, now: Instant) {
        let until = now + AVOID_TIME;
        self.upstreams.entry(upstream).or_default().avoid_until = until;
        self.avoid_until = until;
    }

    /// Whether any upstream is passed over now.
    #[must_use]
    pub fn avoids_any(&self, now: Instant) -> bool {
        self.avoid_until > now
    }

    /// Whether an upstream is passed over now.
    #[must_use]
    pub fn is_avoided(&self, upstream: NameHash, now: Instant) -> bool {
        self.upstreams.get(&upstream).is_some_and(|known| known.avoid_until > now)
    }

    /// Says which upstreams make up a pool from now on.
    pub fn set_pool(&mut self, pool: &PoolName, upstreams: impl Iterator<Item = NameHash>) {
        let total = upstreams.map(|upstream| i64::from(self.load(upstream))).sum();
        self.totals.insert(pool.clone(), total);
    }

    /// Forgets pools and upstreams that are gone.
    pub fn keep_only(&mut self, pool: impl Fn(&PoolName) -> bool, upstream: impl Fn(NameHash) -> bool) {
        self.totals.retain(|name, _| pool(name));
        self.upstreams.retain(|name, known| known.own > 0 || upstream(*name));
    }
}
