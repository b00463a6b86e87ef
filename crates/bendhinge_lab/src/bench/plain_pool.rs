//! A small pool of plain upstreams before a large fleet, with the ways of letting requests in that were weighed.
//!
//! The pattern: one customer of 24 sends some twenty times its usual for eight seconds, so that more comes than the
//! pool can do. The figures are those of a deployment of 78 boxes before three upstreams of six places each,
//! which take 30 ms for a request, let 24 wait and turn the others away.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

use bendhinge_admission::{FleetRetryBudget, Pacer, PacingDecision, Requester, RouterRetryBudget};
use bendhinge_ids::{Instant, NameHash};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::whole;

const ROUTERS: usize = 78;
const UPSTREAMS: usize = 3;
const PLACES: usize = 6;
const QUEUE: usize = 24;
const WORK_MS: f64 = 30.0;
/// Within which an answer is in time.
pub const TARGET: Duration = Duration::from_millis(150);
const CUSTOMERS: usize = 24;
const USUAL_PER_SECOND: f64 = 200.0;
/// What the one customer sends in the burst, besides.
const BURST_PER_SECOND: f64 = 800.0;
const BURST_MICROS: std::ops::Range<u64> = 10_000_000..18_000_000;
const END_MICROS: u64 = 24_000_000;
/// How long a caller obeys a time to come back after.
const OBEYS: Duration = Duration::from_millis(800);
/// What a caller is told whose request all upstreams turned away.
const SOON: Duration = Duration::from_millis(160);
const BUDGET: FleetRetryBudget =
    FleetRetryBudget { ratio: 0.2, base_retries: 196.0, window: Duration::from_secs(10) };

/// How requests are let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// All; whoever is turned away tries the others.
    All,
    /// By each router's own pace ([`Pacer`]).
    Paced,
    /// By a count that is exact, as a router that counts for the pool would have it.
    Counted,
}

/// What callers got in the time of the burst.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Of the other customers' requests, those answered in time.
    pub others_in_time: f64,
    /// Of them, those answered at all.
    pub others_answered: f64,
    /// Of the large customer's, those answered in time.
    pub large_in_time: f64,
    /// Answers in time a second, of all customers.
    pub in_time_per_second: f64,
    /// Arrivals beyond the first of each request, for each request.
    pub second_sends: f64,
    /// Refusals by routers outside the burst.
    pub refused_in_calm: u32,
}

#[derive(Clone, Debug)]
struct Request {
    customer: usize,
    router: usize,
    /// When its caller first tried.
    first: u64,
    /// When it came to its router.
    came: u64,
    is_second_try: bool,
    tried: Vec<usize>,
}

#[derive(Default)]
struct Upstream {
    working: usize,
    waiting: VecDeque<Request>,
}

impl Upstream {
    /// Requests that are there.
    fn there(&self) -> usize {
        self.working + self.waiting.len()
    }
}

struct Router {
    pacer: Pacer,
    budget: RouterRetryBudget,
}

enum Event {
    Comes(Request),
    Done(usize, Request),
}

struct Model {
    way: Way,
    random: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    pending: HashMap<u64, Event>,
    next: u64,
    upstreams: Vec<Upstream>,
    routers: Vec<Router>,
    counts: Counts,
}

#[derive(Default)]
struct Counts {
    asked: [u32; 2],
    in_time: [u32; 2],
    answered: [u32; 2],
    requests: u32,
    second_sends: u32,
    refused_in_calm: u32,
}

/// Plays the load.
#[must_use]
pub fn run(way: Way, seed: u64) -> Seen {
    let router =
        || Router { pacer: Pacer::default(), budget: BUDGET.router_budget(BUDGET.base_share(ROUTERS), 0) };
    let mut model = Model {
        way,
        random: ChaCha8Rng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        pending: HashMap::new(),
        next: 0,
        upstreams: (0..UPSTREAMS).map(|_| Upstream::default()).collect(),
        routers: (0..ROUTERS).map(|_| router()).collect(),
        counts: Counts::default(),
    };
    model.arrivals(USUAL_PER_SECOND, 0..END_MICROS, |random| random.random_range(0..CUSTOMERS));
    model.arrivals(BURST_PER_SECOND, BURST_MICROS, |_| 0);
    while let Some(Reverse((at, number))) = model.events.pop() {
        match model.pending.remove(&number) {
            Some(Event::Comes(request)) => model.comes(request, at),
            Some(Event::Done(upstream, request)) => model.done(upstream, &request, at),
            None => {}
        }
    }
    model.counts.seen()
}

impl Counts {
    fn seen(&self) -> Seen {
        let seconds = (BURST_MICROS.end - BURST_MICROS.start) as f64 / 1e6;
        let part = |of: u32, all: u32| f64::from(of) / f64::from(all.max(1));
        Seen {
            others_in_time: part(self.in_time[0], self.asked[0]),
            others_answered: part(self.answered[0], self.asked[0]),
            large_in_time: part(self.in_time[1], self.asked[1]),
            in_time_per_second: f64::from(self.in_time[0] + self.in_time[1]) / seconds,
            second_sends: part(self.second_sends, self.requests),
            refused_in_calm: self.refused_in_calm,
        }
    }
}

