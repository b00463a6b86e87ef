//! Selection of the upstream with the lowest estimated cost, from cached prompt parts, load and
//! failure rate, subject to a load limit.

use bendhinge_ids::{Instant, NameHash};

use crate::hash::{hash_pair, hash_pair_unit};
use crate::homes::{HomeLimits, HomeSelection, home};
use crate::locality::{is_extra_copy_worthwhile, is_preferred, preferred_distance};
use crate::work::work_cost;
use crate::{CachedParts, Prompt};

/// An upstream considered for a request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Hash of the upstream's name.
    pub upstream: NameHash,
    /// Estimated number of requests in progress.
    pub load: f32,
    /// Recent fraction of failed requests, from 0 to 1.
    pub failure_rate: f32,
    /// Whether it accepts new requests. An upstream that does not can still be a fetch source.
    pub takes_work: bool,
    /// Whether it is warming up after its start.
    pub is_warming: bool,
    /// Whether its load counts in the pool's mean load. True for every healthy upstream,
    /// including those that are drained.
    pub counts_in_mean: bool,
    /// Where it is relative to the router.
    pub distance: Distance,
    /// Estimated work there; `None` if the cost depends on the number of requests only.
    pub work: Option<CandidateWork>,
}

/// Where an upstream is relative to the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the router's own data centre.
    Local,
    /// In another data centre.
    Remote,
}

/// Estimated work at an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateWork {
    /// Prompt tokens that wait to be processed or are being processed.
    pub pending_tokens: f32,
    /// Requests that wait for a slot.
    pub waiting: f32,
    /// Requests that run.
    pub running: f32,
    /// How long work takes at present relative to the usual; 1 is usual.
    pub pace: f32,
}

/// Weights of the cost estimate. Costs are measured in prompt tokens to process.
#[derive(Clone, Copy, Debug)]
pub struct CostModel {
    /// Cost of one request that is already in progress on the upstream.
    pub tokens_per_request: f32,
    /// Jitter among interchangeable upstreams, as a multiple of the mean load, plus one
    /// request. It keeps routers that share the same stale load data from choosing the same
    /// upstream.
    pub jitter_factor: f32,
    /// Cost at a failure rate of 1.
    pub tokens_per_failure: f32,
    /// Cost of a missing token on the home upstream, relative to processing it elsewhere. Less
    /// than 1, since another router may already have sent the same parts there.
    pub home_read_factor: f32,
    /// Cost of fetching a token from another upstream, relative to processing it.
    pub fetch_factor: f32,
    /// Cost of fetching a token to the home upstream, relative to processing it. Low, so that
    /// prompts move to their home, where routers without cache data send them.
    pub home_fetch_factor: f32,
    /// Cost per shared token of using an upstream other than the home.
    pub remote_factor: f32,
    /// Minimum number of tokens for which a fetch is worthwhile.
    pub min_fetch_tokens: u32,
    /// Maximum load of an upstream as a multiple of the mean load.
    pub load_bound_factor: f32,
    /// Number of requests allowed in addition to that multiple.
    pub load_bound_slack: f32,
    /// Cost of a pending token that a request waits for, relative to processing a token. Less than 1, since
    /// waiting delays one request, whereas processing a prompt again takes the upstream's time from all.
    pub wait_factor: f32,
    /// Cost of a token to process for each request that runs on the upstream, which it delays. Applies
    /// to candidates whose work is known.
    pub slowdown_factor: f32,
    /// Maximum number of pending prompt tokens of a home that is to process a prompt which no upstream has
    /// cached. Above it, the next upstream in the home order is the home. Applies to candidates whose work
    /// is known.
    pub home_pending_tokens: f32,
    /// Fraction of the load limit above the mean load that the requests of one affinity key may use on each of its
    /// homes. The rest is for the other keys of the home and for what routers do not know yet.
    pub key_headroom: f32,
    /// Number of tokens whose fetch costs as much as a request and its response between data centres.
    pub fetched_tokens_per_crossing: f32,
    /// Number of tokens that cost as much to process. Processing delays other requests, and costs five to
    /// ten times as much as fetching.
    pub read_tokens_per_crossing: f32,
    /// Number of requests that a copy of a prompt in another data centre saves from crossing before its home
    /// changes. Longer prompts have one home for all data centres.
    pub crossings_per_copy: f32,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            tokens_per_request: 60.0,
            jitter_factor: 2.0,
            tokens_per_failure: 4_000.0,
            home_read_factor: 0.3,
            fetch_factor: 0.3,
            home_fetch_factor: 0.02,
            remote_factor: 0.05,
            min_fetch_tokens: 400,
            load_bound_factor: 1.5,
            load_bound_slack: 2.0,
            wait_factor: 0.3,
            slowdown_factor: 0.02,
            home_pending_tokens: 12_000.0,
            key_headroom: 0.5,
            fetched_tokens_per_crossing: 200.0,
            read_tokens_per_crossing: 35.0,
            crossings_per_copy: 5.0,
        }
    }
}

