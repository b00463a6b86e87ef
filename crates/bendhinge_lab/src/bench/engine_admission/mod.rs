//! A pool of engines behind many boxes, with the ways of admitting requests that were compared.
//!
//! 88 boxes with 5 to 70 parts of the requests each send to 60 engines of 48 slots and a queue of 144. Usual demand
//! takes some three fifths of the slots. Loads are in [`Load`]; boxes know engines' loads with a lag of 0.4 to 0.8 s
//! and each other's demands with one of 0.4 to 1.2 s.

mod boxes;
mod callers;
mod engines;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::whole;
pub use boxes::Way;
use boxes::{Boxes, Decision};
use callers::{CLASSES, CUSTOMERS, END_MS, LOAD_MS, Request, SETTLING_MS};
pub use callers::{Load, Outcome, Served};
use engines::{ENGINES, Engine, SLOTS, TICK_MS};

/// Requests per second of all boxes at the usual load.
const USUAL_PER_SECOND: f64 = 2_100.0;
/// Delay told to a caller whose request two engines rejected, as the gateway does without admission.
const AFTER_REJECTION_MS: u64 = 500;
/// Delay with which an impatient caller retries, and how often a request is sent at most.
const AT_ONCE_MS: u64 = 50;
const MAX_TRIES: u32 = 2;
const MAX_TRIES_AT_ONCE: u32 = 10;

struct Model {
    load: Load,
    random: ChaCha8Rng,
    engines: Vec<Engine>,
    boxes: Boxes,
    requests: Vec<Request>,
    /// Requests that come back, by time.
    retries: BTreeMap<u64, Vec<usize>>,
    outcome: Outcome,
    /// Requests in progress relative to the slots, by tick under load.
    loads: Vec<f64>,
}

/// Runs one load with one way of admitting requests.
#[must_use]
pub fn run(way: Way, load: Load, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut model = Model {
        load,
        boxes: Boxes::new(way, &mut random),
        random,
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        requests: Vec::new(),
        retries: BTreeMap::new(),
        outcome: Outcome::default(),
        loads: Vec::new(),
    };
    for now in (0..END_MS).step_by(usize::try_from(TICK_MS).unwrap_or(1)) {
        model.tick(now);
    }
    model.finish()
}

impl Model {
    fn tick(&mut self, now: u64) {
        if self.load == Load::HalfLost && now == LOAD_MS {
            self.lose_half(now);
        }
        if now == self.load.end_ms() {
            self.engines.iter_mut().for_each(|engine| engine.is_lost = false);
        }
        self.boxes.observe(&self.engines, now);
        for index in self.retries.remove(&now).unwrap_or_default() {
            self.requests[index].sent_at = now;
            self.requests[index].last_event_at = now;
            self.arrive(index, now);
        }
        self.send_new(now);
        self.run_engines(now);
    }

    fn send_new(&mut self, now: u64) {
        let is_loaded = (LOAD_MS..self.load.end_ms()).contains(&now);
        for router in 0..self.boxes.len() {
            let expected = USUAL_PER_SECOND * self.boxes.part(router) * TICK_MS as f64 / 1_000.0;
            for (class, properties) in CLASSES.iter().enumerate() {
                for customer in 0..CUSTOMERS {
                    let factor = if is_loaded { self.load.factor(router, class, customer) } else { 1.0 };
                    let mean = expected * properties.fraction / CUSTOMERS as f64 * factor;
                    for _ in 0..whole(mean + self.random.random::<f64>()) {
                        self.requests.push(Request::new(class, customer, router, now));
                        self.count(self.requests.len() - 1, |served| served.sent += 1.0);
                        self.arrive(self.requests.len() - 1, now);
                    }
                }
            }
        }
    }

    fn arrive(&mut self, index: usize, now: u64) {
        let jitter = self.random.random();
        match self.boxes.decide(&self.requests[index], jitter, now) {
            Decision::Admitted => self.send(index, now),
            Decision::Refused(delay_ms) => {
                let free = self.slots_in_use() < 0.8;
                self.outcome.refused_in_calm += f64::from(u8::from(free));
                self.refuse(index, delay_ms, now);
            }
        }
    }

