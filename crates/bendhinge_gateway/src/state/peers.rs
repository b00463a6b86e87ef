//! Exchange of upstream state with peer gateways.

use std::net::SocketAddr;
use std::sync::Arc;

use bendhinge_fleet::{
    ListDelta, ListLoads, ListUpdate, SuspectChange, UpdateBatch, UpdateSource, UpstreamEntry, UpstreamList,
    UpstreamLoad, Version,
};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_peer::{CachedPartsPage, ObservedCachedPart, ObservedFailureEvidence, ObservedLoad};
use bendhinge_placement::CachedPart;

use super::upstreams::{State, UpstreamView};

impl UpstreamView {
    /// Returns the recent failure reports on upstreams to send to the gateway at `peer`.
    pub(crate) fn suspicions_for(&self, peer: SocketAddr, now: Instant) -> Vec<ObservedFailureEvidence> {
        let state = self.state.lock().unwrap();
        let reports = state.failure_detector.changes_for(update_source(peer), now);
        reports.map(|(upstream, report)| ObservedFailureEvidence::new(upstream, report, now)).collect()
    }

    /// Merges failure reports from the gateway at `from`, whose ages count from `as_of`. Returns the upstreams
    /// that are ejected as a result.
    pub(crate) fn merge_suspicions(
        &self,
        reports: &[ObservedFailureEvidence],
        from: SocketAddr,
        as_of: Instant,
    ) -> Vec<Arc<UpstreamEntry>> {
        let (now, from) = (bendhinge_clock::now(), update_source(from));
        let mut state = self.state.lock().unwrap();
        let State { directory, outlier_detector, failure_detector, .. } = &mut *state;
        let mut ejected = Vec::new();
        for report in reports.iter().filter(|report| directory.contains(report.upstream)) {
            match failure_detector.merge(report.upstream, &report.to_evidence(as_of), from, now) {
                SuspectChange::Cleared => outlier_detector.clear_suspect(report.upstream),
                SuspectChange::Suspected if outlier_detector.eject_suspect(report.upstream, now) => {
                    let listed = directory.get(report.upstream);
                    ejected.extend(listed.map(|listed| Arc::clone(&listed.entry)));
                }
                SuspectChange::Unchanged | SuspectChange::Suspected => {}
            }
        }
        ejected
    }

    /// Returns the recent load reports, for peers that may hold a different upstream list.
    pub(crate) fn recent_loads(&self, now: Instant) -> Vec<ObservedLoad> {
        let state = self.state.lock().unwrap();
        state.loads.recent_reports(now).iter().map(|report| observed_load(report, now)).collect()
    }

    /// Returns the load reports to send to the gateway at `peer`, which holds the same upstream list, or `None`
    /// if this gateway holds no list.
    pub(crate) fn list_loads_for(&self, peer: SocketAddr, now: Instant) -> Option<ListLoads> {
        let state = self.state.lock().unwrap();
        let list = state.replica.value()?;
        Some(state.loads.pack_for(update_source(peer), list, now))
    }

    /// Records load reports from the gateway at `from`, whose ages count from `as_of`.
    pub(crate) fn record_peer_loads(&self, loads: &[ObservedLoad], from: SocketAddr, as_of: Instant) {
        let from = update_source(from);
        let mut state = self.state.lock().unwrap();
        for load in loads {
            state.loads.record(reported_load(load, as_of), from);
        }
    }

    /// Records load reports from the gateway at `from` that refer to positions in the upstream list of `version`.
    /// Has no effect unless this gateway holds a list with the same digest.
    pub(crate) fn apply_list_loads(
        &self,
        list_loads: &ListLoads,
        version: Version,
        from: SocketAddr,
        as_of: Instant,
    ) {
        let mut state = self.state.lock().unwrap();
        let State { replica, loads, .. } = &mut *state;
        let Some(held) = replica.current().filter(|held| held.version.digest == version.digest) else {
            return;
        };
        loads.apply(list_loads, &held.value, update_source(from), as_of);
    }

