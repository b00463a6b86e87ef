//! Reuse and skew of a way of placing turns.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bendhinge_ids::Instant;
use bendhinge_placement::{LoadBound, PoolLoad};
use hdrhistogram::Histogram;
use rand::Rng;

use super::cache::{Chat, ContextCache};
use super::policy::{Asked, Held, Messages, Policy, PolicyKind};
use super::workload::{Event, Scenario, Workload};

/// The promise is stated against the highest load of the pool in this time before.
///
/// A load falls as turns end, and routers know of it with a lag of up to a second; against the
/// load of this very moment no way that counts over several routers could promise anything.
pub const PROMISE_WINDOW: Duration = Duration::from_secs(2);

/// What is so, whatever routers believe.
pub(super) struct Truth {
    up: Vec<bool>,
    loads: Vec<u32>,
    caches: Vec<ContextCache>,
    /// Where each chat was last served.
    places: HashMap<Chat, u32>,
}

impl Truth {
    pub(super) fn is_up(&self, engine: u32) -> bool {
        self.up[engine as usize]
    }

    pub(super) fn loads(&self) -> &[u32] {
        &self.loads
    }

    pub(super) fn total(&self) -> u32 {
        self.loads.iter().sum()
    }

    /// The engine that holds the chat's context, if one does.
    pub(super) fn context_of(&self, chat: Chat) -> Option<u32> {
        let place = self.places.get(&chat).copied()?;
        self.caches[place as usize].holds(chat).then_some(place)
    }

    fn mean(&self) -> f64 {
        let up = self.up.iter().filter(|up| **up).count();
        f64::from(self.total()) / up.max(1) as f64
    }
}

/// Figures of a run.
#[derive(Clone, Debug)]
pub struct PlacementFigures {
    /// Part of the returning turns that found their context.
    pub reuse: f64,
    /// The 99th percentile over time of the highest load over the mean.
    pub p99_over_mean: f64,
    /// The worst load at any admission over its stated promise, while routers agree on which
    /// engines there are.
    pub peak_over_bound: f64,
    /// The same while they do not, because an engine went or came back of late.
    pub peak_over_bound_disagreeing: f64,
    /// The part of admissions that were above the promise.
    pub over_bound: f64,
    /// Turns refused although the bound leaves room somewhere.
    pub refused: u64,
    /// Turns placed.
    pub placed: u64,
    /// Messages a second between routers, for each router: asked and answered, returned, told.
    pub messages_per_router: f64,
    /// Permits asked of other routers, for each turn.
    pub asked_per_turn: f64,
}

impl PlacementFigures {
    /// The figures of several runs: means, but the worst of worst cases and sums of counts.
    #[must_use]
    pub fn over_runs(runs: &[Self]) -> Self {
        let mean = |figure: fn(&Self) -> f64| runs.iter().map(figure).sum::<f64>() / runs.len() as f64;
        let worst = |figure: fn(&Self) -> f64| runs.iter().map(figure).fold(0.0, f64::max);
        Self {
            reuse: mean(|run| run.reuse),
            p99_over_mean: mean(|run| run.p99_over_mean),
            peak_over_bound: worst(|run| run.peak_over_bound),
            peak_over_bound_disagreeing: worst(|run| run.peak_over_bound_disagreeing),
            over_bound: mean(|run| run.over_bound),
            refused: runs.iter().map(|run| run.refused).sum(),
            placed: runs.iter().map(|run| run.placed).sum(),
            messages_per_router: mean(|run| run.messages_per_router),
            asked_per_turn: mean(|run| run.asked_per_turn),
        }
    }
}

struct Running {
    router: usize,
    engine: u32,
    held: Held,
}

