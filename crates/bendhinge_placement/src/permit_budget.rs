//! Rate limit for permit requests that are optional.

use bendhinge_ids::Instant;

/// Sustained rate of optional permit requests. Small fleets need fewer; in large ones, routers have more requests than
/// that, most of which need no permit.
const REQUESTS_PER_SECOND: f64 = 10.0;
/// Maximum number of permit requests in a burst.
const BURST_CAPACITY: f64 = 20.0;

/// A token bucket for optional permit requests.
#[derive(Clone, Copy, Debug)]
pub struct PermitRequestBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl Default for PermitRequestBudget {
    fn default() -> Self {
        Self { tokens: BURST_CAPACITY, refilled_at: Instant::default() }
    }
}

impl PermitRequestBudget {
    /// Takes a token. Returns `false` if none is available.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * REQUESTS_PER_SECOND).min(BURST_CAPACITY);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
