//! Shares and refusals: several routers, each with a part of the traffic, under a surge of a
//! few customers, with a class that wakes up in its midst and wants its share back.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use bendhinge_admission::{
    AdmissionController, AdmissionRequest, AdmissionRules, ClassIndex, ClassRule, CustomerIndex,
    CustomerRule, FleetUsage, PoolIndex, PoolRule, RefusalReason, Usage, WeightedDemand, max_min_fair_shares,
};
use bendhinge_ids::Instant;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const POOL: PoolIndex = PoolIndex(0);
const SLOTS: u32 = 320;
const TURN: Duration = Duration::from_secs(8);
/// Shares of the three classes.
const SHARES: [f64; 3] = [60.0, 30.0, 10.0];
/// How often routers tell each other, and start their rounds.
const ROUND: Duration = Duration::from_millis(500);
/// How old what they hear is.
const LAG: Duration = Duration::from_millis(500);
const LENGTH: Duration = Duration::from_secs(180);
const WINDOW: Duration = Duration::from_secs(1);

/// A customer: its class, its limit, and its requests a second over the phases of the run.
struct CustomerPlan {
    class: usize,
    limit: u32,
    rates: [f64; 3],
}

/// Before the surge, in it, and in it with the first class awake. Capacity is 40 a second.
const CUSTOMERS: [CustomerPlan; 8] = [
    CustomerPlan { class: 0, limit: 400, rates: [2.0, 0.0, 30.0] },
    CustomerPlan { class: 0, limit: 400, rates: [2.0, 0.0, 30.0] },
    CustomerPlan { class: 1, limit: 400, rates: [6.0, 6.0, 12.0] },
    CustomerPlan { class: 1, limit: 40, rates: [3.0, 3.0, 12.0] },
    CustomerPlan { class: 2, limit: 400, rates: [4.0, 60.0, 60.0] },
    CustomerPlan { class: 2, limit: 400, rates: [4.0, 40.0, 40.0] },
    CustomerPlan { class: 2, limit: 400, rates: [1.0, 1.0, 1.0] },
    CustomerPlan { class: 2, limit: 400, rates: [1.0, 1.0, 1.0] },
];

/// Figures of a run.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionFigures {
    /// The worst class's part of its due share over any second in which it was refused.
    pub worst_class: f64,
    /// The worst customer's part of its due share within its class, likewise.
    pub worst_customer: f64,
    /// The part of all requests that was refused though capacity and share were free.
    pub false_refusals: f64,
    /// The same, counting only capacity and shares that were free by a twentieth.
    pub false_by_a_twentieth: f64,
    /// The most requests in progress over the slots.
    pub peak_over_slots: f64,
    /// The part of the slots in use, on average, while there was more demand than slots.
    pub utilization: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request { customer: usize },
    Ended { router: usize, customer: usize },
    Round,
}

/// What is so in the whole fleet.
#[derive(Default)]
struct Truth {
    customers: [u32; CUSTOMERS.len()],
    refused: VecDeque<(Instant, usize)>,
}

impl Truth {
    fn total(&self) -> u32 {
        self.customers.iter().sum()
    }

    fn class(&self, class: usize) -> u32 {
        let of_class = self.customers.iter().zip(&CUSTOMERS).filter(|(_, plan)| plan.class == class);
        of_class.map(|(in_progress, _)| in_progress).sum()
    }

    fn refused(&self, wanted: impl Fn(usize) -> bool) -> u32 {
        u32::try_from(self.refused.iter().filter(|(_, customer)| wanted(*customer)).count())
            .unwrap_or(u32::MAX)
    }

    /// What each class may have by a fair division of what is truly wanted.
    fn class_dues(&self) -> Vec<f64> {
        let wants: Vec<WeightedDemand> = (0..SHARES.len())
            .map(|class| {
                let refused = self.refused(|customer| CUSTOMERS[customer].class == class);
                WeightedDemand {
                    weight: SHARES[class],
                    amount: f64::from(self.class(class) + refused),
                    is_growing: refused > 0,
                }
            })
            .collect();
        max_min_fair_shares(&wants, f64::from(SLOTS))
    }

    /// What each customer of a class may have of the class's due.
    fn customer_dues(&self, class: usize, due: f64) -> Vec<(usize, f64)> {
        let active: Vec<usize> =
            (0..CUSTOMERS.len()).filter(|customer| CUSTOMERS[*customer].class == class).collect();
        let wants: Vec<WeightedDemand> = active
            .iter()
            .map(|customer| {
                let refused = self.refused(|other| other == *customer);
                WeightedDemand {
                    weight: 1.0,
                    amount: f64::from(self.customers[*customer] + refused),
                    is_growing: refused > 0,
                }
            })
            .collect();
        active.into_iter().zip(max_min_fair_shares(&wants, due)).collect()
    }
}

/// Sums over the second that is going on.
#[derive(Clone, Default)]
struct WindowSums {
    samples: f64,
    classes: [(f64, f64); SHARES.len()],
    customers: [(f64, f64); CUSTOMERS.len()],
    class_refused: [u32; SHARES.len()],
    customer_refused: [u32; CUSTOMERS.len()],
}

