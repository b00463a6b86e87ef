//! Calculation of `Retry-After` delays.

use std::time::Duration;

const MIN_DELAY: Duration = Duration::from_millis(500);
/// Upper limit before jitter is added.
const MAX_DELAY: Duration = Duration::from_mins(1);

/// Returns the delay after which a refused caller should retry.
///
/// The base delay is the time in which `excess` queued requests finish on `slots` slots at `service_time` each. Jitter
/// of up to the same length is added so that callers refused together do not return together. `jitter` is uniform in
/// `[0, 1]`.
#[must_use]
pub fn retry_after(service_time: Duration, excess: u32, slots: u32, jitter: f64) -> Duration {
    let secs_per_request = service_time.as_secs_f64() / f64::from(slots.max(1));
    let base_secs = secs_per_request * f64::from(excess + 1);
    let base_secs = base_secs.clamp(MIN_DELAY.as_secs_f64(), MAX_DELAY.as_secs_f64());
    Duration::from_secs_f64(base_secs * (1.0 + jitter.clamp(0.0, 1.0)))
}
