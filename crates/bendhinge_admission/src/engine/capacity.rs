//! Work that the pool can take, so that its queues stay short.

use std::time::Duration;

use bendhinge_ids::Instant;

use super::EnginePoolLoad;
use super::demands::FleetDemand;

/// Time over which a deviation of the queue from its target length is corrected, in seconds. Reports are 0.4 to 0.8 s
/// old; a correction within less than about twice that would oscillate.
const CORRECTION_SECS: f64 = 1.5;
/// Time constant with which the learned efficiency follows a lasting deviation, in seconds. Several times
/// [`CORRECTION_SECS`], since it adds a second integration to the control loop.
const LEARNING_SECS: f64 = 6.0;
/// Bounds of the learned efficiency.
const EFFICIENCY_RANGE: (f64, f64) = (0.3, 1.5);
/// Fraction of the target latency that a request may wait for a slot. The rest is for its prefill and the network.
const WAIT_FRACTION: f64 = 0.25;
/// Least target length of the queue relative to the slots: engines are never loaded quite evenly.
const MIN_QUEUE: f64 = 0.03;
/// Bounds of the capacity relative to the learned one. The lower one leaves room for urgent requests, which overtake
/// those that wait.
const CORRECTION_RANGE: (f64, f64) = (0.5, 1.5);
/// Decrease of the efficiency when an engine rejects a request, at most once within [`REJECTION_INTERVAL`].
const REJECTION_FACTOR: f64 = 0.95;
/// Requests in flight all report the same lack of room.
const REJECTION_INTERVAL: Duration = Duration::from_millis(500);

/// Estimate of the work that a pool can take.
#[derive(Debug)]
pub(crate) struct CapacityEstimate {
    /// Work that the pool performs relative to its slots and the learned slot times.
    efficiency: f64,
    updated_at: Option<Instant>,
    rejected_at: Option<Instant>,
}

impl Default for CapacityEstimate {
    fn default() -> Self {
        Self { efficiency: 1.0, updated_at: None, rejected_at: None }
    }
}

impl CapacityEstimate {
    /// Returns the capacity for new requests in slot-seconds per second. `mean_slot_secs` is the mean slot time.
    pub(crate) fn update(
        &mut self,
        pool: &EnginePoolLoad,
        demands: &[FleetDemand],
        mean_slot_secs: f64,
        now: Instant,
    ) -> f64 {
        let slots = f64::from(pool.slots);
        let excess_secs =
            (1.0 + target_queue(slots, demands, mean_slot_secs) - pool.slots_in_use()) * mean_slot_secs;
        let correction = excess_secs / CORRECTION_SECS;
        let (min, max) = CORRECTION_RANGE;
        let demand: f64 = demands.iter().map(|demand| demand.all).sum();
        self.learn(correction, demand >= slots * self.efficiency, now);
        slots * self.efficiency * (1.0 + correction).clamp(min, max)
    }

    /// Follows a lasting deviation. Spare capacity shows only while requests are refused.
    fn learn(&mut self, correction: f64, is_overloaded: bool, now: Instant) {
        /// Longest time that counts at once, in seconds.
        const MAX_STEP_SECS: f64 = 0.5;
        let elapsed = self.updated_at.map_or(0.0, |at| now.since(at).as_secs_f64()).min(MAX_STEP_SECS);
        self.updated_at = Some(now);
        if correction < 0.0 || is_overloaded {
            let change = 1.0 + correction.clamp(-1.0, 1.0) * elapsed / LEARNING_SECS;
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
    }

    pub(crate) fn record_rejection(&mut self, now: Instant) {
        if self.rejected_at.is_none_or(|at| now.since(at) >= REJECTION_INTERVAL) {
            self.rejected_at = Some(now);
            self.efficiency = (self.efficiency * REJECTION_FACTOR).max(EFFICIENCY_RANGE.0);
        }
    }
}

/// Returns the target length of the queues relative to the slots.
///
/// Requests of the least urgent priority that gets capacity wait for what more urgent ones leave, so the smaller that
/// is, the shorter the queue has to be for the same wait.
fn target_queue(slots: f64, demands: &[FleetDemand], mean_slot_secs: f64) -> f64 {
    let mut remaining = slots;
    let mut queue = MIN_QUEUE;
    for demand in demands.iter().filter(|demand| demand.all > 0.0) {
        let wait_secs = demand.target_latency.as_secs_f64() * WAIT_FRACTION;
        queue = (wait_secs / mean_slot_secs * remaining / slots).clamp(MIN_QUEUE, 1.0);
        remaining -= demand.all;
        if remaining <= 0.0 {
            break;
        }
    }
    queue
}
