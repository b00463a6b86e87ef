//! Which upstreams there are, what they carry and keep, and which of them a request goes to.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_admission::Demand;
use bendhinge_fleet::{
    Directory, FailureDetector, ListHistory, ListedUpstream, Loads, OutlierDetector, Replica,
    RequestedBackoffs, UpdateLog, UpdateLogLimits, UpdateOutcome, UpdateSource, UpstreamEntry,
    UpstreamFailure, UpstreamHealth, UpstreamList, UpstreamLoad, Version,
};
use bendhinge_ids::{Instant, NameHash, PoolName};
use bendhinge_peer::HeldVersion;
use bendhinge_placement::{
    CachedPart, CachedParts, Candidate, ChoiceReason, CostModel, CostQuery, Prompt, WarmupLimit, choose,
};
use bendhinge_routes::{AllowedRegions, PoolRule};
use rustc_hash::FxHashMap;

use super::peers::router_hash;
use crate::dialect;
use crate::settings::{RegionMap, UpstreamSettings};

/// How long an upstream is believed to keep what it read.
const KEPT_FOR: Duration = Duration::from_secs(90);
/// How much is told of what upstreams read. An entry takes 24 bytes before compression, so a message holds
/// 24 KB of them at most: at an exchange each 0.4 s, half a megabit a second. What is learned while a fleet starts
/// comes faster, and is kept until it is told.
const READS_TOLD: UpdateLogLimits = UpdateLogLimits {
    max_entries: 8_192,
    max_batch_entries: 1_000,
    max_age: Duration::from_secs(5),
    max_age_for_new_peer: Duration::from_millis(1_300),
};
/// What an upstream on trial is expected to fail.
const SHARE_FAILING_ON_TRIAL: f32 = 0.5;

/// A request that needs an upstream.
pub(crate) struct PlacementQuestion<'a> {
    pub(crate) pool: &'a PoolName,
    pub(crate) rule: Option<&'a PoolRule>,
    pub(crate) prompt: Option<&'a Prompt>,
    /// Where it may run, by its route and by its customer: each binds.
    pub(crate) regions: [&'a AllowedRegions; 2],
    /// Upstreams that were tried already.
    pub(crate) tried: &'a [NameHash],
    /// Whether the request may be an upstream's trial: it can be sent again if that fails.
    pub(crate) may_try: bool,
    /// A number that is another for each request.
    pub(crate) tie_breaker: u64,
}

/// An upstream chosen for a request.
pub(crate) struct Chosen {
    pub(crate) entry: Arc<UpstreamEntry>,
    pub(crate) fetch_from: Option<SocketAddr>,
    pub(crate) reason: ChoiceReason,
    /// Requests believed to be there.
    pub(crate) load: f32,
    /// Requests believed to be at each upstream of the pool on average.
    pub(crate) mean_load: f32,
    /// When it was chosen.
    pub(crate) at: Instant,
    /// How old the knowledge was that the list it was chosen from is current.
    pub(crate) list_age: Duration,
    /// Tokens of the prompt's shared parts that it is believed to lack.
    pub(crate) missing: u32,
    /// Its place there, held as long as this is.
    pub(crate) _place: Place,
}

pub(super) struct State {
    pub(super) belief: Replica<UpstreamList>,
    /// What there is to begin with before a list is there.
    part: Option<Arc<UpstreamList>>,
    pub(super) directory: Directory,
    pub(super) judge: OutlierDetector,
    /// The rests that upstreams asked this gateway for.
    rests: RequestedBackoffs,
    pub(super) evidence: FailureDetector,
    pub(super) loads: Loads,
    pub(super) kept: CachedParts,
    /// What was learned lately of what upstreams keep.
    pub(super) news: UpdateLog<CachedPart>,
    /// The lists that were held lately.
    pub(super) history: ListHistory,
    /// Sends to each pool.
    demand: FxHashMap<PoolName, Demand>,
    /// How many gateways there are, this one among them; `None` as long as it knows of no other.
    gateways: Option<usize>,
}

/// This gateway's view of the upstreams.
pub(crate) struct UpstreamView {
    pub(super) state: Mutex<State>,
    costs: CostModel,
    regions: RegionMap,
}

/// A request's place at an upstream, given back when dropped.
pub(crate) struct Place {
    view: Arc<UpstreamView>,
    upstream: NameHash,
    since: Instant,
}

impl Drop for Place {
    fn drop(&mut self) {
        let lasted = bendhinge_clock::now().since(self.since);
        self.view.state.lock().unwrap().loads.end_request(self.upstream, lasted);
    }
}

