//! When a refused caller should come back.

use std::time::Duration;

/// The shortest time to come back after.
const SHORTEST: Duration = Duration::from_millis(500);
/// The longest.
const LONGEST: Duration = Duration::from_mins(1);

/// A time to come back after, at which room is likely: the time in which `excess` requests
/// finish on `slots` slots at `turn` each, spread evenly over as much again so that those who
/// were refused together do not return together. `spread` is uniform in 0 to 1.
#[must_use]
pub fn retry_after(turn: Duration, excess: u32, slots: u32, spread: f64) -> Duration {
    let per_request = turn.as_secs_f64() / f64::from(slots.max(1));
    let base = per_request * f64::from(excess + 1);
    let base = base.clamp(SHORTEST.as_secs_f64(), LONGEST.as_secs_f64());
    Duration::from_secs_f64(base * (1.0 + spread.clamp(0.0, 1.0)))
}
