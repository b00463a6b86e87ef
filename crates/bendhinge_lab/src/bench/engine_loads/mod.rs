//! A fleet's requests to a pool of engines while one prompt becomes popular, a data centre is drained, or demand changes.
//!
//! Each router has its own loads and cached parts, which travel along the relay tree in exchanges every 0.4 s, as in
//! the gateway. Engines report their load with the first event. Each engine processes prompts one at a time; the
//! duration of a stream does not depend on the load, and caches evict nothing. The figures are those of a deployment
//! of 65 boxes before 140 engines.

mod measured;
mod scenario;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::Duration;

use bendhinge_fleet::{
    FleetTotals, KeyRequests, Loads, OverloadLog, TotalKey, UpdateLog, UpdateLogLimits, UpdateSource,
    UpstreamLoad,
};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{
    CachedPart, CachedParts, Candidate, Choice, CostModel, CostQuery, Distance, Prompt, UpstreamUsage,
    WarmupLimit, choose,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use crate::bench::load_limit::Arrival;

pub use self::measured::{MeanEstimate, Measured};
use self::scenario::{CLASSES, POPULAR_SUBJECT, SKEW, prompt};
pub use self::scenario::{Drain, MILLIS, POPULAR_MILLIS, Scenario, WARM_MILLIS};

/// Routers of the fleet.
pub const ROUTERS: usize = 65;
/// Engines of the pool.
pub const ENGINES: usize = 140;
/// Routers that exchange with the first one; all others exchange with one of these.
const RELAYS: usize = 8;
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two messages with reports of overloaded engines to the same router.
const PUSH_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two routers, or between a router and an engine.
const LATENCY: Duration = Duration::from_millis(1);
/// Prompt tokens that an engine processes in a millisecond.
const TOKENS_PER_MILLI: f64 = 92.0;
/// Time to fetch a token relative to processing it.
const FETCH_TIME_FACTOR: f64 = 0.1;
/// Time from the end of processing to the first event.
const FIRST_EVENT: Duration = Duration::from_millis(10);
const CACHE_TTL: Duration = Duration::from_secs(90);
const UPDATE_LIMITS: UpdateLogLimits = UpdateLogLimits {
    max_entries: 8_192,
    max_batch_entries: 1_000,
    max_age: Duration::from_secs(5),
    max_age_for_new_peer: Duration::from_millis(1_300),
};
/// Time for which an engine counts as warming up after a drain, and the requests per second that it gets meanwhile.
const WARM_UP: Duration = Duration::from_millis(2_500);
const WARM_UP_PER_SECOND: f32 = 9.5;

/// How the load of a popular prompt is distributed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// One home; other engines serve its requests only while its load is estimated to be above the limit.
    SingleHome,
    /// As `SingleHome`, and the last report of an engine counts in full until the next one.
    WithoutDecay,
    /// As `SingleHome`, with a load limit that each request draws between 1.0 and 1.5 times the mean.
    DrawnLimit,
    /// As many homes as this router's own requests in progress suggest, if it has two or more.
    OwnRequests,
    /// As many homes as the requests that all routers together have in progress need.
    FleetRequests,
    /// The larger of `FleetRequests` and of what this router's own requests suggest beyond the first.
    Estimate,
    /// As `Estimate`, and routers send reports of overloaded engines to each other at once.
    OverloadReports,
    /// As `OverloadReports`, and routers exchange twice as often while the engines are close to the load limit.
    FrequentExchanges,
}

struct Router {
    loads: Loads,
    cached_parts: CachedParts,
    updates: UpdateLog<CachedPart>,
    /// Last sequence number of `updates` that each peer has received.
    sent: FxHashMap<usize, u64>,
    key_requests: KeyRequests,
    totals: FleetTotals,
    overloads: OverloadLog,
    /// Sequence number up to which `overloads` were sent.
    sent_overloads: u64,
    next_push: Instant,
    is_push_scheduled: bool,
    /// Time after which the router learns of the start and the end of a drain.
    drain_delay: Duration,
}

