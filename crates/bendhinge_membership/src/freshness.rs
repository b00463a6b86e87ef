//! Detects that the process was suspended, after which its view of the fleet is stale and has
//! to be renewed before it accepts new work.

use std::time::Duration;

use bendhinge_ids::Instant;

/// Time limits for [`Freshness`].
#[derive(Clone, Copy, Debug)]
pub struct FreshnessLimits {
    /// Longest time between two checks before the process is considered suspended.
    pub max_gap: Duration,
    /// How long the view may stay stale before the router continues with it. Without this limit
    /// a router that can reach neither the platform nor a peer would refuse work forever.
    pub renewal_timeout: Duration,
}

/// Tracks whether the router's view of the fleet is fresh.
///
/// The clock must advance while the process is stopped and while its box is suspended
/// (`CLOCK_BOOTTIME` on Linux).
#[derive(Debug)]
pub struct Freshness {
    limits: FreshnessLimits,
    last_check: Instant,
    stale_since: Option<Instant>,
    gap_count: u64,
}

impl Freshness {
    /// Creates a tracker that is fresh at `now`.
    #[must_use]
    pub const fn new(limits: FreshnessLimits, now: Instant) -> Self {
        Self { limits, last_check: now, stale_since: None, gap_count: 0 }
    }

    /// Checks the clock and returns `false` if the view has to be renewed first. Call it
    /// periodically and before accepting new work.
    pub fn check(&mut self, now: Instant) -> bool {
        if now.since(self.last_check) > self.limits.max_gap {
            self.stale_since = Some(now);
            self.gap_count += 1;
        }
        self.last_check = self.last_check.max(now);
        let renewal_timed_out = |since| now.since(since) > self.limits.renewal_timeout;
        if self.stale_since.is_some_and(renewal_timed_out) {
            self.stale_since = None;
        }
        self.stale_since.is_none()
    }

    /// Marks the view as renewed by an exchange that started at `started_at`. An exchange that
    /// started before the gap was detected is ignored.
    pub fn mark_renewed(&mut self, started_at: Instant) {
        if self.stale_since.is_some_and(|since| started_at >= since) {
            self.stale_since = None;
        }
    }

    /// Number of gaps detected.
    #[must_use]
    pub const fn gap_count(&self) -> u64 {
        self.gap_count
    }
}
