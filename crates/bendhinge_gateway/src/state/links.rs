//! The links of this gateway to the upstreams, as its own connections show them.

use std::cmp::Reverse;
use std::sync::Arc;

use bendhinge_fleet::{ReachabilityChange, UpstreamEntry, UpstreamFailure};
use bendhinge_ids::{Instant, NameHash, PoolName};

use super::upstreams::{State, UpstreamView};

/// The links to the upstreams of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkState {
    /// No partition is known.
    Working,
    /// Several connections failed in a row.
    Suspect,
    /// Connections to most upstreams fail.
    Partitioned {
        /// Whether any upstream is reached, over a new connection or an open one.
        is_any_reached: bool,
    },
}

impl UpstreamView {
    /// Records that a new connection to an upstream was established.
    pub(crate) fn record_connected(&self, upstream: &UpstreamEntry) -> ReachabilityChange {
        self.record_link(upstream, true)
    }

    /// Records that a new connection to an upstream failed.
    pub(crate) fn record_connect_failure(&self, upstream: &UpstreamEntry) -> ReachabilityChange {
        self.record_link(upstream, false)
    }

    fn record_link(&self, upstream: &UpstreamEntry, is_connected: bool) -> ReachabilityChange {
        if !self.tracks_links {
            return ReachabilityChange::Unchanged;
        }
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        if is_connected && !state.reachability.has_recent_failure(&upstream.pool, now) {
            // The usual case, for which the upstreams of the pool need not be counted.
            return state.reachability.record_connected(&upstream.pool, upstream.hash, 0, now);
        }
        let listed = state.count_accepting_work(&upstream.pool, now);
        let State { directory, reachability, .. } = &mut *state;
        reachability.retain_accepting(&upstream.pool, |known| {
            directory.get(known).is_some_and(|listed| listed.accepts_work(now))
        });
        let change = if is_connected {
            reachability.record_connected(&upstream.pool, upstream.hash, listed, now)
        } else {
            reachability.record_connect_failure(&upstream.pool, upstream.hash, listed, now)
        };
        match change {
            ReachabilityChange::Partitioned => state.drop_unconfirmed_failures(&upstream.pool),
            ReachabilityChange::Restored => state.forgive_failures(&upstream.pool),
            ReachabilityChange::Unchanged | ReachabilityChange::Suspected => {}
        }
        change
    }

    /// Returns what is known of the links to the upstreams of a pool.
    pub(crate) fn link_state(&self, pool: &PoolName) -> LinkState {
        if !self.tracks_links {
            return LinkState::Working;
        }
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        if !state.reachability.has_recent_failure(pool, now) {
            return LinkState::Working;
        }
        if state.reachability.is_partitioned(pool) {
            return LinkState::Partitioned { is_any_reached: state.reachability.is_any_reached(pool, now) };
        }
        let listed = state.count_accepting_work(pool, now);
        if state.reachability.is_suspect(pool, listed, now) { LinkState::Suspect } else { LinkState::Working }
    }

    /// Returns at most `count` upstreams of a pool to connect to, those first whose last connection is the longest ago.
    pub(crate) fn upstreams_to_probe(&self, pool: &PoolName, count: usize) -> Vec<Arc<UpstreamEntry>> {
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        let listed = state.directory.upstreams().iter();
        let in_pool = listed.filter(|listed| listed.entry.pool == *pool && listed.accepts_work(now));
        let mut entries: Vec<_> = in_pool.map(|listed| Arc::clone(&listed.entry)).collect();
        entries.sort_by_key(|entry| state.reachability.last_result(pool, entry.hash));
        entries.truncate(count);
        entries
    }

    /// Returns up to `count` upstreams of other pools, those with the latest results first.
    pub(crate) fn upstreams_of_other_pools(&self, pool: &PoolName, count: usize) -> Vec<Arc<UpstreamEntry>> {
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        let listed = state.directory.upstreams().iter();
        let elsewhere = listed.filter(|listed| listed.entry.pool != *pool && listed.accepts_work(now));
        let mut entries: Vec<_> = elsewhere.map(|listed| Arc::clone(&listed.entry)).collect();
        entries.sort_by_key(|entry| Reverse(state.reachability.last_result(&entry.pool, entry.hash)));
        entries.truncate(count);
        entries
    }

    /// Returns the pools from which this gateway is partitioned.
    pub(crate) fn partitioned_pools(&self) -> Vec<PoolName> {
        self.state.lock().unwrap().reachability.partitioned_pools().cloned().collect()
    }
}

impl State {
    /// Returns the number of a pool's upstreams that accept new work.
    pub(super) fn count_accepting_work(&self, pool: &PoolName, now: Instant) -> usize {
        let listed = self.directory.upstreams().iter();
        listed.filter(|listed| listed.entry.pool == *pool && listed.accepts_work(now)).count()
    }

    /// Records a response for the links, and reports the failures of other upstreams of the pool, which are now known
    /// not to be caused by the links.
    pub(super) fn record_link_response(&mut self, upstream: NameHash, now: Instant) {
        let Self { directory, reachability, failure_detector, .. } = self;
        let Some(listed) = directory.get(upstream) else { return };
        let pool = &listed.entry.pool;
        reachability.record_response(pool, upstream, now);
        if failure_detector.has_unconfirmed() {
            let is_confirmed = |failed: NameHash| {
                failed != upstream && directory.get(failed).is_some_and(|listed| listed.entry.pool == *pool)
            };
            failure_detector.confirm_failures(is_confirmed, now);
        }
    }

    /// Records a failure as evidence for other gateways, once a response from another upstream of the pool shows that
    /// it was not caused by the links of this one.
    pub(super) fn record_link_failure(
        &mut self,
        upstream: NameHash,
        failure: UpstreamFailure,
        sent_at: Instant,
        now: Instant,
    ) {
        let Self { directory, reachability, failure_detector, .. } = self;
        let are_links_working = directory
            .get(upstream)
            .is_some_and(|listed| reachability.has_other_responded(&listed.entry.pool, upstream, sent_at));
        if are_links_working {
            failure_detector.record_failure(upstream, failure, sent_at, now);
        } else {
            failure_detector.record_unconfirmed_failure(upstream, failure, sent_at, now);
        }
    }

    /// Whether this gateway is partitioned from the pool of an upstream.
    pub(super) fn is_partitioned_from(&self, upstream: NameHash) -> bool {
        let listed = self.directory.get(upstream);
        listed.is_some_and(|listed| self.reachability.is_partitioned(&listed.entry.pool))
    }

    fn drop_unconfirmed_failures(&mut self, pool: &PoolName) {
        let Self { directory, failure_detector, .. } = self;
        failure_detector.drop_unconfirmed(|upstream| {
            directory.get(upstream).is_some_and(|listed| listed.entry.pool == *pool)
        });
    }

    /// Ends the ejections of a pool's upstreams, which failed because of the links.
    fn forgive_failures(&mut self, pool: &PoolName) {
        let Self { directory, outlier_detector, .. } = self;
        for listed in directory.upstreams().iter().filter(|listed| listed.entry.pool == *pool) {
            outlier_detector.forgive(listed.entry.hash);
        }
    }
}