impl Model {
    fn at(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.pending.insert(self.next, event);
        self.events.push(Reverse((at, self.next)));
    }

    fn arrivals(
        &mut self,
        per_second: f64,
        micros: std::ops::Range<u64>,
        customer: impl Fn(&mut ChaCha8Rng) -> usize,
    ) {
        let mut at = micros.start;
        loop {
            at += whole(-self.random.random::<f64>().ln() * 1e6 / per_second);
            if at >= micros.end {
                return;
            }
            let customer = customer(&mut self.random);
            let router = self.random.random_range(0..ROUTERS);
            let request =
                Request { customer, router, first: at, came: at, is_second_try: false, tried: Vec::new() };
            self.at(at, Event::Comes(request));
        }
    }

    fn comes(&mut self, request: Request, at: u64) {
        let now = instant(at);
        if !request.is_second_try && BURST_MICROS.contains(&request.first) {
            self.counts.asked[usize::from(request.customer == 0)] += 1;
        }
        self.counts.requests += 1;
        self.routers[request.router].budget.record_request(now);
        let refused = match self.way {
            Way::All => None,
            Way::Paced => {
                let asker = Requester { priority: 2, customer: NameHash(request.customer as u64) };
                let random = self.random.random();
                match self.routers[request.router].pacer.decide(asker, random, now) {
                    PacingDecision::Admitted => None,
                    PacingDecision::Refused(after) => Some(after),
                }
            }
            Way::Counted => self.counted(&request).then(|| Duration::from_millis(500)),
        };
        match refused {
            None => self.send(request, at),
            Some(after) => {
                if !(BURST_MICROS.start..BURST_MICROS.end + 3_000_000).contains(&at) {
                    self.counts.refused_in_calm += 1;
                }
                self.comes_back(&request, after, at);
            }
        }
    }

    /// Whether a router that counts for the pool would refuse: where all would wait for longer than half of the
    /// target, or a customer has more than a fair part of what is there.
    fn counted(&self, request: &Request) -> bool {
        const WAITING: usize = 12;
        let there: usize = self.upstreams.iter().map(Upstream::there).sum();
        let limit = UPSTREAMS * (PLACES + WAITING);
        there >= limit || request.customer == 0 && there * 2 >= limit
    }

    fn send(&mut self, mut request: Request, at: u64) {
        let left: Vec<usize> = (0..UPSTREAMS).filter(|upstream| !request.tried.contains(upstream)).collect();
        if left.is_empty() {
            return self.comes_back(&request, SOON, at);
        }
        let chosen = if self.way == Way::Counted {
            left.iter().copied().min_by_key(|upstream| self.upstreams[*upstream].there()).unwrap_or(0)
        } else {
            left[self.random.random_range(0..left.len())]
        };
        request.tried.push(chosen);
        let upstream = &mut self.upstreams[chosen];
        if upstream.working < PLACES {
            upstream.working += 1;
            return self.work(chosen, request, at);
        }
        if upstream.waiting.len() < QUEUE {
            return upstream.waiting.push_back(request);
        }
        let now = instant(at);
        let router = &mut self.routers[request.router];
        router.pacer.record_rejection(NameHash(chosen as u64), UPSTREAMS, now);
        if router.budget.try_retry(now) {
            self.counts.second_sends += 1;
            self.send(request, at + 2_000);
        } else {
            self.comes_back(&request, SOON, at);
        }
    }

    fn work(&mut self, upstream: usize, request: Request, at: u64) {
        let work = WORK_MS * 1_000.0 * self.random.random_range(0.5..1.5);
        self.at(at + whole(work), Event::Done(upstream, request));
    }

    fn done(&mut self, number: usize, request: &Request, at: u64) {
        let took = Duration::from_micros(at - request.first);
        let now = instant(at);
        let since_it_came = Duration::from_micros(at - request.came);
        self.routers[request.router].pacer.record_response(since_it_came, TARGET, now);
        if BURST_MICROS.contains(&request.first) {
            let large = usize::from(request.customer == 0);
            self.counts.answered[large] += 1;
            self.counts.in_time[large] += u32::from(took <= TARGET);
        }
        match self.upstreams[number].waiting.pop_front() {
            Some(next) => self.work(number, next, at),
            None => self.upstreams[number].working -= 1,
        }
    }

    /// A caller that was refused comes back once.
    fn comes_back(&mut self, request: &Request, after: Duration, at: u64) {
        if request.is_second_try {
            return;
        }
        let micros = u64::try_from(after.min(OBEYS).as_micros()).unwrap_or(0);
        let router = self.random.random_range(0..ROUTERS);
        let came = at + micros;
        let Request { customer, first, .. } = *request;
        let again = Request { customer, router, first, came, is_second_try: true, tried: Vec::new() };
        self.at(came, Event::Comes(again));
    }
}

const fn instant(micros: u64) -> Instant {
    Instant::from_millis(1_000 + micros / 1_000)
}
