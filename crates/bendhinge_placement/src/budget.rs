//! How often a router may ask others for permits that it could do without.

use bendhinge_ids::Instant;

/// Asks a second that are always affordable. Both users' routers ask less today; at the planned size
/// a router has more turns than that, and most of them need no permit.
const ASKS_PER_SECOND: f64 = 10.0;
/// Asks that may be saved up.
const RESERVE: f64 = 20.0;

/// A token bucket of asks.
#[derive(Clone, Copy, Debug)]
pub struct AskBudget {
    tokens: f64,
    filled_at: Instant,
}

impl Default for AskBudget {
    fn default() -> Self {
        Self { tokens: RESERVE, filled_at: Instant::default() }
    }
}

impl AskBudget {
    /// Takes one ask; `false` if the router has asked enough of late.
    pub fn take(&mut self, now: Instant) -> bool {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.tokens = (self.tokens + passed * ASKS_PER_SECOND).min(RESERVE);
        let affordable = self.tokens >= 1.0;
        if affordable {
            self.tokens -= 1.0;
        }
        affordable
    }
}