    /// Sends to the least loaded of three engines as known, and to a second one if that rejects the request.
    fn send(&mut self, index: usize, now: u64) {
        for _ in 0..2 {
            let router = self.requests[index].router;
            let drawn: Vec<usize> = (0..3).map(|_| self.random.random_range(0..ENGINES)).collect();
            let live = drawn.into_iter().filter(|engine| !self.engines[*engine].is_lost);
            let Some(engine) = live.min_by_key(|engine| self.boxes.load_of(router, *engine, now)) else {
                continue;
            };
            if self.engines[engine].accept(index, &self.requests) {
                self.boxes.record_send(router, now);
                return;
            }
            self.outcome.rejected += 1.0;
            self.boxes.record_rejection(router, engine, now);
        }
        self.refuse(index, AFTER_REJECTION_MS, now);
    }

    fn refuse(&mut self, index: usize, delay_ms: u64, now: u64) {
        let request = &mut self.requests[index];
        let at_once = self.load.retries_at_once(request.customer);
        self.outcome.refused_again += f64::from(u8::from(request.tries > 1 && !at_once));
        let delay_ms = if at_once { AT_ONCE_MS } else { delay_ms.next_multiple_of(TICK_MS).max(TICK_MS) };
        let max_tries = if at_once { MAX_TRIES_AT_ONCE } else { MAX_TRIES };
        if request.tries < max_tries && delay_ms <= request.time_left_ms(now) / 3 + TICK_MS {
            request.tries += 1;
            self.retries.entry(now + delay_ms).or_default().push(index);
        }
    }

    fn run_engines(&mut self, now: u64) {
        for engine in 0..ENGINES {
            for index in self.engines[engine].run(&mut self.requests, &mut self.random, now) {
                self.complete(index, now);
            }
            for index in self.engines[engine].remove_abandoned(&self.requests, now) {
                let has_begun = self.requests[index].first_event_at.is_some();
                *(if has_begun { &mut self.outcome.cut } else { &mut self.outcome.silent }) += 1.0;
            }
        }
        if (LOAD_MS + SETTLING_MS..self.load.end_ms()).contains(&now) {
            let running: usize = self.engines.iter().map(|engine| engine.running.len()).sum();
            self.outcome.idle += 1.0 - running as f64 / self.slots();
            self.loads.push(self.slots_in_use());
        }
    }

    fn complete(&mut self, index: usize, now: u64) {
        let request = self.requests[index].clone();
        let first_event_ms = request.first_event_at.unwrap_or(now) - request.sent_at;
        let is_in_time = first_event_ms <= CLASSES[request.class].target_ms && request.time_left_ms(now) > 0;
        self.count(index, |served| {
            served.complete += 1.0;
            served.in_time += f64::from(u8::from(is_in_time));
        });
        self.boxes.record_end(&request, first_event_ms, now);
    }

    /// Counts a request by priority and customer if it was first sent under load.
    fn count(&mut self, index: usize, change: impl Fn(&mut Served)) {
        let request = &self.requests[index];
        if (LOAD_MS..self.load.end_ms()).contains(&request.first_at) {
            change(&mut self.outcome.priorities[request.class]);
            change(&mut self.outcome.customers[request.class][request.customer]);
            if request.first_at >= LOAD_MS + SETTLING_MS {
                change(&mut self.outcome.settled[request.class][request.customer]);
            }
        }
    }

    /// Half of the engines are lost. Requests without events are sent again.
    fn lose_half(&mut self, now: u64) {
        for engine in 0..ENGINES / 2 {
            for index in self.engines[engine].lose() {
                if self.requests[index].first_event_at.is_none() {
                    self.requests[index].restart();
                    self.send(index, now);
                }
            }
        }
    }

    fn slots(&self) -> f64 {
        (self.engines.iter().filter(|engine| !engine.is_lost).count() * SLOTS) as f64
    }

    fn slots_in_use(&self) -> f64 {
        self.engines.iter().map(Engine::in_progress).sum::<usize>() as f64 / self.slots()
    }

    fn finish(mut self) -> Outcome {
        let count = self.loads.len().max(1) as f64;
        let mean = self.loads.iter().sum::<f64>() / count;
        self.outcome.idle /= count;
        let variance = self.loads.iter().map(|load| (load - mean).powi(2)).sum::<f64>() / count;
        self.outcome.deviation = variance.sqrt();
        self.outcome
    }
}
