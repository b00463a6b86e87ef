//! Retry budget, which keeps retries from amplifying an outage.

/// Token bucket that allows retries in proportion to first attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    tokens_per_attempt: f64,
    max_tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget of `max_tokens` retries that earns `tokens_per_attempt` retries per first attempt.
    #[must_use]
    pub const fn new(tokens_per_attempt: f64, max_tokens: f64) -> Self {
        Self { tokens: max_tokens, tokens_per_attempt, max_tokens }
    }

    /// Records a first attempt.
    pub fn record_attempt(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_attempt).min(self.max_tokens);
    }

    /// Takes one retry from the budget; returns `false` if it is exhausted.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