/// Load of an overloaded upstream, as a multiple of the load limit. Few upstreams reach it by chance, even where the limit
/// is a few requests.
const OVERLOAD_FACTOR: f32 = 4.0 / 3.0;

/// Mean load of the upstreams that take requests, as a fraction of the load limit, above which the limit is near. Pools
/// of which all upstreams take requests exceed it from twelve requests on each; they have more room.
const NEAR_LIMIT_FRACTION: f32 = 0.6;

/// The load of an upstream, and whether it takes its share of the requests.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamUsage {
    /// Estimated number of requests in progress.
    pub load: f32,
    /// Whether it takes requests like the others: it is neither drained nor warming up.
    pub takes_requests: bool,
}

#[derive(Default)]
struct MeanLoad {
    upstreams: f32,
    load: f32,
}

impl MeanLoad {
    fn add(&mut self, load: f32) {
        self.upstreams += 1.0;
        self.load += load;
    }

    fn mean(&self) -> f32 {
        self.load / self.upstreams.max(1.0)
    }
}

impl CostModel {
    /// Returns whether an upstream with `load` requests is overloaded, in a pool with this mean load.
    #[must_use]
    pub fn is_overloaded(&self, load: f32, mean_load: f32) -> bool {
        load >= self.load_limit(mean_load) * OVERLOAD_FACTOR
    }

    /// Returns whether the upstreams of a pool that take requests are close to the load limit on average. Reports that
    /// are as old as requests last then come too late to keep single upstreams below it.
    #[must_use]
    pub fn is_near_load_limit(&self, upstreams: impl Iterator<Item = UpstreamUsage>) -> bool {
        let (mut all, mut taking) = (MeanLoad::default(), MeanLoad::default());
        for UpstreamUsage { load, takes_requests } in upstreams {
            all.add(load);
            if takes_requests {
                taking.add(load);
            }
        }
        taking.mean() > NEAR_LIMIT_FRACTION * self.load_limit(all.mean())
    }

    /// Returns the maximum load of an upstream of a pool with this mean load.
    pub(crate) fn load_limit(&self, mean_load: f32) -> f32 {
        self.load_bound_factor * mean_load + self.load_bound_slack
    }

    /// Returns the number of homes over which the `key_requests` in progress with one affinity key are distributed: one
    /// as long as it bears them within the load limit.
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "float casts saturate")]
    fn home_count(&self, key_requests: f32, mean_load: f32) -> usize {
        let headroom = (self.load_limit(mean_load) - mean_load).max(1.0);
        if key_requests <= headroom {
            return 1;
        }
        ((key_requests / (headroom * self.key_headroom)).ceil() as usize).max(1)
    }
}

/// The reason for choosing an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It is the home of the prompt's affinity key.
    Home,
    /// It probably has all shared parts of the prompt in its cache.
    Cached,
    /// It has the lowest cost, but is not the home and lacks shared parts.
    LeastCost,
}