struct Bench {
    workload: Workload,
    policy: Policy,
    truth: Truth,
    running: HashMap<u64, Running>,
    next_ticket: u64,
    /// Loads of the pool in the promise's window that no later one exceeds, falling: the first
    /// is the highest.
    totals: VecDeque<(Instant, u32)>,
    up: usize,
    returning: u64,
    found: u64,
    placed: u64,
    refused: u64,
    over: u64,
    worst: f64,
    worst_disagreeing: f64,
    agree_from: Instant,
    peaks: Histogram<u64>,
    measured_from: Instant,
}

/// Runs a scenario under one way of placing turns.
#[must_use]
pub fn run(kind: PolicyKind, scenario: Scenario, seed: u64) -> PlacementFigures {
    let truth = Truth {
        up: vec![true; scenario.engines],
        loads: vec![0; scenario.engines],
        caches: vec![ContextCache::default(); scenario.engines],
        places: HashMap::new(),
    };
    let mut bench = Bench {
        workload: Workload::new(scenario, seed),
        policy: Policy::new(kind, scenario),
        truth,
        running: HashMap::new(),
        next_ticket: 0,
        totals: VecDeque::new(),
        up: scenario.engines,
        returning: 0,
        found: 0,
        placed: 0,
        refused: 0,
        over: 0,
        worst: 0.0,
        worst_disagreeing: 0.0,
        agree_from: Instant::default(),
        peaks: Histogram::new(3).expect("three digits are supported"),
        measured_from: Instant::default() + scenario.warm_up,
    };
    let end = bench.measured_from + scenario.length;
    let mut before = Messages::default();
    let mut warm = false;
    while let Some((now, event)) = bench.workload.next(end) {
        if !warm && now >= bench.measured_from {
            warm = true;
            before = bench.policy.messages;
        }
        bench.handle(now, event);
    }
    bench.figures(before)
}

impl Bench {
    fn handle(&mut self, now: Instant, event: Event) {
        match event {
            Event::Turn(chat) => self.turn(chat, now),
            Event::Ended { ticket } => self.ended(ticket, now),
            Event::Loss => self.loss(now),
            Event::Back { engine } => {
                self.truth.up[engine as usize] = true;
                self.up += 1;
                self.begin_disagreement(now);
                self.workload.push(Scenario::VIEW_LAG, now, Event::View);
            }
            Event::View => self.policy.view(&self.truth),
            Event::Tick => self.tick(now),
        }
    }

    fn is_measured(&self, now: Instant) -> bool {
        now >= self.measured_from
    }

