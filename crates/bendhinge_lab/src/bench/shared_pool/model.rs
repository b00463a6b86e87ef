//! The routers and upstreams, and the events between them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use bendhinge_admission::RouterRetryBudget;
use bendhinge_fleet::{FleetTotals, IssuedPermits, ResponseTimes, UpdateSource};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::{Distance, PlainCandidate, choose_plain};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::counting::{Counted, Question, Verdict};
use super::load::{Burst, Load};
use super::upstream::{QUEUE, SLOTS, Upstream};
use super::{BUDGET, Choice, END_MICROS, Figures, Hedge, POOL, TARGET};
use crate::bench::load_limit::{Arrival, worst_fraction_over};
use crate::bench::whole;

const HEDGED_FRACTION_OF_TARGET: f64 = 0.7;
const REPEATABLE_FRACTION: f64 = 0.6;
const EXCHANGE_MICROS: std::ops::Range<u64> = 320_000..480_000;
/// When an upstream is lost, and when all routers know.
const LOST_MICROS: u64 = 30_000_000;
const LOSS_KNOWN_MICROS: u64 = 31_000_000;

pub(super) struct Request {
    pub(super) router: usize,
    came: u64,
    is_repeatable: bool,
    pub(super) tried: Vec<usize>,
    sends: Vec<usize>,
    open_sends: usize,
    response: Option<u64>,
    /// Upstreams at their limit according to the routers that count their requests, and their requests.
    pub(super) refused: Vec<(usize, u32)>,
}

#[derive(Clone, Copy)]
struct Send {
    request: usize,
    upstream: usize,
    started: u64,
    counted: Option<Counted>,
    is_ended: bool,
}

pub(super) struct Router {
    pub(super) totals: FleetTotals,
    pub(super) times: ResponseTimes,
    budget: RouterRetryBudget,
    turn: usize,
    knows_loss: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrives(usize),
    Reaches(usize),
    Done(usize),
    /// A question reaches the router that counts the requests of its upstream.
    Asked(Question),
    Answered(Question, Verdict),
    /// The router that counts learns of the end of a send.
    Uncounted(Counted),
    Responds(usize, bool),
    HedgeDue(usize),
    Exchanges(usize),
    Lost,
    LossKnown,
}

pub(super) struct Model {
    pub(super) choice: Choice,
    hedge: Hedge,
    pub(super) load: Load,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    next: u64,
    pub(super) now: u64,
    pub(super) requests: Vec<Request>,
    sends: Vec<Send>,
    upstreams: Vec<Upstream>,
    pub(super) routers: Vec<Router>,
    arrivals: Vec<Arrival>,
    hedges: u32,
    pub(super) questions: u32,
    /// What the routers that count requests have counted.
    pub(super) permits: IssuedPermits,
}

impl Model {
    pub(super) fn new(choice: Choice, hedge: Hedge, load: Load, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let upstream = |_| Upstream::new(load.has_slow_phases, &mut random);
        let mut upstreams: Vec<Upstream> = (0..load.upstreams).map(upstream).collect();
        upstreams[0].usual_pace = load.first_slowdown;
        let router = |turn| Router {
            totals: FleetTotals::default(),
            times: ResponseTimes::new(POOL),
            budget: BUDGET.router_budget(BUDGET.base_share(load.routers), turn as u64),
            turn,
            knows_loss: false,
        };
        Self {
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
            arrivals: Vec::new(),
            hedges: 0,
            questions: 0,
            permits: IssuedPermits::default(),
        }
    }

    pub(super) fn play(mut self) -> Figures {
        self.schedule();
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.figures()
    }

    pub(super) fn after(&mut self, micros: u64, event: Event) {
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
            self.schedule_request(router, at);
        }
        if let Some(burst) = self.load.burst {
            self.schedule_burst(burst);
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

    fn schedule_burst(&mut self, burst: Burst) {
        let mut at = burst.micros.0;
        loop {
            at += whole(-self.random.random::<f64>().ln() * 1e6 / burst.per_second);
            if at >= burst.micros.1 {
                return;
            }
            let router = self.random.random_range(0..self.load.routers);
            // Every third router is in the first data centre.
            let router = if burst.is_local { router - router % 3 } else { router };
            self.schedule_request(router, at);
        }
    }

    fn schedule_request(&mut self, router: usize, at: u64) {
        let is_repeatable = self.random.random_bool(REPEATABLE_FRACTION);
        self.requests.push(Request {
            router,
            came: at,
            is_repeatable,
            tried: Vec::new(),
            sends: Vec::new(),
            open_sends: 0,
            response: None,
            refused: Vec::new(),
        });
        self.after(at, Event::Arrives(self.requests.len() - 1));
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
            Event::Asked(question) => self.decide(question),
            Event::Answered(question, verdict) => self.answered(question, verdict),
            Event::Uncounted(counted) => self.permits.end(name(counted.upstream), counted.permit),
            Event::Responds(send, is_ok) => self.responds(send, is_ok),
            Event::HedgeDue(request) => self.hedge(request),
            Event::Exchanges(router) => self.exchange(router),
            Event::Lost => self.lose(),
            Event::LossKnown => self.routers.iter_mut().for_each(|router| router.knows_loss = true),
        }
    }

    /// Sends to an upstream that was not tried, or asks for one; returns whether there is one.
    pub(super) fn send(&mut self, request: usize) -> bool {
        let left = self.left_upstreams(request);
        if matches!(self.choice, Choice::Counted | Choice::PoolCounter) {
            return self.ask(request, &left);
        }
        let Some(upstream) = self.choose(self.requests[request].router, &left) else { return false };
        self.send_to(request, upstream, None);
        true
    }