#[derive(Clone, Copy, Default)]
struct Engine {
    in_progress: u32,
    busy_until: Instant,
}

/// A request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Sent {
    router: usize,
    engine: usize,
    class: usize,
    key: TotalKey,
    is_popular: bool,
    started_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request { class: usize },
    Report(Sent),
    End(Sent),
    Exchange { router: usize },
    PushOverloads { router: usize },
}

struct Model {
    way: Way,
    scenario: Scenario,
    random: ChaCha8Rng,
    now: Instant,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    scheduled: u64,
    routers: Vec<Router>,
    engines: Vec<Engine>,
    /// Engines that have cached a subject of a class.
    cached: HashSet<(usize, usize, usize)>,
    measured: Measured,
}

/// Runs the fleet through a scenario.
#[must_use]
pub fn run(way: Way, scenario: &Scenario, seed: u64) -> Measured {
    let mut model = Model::new(way, scenario.clone(), seed);
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at;
        if model.millis() >= MILLIS {
            break;
        }
        model.handle(event);
    }
    model.measured.first_event_millis.sort_unstable();
    model.measured
}

fn engine_hash(engine: usize) -> NameHash {
    NameHash::of(&format!("engine {engine}"))
}

fn source(router: usize) -> UpdateSource {
    UpdateSource::Router(NameHash(router as u64))
}

const fn relay_of(router: usize) -> Option<usize> {
    match router {
        0 => None,
        1..=RELAYS => Some(0),
        _ => Some(1 + router % RELAYS),
    }
}

fn key(prompt: &Prompt) -> TotalKey {
    KeyRequests::key(NameHash(0), prompt.affinity_key().map_or(0, |key| key.0))
}

impl Model {
    fn new(way: Way, scenario: Scenario, seed: u64) -> Self {
        let router = |number: usize| Router {
            loads: Loads::default(),
            cached_parts: CachedParts::new(CACHE_TTL),
            updates: UpdateLog::new(UPDATE_LIMITS),
            sent: FxHashMap::default(),
            key_requests: KeyRequests::default(),
            totals: FleetTotals::default(),
            overloads: OverloadLog::default(),
            sent_overloads: 0,
            next_push: Instant::default(),
            is_push_scheduled: false,
            drain_delay: Drain::MAX_DELAY.mul_f64(number as f64 / ROUTERS as f64),
        };
        let mut model = Self {
            way,
            scenario,
            now: Instant::from_millis(0),
            events: BinaryHeap::new(),
            scheduled: 0,
            routers: (0..ROUTERS).map(router).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            engines: vec![Engine::default(); ENGINES],
            cached: HashSet::new(),
            measured: Measured::default(),
        };
        for class in 0..CLASSES.len() {
            model.schedule_request(class);
        }
        for router in 1..ROUTERS {
            model.schedule_exchange(router);
        }
        model
    }

