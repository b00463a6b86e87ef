//! Prompts that engines process in steps, with the ways of estimating the work there that were compared.
//!
//! Load: all prompts are new after a start, and each is processed once at its home. An engine's step
//! processes at most 1,024 prompt tokens and generates one token for each running request; engines are slow
//! for 0.6 s at a time. Routers choose, estimate loads and index cached parts with their own functions.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use bendhinge_fleet::{Loads, PoolWork, SendId, SendWork, UpdateSource, UpstreamLoad, WorkReport};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{
    CachedPart, CachedParts, Candidate, CandidateWork, CostModel, CostQuery, Distance, PartId, Prompt,
    PromptPart, choose,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashSet;

use super::whole;

const ENGINES: usize = 60;
const SLOTS: usize = 48;
const QUEUE: usize = 144;
const STEP_PROMPT_TOKENS: u32 = 1_024;
const PROMPT_TOKENS_PER_MS: f64 = 64.0;
/// Duration of a step without prompt tokens, and what each generating request adds.
const STEP_MS: f64 = 4.0;
const STEP_MS_PER_REQUEST: f64 = 0.05;
const TOKENS_PER_EVENT: u32 = 6;
/// Time to fetch a cached token relative to processing it.
const FETCH_SHARE: f64 = 0.1;
const SLOW_PACE: f64 = 2.5;
const SLOW: Duration = Duration::from_millis(600);
/// Mean time between slow periods, which makes them 15 % of the time.
const BETWEEN_SLOW_SECS: f64 = 3.4;
const REPORT_AGE: Duration = Duration::from_millis(400);
const REPORT_PERIOD: Duration = Duration::from_millis(100);
const SUBJECTS: usize = 263;
const PREFIXES: usize = 6;
const PREFIX_TOKENS: u32 = 2_500;
const SUBJECT_TOKENS: u32 = 8_000;
const PROMPT_TOKENS: f32 = 10_500.0;
/// Time constant of the decay of other routers' prompts: a few prompts' processing, or one at a slow engine.
const PEER_FADE_SECS: f32 = 0.5;
const OUTPUT_TOKENS: std::ops::Range<u32> = 60..300;
const START: Duration = Duration::from_secs(4);
const END: Instant = Instant::from_millis(12_000);
/// Half of the engines are lost and demand is four times the usual in this period, if the scene says so.
const OVERLOAD: std::ops::Range<Instant> = Instant::from_millis(5_000)..Instant::from_millis(11_000);
const OVERLOAD_FACTOR: f64 = 4.0;
/// Pause between events that callers tolerate.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Mean number of waiting requests at an engine from which predictions of waits are compared.
const LONG_QUEUE: usize = 8;
/// Range of the ages at which other routers learn of a cached part.
const ANNOUNCEMENT_MS: std::ops::Range<f64> = 200.0..600.0;

/// Routers and demand.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    /// Number of routers.
    pub routers: usize,
    /// Requests per second of all routers.
    pub requests_per_sec: f64,
    /// Whether half of the engines are lost for six seconds, together with four times the demand.
    pub is_overloaded: bool,
}

/// How a router estimates the work at engines.
#[derive(Clone, Copy, Debug)]
pub struct Way {
    /// Label in figures.
    pub name: &'static str,
    /// Whether pending tokens count; otherwise only the number of requests.
    pub counts_work: bool,
    /// Whether prompts that other routers announced count as pending.
    pub counts_peers: bool,
    /// Cost of a pending token.
    pub wait_factor: f32,
    /// Cost of a prompt token for each request that it delays.
    pub slowdown_factor: f32,
    /// Pending tokens above which a home is passed over.
    pub home_pending_tokens: f32,
}

/// By the number of requests alone.
const REQUESTS: Way = Way {
    name: "requests",
    counts_work: false,
    counts_peers: false,
    wait_factor: 0.0,
    slowdown_factor: 0.0,
    home_pending_tokens: f32::INFINITY,
};
/// By the tokens of the router's own sends.
const OWN_TOKENS: Way = Way { name: "own_tokens", counts_work: true, wait_factor: 0.3, ..REQUESTS };
/// The same with a limit of pending tokens at homes.
const BOUNDED: Way = Way { name: "own_tokens_bounded_home", home_pending_tokens: 12_000.0, ..OWN_TOKENS };
/// The way that was chosen.
pub const CHOSEN: Way = Way { name: "own_tokens_bounded_home_slowdown", slowdown_factor: 0.02, ..BOUNDED };
/// All ways that were compared.
pub const WAYS: [Way; 6] = [
    REQUESTS,
    OWN_TOKENS,
    BOUNDED,
    CHOSEN,
    Way { name: "all_tokens_bounded_home", counts_peers: true, ..BOUNDED },
    Way { name: "all_tokens_full_wait", counts_peers: true, wait_factor: 1.0, ..OWN_TOKENS },
];

