//! A budget that keeps retries from multiplying a failure.

/// Retries allowed as a part of first attempts, with a small reserve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudget {
    tokens: f64,
    per_attempt: f64,
    reserve: f64,
}

impl RetryBudget {
    /// A budget of `per_attempt` retries for each first attempt, at most `reserve` saved up.
    #[must_use]
    pub const fn new(per_attempt: f64, reserve: f64) -> Self {
        Self { tokens: reserve, per_attempt, reserve }
    }

    /// Notes a first attempt.
    pub fn attempt(&mut self) {
        self.tokens = (self.tokens + self.per_attempt).min(self.reserve);
    }

    /// Takes one retry; `false` if the budget is spent.
    pub fn retry(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