struct Bench {
    random: ChaCha8Rng,
    queue: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    next: u64,
    routers: Vec<AdmissionController>,
    weights: Vec<f64>,
    told: VecDeque<(Instant, Vec<FleetUsage>)>,
    truth: Truth,
    window: WindowSums,
    window_from: Instant,
    requests: u64,
    false_refusals: u64,
    false_by_a_twentieth: u64,
    figures: AdmissionFigures,
    busy: (f64, f64),
}

fn rules() -> AdmissionRules {
    AdmissionRules {
        classes: SHARES.iter().map(|share| ClassRule { share: *share }).collect(),
        customers: CUSTOMERS
            .iter()
            .map(|plan| CustomerRule { class: ClassIndex(plan.class), limit: plan.limit, share: 1.0 })
            .collect(),
        pools: vec![PoolRule { slots: SLOTS, initial_service_time: TURN }],
    }
}

/// Runs the scenario with `routers` routers behind an uneven balancer.
#[must_use]
pub fn run(routers: usize, seed: u64) -> AdmissionFigures {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let weights = (0..routers).map(|_| random.random_range(1.0..3.0)).collect();
    let figures = AdmissionFigures {
        worst_class: 1.0,
        worst_customer: 1.0,
        false_refusals: 0.0,
        false_by_a_twentieth: 0.0,
        peak_over_slots: 0.0,
        utilization: 0.0,
    };
    let mut bench = Bench {
        random,
        queue: BinaryHeap::new(),
        next: 0,
        routers: (0..routers).map(|_| AdmissionController::new(rules(), routers)).collect(),
        weights,
        told: VecDeque::new(),
        truth: Truth::default(),
        window: WindowSums::default(),
        window_from: Instant::default(),
        requests: 0,
        false_refusals: 0,
        false_by_a_twentieth: 0,
        figures,
        busy: (0.0, 0.0),
    };
    bench.go();
    bench.figures.false_refusals = bench.false_refusals as f64 / bench.requests as f64;
    bench.figures.false_by_a_twentieth = bench.false_by_a_twentieth as f64 / bench.requests as f64;
    bench.figures.utilization = bench.busy.0 / bench.busy.1.max(1.0);
    bench.figures
}