/// Figures of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// 99th percentile of the time to the first event of requests in the first seconds, in milliseconds.
    pub start_p99_ms: f64,
    /// Longest wait behind the prompts of other subjects in the first seconds, in milliseconds.
    pub start_most_behind_ms: f64,
    /// 95th percentile of these waits, in milliseconds, over the requests that process a subject's prompt.
    pub start_p95_behind_ms: f64,
    /// 99th percentile of the time to the first event afterwards, in milliseconds.
    pub later_p99_ms: f64,
    /// Subjects' prompts that were processed again.
    pub read_again: usize,
    /// Streams per thousand with a pause that is too long.
    pub paused: f64,
    /// Predictions of long waits within a factor of two, as a share.
    pub predicted_share: f64,
    /// Number of these predictions.
    pub predictions: usize,
    /// Median of predicted over actual wait.
    pub predicted_ratio: f64,
}

struct Request {
    router: usize,
    engine: usize,
    parts: Vec<PromptPart>,
    send: SendId,
    arrived: Instant,
    /// The predicted wait, if queues were long.
    predicted: Option<Duration>,
    /// When the engine began to process the subject's prompt, if it did not have it cached.
    read_began: Option<Instant>,
    fetches: bool,
    /// Prompt tokens to process; `None` until the engine begins with it.
    unread: Option<u32>,
    began: Option<Instant>,
    first_event: Option<Instant>,
    last_event: Instant,
    longest_pause: Duration,
    generated: u32,
    output: u32,
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<usize>,
    running: Vec<usize>,
    cached: FxHashSet<PartId>,
    slow_until: Instant,
    next_slow: Instant,
    is_stepping: bool,
    is_lost: bool,
}

struct Router {
    work: PoolWork,
    loads: Loads,
    cached: CachedParts,
    /// Prompt tokens that other routers sent to each engine, as of the instant.
    peer_tokens: Vec<(f32, Instant)>,
}

enum Event {
    Arrival,
    Reaches(usize),
    StepEnds(usize, Vec<usize>),
    Snapshot,
    Reports(Vec<UpstreamLoad>),
    Announced(usize, std::rc::Rc<Vec<CachedPart>>),
    Overload(bool),
}

struct Model {
    way: Way,
    scene: Scene,
    random: ChaCha8Rng,
    now: Instant,
    order: BinaryHeap<Reverse<(Instant, usize)>>,
    events: Vec<Option<Event>>,
    engines: Vec<Engine>,
    routers: Vec<Router>,
    requests: Vec<Request>,
    subject_weights: Vec<f64>,
    subject_reads: Vec<usize>,
}

/// Runs the model.
#[must_use]
pub fn run(way: Way, scene: Scene, seed: u64) -> Figures {
    let router = || Router {
        work: PoolWork::default(),
        loads: Loads::default(),
        cached: CachedParts::new(Duration::from_secs(60)),
        peer_tokens: vec![(0.0, Instant::default()); ENGINES],
    };
    let mut model = Model {
        way,
        scene,
        random: ChaCha8Rng::seed_from_u64(seed),
        now: Instant::default(),
        order: BinaryHeap::new(),
        events: Vec::new(),
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        routers: (0..scene.routers).map(|_| router()).collect(),
        requests: Vec::new(),
        subject_weights: (0..SUBJECTS).map(|rank| 1.0 / (rank as f64 + 20.0)).collect(),
        subject_reads: vec![0; SUBJECTS],
    };
    model.run();
    model.figures()
}

fn hash(engine: usize) -> NameHash {
    NameHash::of(&format!("engine-{engine}"))
}

/// Returns what a router takes to be left at `now` of tokens that another one sent at an instant.
fn left_of((tokens, at): (f32, Instant), now: Instant) -> f32 {
    tokens * (-now.since(at).as_secs_f32() / PEER_FADE_SECS).exp()
}

fn millis(millis: f64) -> Duration {
    Duration::from_micros(whole(millis * 1_000.0))
}

impl Model {
    fn run(&mut self) {
        for engine in 0..ENGINES {
            self.engines[engine].next_slow = Instant::default() + self.until_slow();
        }
        self.after(Duration::ZERO, Event::Arrival);
        self.after(Duration::ZERO, Event::Snapshot);
        if self.scene.is_overloaded {
            self.after(OVERLOAD.start.since(self.now), Event::Overload(true));
            self.after(OVERLOAD.end.since(self.now), Event::Overload(false));
        }
        while let Some(Reverse((at, number))) = self.order.pop() {
            self.now = at;
            if let Some(event) = self.events[number].take() {
                self.handle(event);
            }
        }
    }

