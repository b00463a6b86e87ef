//! View of the upstreams: the list, their health, load and cached prompt parts. Chooses the upstream for a request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_admission::Demand;
use bendhinge_fleet::{
    Directory, FailureDetector, KeyRequests, ListHistory, Loads, OutlierDetector, OverloadLog, Reachability,
    Replica, RequestedBackoffs, SoftwareHistory, UpdateLog, UpdateLogLimits, UpdateSource, UpstreamEntry,
    UpstreamFailure, UpstreamList, UpstreamLoad,
};
use bendhinge_ids::{Instant, NameHash, PoolName};
use bendhinge_placement::{CachedPart, CachedParts, CostModel};
use bendhinge_routes::RegionFilter;
use rustc_hash::FxHashMap;
use smol::channel::Sender;

use super::engines::EnginePools;
use super::locality::PoolLocalities;
use super::peers::address_hash;
use super::plain::PlainPools;
use crate::dialect;
use crate::settings::{LoadSettings, Location, UpstreamSettings};
use crate::totals::SharedTotals;

/// How long an upstream is expected to keep a prompt part in its cache.
const CACHE_RETENTION: Duration = Duration::from_secs(90);
/// Limits on the cache updates that are sent to peers. An entry takes 24 bytes before compression, so a batch
/// takes at most 24 KB. The log is larger than a batch to absorb bursts.
const CACHE_UPDATE_LIMITS: UpdateLogLimits = UpdateLogLimits {
    max_entries: 8_192,
    max_batch_entries: 1_000,
    max_age: Duration::from_secs(5),
    max_age_for_new_peer: Duration::from_millis(1_300),
};
pub(super) struct State {
    pub(super) replica: Replica<UpstreamList>,
    /// Incomplete list that is used until the first complete list arrives.
    pub(super) partial_list: Option<Arc<UpstreamList>>,
    pub(super) directory: Directory,
    /// The software of the upstreams, also of those that left.
    pub(super) software: SoftwareHistory,
    pub(super) outlier_detector: OutlierDetector,
    /// Backoffs that upstreams requested from this gateway.
    pub(super) backoffs: RequestedBackoffs,
    pub(super) failure_detector: FailureDetector,
    pub(super) loads: Loads,
    pub(super) cached_parts: CachedParts,
    /// Recent additions to `cached_parts`, to be sent to peers.
    pub(super) cache_updates: UpdateLog<CachedPart>,
    /// Recently held lists, as bases for deltas.
    pub(super) list_history: ListHistory,
    /// Request rate of each pool.
    pub(super) demand: FxHashMap<PoolName, Demand>,
    /// Number of gateways including this one, or `None` if no other is known.
    pub(super) gateway_count: Option<usize>,
    /// Work and load of the engine pools.
    pub(super) engines: EnginePools,
    /// Reports of overloaded upstreams that are sent to peers at once.
    pub(super) overloads: OverloadLog,
    /// Own requests in progress by affinity key.
    pub(super) key_requests: KeyRequests,
    /// What own connections show of the links to the upstreams.
    pub(super) reachability: Reachability,
}

/// This gateway's view of the upstreams.
pub(crate) struct UpstreamView {
    pub(super) state: Mutex<State>,
    pub(super) costs: CostModel,
    pub(super) location: Location,
    pub(super) load_settings: LoadSettings,
    pub(super) localities: Mutex<PoolLocalities>,
    /// Response times of the plain pools.
    pub(super) plain: Mutex<PlainPools>,
    pub(super) totals: Arc<SharedTotals>,
    /// Notifies the control plane of new entries of `State::overloads`.
    pub(super) overload_notifier: Sender<()>,
    /// Whether partitions from upstreams are detected.
    pub(super) tracks_links: bool,
}