impl ChoiceReason {
    /// Returns the label used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Cached => "kept",
            Self::LeastCost => "least_cost",
        }
    }
}

/// The result of [`choose`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// Index of the chosen candidate.
    pub candidate: usize,
    /// Index of the candidate from which missing parts should be fetched.
    pub fetch_source: Option<usize>,
    /// The reason for the choice.
    pub reason: ChoiceReason,
    /// Estimated cost, in tokens.
    pub cost: f32,
    /// Estimated number of shared tokens that the chosen upstream lacks.
    pub missing_tokens: u32,
    /// Estimated mean load of the pool.
    pub mean_load: f32,
    /// Number of homes of the prompt's affinity key.
    pub homes: usize,
}

impl Choice {
    /// Whether the chosen upstream has to process or fetch shared parts without being their home.
    fn needs_extra_copy(&self) -> bool {
        self.missing_tokens > 0 && self.reason != ChoiceReason::Home
    }
}

/// The properties of a request that determine its cost on each candidate.
#[derive(Clone, Copy, Debug)]
pub struct CostQuery<'a> {
    /// The prompt, if the upstreams of the pool cache prompts.
    pub prompt: Option<&'a Prompt>,
    /// Whether upstreams can fetch cached parts from each other.
    pub can_fetch: bool,
    /// A random number per request that breaks ties.
    pub tie_breaker: u64,
    /// Preference for the router's own data centre; `None` if data centres do not matter.
    pub locality: Option<Locality>,
    /// Estimated number of requests with the prompt's affinity key that all routers together have in progress; 0 if
    /// unknown. A popular key has several homes.
    pub key_requests: f32,
}

/// Preference for the router's own data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Locality {
    /// Fraction of the data centre's own demand that is sent to other data centres, from 0 to 1.
    pub spill: f32,
}

/// Returns the candidate with the lowest cost, or `None` if no candidate accepts requests.
#[must_use]
pub fn choose(
    model: &CostModel,
    query: &CostQuery<'_>,
    candidates: &[Candidate],
    cached_parts: &CachedParts,
    now: Instant,
) -> Option<Choice> {
    let mean_load = mean_load(candidates);
    // Candidates at or above the limit are chosen only if no candidate is below it.
    let limit = model.load_limit(mean_load);
    let cached_tokens: Vec<u32> = cached_tokens_by_candidate(query, candidates, cached_parts, now);
    let max_cached_tokens = cached_tokens.iter().copied().max().unwrap_or_default();
    let side = preferred_distance(model, query, candidates, max_cached_tokens);
    let fetchable_tokens = fetchable_tokens(query, candidates, &cached_tokens);
    let homes = model.home_count(query.key_requests, mean_load);
    let home = query.prompt.and_then(|prompt| {
        let is_cached = max_cached_tokens >= prompt.shared_tokens();
        let pending_tokens = if is_cached { f32::INFINITY } else { model.home_pending_tokens };
        let limits = HomeLimits { load: limit, pending_tokens, side };
        home(prompt, candidates, limits, HomeSelection { homes, tie_breaker: query.tie_breaker })
    });
    let evaluator = CostEvaluator {
        model,
        query,
        candidates,
        cached_tokens,
        max_cached_tokens,
        fetchable_tokens,
        home,
        homes,
        mean_load,
    };
    let accepting = || (0..candidates.len()).filter(|index| candidates[*index].takes_work);
    let within_limit = || accepting().filter(|index| candidates[*index].load < limit);
    let best = |indices: &mut dyn Iterator<Item = usize>| {
        indices.map(|index| evaluator.evaluate(index)).min_by(|left, right| {
            left.cost
                .total_cmp(&right.cost)
                .then_with(|| evaluator.tie_hash(left.candidate).cmp(&evaluator.tie_hash(right.candidate)))
        })
    };
    let preferred = side
        .and_then(|side| best(&mut within_limit().filter(|index| is_preferred(&candidates[*index], side))));
    let best_within_limit = || best(&mut within_limit());
    let choice = match preferred {
        Some(choice)
            if choice.needs_extra_copy()
                && !is_extra_copy_worthwhile(model, query, choice.missing_tokens) =>
        {
            best_within_limit().filter(|other| !other.needs_extra_copy()).or(preferred)
        }
        Some(_) => preferred,
        None => best_within_limit().or_else(|| best(&mut accepting())),
    }?;
    Some(Choice { fetch_source: evaluator.fetch_source_for(choice.candidate), ..choice })
}