    fn tick(&mut self, now: Instant) {
        let every = self.workload.scenario.tell_every;
        self.workload.push(every, now, Event::Tick);
        self.policy.tick(&self.truth, now);
        if self.is_measured(now) {
            let highest = self.truth.loads.iter().max().copied().unwrap_or(0);
            let over_mean = f64::from(highest) / self.truth.mean().max(0.001);
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "a small positive ratio"
            )]
            let recorded = self.peaks.record((over_mean * 1_000.0) as u64);
            recorded.expect("the histogram grows by itself");
        }
    }

    fn loss(&mut self, now: Instant) {
        let every = self.workload.scenario.loss_every;
        self.workload.push(every, now, Event::Loss);
        let engine = self.workload.random.random_range(0..self.truth.up.len());
        if !self.truth.up[engine] {
            return;
        }
        self.truth.up[engine] = false;
        self.up -= 1;
        self.begin_disagreement(now);
        self.truth.caches[engine].clear();
        let engine = u32::try_from(engine).expect("few engines");
        let mut lost: Vec<u64> = self
            .running
            .iter()
            .filter(|(_, running)| running.engine == engine)
            .map(|(ticket, _)| *ticket)
            .collect();
        lost.sort_unstable();
        for ticket in lost {
            self.ended(ticket, now);
        }
        self.workload.push(Scenario::VIEW_LAG, now, Event::View);
        self.workload.push(Scenario::OUTAGE, now, Event::Back { engine });
    }

    fn turn(&mut self, chat: Chat, now: Instant) {
        self.workload.plan_next_turn(chat, now);
        let router = self.workload.router();
        let mut tried: Vec<u32> = Vec::new();
        for _ in 0..3 {
            let asked = Asked { router, chat, now, tried: &tried };
            let Some(placed) = self.policy.place(asked, &self.truth, &mut self.workload.random) else {
                break;
            };
            if self.truth.is_up(placed.engine) {
                self.begin(router, chat, placed.engine, placed.held, now);
                return;
            }
            self.policy.failed(router, placed.engine, placed.held, now);
            tried.push(placed.engine);
        }
        self.refused += u64::from(self.is_measured(now));
    }

    fn begin(&mut self, router: usize, chat: Chat, engine: u32, held: Held, now: Instant) {
        let promise = self.promise();
        let load = &mut self.truth.loads[engine as usize];
        *load += 1;
        let over = f64::from(*load) / f64::from(promise);
        if self.is_measured(now) {
            self.placed += 1;
            self.note_over(over, now);
            if self.truth.places.contains_key(&chat) {
                self.returning += 1;
                self.found += u64::from(self.truth.caches[engine as usize].holds(chat));
            }
        }
        self.truth.caches[engine as usize].store(chat, self.workload.scenario.cache);
        self.truth.places.insert(chat, engine);
        self.next_ticket += 1;
        self.running.insert(self.next_ticket, Running { router, engine, held });
        let time = self.workload.turn_time();
        self.workload.push(time, now, Event::Ended { ticket: self.next_ticket });
        self.note_total(now);
    }

    fn note_over(&mut self, over: f64, now: Instant) {
        if now < self.agree_from {
            self.worst_disagreeing = self.worst_disagreeing.max(over);
        } else {
            self.worst = self.worst.max(over);
            self.over += u64::from(over > 1.0);
        }
    }

    /// For a while routers do not know of an engine's going or coming back, and for as long as
    /// the promise looks back its effect stays.
    fn begin_disagreement(&mut self, now: Instant) {
        self.agree_from = now + Scenario::VIEW_LAG + PROMISE_WINDOW;
    }

    fn ended(&mut self, ticket: u64, now: Instant) {
        let Some(running) = self.running.remove(&ticket) else { return };
        self.truth.loads[running.engine as usize] -= 1;
        self.policy.ended(running.router, running.engine, running.held, now);
        self.note_total(now);
    }

    fn note_total(&mut self, now: Instant) {
        let total = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        while self.totals.back().is_some_and(|(_, before)| *before <= total) {
            self.totals.pop_back();
        }
        self.totals.push_back((now, total));
        // A load holds until the next one is noted, so the first past the window still counts.
        while self.totals.len() > 1 && now.since(self.totals[1].0) > PROMISE_WINDOW {
            self.totals.pop_front();
        }
    }

    /// What an engine may carry by the stated promise.
    fn promise(&self) -> u32 {
        let in_progress = self.totals.front().map_or(0, |(_, total)| *total);
        let share = 1.0 / self.up.max(1) as f64;
        LoadBound(self.workload.scenario.bound).limit(PoolLoad { in_progress }, share)
    }

    fn figures(&self, before: Messages) -> PlacementFigures {
        let scenario = self.workload.scenario;
        let messages = self.policy.messages;
        let asked = messages.asked - before.asked;
        let others = messages.returned - before.returned + messages.displaced - before.displaced;
        let router_seconds = scenario.length.as_secs_f64() * scenario.routers as f64;
        PlacementFigures {
            reuse: self.found as f64 / self.returning.max(1) as f64,
            p99_over_mean: self.peaks.value_at_quantile(0.99) as f64 / 1_000.0,
            peak_over_bound: self.worst,
            peak_over_bound_disagreeing: self.worst_disagreeing,
            over_bound: self.over as f64 / self.placed.max(1) as f64,
            refused: self.refused,
            placed: self.placed,
            messages_per_router: (asked + others) as f64 / router_seconds,
            asked_per_turn: asked as f64 / self.placed.max(1) as f64,
        }
    }
}
