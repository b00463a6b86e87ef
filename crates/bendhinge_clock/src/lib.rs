//! A process's own clock.

use std::time::Duration;

use bendhinge_ids::Instant;
use rustix::time::{ClockId, clock_gettime};

/// The time on `CLOCK_BOOTTIME`, which goes on while the process is stopped and while its box
/// sleeps: what is believed must grow old meanwhile, and a process that slept must see that it
/// did.
#[must_use]
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    let micros = Duration::new(seconds, nanos).as_micros();
    Instant(u64::try_from(micros).unwrap_or(u64::MAX))
}