impl UpstreamView {
    /// Creates a view without upstreams. `own_address` is the address at which peers reach this gateway.
    pub(crate) fn new(
        own_address: SocketAddr,
        location: Location,
        settings: &UpstreamSettings,
        load_settings: LoadSettings,
        totals: Arc<SharedTotals>,
        overload_notifier: Sender<()>,
        tracks_links: bool,
    ) -> Self {
        let state = State {
            replica: Replica::default(),
            partial_list: None,
            directory: Directory::new(settings.directory_limits),
            software: SoftwareHistory::default(),
            outlier_detector: OutlierDetector::new(settings.outlier_limits),
            backoffs: RequestedBackoffs::default(),
            failure_detector: FailureDetector::new(address_hash(own_address)),
            loads: Loads::default(),
            cached_parts: CachedParts::new(CACHE_RETENTION),
            cache_updates: UpdateLog::new(CACHE_UPDATE_LIMITS),
            list_history: ListHistory::default(),
            demand: FxHashMap::default(),
            gateway_count: None,
            engines: EnginePools::default(),
            overloads: OverloadLog::default(),
            key_requests: KeyRequests::default(),
            reachability: Reachability::default(),
        };
        let costs = CostModel { load_bound_factor: settings.load_bound_factor, ..CostModel::default() };
        Self {
            state: Mutex::new(state),
            costs,
            location,
            load_settings,
            localities: Mutex::default(),
            plain: Mutex::default(),
            totals,
            overload_notifier,
            tracks_links,
        }
    }

    /// Sets whether the whole fleet starts for the first time. Has to be called before the first list is held.
    pub(crate) fn with_first_start(self, is_first_start: bool) -> Self {
        self.state.lock().unwrap().software = SoftwareHistory::new(is_first_start);
        self
    }

    /// Returns when the earliest requested backoff ends, if all upstreams of the pool that accept work in the allowed
    /// regions requested one.
    pub(crate) fn earliest_backoff_end(
        &self,
        pool: &PoolName,
        allowed: [&RegionFilter; 2],
    ) -> Option<Instant> {
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        if state.backoffs.active_count(now) == 0 {
            return None;
        }
        let listed = state.upstreams_in_regions(pool, allowed, &self.location.regions);
        let accepting = listed.into_iter().filter(|listed| listed.accepts_work(now));
        // `None` stands for no backoff and orders before any end.
        accepting.map(|listed| state.backoffs.ends_at(listed.entry.hash, now)).min().flatten()
    }

    /// Whether an upstream accepts new work according to the list and its own notices, regardless of backoffs.
    pub(crate) fn accepts_work(&self, upstream: NameHash) -> bool {
        let state = self.state.lock().unwrap();
        state.directory.get(upstream).is_some_and(|listed| listed.accepts_work(bendhinge_clock::now()))
    }

    /// Whether requests may be sent to an upstream that was chosen. Check this again right before sending: the upstream
    /// may have started to leave, requested a backoff, been drained or changed its software while the connection was
    /// established.
    pub(crate) fn is_available(&self, chosen: &UpstreamEntry) -> bool {
        let state = self.state.lock().unwrap();
        let now = bendhinge_clock::now();
        let listed = state.directory.get(chosen.hash);
        listed
            .is_some_and(|listed| listed.entry.software == chosen.software && state.is_available(listed, now))
    }

    /// Returns the number of a pool's upstreams that accept new work. Upstreams in backoff are included, because
    /// their rejections count toward the decision whether the pool is overloaded.
    pub(crate) fn count_accepting_work(&self, pool: &PoolName) -> usize {
        self.state.lock().unwrap().count_accepting_work(pool, bendhinge_clock::now())
    }

    /// Records a backoff that an upstream requested; returns the remaining time of its backoff.
    pub(crate) fn record_backoff(&self, upstream: NameHash, backoff: Duration) -> Duration {
        let now = bendhinge_clock::now();
        self.state.lock().unwrap().backoffs.record(upstream, backoff, now).since(now)
    }

    /// Records that an upstream announced that it is leaving; returns `true` if that is new.
    pub(crate) fn record_leaving(&self, upstream: NameHash) -> bool {
        self.state.lock().unwrap().directory.record_leaving(upstream, bendhinge_clock::now())
    }

    /// Returns the number of upstreams with an active backoff.
    pub(crate) fn backoff_count(&self) -> usize {
        self.state.lock().unwrap().backoffs.active_count(bendhinge_clock::now())
    }