    /// Returns the upstreams that the router of a request may send it to.
    pub(super) fn left_upstreams(&self, request: usize) -> Vec<usize> {
        let Request { router, ref tried, .. } = self.requests[request];
        let drain = self.load.drain_micros.map(|(from, until)| from..until);
        let is_draining = drain.is_some_and(|drain| drain.contains(&self.now));
        let is_left = |upstream: &usize| {
            !(tried.contains(upstream)
                || *upstream == 0 && self.routers[router].knows_loss
                || *upstream % 3 == 1 && is_draining)
        };
        (0..self.load.upstreams).filter(is_left).collect()
    }

    pub(super) const fn random(&mut self) -> &mut ChaCha8Rng {
        &mut self.random
    }

    /// Returns the one-way latency between a router and an upstream, or the router of that number.
    pub(super) fn latency(&self, router: usize, upstream: usize) -> u64 {
        let (local, remote) = self.load.latency_micros;
        if router % 3 == upstream % 3 { local } else { remote }
    }

    pub(super) fn send_to(&mut self, request: usize, upstream: usize, counted: Option<Counted>) {
        let Request { router, .. } = self.requests[request];
        self.routers[router].times.start(name(upstream), instant(self.now));
        self.requests[request].tried.push(upstream);
        self.requests[request].open_sends += 1;
        self.requests[request].sends.push(self.sends.len());
        self.sends.push(Send { request, upstream, started: self.now, counted, is_ended: false });
        self.after(self.latency(router, upstream), Event::Reaches(self.sends.len() - 1));
    }

    pub(super) fn choose(&mut self, router: usize, left: &[usize]) -> Option<usize> {
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
            Choice::Expected
            | Choice::ExpectedLocal
            | Choice::Exact
            | Choice::Counted
            | Choice::PoolCounter => choose_plain(&candidates, draw)?.candidate,
        };
        left.get(position).copied()
    }

    pub(super) fn candidate(&self, router: usize, upstream: usize) -> PlainCandidate {
        let Router { totals, times, .. } = &self.routers[router];
        let expected = times.expected(name(upstream), totals, instant(self.now));
        let mut candidate = PlainCandidate {
            upstream: name(upstream),
            in_progress: expected.in_progress,
            own_in_progress: expected.own_in_progress,
            response_time: expected.response_time,
            failure_rate: 0.0,
            takes_work: true,
            is_at_limit: false,
            counts_in_mean: true,
            distance: Distance::Local,
        };
        let prefers_local = matches!(self.choice, Choice::ExpectedLocal | Choice::Counted);
        if prefers_local && router % 3 != upstream % 3 {
            candidate.distance = Distance::Remote;
        }
        if self.choice == Choice::Exact {
            let state = &self.upstreams[upstream];
            candidate.in_progress = state.in_progress() as f32;
            let queued = state.in_progress().saturating_sub(SLOTS) as f64 / SLOTS as f64;
            candidate.response_time =
                Duration::from_secs_f64(state.pace(self.now) * self.load.work_ms / 1_000.0 * (1.0 + queued));
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
        self.arrivals.push(Arrival {
            millis: self.now / 1_000,
            is_over: state.in_progress() as f64 > 2.0 * mean + 3.0,
        });
        if state.is_lost || state.waiting.len() >= QUEUE {
            let back = self.latency(self.requests[request].router, upstream);
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
        let work = self.load.work_ms * 1_000.0 * pace * self.random.random_range(0.5..1.5);
        self.after(whole(work), Event::Done(send));
    }

    fn done(&mut self, send: usize) {
        let Send { upstream, request, .. } = self.sends[send];
        let back = self.latency(self.requests[request].router, upstream);
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
        let Send { request, upstream, started, counted, .. } = self.sends[send];
        self.sends[send].is_ended = true;
        self.requests[request].open_sends -= 1;
        let took = has_time.then(|| Duration::from_micros(self.now - started));
        let router = &mut self.routers[self.requests[request].router];
        router.times.end(name(upstream), took, instant(self.now));
        self.uncount(self.requests[request].router, counted);
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
            self.requests.iter().filter(|request| request.came >= self.load.counted_from_micros).collect();
        let mut times: Vec<u64> =
            counted.iter().filter_map(|request| Some(request.response? - request.came)).collect();
        times.sort_unstable();
        let of_1000 = |part: usize, all: usize| 1_000.0 * part as f64 / all.max(1) as f64;
        let in_time = times.iter().filter(|time| **time <= micros(TARGET)).count();
        Figures {
            in_time: of_1000(in_time, counted.len()),
            p99_ms: times.get(times.len() * 99 / 100).map_or(0.0, |time| *time as f64 / 1_000.0),
            rejected: of_1000(counted.len() - times.len(), counted.len()),
            over_bound: of_1000(
                self.arrivals.iter().filter(|arrival| arrival.is_over).count(),
                self.sends.len(),
            ),
            worst_over_bound: worst_fraction_over(
                &self.arrivals,
                self.load.counted_from_micros / 1_000..END_MICROS / 1_000,
            ),
            questions: of_1000(self.questions as usize, self.requests.len()),
            hedges: of_1000(self.hedges as usize, self.requests.len()),
        }
    }
}

pub(super) const fn name(upstream: usize) -> NameHash {
    NameHash(7_919 * (upstream as u64 + 1))
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

pub(super) const fn instant(micros: u64) -> Instant {
    Instant(1_000_000 + micros)
}
