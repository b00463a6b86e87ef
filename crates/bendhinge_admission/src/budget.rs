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

    /// Changes how many retries may be saved up.
    pub fn set_reserve(&mut self, reserve: f64) {
        self.reserve = reserve;
        self.tokens = self.tokens.min(reserve);
    }
}

/// What a whole fleet may send again for one pool: `ratio` of the requests and `slack` besides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetRetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries besides.
    pub slack: f64,
}

impl FleetRetryBudget {
    /// What is kept of the ratio for requests that count in a later span than their retries.
    const RATIO_USED: f64 = 0.85;
    /// What is kept of the slack for routers that do not know of each other, or start anew with
    /// their reserve.
    const SLACK_USED: f64 = 0.5;

    /// The share of one of `routers`. Each earns by its own requests alone, so that the shares
    /// add up to the fleet's budget however requests are divided, without a message.
    #[must_use]
    pub fn share(self, routers: usize) -> RetryBudget {
        RetryBudget::new(self.ratio * Self::RATIO_USED, self.reserve(routers))
    }

    /// What one of `routers` may save up: at least one retry, since less would be none.
    #[must_use]
    pub fn reserve(self, routers: usize) -> f64 {
        (self.slack * Self::SLACK_USED / routers.max(1) as f64).max(1.0)
    }
}
