//! Work that the pool can take, so that its queues stay short.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::Instant;

use super::{CALM_FRACTION, EnginePoolLoad, REPORT_AGE};

/// Target for requests in progress relative to the slots. Requests that wait at an engine are served by priority, so
/// the least urgent get a slot only while no others wait; slots must therefore be free now and then.
const TARGET_LOAD: f64 = 0.97;
/// Time over which a deviation of the load from its target is corrected, in seconds. A correction within less than
/// about twice the age of reports would oscillate if the prediction is wrong.
const CORRECTION_SECS: f64 = 1.0;
/// Time constant with which the learned efficiency follows a lasting deviation, in seconds. Several times
/// [`CORRECTION_SECS`], since it adds a second integration to the control loop.
const LEARNING_SECS: f64 = 4.0;
/// Largest correction from which is learned. A larger one follows a sudden change and not a wrong estimate.
const MAX_LEARNED_CORRECTION: f64 = 0.25;
/// Bounds of the learned efficiency.
const EFFICIENCY_RANGE: (f64, f64) = (0.3, 1.5);
/// Bounds of the capacity relative to the learned one. The lower one leaves room for urgent requests, which overtake
/// those that wait.
const CORRECTION_RANGE: (f64, f64) = (0.4, 2.5);
/// Decrease of the efficiency when an engine rejects a request, at most once within [`REJECTION_INTERVAL`].
const REJECTION_FACTOR: f64 = 0.95;
/// Requests in flight all report the same lack of room.
const REJECTION_INTERVAL: Duration = Duration::from_millis(500);

/// Admitted work at one time, relative to the slots.
#[derive(Clone, Copy, Debug)]
struct AdmittedWork {
    at: Instant,
    per_slot: f64,
}

/// Work that a pool can take now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Capacity {
    /// Slot-seconds per second.
    pub(crate) work: f64,
    /// Predicted requests in progress relative to the slots.
    pub(crate) load: f64,
}

/// Estimate of the work that a pool can take.
#[derive(Debug)]
pub(crate) struct CapacityEstimate {
    /// Work that the pool performs relative to its slots and the learned slot times.
    efficiency: f64,
    updated_at: Option<Instant>,
    rejected_at: Option<Instant>,
    /// Work admitted by the fleet within [`REPORT_AGE`], oldest first.
    admitted: VecDeque<AdmittedWork>,
}

impl Default for CapacityEstimate {
    fn default() -> Self {
        Self { efficiency: 1.0, updated_at: None, rejected_at: None, admitted: VecDeque::new() }
    }
}

impl CapacityEstimate {
    /// Returns the capacity for new requests. `demand` is the work that the fleet demands, `slot_secs` the mean slot
    /// time of requests.
    pub(crate) fn update(
        &mut self,
        pool: &EnginePoolLoad,
        demand: f64,
        slot_secs: f64,
        now: Instant,
    ) -> Capacity {
        let slots = f64::from(pool.slots);
        if pool.slots_in_use() < CALM_FRACTION {
            // Free slots show that the pool is not slower than expected.
            self.efficiency = self.efficiency.max(1.0);
        }
        let load = self.predicted_load(pool.slots_in_use(), slot_secs, now);
        let correction = (TARGET_LOAD - load) * slot_secs / CORRECTION_SECS;
        self.learn(correction, demand >= slots * self.efficiency, now);
        let (min, max) = CORRECTION_RANGE;
        let work = slots * self.efficiency * (1.0 + correction).clamp(min, max);
        self.record_admitted(work.min(demand) / slots, now);
        Capacity { work, load }
    }

    /// Adds to the reported load what the fleet has admitted since, and deducts what was served.
    fn predicted_load(&self, reported: f64, slot_secs: f64, now: Instant) -> f64 {
        let mut load = reported;
        let ends = self.admitted.iter().skip(1).map(|next| next.at).chain([now]);
        for (admitted, end) in self.admitted.iter().zip(ends) {
            let served = load.min(1.0);
            load += (admitted.per_slot - served) * end.since(admitted.at).as_secs_f64() / slot_secs;
            load = load.max(0.0);
        }
        load
    }

    fn record_admitted(&mut self, per_slot: f64, now: Instant) {
        while self.admitted.front().is_some_and(|oldest| now.since(oldest.at) >= REPORT_AGE) {
            self.admitted.pop_front();
        }
        self.admitted.push_back(AdmittedWork { at: now, per_slot });
    }

    /// Follows a lasting deviation. Spare capacity shows only while requests are refused.
    fn learn(&mut self, correction: f64, is_overloaded: bool, now: Instant) {
        /// Longest time that counts at once, in seconds.
        const MAX_STEP_SECS: f64 = 0.5;
        let elapsed = self.updated_at.map_or(0.0, |at| now.since(at).as_secs_f64()).min(MAX_STEP_SECS);
        self.updated_at = Some(now);
        if correction < 0.0 || is_overloaded {
            let change = 1.0
                + correction.clamp(-MAX_LEARNED_CORRECTION, MAX_LEARNED_CORRECTION) * elapsed / LEARNING_SECS;
            self.efficiency = (self.efficiency * change).clamp(EFFICIENCY_RANGE.0, EFFICIENCY_RANGE.1);
        }
    }

    /// Forgets what was learned under load, whose causes are over.
    pub(crate) fn record_calm(&mut self, now: Instant) {
        /// Time constant of forgetting in seconds.
        const FORGETTING_SECS: f64 = 2.0;
        let elapsed = self.updated_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        self.updated_at = Some(now);
        self.efficiency = 1.0 + (self.efficiency - 1.0) * (-elapsed / FORGETTING_SECS).exp();
        self.admitted.clear();
    }

    pub(crate) fn record_rejection(&mut self, now: Instant) {
        if self.rejected_at.is_none_or(|at| now.since(at) >= REJECTION_INTERVAL) {
            self.rejected_at = Some(now);
            self.efficiency = (self.efficiency * REJECTION_FACTOR).max(EFFICIENCY_RANGE.0);
        }
    }
}
