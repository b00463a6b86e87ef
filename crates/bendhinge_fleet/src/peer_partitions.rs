//! Partitions between routers and the upstreams of pools, as the routers report them of themselves.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::UpdateSource;

/// How long a report holds without being renewed. A router renews it with each message.
const REPORT_TTL: Duration = Duration::from_secs(3);
/// The maximum number of reports in a message, so that messages of a large fleet stay small.
const MAX_REPORTS: usize = 64;

/// The pools from which a router is partitioned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartitionReport {
    /// The hash of the router's address.
    pub router: NameHash,
    /// The hashes of the names of the pools; none if it reaches all of them again.
    pub pools: Vec<NameHash>,
    /// When the router reported it.
    pub at: Instant,
}

/// The latest report of each router that is or was recently partitioned.
#[derive(Debug)]
pub struct PeerPartitions {
    /// The address hash of this router.
    local_router: NameHash,
    /// The reports, each with the router that sent it to this one.
    reports: FxHashMap<NameHash, (PartitionReport, UpdateSource)>,
}

impl PeerPartitions {
    /// Creates a table without reports for the router with the given address hash.
    #[must_use]
    pub fn new(local_router: NameHash) -> Self {
        Self { local_router, reports: FxHashMap::default() }
    }

    /// Sets the pools from which this router is partitioned. The absence of a report says the same as an empty one.
    pub fn set_own(&mut self, pools: Vec<NameHash>, now: Instant) {
        let was_reported =
            self.reports.get(&self.local_router).is_some_and(|(report, _)| !report.pools.is_empty());
        if pools.is_empty() && !was_reported {
            return;
        }
        let report = PartitionReport { router: self.local_router, pools, at: now };
        self.reports.insert(self.local_router, (report, UpdateSource::Local));
    }

    /// Merges a report that `source` sent. Returns `true` if it changes the pools of its router.
    pub fn merge(&mut self, report: PartitionReport, source: UpdateSource, now: Instant) -> bool {
        let is_outdated = now.since(report.at) >= REPORT_TTL
            || report.router == self.local_router
            || self.reports.get(&report.router).is_some_and(|(known, _)| known.at >= report.at);
        if is_outdated {
            return false;
        }
        let known_pools = self.reports.get(&report.router).map_or(&[][..], |(known, _)| &known.pools);
        let is_changed = known_pools != report.pools;
        self.reports.insert(report.router, (report, source));
        is_changed
    }

    /// Whether a router reported recently that it is partitioned from a pool.
    #[must_use]
    pub fn is_partitioned(&self, router: NameHash, pool: NameHash, now: Instant) -> bool {
        self.reports
            .get(&router)
            .is_some_and(|(report, _)| now.since(report.at) < REPORT_TTL && report.pools.contains(&pool))
    }

    /// Returns the reports to send to `recipient`, the latest first, without those that came from it.
    #[must_use]
    pub fn reports_for(&self, recipient: UpdateSource, now: Instant) -> Vec<PartitionReport> {
        let is_sent = |(report, source): &&(PartitionReport, UpdateSource)| {
            *source != recipient && now.since(report.at) < REPORT_TTL
        };
        let mut reports: Vec<_> =
            self.reports.values().filter(is_sent).map(|(report, _)| report.clone()).collect();
        reports.sort_unstable_by_key(|report| std::cmp::Reverse(report.at));
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Renews this router's own report while it is partitioned, and drops expired reports.
    pub fn refresh(&mut self, now: Instant) {
        if let Some((own, _)) = self.reports.get_mut(&self.local_router)
            && !own.pools.is_empty()
        {
            own.at = now;
        }
        self.reports.retain(|_, (report, _)| now.since(report.at) < REPORT_TTL);
    }
}
