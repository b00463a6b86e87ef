//! Whether a router may trust what it believes: a process that was frozen must renew its view
//! before it takes new work.

use std::time::Duration;

use bendhinge_ids::Instant;

/// The times that freshness depends on.
#[derive(Clone, Copy, Debug)]
pub struct FreshnessLimits {
    /// A gap on the router's own clock longer than this means that it was frozen.
    pub gap: Duration,
    /// How long it tries to renew its view before it goes on with the old one. Without this, a
    /// router that neither platform nor peer can be reached from would refuse for ever.
    pub patience: Duration,
}

/// A watch over the router's own clock.
///
/// The clock must go on while the process is stopped and while its box sleeps
/// (`CLOCK_BOOTTIME` on Linux).
#[derive(Debug)]
pub struct Freshness {
    limits: FreshnessLimits,
    seen: Instant,
    stale_since: Option<Instant>,
    gaps: u64,
}

impl Freshness {
    /// A watch that begins fresh at `now`.
    #[must_use]
    pub const fn new(limits: FreshnessLimits, now: Instant) -> Self {
        Self { limits, seen: now, stale_since: None, gaps: 0 }
    }

    /// Looks at the clock, before every piece of new work and at a short period besides;
    /// `false` if the view must be renewed first.
    pub fn observe(&mut self, now: Instant) -> bool {
        if now.since(self.seen) > self.limits.gap {
            self.stale_since = Some(now);
            self.gaps += 1;
        }
        self.seen = self.seen.max(now);
        let patience_over = |since| now.since(since) > self.limits.patience;
        if self.stale_since.is_some_and(patience_over) {
            self.stale_since = None;
        }
        self.stale_since.is_none()
    }

    /// Notes that the view was renewed by an exchange that began at `began`. One that began
    /// before the gap says nothing about the time after.
    pub fn renewed(&mut self, began: Instant) {
        if self.stale_since.is_some_and(|since| began >= since) {
            self.stale_since = None;
        }
    }

    /// How many gaps were seen.
    #[must_use]
    pub const fn gaps(&self) -> u64 {
        self.gaps
    }
}
