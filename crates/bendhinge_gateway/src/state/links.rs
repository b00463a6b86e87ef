//! The links of this gateway to the upstreams, as its own connections show them.

use std::sync::Arc;

use bendhinge_fleet::{ReachabilityChange, UpstreamEntry};
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
        /// Whether upstreams still respond over connections that were open before.
        has_open_links: bool,
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
        let listed = state.count_accepting_work(&upstream.pool, now);
        let reachability = &mut state.reachability;
        let change = if is_connected {
            reachability.record_connected(&upstream.pool, upstream.hash, listed, now)
        } else {
            reachability.record_connect_failure(&upstream.pool, upstream.hash, listed, now)
        };
        match change {
            ReachabilityChange::Restored => state.forgive_failures(&upstream.pool),
            ReachabilityChange::Unchanged
            | ReachabilityChange::Suspected
            | ReachabilityChange::Partitioned => {}
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
        let listed = state.count_accepting_work(pool, now);
        if state.reachability.is_partitioned(pool) {
            let has_open_links = state.reachability.has_open_links(pool, listed, now);
            return LinkState::Partitioned { has_open_links };
        }
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

    /// Records a response for the links.
    pub(super) fn record_link_response(&mut self, upstream: NameHash, now: Instant) {
        let Self { directory, reachability, .. } = self;
        let Some(listed) = directory.get(upstream) else { return };
        reachability.record_response(&listed.entry.pool, upstream, now);
    }

    /// Whether this gateway is partitioned from the pool of an upstream.
    pub(super) fn is_partitioned_from(&self, upstream: NameHash) -> bool {
        let listed = self.directory.get(upstream);
        listed.is_some_and(|listed| self.reachability.is_partitioned(&listed.entry.pool))
    }

    /// Ends the ejections of a pool's upstreams, which failed because of the links.
    fn forgive_failures(&mut self, pool: &PoolName) {
        let Self { directory, outlier_detector, .. } = self;
        for listed in directory.upstreams().iter().filter(|listed| listed.entry.pool == *pool) {
            outlier_detector.forgive(listed.entry.hash);
        }
    }
}