    const fn millis(&self) -> u64 {
        self.now.0 / 1_000
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((self.now + delay, self.scheduled, event)));
    }

    fn schedule_request(&mut self, class: usize) {
        let per_second = CLASSES[class].per_second * self.scenario.demand(self.millis());
        let gap = -self.random.random::<f64>().ln() / per_second;
        self.after(Duration::from_secs_f64(gap), Event::Request { class });
    }

    fn schedule_exchange(&mut self, router: usize) {
        let jitter = self.random.random_range(0.8..1.2);
        let interval = EXCHANGE_INTERVAL.mul_f64(jitter);
        let interval = if self.exchanges_frequently(router) { interval / 2 } else { interval };
        self.after(interval, Event::Exchange { router });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { class } => {
                self.schedule_request(class);
                self.send(class);
            }
            Event::Report(sent) => self.report_load(sent),
            Event::End(sent) => {
                self.engines[sent.engine].in_progress -= 1;
                let duration = self.now.since(sent.started_at);
                let router = &mut self.routers[sent.router];
                router.loads.end_request(engine_hash(sent.engine), duration);
                router.key_requests.end(sent.key);
            }
            Event::PushOverloads { router } => self.push_overloads(router),
            Event::Exchange { router } => {
                self.schedule_exchange(router);
                if let Some(relay) = relay_of(router) {
                    self.transfer(router, relay);
                    self.transfer(relay, router);
                    self.exchange_totals(router, relay);
                }
            }
        }
    }

    /// Draws a subject, of which the first ones are the most popular.
    fn draw_subject(&mut self, class: usize) -> usize {
        let is_popular = class == 0 && POPULAR_MILLIS.contains(&self.millis());
        if is_popular && self.random.random_bool(self.scenario.popular_fraction) {
            return POPULAR_SUBJECT;
        }
        let subjects = CLASSES[class].subjects as f64;
        let rank = self.random.random::<f64>().powf(1.0 / (1.0 - SKEW)) * subjects;
        usize::try_from(super::whole(rank)).unwrap_or(0)
    }

    fn send(&mut self, class: usize) {
        let subject = self.draw_subject(class);
        let router = self.random.random_range(0..ROUTERS);
        let request: u64 = self.random.random();
        let prompt = prompt(class, subject, request);
        let choice = self.choose(router, &prompt, request);
        let engine = choice.candidate;
        self.record_arrival(engine, choice.mean_load);
        let key = key(&prompt);
        let Router { loads, cached_parts, updates, key_requests, .. } = &mut self.routers[router];
        key_requests.start(key);
        loads.start_request(engine_hash(engine));
        for cached_part in cached_parts.record_prompt(engine_hash(engine), &prompt, self.now) {
            updates.push(cached_part, UpdateSource::Local, self.now);
        }
        let is_popular = class == 0 && subject == POPULAR_SUBJECT;
        let tokens = self.tokens_to_process((class, subject, engine), &prompt, &choice);
        let sent = Sent { router, engine, class, key, is_popular, started_at: self.now };
        self.start(sent, tokens);
    }

    /// Estimates the requests with the affinity key that the fleet has in progress.
    fn key_requests(&self, router: usize, prompt: &Prompt) -> f32 {
        let Router { key_requests, totals, .. } = &self.routers[router];
        let own = key_requests.own(key(prompt)) as f32;
        match self.way {
            Way::SingleHome | Way::WithoutDecay | Way::DrawnLimit => 0.0,
            Way::OwnRequests => {
                if own >= 2.0 {
                    own * ROUTERS as f32
                } else {
                    0.0
                }
            }
            Way::FleetRequests => totals.get(key(prompt), self.now).map_or(0.0, |total| total.value),
            Way::Estimate | Way::OverloadReports | Way::FrequentExchanges => {
                key_requests.estimate(key(prompt), totals, ROUTERS, self.now)
            }
        }
    }

    fn choose(&self, router: usize, prompt: &Prompt, tie_breaker: u64) -> Choice {
        let Router { loads, cached_parts, drain_delay, .. } = &self.routers[router];
        // The router's view of drains is that of an earlier moment.
        let known = self.now - *drain_delay;
        let mean = loads.mean_other_requests((0..ENGINES).map(engine_hash), self.now);
        let candidate = |engine| Candidate {
            upstream: engine_hash(engine),
            load: self.estimated_load(router, engine, mean),
            failure_rate: 0.0,
            takes_work: !self.scenario.is_drained(engine, known),
            is_warming: self
                .scenario
                .few_requests_until(engine, WARM_UP, known)
                .is_some_and(|until| known < until),
            counts_in_mean: true,
            distance: Distance::Local,
            work: None,
        };
        let mut candidates: Vec<Candidate> = (0..ENGINES).map(candidate).collect();
        self.exclude_warming(&mut candidates, tie_breaker);
        let key_requests = self.key_requests(router, prompt);
        let query =
            CostQuery { prompt: Some(prompt), can_fetch: true, tie_breaker, locality: None, key_requests };
        let mut model = CostModel::default();
        if self.way == Way::DrawnLimit {
            model.load_bound_factor = 1.0 + 0.5 * (tie_breaker >> 40) as f32 / (1_u32 << 24) as f32;
        }
        choose(&model, &query, &candidates, cached_parts, self.now).expect("all engines take work")
    }

    /// Estimates the load of an engine as a router does whose upstreams have `mean` requests of other routers.
    fn estimated_load(&self, router: usize, engine: usize, mean: f32) -> f32 {
        let Router { loads, drain_delay, .. } = &self.routers[router];
        let upstream = engine_hash(engine);
        if self.way == Way::WithoutDecay {
            let basis = loads.basis(upstream, self.now);
            let reported = basis.report.map_or(mean, |report| report.in_progress as f32);
            return reported.max(basis.own_requests as f32);
        }
        let mean = match self.scenario.few_requests_until(engine, WARM_UP, self.now - *drain_delay) {
            Some(until) => loads.mean_after_idling(mean, until + *drain_delay, self.now),
            None => mean,
        };
        loads.estimate(upstream, mean, self.now)
    }

    fn exchanges_frequently(&self, router: usize) -> bool {
        if self.way != Way::FrequentExchanges {
            return false;
        }
        let Router { loads, drain_delay, .. } = &self.routers[router];
        let mean = loads.mean_other_requests((0..ENGINES).map(engine_hash), self.now);
        let usage = |engine| UpstreamUsage {
            load: self.estimated_load(router, engine, mean),
            takes_requests: !self.scenario.gets_few_requests(engine, WARM_UP, self.now - *drain_delay),
        };
        CostModel::default().is_near_load_limit((0..ENGINES).map(usage))
    }

    fn exclude_warming(&self, candidates: &mut [Candidate], tie_breaker: u64) {
        let per_second: f64 = CLASSES.iter().map(|class| class.per_second).sum();
        let demand = per_second * self.scenario.demand(self.millis()) / ROUTERS as f64;
        let limit = WarmupLimit {
            requests_per_second: WARM_UP_PER_SECOND,
            demand_per_second: super::narrow(demand),
            router_count: Some(ROUTERS),
        };
        limit.exclude_warming(candidates, tie_breaker);
    }

    fn record_arrival(&mut self, engine: usize, estimated_mean: f32) {
        let total: u32 = self.engines.iter().map(|engine| engine.in_progress).sum();
        let mean = f64::from(total) / ENGINES as f64;
        let is_over = f64::from(self.engines[engine].in_progress) > 2.0 * mean + 3.0;
        if self.millis() >= WARM_MILLIS {
            let millis = self.millis();
            let estimated = f64::from(estimated_mean);
            self.measured.arrivals.push(Arrival { millis, is_over });
            self.measured.mean_estimates.push(MeanEstimate { millis, estimated, actual: mean });
        }
    }

    /// Returns the tokens that the engine has to process, where fetched tokens count by the time that they take.
    fn tokens_to_process(
        &mut self,
        (class, subject, engine): (usize, usize, usize),
        prompt: &Prompt,
        choice: &Choice,
    ) -> f64 {
        let request_tokens = f64::from(prompt.tokens() - prompt.shared_tokens());
        if !self.cached.insert((class, subject, engine)) {
            return request_tokens;
        }
        let is_fetched =
            choice.fetch_source.is_some_and(|from| self.cached.contains(&(class, subject, from)));
        if self.millis() >= WARM_MILLIS {
            let count = if is_fetched { &mut self.measured.fetched } else { &mut self.measured.processed };
            *count += 1;
            self.measured.copies += usize::from(class == 0 && subject == POPULAR_SUBJECT);
        }
        let factor = if is_fetched { FETCH_TIME_FACTOR } else { 1.0 };
        request_tokens + f64::from(prompt.shared_tokens()) * factor
    }

    fn start(&mut self, sent: Sent, tokens: f64) {
        let engine = &mut self.engines[sent.engine];
        engine.in_progress += 1;
        let begin = engine.busy_until.max(self.now + LATENCY);
        engine.busy_until = begin + Duration::from_secs_f64(tokens / TOKENS_PER_MILLI / 1_000.0);
        let first_event = (engine.busy_until + FIRST_EVENT).since(self.now);
        self.after(first_event, Event::Report(sent));
        self.after(first_event + CLASSES[sent.class].stream, Event::End(sent));
        if sent.is_popular {
            let millis = u64::try_from(first_event.as_millis()).unwrap_or(u64::MAX);
            self.measured.first_event_millis.push(millis);
        }
    }

    fn report_load(&mut self, sent: Sent) {
        let report = UpstreamLoad {
            upstream: engine_hash(sent.engine),
            in_progress: self.engines[sent.engine].in_progress,
            reported_at: self.now,
        };
        let router = &mut self.routers[sent.router];
        router.loads.record(report, UpdateSource::Local);
        let mean = router.loads.mean_other_requests((0..ENGINES).map(engine_hash), self.now);
        if CostModel::default().is_overloaded(report.in_progress as f32, mean) {
            self.record_overload(sent.router, report, UpdateSource::Local);
        }
    }

    fn record_overload(&mut self, number: usize, report: UpstreamLoad, source: UpdateSource) {
        let router = &mut self.routers[number];
        let sends_reports = matches!(self.way, Way::OverloadReports | Way::FrequentExchanges);
        let is_new = sends_reports && router.overloads.record(report, source, self.now);
        if is_new && !router.is_push_scheduled {
            router.is_push_scheduled = true;
            let delay = router.next_push.since(self.now).max(LATENCY);
            self.after(delay, Event::PushOverloads { router: number });
        }
    }

    /// Sends the new reports of overloaded engines to the relay and to the routers that use this one as their relay.
    fn push_overloads(&mut self, number: usize) {
        let router = &mut self.routers[number];
        router.is_push_scheduled = false;
        router.next_push = self.now + PUSH_INTERVAL;
        let since = router.sent_overloads;
        let is_neighbour =
            |other: &usize| relay_of(*other) == Some(number) || relay_of(number) == Some(*other);
        for neighbour in (0..ROUTERS).filter(is_neighbour) {
            let router = &mut self.routers[number];
            let batch = router.overloads.since(since, source(neighbour), self.now);
            router.sent_overloads = batch.last_sequence;
            self.measured.overload_messages += usize::from(!batch.entries.is_empty());
            for report in batch.entries {
                self.routers[neighbour].loads.record(report, source(number));
                self.record_overload(neighbour, report, source(number));
            }
        }
    }

    /// Exchanges the totals of the fleet between a router and its relay.
    fn exchange_totals(&mut self, router: usize, relay: usize) {
        for router in [router, relay] {
            let Router { totals, key_requests, .. } = &mut self.routers[router];
            totals.set_own(key_requests.own_figures(), self.now);
        }
        let subtotal = self.routers[router].totals.subtotal_for(source(relay), self.now);
        let totals = &mut self.routers[relay].totals;
        totals.record_subtotal(source(router), &subtotal, self.now);
        let response = totals.totals_for(source(router), self.now);
        self.routers[router].totals.record_totals(source(relay), &response, self.now);
    }

    /// Sends what `from` knows to `to`.
    fn transfer(&mut self, from: usize, to: usize) {
        let engines = || (0..ENGINES).map(engine_hash);
        let sender = &mut self.routers[from];
        let loads = sender.loads.pack_all_for(source(to), engines(), self.now);
        let batch = sender.updates.since(sender.sent.get(&to).copied(), source(to), self.now);
        sender.sent.insert(to, batch.last_sequence);
        let receiver = &mut self.routers[to];
        receiver.loads.apply_all(&loads, engines(), source(from), self.now);
        for cached_part in batch.entries {
            if receiver.cached_parts.record(cached_part) {
                receiver.updates.push(cached_part, source(from), self.now);
            }
        }
    }
}
