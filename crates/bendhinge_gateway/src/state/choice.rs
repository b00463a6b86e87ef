//! Choice of the upstream for a request, and the record of the send.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bendhinge_fleet::{LoadBasis, PoolReports, TotalKey, UpdateSource, UpstreamEntry};
use bendhinge_ids::{Instant, NameHash, PoolName};
use bendhinge_placement::{ChoiceReason, CostQuery, Prompt, choose, spread_above_limit};
use bendhinge_routes::{PoolRule, RegionFilter};

use super::candidates::PoolSnapshot;
use super::engines::TrackedWork;
use super::software::SoftwareRule;
use super::upstreams::{State, UpstreamView};

/// The properties of a request that determine its upstream.
pub(crate) struct PlacementRequest<'a> {
    pub(crate) pool: &'a PoolName,
    pub(crate) rule: Option<&'a PoolRule>,
    pub(crate) prompt: Option<&'a Prompt>,
    /// The regions allowed by the route and by the customer. The request may only run in regions that both allow.
    pub(crate) regions: [&'a RegionFilter; 2],
    /// Upstreams that previous attempts were sent to.
    pub(crate) tried: &'a [NameHash],
    /// The software that may process the request.
    pub(crate) software: SoftwareRule,
    /// Whether the request may probe an ejected upstream, because it can be retried if that fails.
    pub(crate) may_probe: bool,
    /// A number that differs between requests, to break ties.
    pub(crate) tie_breaker: u64,
}

/// An upstream chosen for a request.
pub(crate) struct ChosenUpstream {
    pub(crate) entry: Arc<UpstreamEntry>,
    pub(crate) fetch_from: Option<SocketAddr>,
    pub(crate) reason: ChoiceReason,
    /// The estimated number of requests at the upstream by which it was chosen.
    pub(crate) load: f32,
    /// What the estimate is based on, apart from fleet totals.
    pub(crate) load_basis: LoadBasis,
    /// The age of the fleet totals that the estimate is based on, in a plain pool.
    pub(crate) totals_age: Option<Duration>,
    /// The number of gateways that these totals contain.
    pub(crate) totals_gateways: Option<u32>,
    /// The recent load reports of the pool's upstreams.
    pub(crate) pool_reports: PoolReports,
    /// The estimated average number of requests per upstream of the pool.
    pub(crate) mean_load: f32,
    pub(crate) chosen_at: Instant,
    /// The age of the upstream list at the time of the choice.
    pub(crate) list_age: Duration,
    /// The number of homes of the prompt.
    pub(crate) homes: usize,
    /// The number of tokens in shared prompt parts that the upstream is not expected to have cached.
    pub(crate) missing_tokens: u32,
    /// Whether upstreams of the pool run several versions of their software.
    pub(crate) has_other_software: bool,
    /// Counts the request toward the upstream's load until dropped.
    pub(crate) guard: RequestGuard,
}

/// Counts a request toward the load of its upstream until dropped.
pub(crate) struct RequestGuard {
    view: Arc<UpstreamView>,
    upstream: NameHash,
    started_at: Instant,
    work: Option<TrackedWork>,
    /// The affinity key of the prompt, if requests are counted by it.
    key: Option<TotalKey>,
    /// The plain pool whose response times count the send.
    plain_pool: Option<PoolName>,
    /// Whether the send ended without a response.
    has_failed: AtomicBool,
}

impl RequestGuard {
    /// Records that the send ended without a response.
    pub(crate) fn record_no_response(&self) {
        self.has_failed.store(true, Ordering::Relaxed);
    }