impl UpstreamView {
    /// No upstreams yet; `own` is where peers reach this gateway.
    pub(crate) fn new(own: SocketAddr, regions: RegionMap, settings: &UpstreamSettings) -> Self {
        let state = State {
            belief: Replica::default(),
            part: None,
            directory: Directory::new(settings.directory),
            judge: OutlierDetector::new(settings.judge),
            rests: RequestedBackoffs::default(),
            evidence: FailureDetector::new(router_hash(own)),
            loads: Loads::default(),
            kept: CachedParts::new(KEPT_FOR),
            news: UpdateLog::new(READS_TOLD),
            history: ListHistory::default(),
            demand: FxHashMap::default(),
            gateways: None,
        };
        let costs = CostModel { load_bound_factor: settings.load_bound, ..CostModel::default() };
        Self { state: Mutex::new(state), costs, regions }
    }

    /// Whether there is a list at all.
    pub(crate) fn is_known(&self) -> bool {
        self.state.lock().unwrap().belief.current().is_some()
    }

    /// Whether there is a list, or a part of one to begin with.
    pub(crate) fn is_begun(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.belief.current().is_some() || state.part.is_some()
    }

    /// Begins with a part of the list, until all of it is there.
    pub(crate) fn begin_with(&self, part: Arc<UpstreamList>) {
        let mut state = self.state.lock().unwrap();
        if state.belief.current().is_none() && !part.entries.is_empty() {
            state.directory.apply(&part, bendhinge_clock::now());
            state.part = Some(part);
        }
    }

