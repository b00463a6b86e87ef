//! A small plain pool behind a fleet whose routers each send it about one request per second, with the ways of
//! choosing an upstream and of hedging that were compared.
//!
//! Each upstream has 6 slots and a queue of 24, needs 30 ms for a request, and is 2.5 times as slow for 15 % of
//! the time, 0.6 s at a time. Routers share fleet totals every 0.4 s over the tree of relays. They estimate,
//! choose and hedge with the functions of the product.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use bendhinge_admission::{FleetRetryBudget, RouterRetryBudget};
use bendhinge_fleet::{FleetTotals, ResponseTimes, UpdateSource};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{Distance, PlainCandidate, choose_plain};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::whole;

const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: f64 = 30.0;
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MICROS: u64 = 600_000;
const SLOW_FRACTION: f64 = 0.15;
const TARGET: Duration = Duration::from_millis(200);
const HEDGED_FRACTION_OF_TARGET: f64 = 0.7;
const REPEATABLE_FRACTION: f64 = 0.6;
const EXCHANGE_MICROS: std::ops::Range<u64> = 320_000..480_000;
const END_MICROS: u64 = 90_000_000;
/// Requests of the first seconds do not count, since no totals are known yet.
const START_MICROS: u64 = 4_000_000;
/// When an upstream is lost, and when all routers know.
const LOST_MICROS: u64 = 30_000_000;
const LOSS_KNOWN_MICROS: u64 = 31_000_000;
const POOL: NameHash = NameHash(1_000);
const BUDGET: FleetRetryBudget =
    FleetRetryBudget { ratio: 0.2, base_retries: 20.0, window: Duration::from_secs(10) };

/// How a router chooses an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any, with equal probability.
    Random,
    /// In turn, each router from a random start.
    RoundRobin,
    /// Any of two upstreams that are assigned to the router.
    Subset,
    /// Of two random ones, that with the fewer requests of the fleet in progress.
    TwoChoices,
    /// The one with the shortest expected response time.
    Fastest,
    /// By [`choose_plain`], with all upstreams in the same data centre.
    Expected,
    /// By [`choose_plain`], with upstreams in three data centres.
    ExpectedLocal,
    /// By [`choose_plain`] and the state of all upstreams at this moment, which no router knows.
    Exact,
}

/// When a hedge is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hedge {
    /// Never.
    Never,
    /// After 0.7 of the target latency.
    Fixed,
    /// After [`ResponseTimes::hedge_delay`].
    Tail,
}

/// The load that is played.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Number of routers.
    pub routers: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Requests per second; the rate changes every two seconds.
    pub per_second: (f64, f64),
    /// How long all work takes relative to the usual.
    pub slowdown: f64,
    /// How long work takes at the first upstream relative to the others.
    pub first_slowdown: f64,
    /// Whether one upstream is lost.
    pub loses_one: bool,
}

/// What callers saw.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Of 1,000 requests, those with a response within the target latency.
    pub in_time: f64,
    /// 99th percentile of the response times, in milliseconds.
    pub p99_ms: f64,
    /// Of 1,000 requests, those that had no response.
    pub rejected: f64,
    /// Of 1,000 sends, those to an upstream with more than twice the mean and three in progress.
    pub over_bound: f64,
    /// Hedges for 1,000 requests.
    pub hedges: f64,
}

