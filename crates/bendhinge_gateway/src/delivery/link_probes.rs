//! Connects to upstreams to find out whether this gateway is partitioned from their pool.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_fleet::{Origin, ReachabilityChange, UpstreamEntry};
use bendhinge_ids::PoolName;
use rustc_hash::FxHashSet;
use smol::Timer;

use super::DeliveryContext;
use crate::state::LinkState;

/// The number of upstreams that are probed at once while a partition is suspected.
const PROBES_WHILE_SUSPECT: usize = 4;
/// The number of upstreams that are probed at once during a partition.
const PROBES_WHILE_PARTITIONED: usize = 2;
/// The interval between probes during a partition.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// The number of rounds of successful probes that follow each other without a pause.
const MAX_ROUNDS_IN_A_ROW: u32 = 8;

/// The pools that are being probed.
#[derive(Default)]
pub(crate) struct LinkProbes(Mutex<FxHashSet<PoolName>>);

impl LinkProbes {
    /// Returns `true` if the pool was not being probed yet.
    fn begin(&self, pool: &PoolName) -> bool {
        self.0.lock().unwrap().insert(pool.clone())
    }

    fn end(&self, pool: &PoolName) {
        self.0.lock().unwrap().remove(pool);
    }
}

impl DeliveryContext {
    /// Records that a new connection to an upstream was established.
    pub(super) fn record_connected(self: &Arc<Self>, upstream: &UpstreamEntry) {
        let change = self.upstreams.record_connected(upstream);
        self.handle_reachability_change(&upstream.pool, change);
    }

    /// Records that a new connection to an upstream failed.
    pub(super) fn record_connect_failure(self: &Arc<Self>, upstream: &UpstreamEntry) {
        let change = self.upstreams.record_connect_failure(upstream);
        self.handle_reachability_change(&upstream.pool, change);
    }

    fn handle_reachability_change(self: &Arc<Self>, pool: &PoolName, change: ReachabilityChange) {
        match change {
            ReachabilityChange::Unchanged => return,
            ReachabilityChange::Suspected => {}
            ReachabilityChange::Partitioned | ReachabilityChange::Restored => {
                let is_partitioned = change == ReachabilityChange::Partitioned;
                self.log.partition_changed(pool, is_partitioned);
                self.metrics.count_partition_change(is_partitioned);
                // A notification that is still queued stands for this change too.
                let _ = self.partition_notifier.try_send(Origin::Store);
            }
        }
        if change != ReachabilityChange::Restored && self.link_probes.begin(pool) {
            let (context, pool) = (Arc::clone(self), pool.clone());
            let probing = async move {
                context.probe_links(&pool).await;
                context.link_probes.end(&pool);
            };
            self.tasks.spawn(probing).detach();
        }
    }

    /// Probes the upstreams of a pool until a suspicion is settled or a partition is over.
    async fn probe_links(self: &Arc<Self>, pool: &PoolName) {
        let mut count = PROBES_WHILE_SUSPECT;
        let mut rounds_in_a_row = 0;
        loop {
            let targets = self.upstreams.upstreams_to_probe(pool, count);
            let probes: Vec<_> = targets
                .into_iter()
                .map(|upstream| self.tasks.spawn(Arc::clone(self).probe_link(upstream)))
                .collect();
            let mut is_any_unreached = probes.is_empty();
            for probe in probes {
                is_any_unreached |= !probe.await;
            }
            rounds_in_a_row = if is_any_unreached { 0 } else { rounds_in_a_row + 1 };
            match self.upstreams.link_state(pool) {
                LinkState::Working => return,
                // Upstreams that failed are ejected like any other.
                LinkState::Suspect if count == PROBES_WHILE_SUSPECT => return,
                LinkState::Suspect | LinkState::Partitioned { .. } => {}
            }
            count = PROBES_WHILE_PARTITIONED;
            if is_any_unreached || rounds_in_a_row >= MAX_ROUNDS_IN_A_ROW {
                Timer::after(PROBE_INTERVAL).await;
            }
        }
    }

    /// Whether a connection to another upstream of the pool is established, or there is no other one.
    pub(super) async fn reaches_another_upstream(self: &Arc<Self>, upstream: &UpstreamEntry) -> bool {
        if !self.forwarding.is_enabled() {
            return true;
        }
        let mut others = self.upstreams.upstreams_to_probe(&upstream.pool, PROBES_WHILE_SUSPECT);
        others.retain(|other| other.hash != upstream.hash);
        let has_others = !others.is_empty();
        for other in others {
            if Arc::clone(self).probe_link(other).await {
                return true;
            }
        }
        !has_others
    }

    /// Whether a connection to an upstream of another pool is established.
    pub(super) async fn reaches_another_pool(self: &Arc<Self>, pool: &PoolName) -> bool {
        for other in self.upstreams.upstreams_of_other_pools(pool, PROBES_WHILE_SUSPECT) {
            if Arc::clone(self).probe_link(other).await {
                return true;
            }
        }
        false
    }

    /// Connects to an upstream; returns whether that succeeded. The connection is kept for requests.
    async fn probe_link(self: Arc<Self>, upstream: Arc<UpstreamEntry>) -> bool {
        let connected = self.connection_pool.connect(upstream.address).await;
        self.metrics.count_link_probe(connected.is_ok());
        if let Ok(connection) = connected {
            self.record_connected(&upstream);
            self.connection_pool.release(connection).await;
            return true;
        }
        self.record_connect_failure(&upstream);
        false
    }
}