    /// The part with which it has begun, if it holds no list yet.
    pub(crate) fn part(&self) -> Option<Arc<UpstreamList>> {
        self.state.lock().unwrap().part.clone()
    }

    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.state.lock().unwrap().belief.age(now)
    }

    pub(crate) fn known(&self, now: Instant) -> Option<HeldVersion> {
        self.state.lock().unwrap().belief.current().map(|held| HeldVersion::new(held, now))
    }

    pub(crate) fn list(&self) -> Option<Arc<UpstreamList>> {
        self.state.lock().unwrap().belief.value().cloned()
    }

    pub(crate) fn lacks(&self, version: Version) -> bool {
        self.state.lock().unwrap().belief.needs(version)
    }

    pub(crate) fn confirm(&self, version: Version, as_of: Instant) -> UpdateOutcome {
        let mut state = self.state.lock().unwrap();
        let offer = state.belief.confirm(version, as_of);
        if offer == UpdateOutcome::Confirmed {
            state.directory.confirm_current(as_of);
        }
        offer
    }

    pub(crate) fn offer(&self, version: Version, as_of: Instant, list: UpstreamList) -> UpdateOutcome {
        let mut state = self.state.lock().unwrap();
        let State { belief, history, .. } = &mut *state;
        let held = belief.value().cloned();
        let offer = belief.update(version, as_of, || {
            Arc::new(match &held {
                Some(held) => list.share_entries_with(held),
                None => list,
            })
        });
        if let (UpdateOutcome::Updated, Some(held)) = (offer, belief.current()) {
            history.push(held.version.digest, &held.value);
        }
        if offer != UpdateOutcome::Stale {
            state.directory.confirm_current(as_of);
        }
        if offer == UpdateOutcome::Updated {
            state.part = None;
            state.follow_list();
        }
        offer
    }

    /// Chooses an upstream, and takes a place there.
    pub(crate) fn choose(self: &Arc<Self>, question: &PlacementQuestion<'_>) -> Option<Chosen> {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        state.note_demand(question.pool, now);
        let (listed, candidates) = state.candidates(question, &self.regions, now);
        let list_age = state.belief.age(now).unwrap_or_default();
        let asked = CostQuery {
            prompt: question.prompt.filter(|_| question.rule.is_some_and(|rule| rule.caches_prompts)),
            can_fetch: question.rule.is_some_and(|rule| rule.transfers_cached_prompts),
            tie_breaker: question.tie_breaker,
        };
        let choice = choose(&self.costs, &asked, &candidates, &state.kept, now)?;
        let entry = Arc::clone(&listed[choice.candidate].entry);
        let fetch_from = choice.fetch_source.map(|source| listed[source].entry.address);
        let upstream = entry.hash;
        state.loads.start_request(upstream);
        state.judge.record_send(upstream, now);
        if let Some(prompt) = asked.prompt {
            for read in state.kept.record_prompt(upstream, prompt, now) {
                state.news.push(read, UpdateSource::Local, now);
            }
        }
        drop(state);
        let place = Place { view: Arc::clone(self), upstream, since: now };
        let load = candidates[choice.candidate].load;
        Some(Chosen {
            entry,
            fetch_from,
            reason: choice.reason,
            load,
            mean_load: choice.mean_load,
            missing: choice.missing_tokens,
            list_age,
            at: now,
            _place: place,
        })
    }

    /// When the first of the pool's upstreams that take work in regions that a request may reach ends its rest, if all
    /// of them asked for one.
    pub(crate) fn first_rest_end(&self, pool: &PoolName, allowed: [&AllowedRegions; 2]) -> Option<Instant> {
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        if state.rests.active_count(now) == 0 {
            return None;
        }
        let listed = state.allowed(pool, allowed, &self.regions);
        let working = listed.into_iter().filter(|listed| listed.accepts_work(now));
        // `None`, as one that does not rest has it, comes before any end.
        working.map(|listed| state.rests.ends_at(listed.entry.hash, now)).min().flatten()
    }

    /// Whether an upstream takes new work, as far as lists and it itself say: one that rests does.
    pub(crate) fn takes_work(&self, upstream: NameHash) -> bool {
        let state = self.state.lock().unwrap();
        state.directory.get(upstream).is_some_and(|listed| listed.accepts_work(bendhinge_clock::now()))
    }

    /// Whether a request may be sent to an upstream that was chosen: it may have begun to leave or to rest, or its
    /// data centre may have been drained, while a connection was made or the process was frozen.
    pub(crate) fn may_be_sent_to(&self, upstream: NameHash) -> bool {
        let state = self.state.lock().unwrap();
        let now = bendhinge_clock::now();
        state.directory.get(upstream).is_some_and(|listed| state.is_open(listed, now))
    }

    /// How many of a pool's upstreams take new work, those that rest among them: one that turned a request away
    /// and asked for a rest is one of those that say whether the pool is full.
    pub(crate) fn working_in(&self, pool: &PoolName) -> usize {
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        let listed = state.directory.upstreams().iter();
        listed.filter(|listed| listed.entry.pool == *pool && listed.accepts_work(now)).count()
    }

    /// Notes that an upstream asked for a rest; gives how long it is spared from now on.
    pub(crate) fn asked_to_rest(&self, upstream: NameHash, rest: Duration) -> Duration {
        let now = bendhinge_clock::now();
        self.state.lock().unwrap().rests.record(upstream, rest, now).since(now)
    }

    /// Notes that an upstream said itself that it leaves; `true` if that is news.
    pub(crate) fn leaves(&self, upstream: NameHash) -> bool {
        self.state.lock().unwrap().directory.record_leaving(upstream, bendhinge_clock::now())
    }

    /// How many upstreams rest since they asked for it.
    pub(crate) fn resting(&self) -> usize {
        self.state.lock().unwrap().rests.active_count(bendhinge_clock::now())
    }

    /// Notes an upstream's whole answer, or the head of a stream.
    pub(crate) fn answered(&self, upstream: NameHash) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        state.judge.record_success(upstream, now);
        state.evidence.record_response(upstream, now);
    }

    /// Notes a failure of a request that was sent at `sent`; `true` if the upstream rests because
    /// of it.
    pub(crate) fn failed(&self, upstream: NameHash, failure: UpstreamFailure, sent: Instant) -> bool {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        state.evidence.record_failure(upstream, failure, sent, now);
        state.judge.record_failure(upstream, failure, now)
    }

    /// Notes what an upstream said of its load.
    pub(crate) fn load_said(&self, upstream: NameHash, load: dialect::LoadSaid) {
        let in_progress = load.running.saturating_add(load.waiting);
        let said = UpstreamLoad { upstream, in_progress, reported_at: bendhinge_clock::now() };
        self.state.lock().unwrap().loads.record(said, UpdateSource::Local);
    }

    /// The upstreams that may be asked something, of pools for which `keeps_prompts` holds.
    pub(crate) fn keeping(&self, keeps_prompts: impl Fn(&PoolName) -> bool) -> Vec<Arc<UpstreamEntry>> {
        let state = self.state.lock().unwrap();
        let now = bendhinge_clock::now();
        let listed = state.directory.upstreams().iter().filter(|listed| state.is_open(listed, now));
        listed.map(|listed| Arc::clone(&listed.entry)).filter(|entry| keeps_prompts(&entry.pool)).collect()
    }

    /// Whether requests of this gateway are in progress at an upstream.
    pub(crate) fn has_own(&self, upstream: NameHash) -> bool {
        self.state.lock().unwrap().loads.own_requests(upstream) > 0.0
    }

    /// Whether an upstream is listed, or vanished lately.
    pub(crate) fn lists(&self, upstream: NameHash) -> bool {
        self.state.lock().unwrap().directory.contains(upstream)
    }

    /// The software of all upstreams, those that vanished lately among them.
    pub(crate) fn software(&self) -> Vec<NameHash> {
        self.state.lock().unwrap().directory.upstreams().iter().map(|listed| listed.entry.software).collect()
    }

    /// Notes how many gateways are known, this one among them.
    pub(crate) fn divide_among(&self, gateways: usize) {
        self.state.lock().unwrap().gateways = (gateways > 1).then_some(gateways);
    }

    /// Gives up what is too old.
    pub(crate) fn prune(&self) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        if state.directory.prune(now) {
            state.forget_gone();
        }
        let State { directory, evidence, kept, news, rests, .. } = &mut *state;
        rests.prune(now);
        news.evict_expired(now);
        evidence.prune(|upstream| directory.contains(upstream), now);
        kept.prune(|upstream| directory.contains(upstream), now);
    }
}