    /// Returns the recently cached prompt parts to send to the gateway at `peer`, which has received the entries
    /// up to sequence number `sent`.
    pub(crate) fn cache_updates_for(
        &self,
        peer: SocketAddr,
        sent: Option<u64>,
        now: Instant,
    ) -> UpdateBatch<CachedPart> {
        self.state.lock().unwrap().cache_updates.since(sent, update_source(peer), now)
    }

    /// Returns one page of the prompt parts that upstreams are expected to have cached.
    pub(crate) fn cached_parts_on_page(
        &self,
        page: CachedPartsPage,
        now: Instant,
    ) -> Vec<ObservedCachedPart> {
        let state = self.state.lock().unwrap();
        let on_page = state.cached_parts.iter_entries().filter(|cached| page.contains(cached.part));
        on_page.map(|cached| observed_cached_part(cached, now)).collect()
    }

    /// Records cached prompt parts that a peer sent in bulk or an upstream listed. They are not sent on to peers.
    pub(crate) fn restore_cached_parts(&self, cached_parts: &[ObservedCachedPart]) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        for observed in cached_parts {
            state.cached_parts.record(cached_part(observed, now));
        }
    }

    /// Records cached prompt parts that the gateway at `from` sent in an exchange that began at `started_at`, and
    /// queues new ones for other peers.
    pub(crate) fn record_peer_cached_parts(
        &self,
        cached_parts: &[ObservedCachedPart],
        from: SocketAddr,
        started_at: Instant,
    ) {
        let (now, from) = (bendhinge_clock::now(), update_source(from));
        let mut state = self.state.lock().unwrap();
        for observed in cached_parts {
            let cached = cached_part(observed, started_at);
            if state.cached_parts.record(cached) {
                state.cache_updates.push(cached, from, now);
            }
        }
    }

    /// Returns the held list in the form to send to a peer that holds the list with the digest `base`.
    pub(crate) fn list_update_for(&self, base: Option<u64>) -> Option<ListUpdate> {
        let state = self.state.lock().unwrap();
        let list = state.replica.value()?;
        Some(state.list_history.update_for(list, base))
    }

    /// Returns a recently held list by its digest.
    pub(crate) fn recent_list(&self, digest: u64) -> Option<Arc<UpstreamList>> {
        self.state.lock().unwrap().list_history.get(digest).cloned()
    }

    /// Returns the held list with `changes` applied, or `None` if its digest is not `base`.
    pub(crate) fn apply_list_delta(&self, base: u64, changes: &ListDelta) -> Option<UpstreamList> {
        let state = self.state.lock().unwrap();
        let held = state.replica.current().filter(|held| held.version.digest == base)?;
        Some(held.value.apply(changes))
    }
}

/// Returns the update source that stands for the gateway at `address`.
pub(crate) fn update_source(address: SocketAddr) -> UpdateSource {
    UpdateSource::Router(address_hash(address))
}

/// Returns the hash that identifies the gateway at `address`.
pub(crate) fn address_hash(address: SocketAddr) -> NameHash {
    NameHash::of(&address.to_string())
}

/// Converts a load report to its form on the wire, which has an age in place of a time.
pub(super) fn observed_load(report: &UpstreamLoad, now: Instant) -> ObservedLoad {
    ObservedLoad {
        upstream: report.upstream,
        in_progress: u16::try_from(report.in_progress).unwrap_or(u16::MAX),
        age: now.since(report.reported_at),
    }
}

/// Converts an observed load whose age counts from `as_of`.
pub(super) fn reported_load(observed: &ObservedLoad, as_of: Instant) -> UpstreamLoad {
    UpstreamLoad {
        upstream: observed.upstream,
        in_progress: observed.in_progress.into(),
        reported_at: as_of - observed.age,
    }
}

/// Converts an observed cached part whose age counts from `as_of`.
fn cached_part(observed: &ObservedCachedPart, as_of: Instant) -> CachedPart {
    CachedPart { part: observed.part, upstream: observed.upstream, last_used: as_of - observed.age }
}

/// Converts a cached prompt part to its form on the wire, which has an age in place of a time.
pub(crate) fn observed_cached_part(cached: CachedPart, now: Instant) -> ObservedCachedPart {
    ObservedCachedPart { part: cached.part, upstream: cached.upstream, age: now.since(cached.last_used) }
}