/// The load of three upstreams behind 88 routers.
pub const USUAL: Load = Load {
    routers: 88,
    upstreams: 3,
    per_second: (60.0, 120.0),
    slowdown: 1.0,
    first_slowdown: 1.0,
    loses_one: false,
};
/// The loads that were compared.
pub const LOADS: [(&str, Load); 7] = [
    ("88 routers", USUAL),
    ("88, two upstreams", Load { upstreams: 2, ..USUAL }),
    ("88, one of three lost", Load { loses_one: true, ..USUAL }),
    ("88, all 1.5 times as slow", Load { slowdown: 1.5, ..USUAL }),
    ("88, one always 3 times as slow", Load { first_slowdown: 3.0, ..USUAL }),
    ("88, four times the demand", Load { per_second: (240.0, 480.0), ..USUAL }),
    ("9 routers", Load { routers: 9, ..USUAL }),
];
/// The ways that were compared.
pub const COMPARED: [(Choice, Hedge); 14] = [
    (Choice::Random, Hedge::Never),
    (Choice::Random, Hedge::Fixed),
    (Choice::Random, Hedge::Tail),
    (Choice::RoundRobin, Hedge::Fixed),
    (Choice::Subset, Hedge::Fixed),
    (Choice::TwoChoices, Hedge::Never),
    (Choice::TwoChoices, Hedge::Fixed),
    (Choice::Fastest, Hedge::Never),
    (Choice::Fastest, Hedge::Fixed),
    (Choice::Expected, Hedge::Never),
    (Choice::Expected, Hedge::Fixed),
    (Choice::Expected, Hedge::Tail),
    (Choice::ExpectedLocal, Hedge::Tail),
    (Choice::Exact, Hedge::Tail),
];

struct Request {
    router: usize,
    came: u64,
    is_repeatable: bool,
    tried: Vec<usize>,
    sends: Vec<usize>,
    open_sends: usize,
    response: Option<u64>,
}

#[derive(Clone, Copy)]
struct Send {
    request: usize,
    upstream: usize,
    started: u64,
    is_ended: bool,
}

struct Upstream {
    working: usize,
    waiting: VecDeque<usize>,
    slow_from: Vec<u64>,
    usual_pace: f64,
    is_lost: bool,
}

struct Router {
    totals: FleetTotals,
    times: ResponseTimes,
    budget: RouterRetryBudget,
    turn: usize,
    knows_loss: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrives(usize),
    Reaches(usize),
    Done(usize),
    Responds(usize, bool),
    HedgeDue(usize),
    Exchanges(usize),
    Lost,
    LossKnown,
}

struct Model {
    choice: Choice,
    hedge: Hedge,
    load: Load,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
    now: u64,
    requests: Vec<Request>,
    sends: Vec<Send>,
    upstreams: Vec<Upstream>,
    routers: Vec<Router>,
    over_bound: u32,
    hedges: u32,
}

/// Plays the load.
#[must_use]
pub fn run(choice: Choice, hedge: Hedge, load: Load, seed: u64) -> Figures {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut upstreams: Vec<Upstream> = (0..load.upstreams).map(|_| upstream(&mut random)).collect();
    upstreams[0].usual_pace = load.first_slowdown;
    let router = |turn| Router {
        totals: FleetTotals::default(),
        times: ResponseTimes::new(POOL),
        budget: BUDGET.router_budget(BUDGET.base_share(load.routers), turn as u64),
        turn,
        knows_loss: false,
    };
    let mut model = Model {
        choice,
        hedge,
        load,
        routers: (0..load.routers).map(router).collect(),
        upstreams,
        random,
        events: BinaryHeap::new(),
        next: 0,
        now: 0,
        requests: Vec::new(),
        sends: Vec::new(),
        over_bound: 0,
        hedges: 0,
    };
    model.schedule();
    while let Some(Reverse((at, _, event))) = model.events.pop() {
        model.now = at;
        model.handle(event);
    }
    model.figures()
}

/// Returns the means over runs with these seeds.
#[must_use]
pub fn mean((choice, hedge): (Choice, Hedge), load: Load, seeds: &[u64]) -> Figures {
    let runs: Vec<Figures> = seeds.iter().map(|seed| run(choice, hedge, load, *seed)).collect();
    let mean = |figure: fn(&Figures) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len().max(1) as f64;
    Figures {
        in_time: mean(|run| run.in_time),
        p99_ms: mean(|run| run.p99_ms),
        rejected: mean(|run| run.rejected),
        over_bound: mean(|run| run.over_bound),
        hedges: mean(|run| run.hedges),
    }
}

