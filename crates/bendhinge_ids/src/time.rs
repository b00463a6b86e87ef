//! An explicit clock: decisions are pure functions that are given the instant.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on a process's own monotonic clock, in microseconds since an arbitrary start.
///
/// In production it comes from `CLOCK_BOOTTIME`, which goes on while a process is stopped and while its
/// box sleeps. In tests and benches it is virtual.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Instant(pub u64);

impl Instant {
    /// The instant `millis` milliseconds after the clock's start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The time passed since `earlier`; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        Self(self.0 + u64::try_from(span.as_micros()).unwrap_or(u64::MAX / 2))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(u64::try_from(span.as_micros()).unwrap_or(u64::MAX)))
    }
}
