//! The monotonic clock of the process.

use std::time::Duration;

use bendhinge_ids::Instant;
use rustix::time::{ClockId, clock_gettime};

/// Returns the current time of `CLOCK_BOOTTIME`. Unlike `CLOCK_MONOTONIC`, it advances while the
/// system is suspended, so cached data expires and the process can detect that it was suspended.
#[must_use]
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    let micros = Duration::new(seconds, nanos).as_micros();
    Instant(u64::try_from(micros).unwrap_or(u64::MAX))
}