fn upstream(random: &mut ChaCha8Rng) -> Upstream {
    let (mut at, mut slow_from) = (0, Vec::new());
    let mean_gap = SLOW_MICROS as f64 * (1.0 / SLOW_FRACTION - 1.0);
    while at < END_MICROS {
        at += whole(-random.random::<f64>().ln() * mean_gap);
        slow_from.push(at);
        at += SLOW_MICROS;
    }
    Upstream { working: 0, waiting: VecDeque::new(), slow_from, usual_pace: 1.0, is_lost: false }
}

impl Upstream {
    fn in_progress(&self) -> usize {
        self.working + self.waiting.len()
    }

    fn pace(&self, at: u64) -> f64 {
        let is_slow = self.slow_from.iter().any(|from| (*from..from + SLOW_MICROS).contains(&at));
        self.usual_pace * if is_slow { SLOW_FACTOR } else { 1.0 }
    }
}

impl Model {
    fn after(&mut self, micros: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + micros, self.next, event)));
    }

    fn schedule(&mut self) {
        let (mut at, mut rate, mut rate_until) = (0, 0.0, 0);
        while at < END_MICROS {
            if at >= rate_until {
                rate = self.random.random_range(self.load.per_second.0..=self.load.per_second.1);
                rate_until += 2_000_000;
            }
            at += whole(-self.random.random::<f64>().ln() * 1e6 / rate);
            let router = self.random.random_range(0..self.load.routers);
            let is_repeatable = self.random.random_bool(REPEATABLE_FRACTION);
            let tried = Vec::new();
            self.requests.push(Request {
                router,
                came: at,
                is_repeatable,
                tried,
                sends: Vec::new(),
                open_sends: 0,
                response: None,
            });
            self.after(at, Event::Arrives(self.requests.len() - 1));
        }
        for router in 0..self.load.routers {
            let first = self.random.random_range(0..EXCHANGE_MICROS.end);
            self.after(first, Event::Exchanges(router));
        }
        if self.load.loses_one {
            self.after(LOST_MICROS, Event::Lost);
            self.after(LOSS_KNOWN_MICROS, Event::LossKnown);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives(request) => {
                let now = instant(self.now);
                self.routers[self.requests[request].router].budget.record_request(now);
                self.send(request);
                self.plan_hedge(request);
            }
            Event::Reaches(send) => self.reaches(send),
            Event::Done(send) => self.done(send),
            Event::Responds(send, is_ok) => self.responds(send, is_ok),
            Event::HedgeDue(request) => self.hedge(request),
            Event::Exchanges(router) => self.exchange(router),
            Event::Lost => self.lose(),
            Event::LossKnown => self.routers.iter_mut().for_each(|router| router.knows_loss = true),
        }
    }

    /// Sends to an upstream that was not tried; returns whether there is one.
    fn send(&mut self, request: usize) -> bool {
        let Request { router, ref tried, .. } = self.requests[request];
        let is_left = |upstream: &usize| {
            !(tried.contains(upstream) || *upstream == 0 && self.routers[router].knows_loss)
        };
        let left: Vec<usize> = (0..self.load.upstreams).filter(is_left).collect();
        let Some(upstream) = self.choose(router, &left) else { return false };
        self.routers[router].times.start(name(upstream), instant(self.now));
        self.requests[request].tried.push(upstream);
        self.requests[request].open_sends += 1;
        self.requests[request].sends.push(self.sends.len());
        self.sends.push(Send { request, upstream, started: self.now, is_ended: false });
        self.after(latency(router, upstream), Event::Reaches(self.sends.len() - 1));
        true
    }

    fn choose(&mut self, router: usize, left: &[usize]) -> Option<usize> {
        let draw = self.random.random::<u64>();
        let candidates: Vec<PlainCandidate> =
            left.iter().map(|upstream| self.candidate(router, *upstream)).collect();
        let random = usize::try_from(draw >> 32).unwrap_or(0) % left.len().max(1);
        let position = match self.choice {
            Choice::Random => random,
            Choice::RoundRobin => {
                self.routers[router].turn += 1;
                self.routers[router].turn % left.len().max(1)
            }
            Choice::Subset => {
                let assigned = |upstream: &usize| !(router + *upstream).is_multiple_of(self.load.upstreams);
                let positions: Vec<usize> = (0..left.len()).filter(|place| assigned(&left[*place])).collect();
                positions.get(random % positions.len().max(1)).copied().unwrap_or(random)
            }
            Choice::TwoChoices => {
                let other =
                    (random + 1 + self.random.random_range(0..left.len().max(2) - 1)) % left.len().max(1);
                let load = |position: usize| candidates.get(position).map_or(0.0, |it| it.in_progress);
                if load(other) < load(random) { other } else { random }
            }
            Choice::Fastest => (0..left.len()).min_by_key(|position| candidates[*position].response_time)?,
            Choice::Expected | Choice::ExpectedLocal | Choice::Exact => choose_plain(&candidates, draw)?,
        };
        left.get(position).copied()
    }

    fn candidate(&self, router: usize, upstream: usize) -> PlainCandidate {
        let Router { totals, times, .. } = &self.routers[router];
        let expected = times.expected(name(upstream), totals, instant(self.now));
        let mut candidate = PlainCandidate {
            upstream: name(upstream),
            in_progress: expected.in_progress,
            own_in_progress: expected.own_in_progress,
            response_time: expected.response_time,
            failure_rate: 0.0,
            takes_work: true,
            counts_in_mean: true,
            distance: Distance::Local,
        };
        if self.choice == Choice::ExpectedLocal && router % 3 != upstream {
            candidate.distance = Distance::Remote;
        }
        if self.choice == Choice::Exact {
            let state = &self.upstreams[upstream];
            candidate.in_progress = state.in_progress() as f32;
            let queued = state.in_progress().saturating_sub(SLOTS) as f64 / SLOTS as f64;
            candidate.response_time =
                Duration::from_secs_f64(state.pace(self.now) * WORK_MS / 1_000.0 * (1.0 + queued));
        }
        candidate
    }

    fn plan_hedge(&mut self, request: usize) {
        let Request { router, is_repeatable, .. } = self.requests[request];
        let Router { totals, times, .. } = &self.routers[router];
        let delay = match self.hedge {
            Hedge::Never => None,
            Hedge::Fixed => Some(TARGET.mul_f64(HEDGED_FRACTION_OF_TARGET)),
            Hedge::Tail => times.hedge_delay(TARGET, totals, instant(self.now)),
        };
        if let Some(delay) = delay.filter(|_| is_repeatable) {
            self.after(micros(delay), Event::HedgeDue(request));
        }
    }

    fn hedge(&mut self, request: usize) {
        let Request { router, open_sends, response, .. } = self.requests[request];
        let is_due = response.is_none() && open_sends == 1;
        if is_due && self.routers[router].budget.try_retry(instant(self.now)) && self.send(request) {
            self.hedges += 1;
        }
    }

    fn reaches(&mut self, send: usize) {
        let Send { upstream, request, .. } = self.sends[send];
        let remaining = self.upstreams.iter().filter(|state| !state.is_lost);
        let mean = remaining.clone().map(Upstream::in_progress).sum::<usize>() as f64
            / remaining.count().max(1) as f64;
        let state = &mut self.upstreams[upstream];
        self.over_bound += u32::from(state.in_progress() as f64 > 2.0 * mean + 3.0);
        if state.is_lost || state.waiting.len() >= QUEUE {
            let back = latency(self.requests[request].router, upstream);
            self.after(back, Event::Responds(send, false));
        } else if state.working < SLOTS {
            state.working += 1;
            self.work(send);
        } else {
            state.waiting.push_back(send);
        }
    }

    fn work(&mut self, send: usize) {
        let pace = self.upstreams[self.sends[send].upstream].pace(self.now) * self.load.slowdown;
        let work = WORK_MS * 1_000.0 * pace * self.random.random_range(0.5..1.5);
        self.after(whole(work), Event::Done(send));
    }

    fn done(&mut self, send: usize) {
        let Send { upstream, request, .. } = self.sends[send];
        let back = latency(self.requests[request].router, upstream);
        let state = &mut self.upstreams[upstream];
        if state.is_lost {
            return;
        }
        let next = state.waiting.pop_front();
        state.working -= usize::from(next.is_none());
        if let Some(next) = next {
            self.work(next);
        }
        self.after(back, Event::Responds(send, true));
    }

    fn responds(&mut self, send: usize, is_ok: bool) {
        let Send { request, is_ended, .. } = self.sends[send];
        if is_ended {
            return;
        }
        self.end_send(send, is_ok);
        if is_ok {
            self.requests[request].response = Some(self.now);
            for other in self.requests[request].sends.clone() {
                if !self.sends[other].is_ended {
                    self.end_send(other, true);
                }
            }
        } else if self.requests[request].open_sends == 0 {
            let router = self.requests[request].router;
            if self.routers[router].budget.try_retry(instant(self.now)) {
                self.send(request);
            }
        }
    }

    fn end_send(&mut self, send: usize, has_time: bool) {
        let Send { request, upstream, started, .. } = self.sends[send];
        self.sends[send].is_ended = true;
        self.requests[request].open_sends -= 1;
        let took = has_time.then(|| Duration::from_micros(self.now - started));
        let router = &mut self.routers[self.requests[request].router];
        router.times.end(name(upstream), took, instant(self.now));
    }

    /// Sends over the tree of relays.
    fn exchange(&mut self, router: usize) {
        let at = instant(self.now);
        let relays = self.load.routers.isqrt();
        let relay = if self.load.routers <= 24 || router <= relays { 0 } else { 1 + router % relays };
        for number in [router, relay] {
            let Router { totals, times, .. } = &mut self.routers[number];
            totals.set_own(times.own_figures(at), at);
        }
        if relay != router {
            let source = |number: usize| UpdateSource::Router(NameHash(number as u64));
            let request = self.routers[router].totals.subtotal_for(source(relay), at);
            self.routers[relay].totals.record_subtotal(source(router), &request, at);
            let response = self.routers[relay].totals.totals_for(source(router), at);
            self.routers[router].totals.record_totals(source(relay), &response, at);
        }
        if self.now < END_MICROS {
            let next = self.random.random_range(EXCHANGE_MICROS);
            self.after(next, Event::Exchanges(router));
        }
    }

    /// The first upstream is lost; its requests end without a response.
    fn lose(&mut self) {
        let state = &mut self.upstreams[0];
        state.is_lost = true;
        state.waiting.clear();
        state.working = 0;
        let sends = 0..self.sends.len();
        let open = sends.filter(|send| self.sends[*send].upstream == 0 && !self.sends[*send].is_ended);
        for send in open.collect::<Vec<usize>>() {
            self.after(1_000, Event::Responds(send, false));
        }
    }

    fn figures(&self) -> Figures {
        let counted: Vec<&Request> =
            self.requests.iter().filter(|request| request.came >= START_MICROS).collect();
        let mut times: Vec<u64> =
            counted.iter().filter_map(|request| Some(request.response? - request.came)).collect();
        times.sort_unstable();
        let of_1000 = |part: usize, all: usize| 1_000.0 * part as f64 / all.max(1) as f64;
        let in_time = times.iter().filter(|time| **time <= micros(TARGET)).count();
        Figures {
            in_time: of_1000(in_time, counted.len()),
            p99_ms: times.get(times.len() * 99 / 100).map_or(0.0, |time| *time as f64 / 1_000.0),
            rejected: of_1000(counted.len() - times.len(), counted.len()),
            over_bound: of_1000(self.over_bound as usize, self.sends.len()),
            hedges: of_1000(self.hedges as usize, self.requests.len()),
        }
    }
}

const fn name(upstream: usize) -> NameHash {
    NameHash(7_919 * (upstream as u64 + 1))
}

/// Returns the one-way latency: routers and upstreams are in three data centres.
const fn latency(router: usize, upstream: usize) -> u64 {
    if router % 3 == upstream % 3 { 300 } else { 3_500 }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

const fn instant(micros: u64) -> Instant {
    Instant(1_000_000 + micros)
}
