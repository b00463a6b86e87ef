//! Timestamps that are passed explicitly to time-dependent functions, so that tests can use a virtual clock.

use std::ops::{Add, Sub};
use std::time::Duration;

/// Timestamp of a process's monotonic clock, in microseconds since an arbitrary epoch.
///
/// In production the clock is `CLOCK_BOOTTIME`, which keeps running while the process is stopped and while its box is
/// suspended. Tests and benchmarks use a virtual clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the instant `millis` milliseconds after the epoch of the clock.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0 + u64::try_from(duration.as_micros()).unwrap_or(u64::MAX / 2))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)))
    }
}
