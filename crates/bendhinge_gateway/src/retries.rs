//! Keeps this gateway's share of the fleet-wide retry budget.

use std::sync::Mutex;

use bendhinge_admission::{FleetRetryBudget, RetryDecision, RouterRetryBudget};
use bendhinge_ids::PoolName;
use rand::Rng;
use rustc_hash::FxHashMap;

/// Retry budgets of this gateway, one for each pool.
pub(crate) struct RetryBudgets {
    fleet_budget: FleetRetryBudget,
    /// A random seed, which differs between gateways.
    seed: u64,
    state: Mutex<BudgetState>,
}

struct BudgetState {
    /// This gateway's share of the retries that do not depend on the request rate.
    base_share: f64,
    by_pool: FxHashMap<PoolName, RouterRetryBudget>,
}

impl RetryBudgets {
    pub(crate) fn new(fleet_budget: FleetRetryBudget) -> Self {
        /// The share until the number of gateways is known.
        const INITIAL_BASE_SHARE: f64 = 1.0;
        let state = BudgetState { base_share: INITIAL_BASE_SHARE, by_pool: FxHashMap::default() };
        Self { fleet_budget, seed: rand::rng().random(), state: Mutex::new(state) }
    }

    /// Records the first send of a request.
    pub(crate) fn record_request(&self, pool: &PoolName) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        if let Some(budget) = state.by_pool.get_mut(pool) {
            return budget.record_request(now);
        }
        let mut budget = self.fleet_budget.router_budget(state.base_share, self.seed);
        budget.record_request(now);
        state.by_pool.insert(pool.clone(), budget);
    }

    /// Takes a retry from the budget of a pool unless it is exhausted; `None` if no request was recorded for the pool.
    pub(crate) fn decide_retry(&self, pool: &PoolName) -> Option<RetryDecision> {
        let now = bendhinge_clock::now();
        self.state.lock().unwrap().by_pool.get_mut(pool).map(|budget| budget.decide_retry(now))
    }

    /// Divides the fleet-wide budget among `gateway_count` gateways.
    pub(crate) fn set_gateway_count(&self, gateway_count: usize) {
        let base_share = self.fleet_budget.base_share(gateway_count);
        let mut state = self.state.lock().unwrap();
        state.base_share = base_share;
        state.by_pool.values_mut().for_each(|budget| budget.set_base_share(base_share));
    }
}