impl Bench {
    fn go(&mut self) {
        let end = Instant::default() + LENGTH;
        self.push(ROUND, Instant::default(), Event::Round);
        for customer in 0..CUSTOMERS.len() {
            self.plan_request(customer, Instant::default());
        }
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            if now >= end {
                return;
            }
            match event {
                Event::Request { customer } => self.request(customer, now),
                Event::Ended { router, customer } => self.ended(router, customer),
                Event::Round => self.round(now),
            }
            self.sample(now);
        }
    }

    fn push(&mut self, after: Duration, now: Instant, event: Event) {
        self.next += 1;
        self.queue.push(Reverse((now + after, self.next, event)));
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn phase(now: Instant) -> usize {
        let third = LENGTH / 3;
        match now.since(Instant::default()) {
            passed if passed < third => 0,
            passed if passed < third * 2 => 1,
            _ => 2,
        }
    }

    fn plan_request(&mut self, customer: usize, now: Instant) {
        const LOOK_AGAIN: Duration = Duration::from_millis(500);
        let rate = CUSTOMERS[customer].rates[Self::phase(now)];
        if rate > 0.0 {
            let wait = self.exponential(1.0 / rate);
            self.push(wait, now, Event::Request { customer });
        } else {
            // Idle in this phase: a request of no weight keeps the plan going.
            self.push(LOOK_AGAIN, now, Event::Request { customer });
        }
    }

    fn router(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut point = self.random.random_range(0.0..total);
        let weights = self.weights.iter();
        let found = weights.enumerate().find(|(_, weight)| {
            point -= **weight;
            point < 0.0
        });
        found.map_or(0, |(router, _)| router)
    }

    fn request(&mut self, customer: usize, now: Instant) {
        let idle = CUSTOMERS[customer].rates[Self::phase(now)] == 0.0;
        self.plan_request(customer, now);
        if idle {
            return;
        }
        self.requests += 1;
        let router = self.router();
        let ask = AdmissionRequest {
            pool: POOL,
            customer: CustomerIndex(customer),
            deadline: None,
            pool_in_progress: 0,
        };
        match self.routers[router].decide(ask, 0.5) {
            Ok(()) => {
                self.truth.customers[customer] += 1;
                let half = TURN / 2;
                let time = half + self.exponential(half.as_secs_f64());
                self.push(time, now, Event::Ended { router, customer });
            }
            Err(refusal) => self.refused(customer, refusal.reason, now),
        }
    }

    fn refused(&mut self, customer: usize, reason: RefusalReason, now: Instant) {
        let class = CUSTOMERS[customer].class;
        self.false_refusals += u64::from(self.is_false(customer, reason, 1.0));
        self.false_by_a_twentieth += u64::from(self.is_false(customer, reason, 0.95));
        if reason == RefusalReason::ShareExceeded {
            self.truth.refused.push_back((now, customer));
            self.window.class_refused[class] += 1;
            self.window.customer_refused[customer] += 1;
        }
    }

    /// Whether there was room: less than `part` of the slots and of every due in use.
    fn is_false(&self, customer: usize, reason: RefusalReason, part: f64) -> bool {
        let class = CUSTOMERS[customer].class;
        let own = f64::from(self.truth.customers[customer]);
        match reason {
            RefusalReason::CustomerLimitReached => own + 1.0 <= part * f64::from(CUSTOMERS[customer].limit),
            RefusalReason::ShareExceeded => {
                let due = self.truth.class_dues()[class];
                let customer_dues = self.truth.customer_dues(class, due);
                let own_due =
                    customer_dues.iter().find(|(index, _)| *index == customer).map_or(0.0, |(_, due)| *due);
                let pool_free = f64::from(self.truth.total()) + 1.0 <= part * f64::from(SLOTS);
                let class_free = f64::from(self.truth.class(class)) + 1.0 <= part * due;
                pool_free && class_free && own + 1.0 <= part * own_due
            }
            RefusalReason::DeadlineUnreachable => true,
        }
    }

    fn ended(&mut self, router: usize, customer: usize) {
        self.truth.customers[customer] -= 1;
        self.routers[router].finish(POOL, CustomerIndex(customer), None);
    }

    fn round(&mut self, now: Instant) {
        self.push(ROUND, now, Event::Round);
        let usages = self.routers.iter().map(|router| router.own_usage().clone()).collect();
        self.told.push_back((now, usages));
        while self.told.len() > 1 && now.since(self.told[1].0) >= LAG {
            self.told.pop_front();
        }
        let heard =
            self.told.front().filter(|(at, _)| now.since(*at) >= LAG).map(|(_, usages)| usages.clone());
        let routers = self.routers.len();
        for index in 0..routers {
            let mut others = FleetUsage::empty(&rules());
            for (_, usage) in heard.iter().flatten().enumerate().filter(|(other, _)| *other != index) {
                add(&mut others, usage);
            }
            self.routers[index].begin_round(&others, routers);
        }
    }

    fn sample(&mut self, now: Instant) {
        const REMEMBERED: Duration = Duration::from_millis(500);
        while self.truth.refused.front().is_some_and(|(at, _)| now.since(*at) > REMEMBERED) {
            self.truth.refused.pop_front();
        }
        let total = f64::from(self.truth.total());
        self.figures.peak_over_slots = self.figures.peak_over_slots.max(total / f64::from(SLOTS));
        if Self::phase(now) > 0 && now.since(Instant::default()) > LENGTH / 3 + TURN * 2 {
            self.busy.0 += (total / f64::from(SLOTS)).min(1.0);
            self.busy.1 += 1.0;
        }
        let dues = self.truth.class_dues();
        self.window.samples += 1.0;
        for (class, due) in dues.iter().enumerate() {
            let has = self.truth.class(class);
            let refused = self.truth.refused(|customer| CUSTOMERS[customer].class == class);
            // Nobody is due more than it wants.
            self.window.classes[class].0 += f64::from(has);
            self.window.classes[class].1 += due.min(f64::from(has + refused));
            for (customer, due) in self.truth.customer_dues(class, *due) {
                let has = self.truth.customers[customer];
                let refused = self.truth.refused(|other| other == customer);
                self.window.customers[customer].0 += f64::from(has);
                self.window.customers[customer].1 += due.min(f64::from(has + refused));
            }
        }
        if now.since(self.window_from) >= WINDOW {
            self.close_window(now);
        }
    }

    fn close_window(&mut self, now: Instant) {
        let window = std::mem::take(&mut self.window);
        self.window_from = now;
        for (class, (has, due)) in window.classes.iter().enumerate() {
            if window.class_refused[class] > 0 && *due > 0.0 {
                self.figures.worst_class = self.figures.worst_class.min(has / due);
            }
        }
        for (customer, (has, due)) in window.customers.iter().enumerate() {
            // A customer is due its part of what its class has, not of what the class lacks.
            let class = CUSTOMERS[customer].class;
            let of_class = window.classes[class].0 / window.classes[class].1.max(1.0);
            if window.customer_refused[customer] > 0 && *due > window.samples * 5.0 {
                self.figures.worst_customer = self.figures.worst_customer.min(has / due / of_class.min(1.0));
            }
        }
    }
}

fn add(sum: &mut FleetUsage, usage: &FleetUsage) {
    for (class, of_class) in usage.pools[POOL.0].classes.iter().enumerate() {
        sum.add_class_usage(POOL, ClassIndex(class), *of_class);
    }
    for (customer, of_customer) in &usage.pools[POOL.0].customers {
        sum.add_customer_usage(POOL, *customer, Usage { ..*of_customer });
    }
}