/// Returns the mean load of the pool. Drained upstreams are included, so that draining part of a
/// pool does not raise the limit of the others.
pub(crate) fn mean_load(candidates: &[Candidate]) -> f32 {
    let mut mean = MeanLoad::default();
    let counted_candidates = candidates.iter().filter(|candidate| candidate.counts_in_mean);
    counted_candidates.for_each(|candidate| mean.add(candidate.load));
    mean.mean()
}

/// Returns the estimated number of cached prompt tokens for each candidate.
fn cached_tokens_by_candidate(
    query: &CostQuery<'_>,
    candidates: &[Candidate],
    cached_parts: &CachedParts,
    now: Instant,
) -> Vec<u32> {
    let Some(prompt) = query.prompt else { return Vec::new() };
    let cached_tokens = cached_parts.cached_tokens_by_upstream(prompt, now);
    let tokens = |candidate: &Candidate| cached_tokens.get(&candidate.upstream).copied().unwrap_or_default();
    candidates.iter().map(tokens).collect()
}

/// Returns the maximum number of cached prompt tokens of a candidate that can serve as a fetch source.
fn fetchable_tokens(query: &CostQuery<'_>, candidates: &[Candidate], cached_tokens: &[u32]) -> u32 {
    let Some(prompt) = query.prompt else { return 0 };
    let sources = candidates.iter().zip(cached_tokens);
    let sources = sources.filter(|(candidate, _)| can_be_fetched_from(prompt, candidate));
    sources.map(|(_, tokens)| *tokens).max().unwrap_or_default()
}

/// Returns whether a candidate that is expected to have parts of `prompt` has them already. Parts are
/// expected from when a request is sent, so many pending tokens may be those of this prompt.
fn can_be_fetched_from(prompt: &Prompt, candidate: &Candidate) -> bool {
    candidate.work.is_none_or(|work| work.pending_tokens * 2.0 < prompt.shared_tokens() as f32)
}

struct CostEvaluator<'a> {
    model: &'a CostModel,
    query: &'a CostQuery<'a>,
    candidates: &'a [Candidate],
    /// Estimated number of cached prompt tokens for each candidate.
    cached_tokens: Vec<u32>,
    /// The maximum of `cached_tokens`.
    max_cached_tokens: u32,
    /// The maximum number of cached tokens of a candidate that can serve as a fetch source.
    fetchable_tokens: u32,
    home: Option<usize>,
    homes: usize,
    mean_load: f32,
}