impl State {
    fn follow_list(&mut self) {
        if let Some(list) = self.belief.value() {
            self.directory.apply(list, bendhinge_clock::now());
            self.forget_gone();
        }
    }

    fn forget_gone(&mut self) {
        let Self { directory, judge, loads, .. } = self;
        judge.retain_listed(|upstream| directory.contains(upstream));
        loads.retain_listed(|upstream| directory.contains(upstream));
    }

    /// Whether requests may be sent to an upstream. The one place that knows of the rests that upstreams ask for:
    /// each way to an upstream leads through it, right before bytes are written, too.
    fn is_open(&self, listed: &ListedUpstream, now: Instant) -> bool {
        listed.accepts_work(now) && self.rests.ends_at(listed.entry.hash, now).is_none()
    }

    /// The pool's upstreams that are in a region which a request may reach.
    fn allowed(
        &self,
        pool: &PoolName,
        allowed: [&AllowedRegions; 2],
        regions: &RegionMap,
    ) -> Vec<&ListedUpstream> {
        let is_allowed = |listed: &&ListedUpstream| {
            let region = regions.get(&listed.entry.data_centre);
            allowed.iter().all(|allowed| allowed.allows(region))
        };
        let pool = self.directory.upstreams().iter().filter(|listed| listed.entry.pool == *pool);
        pool.filter(is_allowed).collect()
    }

    /// The pool's upstreams as candidates, and as sources of what they keep: none of a region that the request
    /// must not reach. Those that rest by this gateway's own judgement take no work unless all do; those that asked
    /// for their rest take none in any case, or all would be sent to just then when a pool is overrun.
    fn candidates(
        &self,
        question: &PlacementQuestion<'_>,
        regions: &RegionMap,
        now: Instant,
    ) -> (Vec<&ListedUpstream>, Vec<Candidate>) {
        let listed = self.allowed(question.pool, question.regions, regions);
        let mean = self.loads.mean_other_requests(listed.iter().map(|listed| listed.entry.hash), now);
        let mut candidates: Vec<Candidate> =
            listed.iter().map(|listed| self.candidate(listed, question, mean, now)).collect();
        if !candidates.iter().any(|candidate| candidate.takes_work) {
            // All rest by judgement: better one of them than none.
            for (candidate, listed) in candidates.iter_mut().zip(&listed) {
                candidate.takes_work =
                    self.is_open(listed, now) && !question.tried.contains(&candidate.upstream);
            }
        }
        if let Some(rate) = question.rule.and_then(|rule| rule.warmup_requests_per_second) {
            let demand = self.demand.get(question.pool).map_or(0.0, |demand| demand.per_second(now));
            let share = WarmupLimit {
                requests_per_second: rate,
                demand_per_second: demand,
                router_count: self.gateways,
            };
            share.exclude_warming(&mut candidates, question.tie_breaker);
        }
        (listed, candidates)
    }

    fn note_demand(&mut self, pool: &PoolName, now: Instant) {
        match self.demand.get_mut(pool) {
            Some(demand) => demand.record(now),
            None => self.demand.entry(pool.clone()).or_default().record(now),
        }
    }

    fn candidate(
        &self,
        listed: &ListedUpstream,
        question: &PlacementQuestion<'_>,
        mean: f32,
        now: Instant,
    ) -> Candidate {
        let upstream = listed.entry.hash;
        let standing = self.judge.health(upstream, now);
        let failing = match standing {
            UpstreamHealth::Healthy { failure_rate } => failure_rate,
            UpstreamHealth::ProbeAllowed if question.may_try => 0.0,
            UpstreamHealth::ProbeAllowed | UpstreamHealth::Ejected => SHARE_FAILING_ON_TRIAL,
        };
        let is_fit = self.is_open(listed, now) && !question.tried.contains(&upstream);
        // Nobody hears from an upstream to which nobody sends: what the others have there is nothing.
        let load = if listed.is_drained {
            self.loads.own_requests(upstream)
        } else {
            self.loads.estimate(upstream, mean, now)
        };
        Candidate {
            upstream,
            load,
            failure_rate: failing,
            takes_work: is_fit && standing != UpstreamHealth::Ejected,
            is_warming: is_fit && listed.is_warming_up(now),
            counts_in_mean: listed.stops_at.is_none_or(|left| now < left)
                && self.rests.ends_at(upstream, now).is_none()
                && standing != UpstreamHealth::Ejected,
        }
    }
}