    fn after(&mut self, span: Duration, event: Event) {
        self.order.push(Reverse((self.now + span, self.events.len())));
        self.events.push(Some(event));
    }

    fn until_slow(&mut self) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.random.random::<f64>()).ln() * BETWEEN_SLOW_SECS)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrival(),
            Event::Reaches(request) => self.reaches(request),
            Event::StepEnds(engine, generating) => self.step_ends(engine, &generating),
            Event::Snapshot => self.snapshot(),
            Event::Reports(reports) => {
                for router in &mut self.routers {
                    for report in &reports {
                        router.loads.record(*report, UpdateSource::Local);
                    }
                }
            }
            Event::Announced(router, parts) => self.announced(router, &parts),
            Event::Overload(begins) => {
                self.engines.iter_mut().step_by(2).for_each(|engine| engine.is_lost = begins);
            }
        }
    }

    fn arrival(&mut self) {
        let is_overload = self.scene.is_overloaded && OVERLOAD.contains(&self.now);
        let rate = self.scene.requests_per_sec * if is_overload { OVERLOAD_FACTOR } else { 1.0 };
        let pause = -(1.0 - self.random.random::<f64>()).ln() / rate;
        if self.now < END {
            self.after(Duration::from_secs_f64(pause), Event::Arrival);
        }
        let mut left = self.random.random::<f64>() * self.subject_weights.iter().sum::<f64>();
        let subject = self.subject_weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        let subject = subject.unwrap_or(0);
        let part = |id: usize, tokens| PromptPart { id: PartId(id as u64), tokens };
        let own_tokens = self.random.random_range(50..400);
        let parts = vec![
            part(SUBJECTS + subject % PREFIXES, PREFIX_TOKENS),
            part(subject, SUBJECT_TOKENS),
            part(1_000_000 + self.requests.len(), own_tokens),
        ];
        self.send(parts);
    }

    fn send(&mut self, parts: Vec<PromptPart>) {
        let number = self.random.random_range(0..self.routers.len());
        let (now, way) = (self.now, self.way);
        let prompt = Prompt::new(parts.clone());
        let (router, engines) = (&mut self.routers[number], &self.engines);
        let live = (0..ENGINES).filter(|engine| !engines[*engine].is_lost).map(hash);
        let mean = router.loads.mean_other_requests(live, now);
        let candidate = |engine: usize| {
            let load = router.loads.estimate(hash(engine), mean, now);
            let work = router.work.estimate(hash(engine), load, now);
            let work = CandidateWork {
                pending_tokens: work.pending_tokens + left_of(router.peer_tokens[engine], now),
                waiting: work.waiting,
                running: work.running,
                pace: work.pace,
            };
            let takes_work = !engines[engine].is_lost;
            Candidate {
                upstream: hash(engine),
                load,
                failure_rate: 0.0,
                takes_work,
                is_warming: false,
                counts_in_mean: takes_work,
                distance: Distance::Local,
                work: way.counts_work.then_some(work),
            }
        };
        let candidates: Vec<Candidate> = (0..ENGINES).map(candidate).collect();
        let costs = CostModel {
            wait_factor: way.wait_factor,
            slowdown_factor: way.slowdown_factor,
            home_pending_tokens: way.home_pending_tokens,
            ..CostModel::default()
        };
        let tie_breaker = self.random.random();
        let query = CostQuery {
            prompt: Some(&prompt),
            can_fetch: true,
            tie_breaker,
            locality: None,
            key_requests: 0.0,
        };
        let Some(choice) = choose(&costs, &query, &candidates, &router.cached, now) else { return };
        let (engine, upstream) = (choice.candidate, hash(choice.candidate));
        let fetches = choice.fetch_source.is_some_and(|source| engines[source].cached.contains(&parts[1].id));
        let in_progress = candidates.iter().filter(|candidate| candidate.takes_work);
        let in_progress = in_progress.map(|candidate| (candidate.upstream, candidate.load));
        let predicted = router.work.predicted_wait(in_progress, now);
        let own_tokens = prompt.tokens() - prompt.shared_tokens();
        let missing_tokens = if choice.fetch_source.is_some() { 0 } else { choice.missing_tokens };
        let work = SendWork { unread_tokens: missing_tokens + own_tokens };
        let send = router.work.start(upstream, work, now);
        router.loads.start_request(upstream);
        let announced = router.cached.record_prompt(upstream, &prompt, now);
        self.announce(number, announced);
        let fetched_tokens = f64::from(if fetches { choice.missing_tokens } else { 0 });
        let hop = millis(1.0 + fetched_tokens * FETCH_SHARE / PROMPT_TOKENS_PER_MS);
        self.requests.push(Request {
            router: number,
            engine,
            parts,
            send,
            arrived: now,
            predicted: predicted.filter(|_| self.has_long_queues()),
            read_began: None,
            fetches,
            unread: None,
            began: None,
            first_event: None,
            last_event: now,
            longest_pause: Duration::ZERO,
            generated: 0,
            output: self.random.random_range(OUTPUT_TOKENS),
        });
        self.after(hop, Event::Reaches(self.requests.len() - 1));
    }

    fn reaches(&mut self, number: usize) {
        let request = &self.requests[number];
        let engine = &mut self.engines[request.engine];
        if request.fetches {
            engine.cached.extend(request.parts[..2].iter().map(|part| part.id));
        }
        let id = request.engine;
        if engine.waiting.len() >= QUEUE {
            let router = &mut self.routers[request.router];
            router.work.end(request.send, self.now);
            return router.loads.end_request(hash(id), Duration::ZERO);
        }
        engine.waiting.push_back(number);
        if !engine.is_stepping {
            self.step(id);
        }
    }

    /// Begins a step of an engine: admits waiting requests, processes prompts in order of admission.
    fn step(&mut self, id: usize) {
        let now = self.now;
        let engine = &mut self.engines[id];
        while engine.running.len() < SLOTS
            && let Some(request) = engine.waiting.pop_front()
        {
            self.requests[request].began = Some(now);
            engine.running.push(request);
        }
        engine.is_stepping = !engine.running.is_empty();
        if !engine.is_stepping {
            return;
        }
        let mut budget = STEP_PROMPT_TOKENS;
        let mut generating = Vec::new();
        for number in &engine.running {
            let request = &mut self.requests[*number];
            if request.unread == Some(0) {
                generating.push(*number);
            } else if budget > 0 {
                let unread = request.unread.unwrap_or_else(|| {
                    let subject = request.parts[1].id;
                    if !engine.cached.contains(&subject) {
                        request.read_began = Some(now);
                        self.subject_reads[usize::try_from(subject.0).unwrap_or(0)] += 1;
                    }
                    let missing = request.parts.iter().filter(|part| !engine.cached.contains(&part.id));
                    missing.map(|part| part.tokens).sum()
                });
                let read = unread.min(budget);
                budget -= read;
                request.unread = Some(unread - read);
                if read == unread {
                    engine.cached.extend(request.parts[..2].iter().map(|part| part.id));
                }
            }
        }
        let read_ms = f64::from(STEP_PROMPT_TOKENS - budget) / PROMPT_TOKENS_PER_MS;
        let step_ms = STEP_MS + STEP_MS_PER_REQUEST * generating.len() as f64 + read_ms;
        let pace = self.pace(id);
        self.after(millis(step_ms * pace), Event::StepEnds(id, generating));
    }

    fn pace(&mut self, id: usize) -> f64 {
        if self.now >= self.engines[id].next_slow {
            let until = self.engines[id].next_slow + SLOW;
            self.engines[id].slow_until = until;
            self.engines[id].next_slow = until + self.until_slow();
        }
        if self.now < self.engines[id].slow_until { SLOW_PACE } else { 1.0 }
    }

    fn step_ends(&mut self, id: usize, generating: &[usize]) {
        let pace = self.pace(id);
        let now = self.now;
        for number in generating {
            let request = &mut self.requests[*number];
            request.generated += 1;
            let is_end = request.generated == request.output;
            if !is_end && !request.generated.is_multiple_of(TOKENS_PER_EVENT) {
                continue;
            }
            let router = &mut self.routers[request.router];
            if request.first_event.is_none() {
                request.first_event = Some(now);
                router.work.first_event(request.send, now);
                let engine = &self.engines[id];
                let count = |length: usize| u32::try_from(length).unwrap_or(u32::MAX);
                let report = WorkReport {
                    running: count(engine.running.len()),
                    waiting: count(engine.waiting.len()),
                    slots: Some(count(SLOTS)),
                    pace_percent: u32::try_from(whole(pace * 100.0)).ok(),
                };
                router.work.record_report(hash(id), report, now);
                let in_progress = report.running + report.waiting;
                let load = UpstreamLoad { upstream: hash(id), in_progress, reported_at: now };
                router.loads.record(load, UpdateSource::Local);
            } else {
                request.longest_pause = request.longest_pause.max(now.since(request.last_event));
            }
            request.last_event = now;
            if is_end {
                self.engines[id].running.retain(|other| other != number);
                router.work.end(request.send, now);
                router.loads.end_request(hash(id), now.since(request.arrived));
            }
        }
        self.step(id);
    }

    fn snapshot(&mut self) {
        let in_progress = |engine: &Engine| engine.running.len() + engine.waiting.len();
        let reports = self.engines.iter().enumerate().map(|(id, engine)| UpstreamLoad {
            upstream: hash(id),
            in_progress: u32::try_from(in_progress(engine)).unwrap_or(u32::MAX),
            reported_at: self.now,
        });
        let reports = reports.collect();
        self.after(REPORT_AGE, Event::Reports(reports));
        if self.now < END {
            self.after(REPORT_PERIOD, Event::Snapshot);
        }
    }

    fn announce(&mut self, sender: usize, parts: Vec<CachedPart>) {
        let parts = std::rc::Rc::new(parts);
        for router in (0..self.routers.len()).filter(|router| *router != sender && !parts.is_empty()) {
            let age = millis(self.random.random_range(ANNOUNCEMENT_MS));
            self.after(age, Event::Announced(router, std::rc::Rc::clone(&parts)));
        }
    }

    fn announced(&mut self, router: usize, parts: &[CachedPart]) {
        let (now, router) = (self.now, &mut self.routers[router]);
        let subject = parts.iter().find(|cached| cached.part.0 < SUBJECTS as u64);
        let is_new = |part: PartId| !router.cached.iter_entries().any(|known| known.part == part);
        if let Some(cached) = subject.filter(|cached| self.way.counts_peers && is_new(cached.part)) {
            let engine = (0..ENGINES).find(|engine| hash(*engine) == cached.upstream);
            let tokens = &mut router.peer_tokens[engine.unwrap_or(0)];
            *tokens = (left_of(*tokens, now) + left_of((PROMPT_TOKENS, cached.last_used), now), now);
        }
        for cached in parts {
            router.cached.record(*cached);
        }
    }

    fn has_long_queues(&self) -> bool {
        let waiting: usize = self.engines.iter().map(|engine| engine.waiting.len()).sum();
        let count = self.engines.iter().filter(|engine| !engine.is_lost).count();
        waiting >= LONG_QUEUE * count
    }

    fn figures(&self) -> Figures {
        let start = Instant::default() + START;
        let waits = |is_start: bool| {
            let requests = self.requests.iter().filter(move |request| (request.arrived < start) == is_start);
            let waits = requests.filter_map(|request| Some(request.first_event?.since(request.arrived)));
            let mut waits: Vec<f64> = waits.map(|wait| wait.as_secs_f64() * 1e3).collect();
            waits.sort_by(f64::total_cmp);
            waits
        };
        let (first, later) = (waits(true), waits(false));
        let p99 = |waits: &[f64]| waits.get(waits.len() * 99 / 100).copied().unwrap_or_default();
        let paused = self.requests.iter().filter(|request| request.longest_pause > MAX_PAUSE).count();
        let behind = self.requests.iter().filter(|request| request.arrived < start);
        let behind = behind.filter_map(|request| Some(request.read_began?.since(request.arrived)));
        let mut behind: Vec<f64> = behind.map(|wait| wait.as_secs_f64() * 1e3).collect();
        behind.sort_by(f64::total_cmp);
        let ratios = self.predicted_ratios();
        let right = ratios.iter().filter(|ratio| (0.5..=2.0).contains(*ratio)).count();
        Figures {
            start_p99_ms: p99(&first),
            start_most_behind_ms: behind.last().copied().unwrap_or_default(),
            start_p95_behind_ms: behind.get(behind.len() * 95 / 100).copied().unwrap_or_default(),
            later_p99_ms: p99(&later),
            read_again: self.subject_reads.iter().map(|reads| reads.saturating_sub(1)).sum(),
            paused: paused as f64 * 1e3 / self.requests.len() as f64,
            predicted_share: right as f64 / ratios.len().max(1) as f64,
            predictions: ratios.len(),
            predicted_ratio: ratios.get(ratios.len() / 2).copied().unwrap_or_default(),
        }
    }

    /// Returns predicted over actual waits for a slot, in order.
    fn predicted_ratios(&self) -> Vec<f64> {
        let ratios = self.requests.iter().filter_map(|request| {
            let wait = request.began?.since(request.arrived).as_secs_f64();
            Some(request.predicted?.as_secs_f64() / wait.max(1e-3))
        });
        let mut ratios: Vec<f64> = ratios.collect();
        ratios.sort_by(f64::total_cmp);
        ratios
    }
}