impl CostEvaluator<'_> {
    fn evaluate(&self, index: usize) -> Choice {
        let candidate = &self.candidates[index];
        let load_cost = candidate.load * self.model.tokens_per_request
            + candidate.failure_rate * self.model.tokens_per_failure;
        let Some(prompt) = self.query.prompt else {
            let cost = load_cost + self.jitter(index, self.model.jitter_factor);
            return Choice {
                candidate: index,
                fetch_source: None,
                reason: ChoiceReason::LeastCost,
                cost,
                missing_tokens: 0,
                mean_load: self.mean_load,
                homes: self.homes,
            };
        };
        let own_cached_tokens = self.cached_tokens[index];
        let missing_tokens = prompt.shared_tokens() - own_cached_tokens;
        let is_home = self.home == Some(index);
        let fetched_tokens = self.fetched_tokens(prompt, own_cached_tokens);
        let remote_cost = prompt.shared_tokens() as f32 * self.model.remote_factor;
        let (read, fetched) = ((missing_tokens - fetched_tokens) as f32, fetched_tokens as f32);
        let prompt_cost = if is_home {
            fetched * self.model.home_fetch_factor + read * self.home_read_factor(candidate, prompt)
        } else {
            fetched * self.model.fetch_factor + read + remote_cost
        };
        let reason = match (is_home, missing_tokens) {
            (true, _) => ChoiceReason::Home,
            (false, 0) => ChoiceReason::Cached,
            (false, _) => ChoiceReason::LeastCost,
        };
        // Candidates that must process or fetch parts are numerous and similar, so they get
        // more jitter than the home and the candidates that have the prompt cached.
        let is_interchangeable = missing_tokens > 0 && !is_home;
        let spread = if is_interchangeable { self.model.jitter_factor * self.mean_load + 1.0 } else { 1.0 };
        let unread_tokens = (prompt.tokens() - prompt.shared_tokens()) as f32 + read;
        let work_cost = candidate.work.map_or(0.0, |work| work_cost(self.model, &work, unread_tokens));
        let cost = load_cost + prompt_cost + work_cost + self.jitter(index, spread);
        Choice {
            candidate: index,
            fetch_source: None,
            reason,
            cost,
            missing_tokens,
            mean_load: self.mean_load,
            homes: self.homes,
        }
    }

    /// Returns the cost of a missing token on the home. A copy elsewhere that cannot be fetched yet is
    /// being processed there, and the home does not have it.
    fn home_read_factor(&self, home: &Candidate, prompt: &Prompt) -> f32 {
        let is_elsewhere = home.work.is_some() && self.max_cached_tokens >= prompt.shared_tokens();
        if is_elsewhere { 1.0 } else { self.model.home_read_factor }
    }

    /// Returns the number of tokens that a candidate with `own_cached_tokens` would fetch from
    /// one with the most cached tokens; 0 if a fetch is not worthwhile.
    fn fetched_tokens(&self, prompt: &Prompt, own_cached_tokens: u32) -> u32 {
        if !self.query.can_fetch || prompt.shared_tokens() - own_cached_tokens < self.model.min_fetch_tokens {
            return 0;
        }
        let additional_tokens = self.fetchable_tokens.saturating_sub(own_cached_tokens);
        if additional_tokens < self.model.min_fetch_tokens { 0 } else { additional_tokens }
    }

    /// Returns the candidate from which the candidate at `index` should fetch missing parts, if
    /// any.
    ///
    /// The source is picked pseudo-randomly among all candidates with the most cached tokens:
    /// each source serves its fetches one at a time, so a fixed choice would queue them. With a
    /// preference for the own data centre, sources there are used first by its upstreams.
    fn fetch_source_for(&self, index: usize) -> Option<usize> {
        let prompt = self.query.prompt?;
        if self.fetched_tokens(prompt, self.cached_tokens[index]) == 0 {
            return None;
        }
        let is_source = |index: &usize| {
            self.cached_tokens[*index] == self.fetchable_tokens
                && can_be_fetched_from(prompt, &self.candidates[*index])
        };
        let mut sources: Vec<usize> = (0..self.cached_tokens.len()).filter(is_source).collect();
        let is_local = |index: usize| self.candidates[index].distance == Distance::Local;
        let prefers_local = self.query.locality.is_some() && is_local(index);
        if prefers_local && sources.iter().any(|source| is_local(*source)) {
            sources.retain(|source| is_local(*source));
        }
        let choice = self.tie_hash(index) % sources.len().max(1) as u64;
        sources.get(usize::try_from(choice).unwrap_or_default()).copied()
    }

    /// Returns a pseudo-random cost of up to `spread` requests that depends on the request and
    /// the upstream, so that routers with the same data do not all choose the same upstream.
    fn jitter(&self, index: usize, spread: f32) -> f32 {
        let share = hash_pair_unit(self.query.tie_breaker, self.candidates[index].upstream.0);
        share * spread * self.model.tokens_per_request
    }

    fn tie_hash(&self, index: usize) -> u64 {
        hash_pair(self.query.tie_breaker, self.candidates[index].upstream.0)
    }
}
