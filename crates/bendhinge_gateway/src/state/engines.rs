//! Work and load of the engine pools.

use std::time::Duration;

use bendhinge_admission::engine::EnginePoolLoad;
use bendhinge_fleet::{ListedUpstream, PoolWork, SendId, SendWork, UpstreamHealth, WorkReport};
use bendhinge_ids::{Instant, NameHash, PoolName};
use bendhinge_placement::{CandidateWork, Prompt};
use bendhinge_routes::{PoolRule, RegionFilter};
use rustc_hash::FxHashMap;

use super::upstreams::{State, UpstreamView};
use crate::dialect::ReportedLoad;
use crate::settings::Activation;

/// Time for which a calculated pool load is used. Short compared to the age of the loads that go into it.
const POOL_LOAD_VALIDITY: Duration = Duration::from_millis(20);

/// The engine pools, as far as their work is tracked.
#[derive(Default)]
pub(super) struct EnginePools {
    /// Whether an upstream has reported how long its work takes at present.
    pub(super) is_pace_reported: bool,
    pub(super) work: FxHashMap<PoolName, PoolWork>,
    loads: FxHashMap<PoolName, (Instant, EnginePoolLoad)>,
}

/// A send whose work is tracked until it ends.
#[derive(Clone, Debug)]
pub(super) struct TrackedWork {
    pub(super) pool: PoolName,
    pub(super) id: SendId,
}

impl UpstreamView {
    /// Whether a decision with this activation is in effect.
    pub(crate) fn is_active(&self, activation: Activation) -> bool {
        activation != Activation::No
            && activation.is_active(self.state.lock().unwrap().engines.is_pace_reported)
    }

    /// Returns this gateway's number of requests in progress at each pool whose work is tracked, at upstreams that take
    /// work: requests at lost upstreams would count against the slots of the others until they time out.
    pub(crate) fn own_engine_requests(&self, now: Instant) -> Vec<(PoolName, f32)> {
        let state = self.state.lock().unwrap();
        let takes_work =
            |upstream| state.directory.get(upstream).is_some_and(|listed| state.takes_work(listed, now));
        let own = |work: &PoolWork| work.own_sends(takes_work) as f32;
        state.engines.work.iter().map(|(pool, work)| (pool.clone(), own(work))).collect()
    }

    /// Returns the load of an engine pool, as far as its upstreams take work in the allowed regions, or `None` before the
    /// complete list is known.
    /// `in_progress` is the number of requests that all gateways together have in progress there, if known: upstreams
    /// report their load at the head of a response, so requests that still wait are missing from reports.
    pub(crate) fn engine_pool_load(
        &self,
        pool: &PoolName,
        rule: Option<&PoolRule>,
        allowed: [&RegionFilter; 2],
        in_progress: Option<f32>,
    ) -> Option<EnginePoolLoad> {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        // The slots of a partial list are too few for the requests of the whole fleet.
        state.replica.current()?;
        if let Some((calculated_at, load)) = state.engines.loads.get(pool)
            && now.since(*calculated_at) < POOL_LOAD_VALIDITY
        {
            return Some(*load);
        }
        let load = state.calculate_pool_load(pool, rule, allowed, &self.location.regions, in_progress, now);
        state.engines.loads.insert(pool.clone(), (now, load));
        Some(load)
    }
}

