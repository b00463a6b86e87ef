//! Engines of the model: slots, preemption by priority, a bounded queue, and times when all work takes longer.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::callers::{CLASSES, Request};

pub(super) const ENGINES: usize = 60;
pub(super) const SLOTS: usize = 48;
const QUEUE: usize = 144;
pub(super) const TICK_MS: u64 = 10;
/// Part of the time in which other work on the engine's machine slows it down, how long each time, and how much.
const SLOW_FRACTION: f64 = 0.15;
const SLOW_MS: u64 = 600;
const SLOWDOWN: f64 = 2.5;

#[derive(Default)]
pub(super) struct Engine {
    pub(super) is_lost: bool,
    pub(super) running: Vec<usize>,
    /// Most urgent first.
    waiting: Vec<usize>,
    slow_until: u64,
}

impl Engine {
    pub(super) fn in_progress(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Queues a request, or returns `false` if the queue is full.
    pub(super) fn accept(&mut self, index: usize, requests: &[Request]) -> bool {
        let has_room = self.waiting.len() < QUEUE;
        if has_room {
            let rank = |waiting: &usize| requests[*waiting].class <= requests[index].class;
            self.waiting.insert(self.waiting.partition_point(rank), index);
        }
        has_room
    }

    /// Runs for one tick and returns the requests that are complete.
    pub(super) fn run(&mut self, requests: &mut [Request], random: &mut ChaCha8Rng, now: u64) -> Vec<usize> {
        self.fill_slots(requests);
        if random.random::<f64>() < SLOW_FRACTION * TICK_MS as f64 / SLOW_MS as f64 {
            self.slow_until = now + SLOW_MS;
        }
        let pace = if now < self.slow_until { SLOWDOWN } else { 1.0 };
        // An engine with one request takes half as long for it as one whose slots are full.
        let slowdown = pace * (0.5 + 0.5 * self.running.len() as f64 / SLOTS as f64);
        for index in &self.running {
            requests[*index].advance(TICK_MS as f64 / 1_000.0 / slowdown, now);
        }
        self.running.extract_if(.., |index| requests[*index].is_complete()).collect()
    }

    fn fill_slots(&mut self, requests: &[Request]) {
        while let Some(next) = self.waiting.first().copied() {
            if self.running.len() >= SLOTS {
                let least_urgent =
                    self.running.iter().enumerate().max_by_key(|(_, index)| requests[**index].class);
                let Some((position, preempted)) = least_urgent.map(|(position, index)| (position, *index))
                else {
                    return;
                };
                if requests[preempted].class <= requests[next].class {
                    return;
                }
                self.running.swap_remove(position);
                let rank = |waiting: &usize| requests[*waiting].class < requests[preempted].class;
                self.waiting.insert(self.waiting.partition_point(rank), preempted);
            }
            self.waiting.remove(0);
            self.running.push(next);
        }
    }

    /// Removes and returns the requests whose callers have given up.
    pub(super) fn remove_abandoned(&mut self, requests: &[Request], now: u64) -> Vec<usize> {
        let is_abandoned = |index: &mut usize| {
            let request = &requests[*index];
            now.saturating_sub(request.last_event_at) > CLASSES[request.class].patience_ms
        };
        let running = self.running.extract_if(.., is_abandoned);
        running.chain(self.waiting.extract_if(.., is_abandoned)).collect()
    }

    /// Loses all requests and returns them.
    pub(super) fn lose(&mut self) -> Vec<usize> {
        self.is_lost = true;
        self.running.drain(..).chain(self.waiting.drain(..)).collect()
    }
}
