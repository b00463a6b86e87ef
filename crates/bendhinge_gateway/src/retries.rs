//! Keeps this gateway's share of the fleet-wide retry budget.

use std::sync::Mutex;

use bendhinge_admission::{FleetRetryBudget, RetryDecision, RouterRetryBudget};
use bendhinge_ids::{Instant, PoolName};
use rand::Rng;
use rustc_hash::FxHashMap;

/// Retry budgets of this gateway, one for each pool.
pub(crate) struct RetryBudgets {
    fleet_budget: FleetRetryBudget,
    /// A random seed, which differs between gateways.
    seed: u64,
    /// When the gateway started, if its budgets may have been spent just before.
    restarted_at: Option<Instant>,
    state: Mutex<BudgetState>,
}

struct BudgetState {
    /// This gateway's share of the retries that do not depend on the request rate.
    base_share: f64,
    by_pool: FxHashMap<PoolName, RouterRetryBudget>,
}

impl RetryBudgets {
    /// Creates the budgets at the start of the gateway. If `assumes_spent` is true, a previous process may have spent
    /// them just before.
    pub(crate) fn new(fleet_budget: FleetRetryBudget, assumes_spent: bool) -> Self {
        /// The share until the number of gateways is known, unless the budget has less.
        const INITIAL_BASE_SHARE: f64 = 1.0;
        let base_share = fleet_budget.base_share(1).min(INITIAL_BASE_SHARE);
        let state = BudgetState { base_share, by_pool: FxHashMap::default() };
        let restarted_at = assumes_spent.then(bendhinge_clock::now);
        Self { fleet_budget, seed: rand::rng().random(), restarted_at, state: Mutex::new(state) }
    }

    /// Records the first send of a request.
    pub(crate) fn record_request(&self, pool: &PoolName) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        if let Some(budget) = state.by_pool.get_mut(pool) {
            return budget.record_request(now);
        }
        let mut budget = self.router_budget(state.base_share);
        budget.record_request(now);
        state.by_pool.insert(pool.clone(), budget);
    }

    fn router_budget(&self, base_share: f64) -> RouterRetryBudget {
        match self.restarted_at {
            Some(started_at) => self.fleet_budget.restarted_router_budget(base_share, self.seed, started_at),
            None => self.fleet_budget.router_budget(base_share, self.seed),
        }
    }

    /// Takes a retry from the budget of a pool unless it is exhausted; `None` if no request was recorded for the pool.
    pub(crate) fn decide_retry(&self, pool: &PoolName) -> Option<RetryDecision> {
        let now = bendhinge_clock::now();
        self.state.lock().unwrap().by_pool.get_mut(pool).map(|budget| budget.decide_retry(now))
    }

    /// Returns a retry that was taken from the budget of a pool and not sent.
    pub(crate) fn return_retry(&self, pool: &PoolName) {
        if let Some(budget) = self.state.lock().unwrap().by_pool.get_mut(pool) {
            budget.return_retry();
        }
    }

    /// Divides the fleet-wide budget among `gateway_count` gateways.
    pub(crate) fn set_gateway_count(&self, gateway_count: usize) {
        let base_share = self.fleet_budget.base_share(gateway_count);
        let mut state = self.state.lock().unwrap();
        state.base_share = base_share;
        state.by_pool.values_mut().for_each(|budget| budget.set_base_share(base_share));
    }
}