impl State {
    fn calculate_pool_load(
        &mut self,
        pool: &PoolName,
        rule: Option<&PoolRule>,
        allowed: [&RegionFilter; 2],
        regions: &crate::settings::RegionMap,
        in_progress: Option<f32>,
        now: Instant,
    ) -> EnginePoolLoad {
        let listed = self.upstreams_in_regions(pool, allowed, regions);
        let mean_load = self.loads.mean_other_requests(listed.iter().map(|listed| listed.entry.hash), now);
        let accepting = listed.iter().filter(|listed| self.takes_work(listed, now));
        let loads: Vec<(NameHash, f32)> = accepting
            .clone()
            .map(|listed| (listed.entry.hash, self.estimated_load(listed, mean_load, now)))
            .collect();
        let configured_slots = rule.and_then(|rule| rule.slots);
        let slots = accepting
            .map(|listed| configured_slots.unwrap_or(listed.entry.slots))
            .fold(0, u32::saturating_add);
        let estimated: f32 = loads.iter().map(|(_, load)| load).sum();
        let in_progress = estimated.max(in_progress.unwrap_or_default());
        let work = self.engines.work.get_mut(pool);
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "float casts saturate")]
        EnginePoolLoad {
            upstreams: u32::try_from(loads.len()).unwrap_or(u32::MAX),
            slots,
            in_progress: in_progress.round() as u32,
            predicted_wait: work.and_then(|work| work.predicted_wait(loads.into_iter(), now)),
            router_count: u32::try_from(self.gateway_count.unwrap_or(1)).unwrap_or(u32::MAX),
        }
    }

    fn takes_work(&self, listed: &ListedUpstream, now: Instant) -> bool {
        let health = self.outlier_detector.health(listed.entry.hash, now);
        self.is_available(listed, now) && matches!(health, UpstreamHealth::Healthy { .. })
    }

    /// Records the work that an upstream reported.
    pub(super) fn record_work_report(&mut self, upstream: NameHash, load: ReportedLoad, now: Instant) {
        self.engines.is_pace_reported |= load.pace_percent.is_some();
        let Some(listed) = self.directory.get(upstream) else { return };
        let report = WorkReport {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            pace_percent: load.pace_percent,
        };
        let pool = &listed.entry.pool;
        if let Some(work) = self.engines.work.get_mut(pool) {
            work.record_report(upstream, report, now);
        } else {
            self.engines.work.entry(pool.clone()).or_default().record_report(upstream, report, now);
        }
    }

    /// Returns the work at an upstream that has `load` requests in progress.
    pub(super) fn candidate_work(
        &self,
        pool: &PoolName,
        upstream: NameHash,
        load: f32,
        now: Instant,
    ) -> Option<CandidateWork> {
        let work = self.engines.work.get(pool)?.estimate(upstream, load, now);
        Some(CandidateWork {
            pending_tokens: work.pending_tokens,
            waiting: work.waiting,
            running: work.running,
            pace: work.pace,
        })
    }

    /// Tracks the work of a request that is sent to an upstream, which lacks `missing_tokens` of the shared part of
    /// its prompt and does not fetch them.
    pub(super) fn start_work(
        &mut self,
        pool: &PoolName,
        upstream: NameHash,
        prompt: &Prompt,
        missing_tokens: u32,
        now: Instant,
    ) -> Option<TrackedWork> {
        let own_tokens = prompt.tokens().saturating_sub(prompt.shared_tokens());
        let send = SendWork { unread_tokens: own_tokens.saturating_add(missing_tokens) };
        let id = self.engines.work.get_mut(pool)?.start(upstream, send, now);
        Some(TrackedWork { pool: pool.clone(), id })
    }

    /// Records the first event of a tracked send.
    pub(super) fn record_first_event(&mut self, tracked: &TrackedWork, now: Instant) {
        if let Some(work) = self.engines.work.get_mut(&tracked.pool) {
            work.first_event(tracked.id, now);
        }
    }

    /// Records the end of a tracked send.
    pub(super) fn end_work(&mut self, tracked: &TrackedWork, now: Instant) {
        if let Some(work) = self.engines.work.get_mut(&tracked.pool) {
            work.end(tracked.id, now);
        }
    }

    pub(super) fn prune_engines(&mut self, now: Instant) {
        let Self { directory, engines, .. } = self;
        for work in engines.work.values_mut() {
            work.prune(|upstream| directory.contains(upstream), now);
        }
    }
}