    /// Records a complete response from an upstream, or the head of a streamed one.
    pub(crate) fn record_response(&self, upstream: NameHash) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        state.outlier_detector.record_success(upstream, now);
        state.failure_detector.record_response(upstream, now);
        if self.tracks_links {
            state.record_link_response(upstream, now);
        }
    }

    /// Returns the time since any gateway last had a response from an upstream, as far as this one knows.
    pub(crate) fn last_response_age(&self, upstream: NameHash) -> Option<Duration> {
        let last_response = self.state.lock().unwrap().failure_detector.last_response(upstream);
        last_response.map(|at| bendhinge_clock::now().since(at))
    }

    /// Records the failure of a request that was sent at `sent_at`; returns `true` if the upstream is ejected as a
    /// result.
    pub(crate) fn record_failure(
        &self,
        upstream: NameHash,
        failure: UpstreamFailure,
        sent_at: Instant,
    ) -> bool {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        if !self.tracks_links {
            state.failure_detector.record_failure(upstream, failure, sent_at, now);
            return state.outlier_detector.record_failure(upstream, failure, now);
        }
        match failure {
            UpstreamFailure::Rejected | UpstreamFailure::ErrorResponse => {
                state.failure_detector.record_failure(upstream, failure, sent_at, now);
                state.record_link_response(upstream, now);
            }
            UpstreamFailure::ConnectFailed
            | UpstreamFailure::ConnectTimedOut
            | UpstreamFailure::TimedOut
            | UpstreamFailure::ConnectionLost
            | UpstreamFailure::WrongInstance => {
                if !state.is_partitioned_from(upstream) {
                    state.record_link_failure(upstream, failure, sent_at, now);
                }
            }
        }
        state.outlier_detector.record_failure(upstream, failure, now)
    }

    /// Records the load that an upstream reported. `mean_load` is that of its pool.
    pub(crate) fn record_load(&self, upstream: NameHash, load: dialect::ReportedLoad, mean_load: f32) {
        let in_progress = load.running.saturating_add(load.waiting);
        let now = bendhinge_clock::now();
        let report = UpstreamLoad { upstream, in_progress, reported_at: now };
        let mut state = self.state.lock().unwrap();
        state.loads.record(report, UpdateSource::Local);
        state.record_work_report(upstream, load, now);
        if self.costs.is_overloaded(in_progress as f32, mean_load) {
            self.record_overload(&mut state, report, UpdateSource::Local, now);
        }
    }

    /// Returns the available upstreams of the pools for which `pool_matches` returns `true`.
    pub(crate) fn available_in_pools(
        &self,
        pool_matches: impl Fn(&PoolName) -> bool,
    ) -> Vec<Arc<UpstreamEntry>> {
        let state = self.state.lock().unwrap();
        let now = bendhinge_clock::now();
        let listed = state.directory.upstreams().iter().filter(|listed| state.is_available(listed, now));
        listed.map(|listed| Arc::clone(&listed.entry)).filter(|entry| pool_matches(&entry.pool)).collect()
    }

    /// Whether requests of this gateway are in progress at an upstream.
    pub(crate) fn has_own_requests(&self, upstream: NameHash) -> bool {
        self.state.lock().unwrap().loads.own_requests(upstream) > 0.0
    }

    /// Whether an upstream is listed or was removed recently.
    pub(crate) fn contains(&self, upstream: NameHash) -> bool {
        self.state.lock().unwrap().directory.contains(upstream)
    }

    /// Returns the software hashes of all upstreams, including recently removed ones.
    pub(crate) fn software_hashes(&self) -> Vec<NameHash> {
        self.state.lock().unwrap().directory.upstreams().iter().map(|listed| listed.entry.software).collect()
    }

    /// Sets the number of known gateways, including this one.
    pub(crate) fn set_gateway_count(&self, gateway_count: usize) {
        self.state.lock().unwrap().gateway_count = (gateway_count > 1).then_some(gateway_count);
    }

    /// Drops expired state.
    pub(crate) fn prune(&self) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        state.prune_engines(now);
        state.overloads.prune(now);
        state.software.prune(now);
        self.plain.lock().unwrap().retain_listed(|upstream| state.directory.contains(upstream));
        if state.directory.prune(now) {
            state.drop_removed();
        }
        let State { directory, failure_detector, cached_parts, cache_updates, backoffs, .. } = &mut *state;
        backoffs.prune(now);
        cache_updates.evict_expired(now);
        failure_detector.prune(|upstream| directory.contains(upstream), now);
        cached_parts.prune(|upstream| directory.contains(upstream), now);
    }
}

impl State {
    pub(super) fn apply_list(&mut self) {
        if let Some(list) = self.replica.value() {
            let now = bendhinge_clock::now();
            self.directory.apply(list, now);
            self.software.record_list(list, now);
            self.drop_removed();
        }
    }

    fn drop_removed(&mut self) {
        let Self { directory, outlier_detector, loads, reachability, .. } = self;
        outlier_detector.retain_listed(|upstream| directory.contains(upstream));
        reachability.retain_listed(|upstream| directory.contains(upstream));
        loads.retain_listed(|upstream| directory.contains(upstream));
    }
}
