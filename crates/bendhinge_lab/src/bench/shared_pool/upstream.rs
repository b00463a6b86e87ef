//! An upstream with slots, a queue and slow phases.

use std::collections::VecDeque;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::END_MICROS;
use crate::bench::whole;

pub(super) const SLOTS: usize = 6;
pub(super) const QUEUE: usize = 24;
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MICROS: u64 = 600_000;
const SLOW_FRACTION: f64 = 0.15;

pub(super) struct Upstream {
    pub(super) working: usize,
    pub(super) waiting: VecDeque<usize>,
    slow_from: Vec<u64>,
    pub(super) usual_pace: f64,
    pub(super) is_lost: bool,
}

impl Upstream {
    /// Creates an idle upstream with slow phases at random times, if it has any.
    pub(super) fn new(has_slow_phases: bool, random: &mut ChaCha8Rng) -> Self {
        let (mut at, mut slow_from) = (0, Vec::new());
        let mean_gap = SLOW_MICROS as f64 * (1.0 / SLOW_FRACTION - 1.0);
        while has_slow_phases && at < END_MICROS {
            at += whole(-random.random::<f64>().ln() * mean_gap);
            slow_from.push(at);
            at += SLOW_MICROS;
        }
        Self { working: 0, waiting: VecDeque::new(), slow_from, usual_pace: 1.0, is_lost: false }
    }

    pub(super) fn in_progress(&self) -> usize {
        self.working + self.waiting.len()
    }

    /// Returns how long work takes relative to the usual.
    pub(super) fn pace(&self, at: u64) -> f64 {
        let is_slow = self.slow_from.iter().any(|from| (*from..from + SLOW_MICROS).contains(&at));
        self.usual_pace * if is_slow { SLOW_FACTOR } else { 1.0 }
    }
}
