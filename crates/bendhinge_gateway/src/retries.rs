//! This gateway's share of the fleet's budget for sending requests again.

use std::sync::Mutex;

use bendhinge_admission::{FleetRetryBudget, RouterRetryBudget};
use bendhinge_ids::PoolName;
use rand::Rng;
use rustc_hash::FxHashMap;

/// The share, of each pool by itself: what the requests to one pool earn is not spent on another.
pub(crate) struct Retries {
    fleet: FleetRetryBudget,
    /// Drawn at the start: it tells this gateway's share from those of the others.
    seed: u64,
    shares: Mutex<Shares>,
}

struct Shares {
    /// The part of the slack that is this gateway's.
    reserve: f64,
    by_pool: FxHashMap<PoolName, RouterRetryBudget>,
}

impl Retries {
    pub(crate) fn new(fleet: FleetRetryBudget) -> Self {
        /// Until it is known how many share: the gateways are known before there are rules by which to send.
        const AT_FIRST: f64 = 1.0;
        let shares = Shares { reserve: AT_FIRST, by_pool: FxHashMap::default() };
        Self { fleet, seed: rand::rng().random(), shares: Mutex::new(shares) }
    }

    /// Notes a request's first send.
    pub(crate) fn first(&self, pool: &PoolName) {
        let now = bendhinge_clock::now();
        let mut shares = self.shares.lock().unwrap();
        if let Some(share) = shares.by_pool.get_mut(pool) {
            return share.record_request(now);
        }
        let mut share = self.fleet.router_budget(shares.reserve, self.seed);
        share.record_request(now);
        shares.by_pool.insert(pool.clone(), share);
    }

    /// Takes one further send; `false` if there is none left.
    pub(crate) fn second(&self, pool: &PoolName) -> bool {
        let now = bendhinge_clock::now();
        self.shares.lock().unwrap().by_pool.get_mut(pool).is_some_and(|share| share.try_retry(now))
    }

    /// Divides the budget among as many `gateways` as are known.
    pub(crate) fn divide_among(&self, gateways: usize) {
        let reserve = self.fleet.base_share(gateways);
        let mut shares = self.shares.lock().unwrap();
        shares.reserve = reserve;
        shares.by_pool.values_mut().for_each(|share| share.set_base_share(reserve));
    }
}