    /// Records the first event of the response.
    pub(crate) fn record_first_event(&self) {
        if let Some(work) = &self.work {
            self.view.state.lock().unwrap().record_first_event(work, bendhinge_clock::now());
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = bendhinge_clock::now();
        let mut state = self.view.state.lock().unwrap();
        state.loads.end_request(self.upstream, now.since(self.started_at));
        if let Some(work) = &self.work {
            state.end_work(work, now);
        }
        if let Some(key) = self.key {
            state.key_requests.end(key);
        }
        drop(state);
        if let Some(pool) = &self.plain_pool {
            // A send that a hedge superseded counts with the time that it took so far.
            let response_time =
                (!self.has_failed.load(Ordering::Relaxed)).then(|| now.since(self.started_at));
            self.view.plain.lock().unwrap().end(pool, self.upstream, response_time, now);
        }
    }
}

impl UpstreamView {
    /// Chooses an upstream for a request and counts the request toward its load.
    pub(crate) fn choose(self: &Arc<Self>, request: &PlacementRequest<'_>) -> Option<ChosenUpstream> {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        state.record_demand(request.pool, now);
        let is_pace_reported = state.engines.is_pace_reported;
        let uses_work = self.load_settings.work.is_active(is_pace_reported);
        let PoolSnapshot { listed, mut candidates, pool_reports } =
            state.candidates(request, &self.location, uses_work, now);
        if matches!(request.software, SoftwareRule::Only(_)) {
            spread_above_limit(&self.costs, &mut candidates);
        }
        let list_age = state.replica.age(now).unwrap_or_default();
        let prefers_local = self.load_settings.local_first.is_active(is_pace_reported);
        // A retry goes anywhere: what failed nearby may fail there again.
        let locality = (prefers_local && request.tried.is_empty())
            .then(|| self.localities.lock().unwrap().locality(request.pool, &listed, &candidates, now));
        let prompt = request.prompt.filter(|_| request.rule.is_some_and(|rule| rule.caches_prompts));
        let key = prompt.and_then(|prompt| self.counted_key(&state, request.pool, prompt));
        let query = CostQuery {
            prompt,
            can_fetch: request.rule.is_some_and(|rule| rule.transfers_cached_prompts),
            tie_breaker: request.tie_breaker,
            locality,
            key_requests: key.map_or(0.0, |key| self.key_requests(&state, key, now)),
        };
        let shares_times = query.prompt.is_none()
            && request.rule.is_none_or(|rule| !rule.caches_prompts)
            && self.load_settings.shared_response_times.is_active(is_pace_reported);
        let (choice, load, totals_age, totals_gateways) = if shares_times {
            let chosen = self.plain.lock().unwrap().choose(
                request.pool,
                &candidates,
                locality.is_some(),
                &self.totals,
                request.tie_breaker,
            )?;
            (chosen.choice, chosen.in_progress, Some(chosen.totals_age), Some(chosen.totals_gateways))
        } else {
            let choice = choose(&self.costs, &query, &candidates, &state.cached_parts, now)?;
            (choice, candidates[choice.candidate].load, None, None)
        };
        let entry = Arc::clone(&listed[choice.candidate].entry);
        let has_other_software = listed.iter().any(|other| other.entry.software != entry.software);
        let fetch_from = choice.fetch_source.map(|source| listed[source].entry.address);
        let read_tokens = if fetch_from.is_some() { 0 } else { choice.missing_tokens };
        let load_basis = state.loads.basis(entry.hash, now);
        if let Some(key) = key {
            state.key_requests.start(key);
        }
        let work = state.start_send(request.pool, entry.hash, query.prompt, read_tokens, now);
        drop(state);
        let plain_pool = shares_times.then(|| request.pool.clone());
        if let Some(pool) = &plain_pool {
            self.plain.lock().unwrap().start(pool, entry.hash, now);
        }
        let guard = RequestGuard {
            view: Arc::clone(self),
            upstream: entry.hash,
            started_at: now,
            work,
            key,
            plain_pool,
            has_failed: AtomicBool::new(false),
        };
        Some(ChosenUpstream {
            entry,
            fetch_from,
            reason: choice.reason,
            load,
            load_basis,
            totals_age,
            totals_gateways,
            pool_reports,
            mean_load: choice.mean_load,
            homes: choice.homes,
            missing_tokens: choice.missing_tokens,
            has_other_software,
            list_age,
            chosen_at: now,
            guard,
        })
    }
}

impl State {
    /// Records a send to `upstream`, which has to process `read_tokens` of the shared part of the prompt.
    fn start_send(
        &mut self,
        pool: &PoolName,
        upstream: NameHash,
        prompt: Option<&Prompt>,
        read_tokens: u32,
        now: Instant,
    ) -> Option<TrackedWork> {
        self.loads.start_request(upstream);
        self.outlier_detector.record_send(upstream, now);
        let prompt = prompt?;
        for cached_part in self.cached_parts.record_prompt(upstream, prompt, now) {
            self.cache_updates.push(cached_part, UpdateSource::Local, now);
        }
        self.start_work(pool, upstream, prompt, read_tokens, now)
    }
}
