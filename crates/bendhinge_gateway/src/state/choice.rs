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
use super::plain::RefusedPermit;
use super::software::SoftwareRule;
use super::upstreams::{State, UpstreamView};
use crate::permits::Permit;

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
    /// Upstreams at their limit, according to the gateways that issue their permits.
    pub(crate) refused_permits: &'a [RefusedPermit],
    /// Whether the request may probe an ejected upstream, because it can be retried if that fails.
    pub(crate) may_probe: bool,
    /// A number that differs between requests, to break ties.
    pub(crate) tie_breaker: u64,
}

/// An upstream chosen for a request.
///
/// [`UpstreamView::start`] counts the request toward the load of the upstream.
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
    /// The number of requests there at which no permit is issued; `None` if none is needed.
    pub(crate) permit_limit: Option<u32>,
    /// The number of other requests there according to the gateway that issued the permit.
    pub(crate) counted: Option<u32>,
    /// The number of upstreams for which no permit was issued before.
    pub(crate) refused_permits: usize,
    /// How long the request waited for the permit.
    pub(crate) permit_wait: Duration,
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
    /// Counts the request toward the upstream's load, once started, until dropped.
    pub(crate) guard: RequestGuard,
}

/// Counts a request toward the load of its upstream, once started, until dropped.
pub(crate) struct RequestGuard {
    view: Arc<UpstreamView>,
    upstream: NameHash,
    /// When the request was counted; `None` if it is not.
    started_at: Option<Instant>,
    permit: Option<Permit>,
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
        let Some(started_at) = self.started_at else { return };
        let now = bendhinge_clock::now();
        let mut state = self.view.state.lock().unwrap();
        state.loads.end_request(self.upstream, now.since(started_at));
        if let Some(work) = &self.work {
            state.end_work(work, now);
        }
        if let Some(key) = self.key {
            state.key_requests.end(key);
        }
        drop(state);
        if let Some(pool) = &self.plain_pool {
            // A send that a hedge superseded counts with the time that it took so far.
            let response_time = (!self.has_failed.load(Ordering::Relaxed)).then(|| now.since(started_at));
            self.view.plain.lock().unwrap().end(pool, self.upstream, response_time, now);
        }
    }
}

impl UpstreamView {
    /// Chooses an upstream for a request.
    pub(crate) fn choose(self: &Arc<Self>, request: &PlacementRequest<'_>) -> Option<ChosenUpstream> {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        if request.refused_permits.is_empty() {
            state.record_demand(request.pool, now);
        }
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
        let plain = if shares_times {
            let chosen = self.plain.lock().unwrap().choose(
                request.pool,
                &candidates,
                locality.is_some(),
                request.refused_permits,
                &self.totals,
                request.tie_breaker,
            )?;
            Some(chosen)
        } else {
            None
        };
        let choice = match &plain {
            Some(plain) => plain.choice,
            None => choose(&self.costs, &query, &candidates, &state.cached_parts, now)?,
        };
        let load = plain.as_ref().map_or(candidates[choice.candidate].load, |plain| plain.in_progress);
        let needs_permit = self.load_settings.permits.is_active(is_pace_reported);
        let entry = Arc::clone(&listed[choice.candidate].entry);
        let has_other_software = listed.iter().any(|other| other.entry.software != entry.software);
        let fetch_from = choice.fetch_source.map(|source| listed[source].entry.address);
        let guard = RequestGuard {
            view: Arc::clone(self),
            upstream: entry.hash,
            started_at: None,
            permit: None,
            work: None,
            key,
            plain_pool: shares_times.then(|| request.pool.clone()),
            has_failed: AtomicBool::new(false),
        };
        Some(ChosenUpstream {
            load_basis: state.loads.basis(entry.hash, now),
            entry,
            fetch_from,
            reason: choice.reason,
            load,
            totals_age: plain.as_ref().map(|plain| plain.totals_age),
            totals_gateways: plain.as_ref().map(|plain| plain.totals_gateways),
            counted: None,
            refused_permits: 0,
            permit_wait: Duration::ZERO,
            permit_limit: plain.map(|plain| plain.permit_limit).filter(|_| needs_permit),
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

    /// Counts a request toward the load of the upstream that was chosen for it, until the guard is dropped.
    pub(crate) fn start(
        &self,
        chosen: &mut ChosenUpstream,
        request: &PlacementRequest<'_>,
        permit: Option<Permit>,
    ) {
        let now = bendhinge_clock::now();
        let ChosenUpstream { entry, fetch_from, missing_tokens, guard, .. } = chosen;
        let read_tokens = if fetch_from.is_some() { 0 } else { *missing_tokens };
        let prompt = request.prompt.filter(|_| request.rule.is_some_and(|rule| rule.caches_prompts));
        let mut state = self.state.lock().unwrap();
        if let Some(key) = guard.key {
            state.key_requests.start(key);
        }
        guard.work = state.start_send(request.pool, entry.hash, prompt, read_tokens, now);
        drop(state);
        if let Some(pool) = &guard.plain_pool {
            self.plain.lock().unwrap().start(pool, entry.hash, now);
        }
        guard.permit = permit;
        guard.started_at = Some(now);
        chosen.chosen_at = now;
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
