//! Division of the capacity: the most urgent priority first, fairly among the customers of a priority.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use super::EnginePoolLoad;
use super::capacity::Capacity;
use super::demands::FleetDemand;
use crate::{Requester, WeightedDemand, max_min_fair_shares};

/// Fraction of the capacity that is left to less urgent priorities, so that none is starved.
const LESS_URGENT_FRACTION: f64 = 0.05;
/// Load relative to the slots from which nothing is left to less urgent priorities: they would wait behind all others.
const MAX_RESERVING_LOAD: f64 = 1.2;
/// Fraction of the slots up to which a priority together with more urgent ones does not wait, since it overtakes
/// the others.
const NO_WAIT_FRACTION: f64 = 0.9;

/// Part of a requester's demand that is admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequesterShare {
    /// Fraction of its demand.
    pub(crate) fraction: f64,
    /// Whether the customer demands more than others of the priority, whose demand is met to a larger part.
    pub(crate) is_over_fair_share: bool,
}

/// Shares of one priority.
#[derive(Debug)]
struct PriorityShares {
    /// Fraction of the priority's demand that is admitted.
    fraction: f64,
    /// Fraction of each customer's demand.
    customers: FxHashMap<NameHash, f64>,
    /// Whether its requests wait for slots.
    waits: bool,
}

/// Shares of all priorities, valid for a short time.
#[derive(Debug)]
pub(crate) struct PoolShares {
    calculated_at: Instant,
    slots: u32,
    /// Whether the demand exceeds the capacity.
    pub(crate) is_short: bool,
    priorities: FxHashMap<u8, PriorityShares>,
}

impl PoolShares {
    /// Divides `capacity` among `demands`, the most urgent of which comes first.
    pub(crate) fn new(
        pool: &EnginePoolLoad,
        demands: Vec<FleetDemand>,
        capacity: Capacity,
        now: Instant,
    ) -> Self {
        let reserve = if capacity.load < MAX_RESERVING_LOAD { LESS_URGENT_FRACTION } else { 0.0 };
        let mut remaining = capacity.work;
        let mut less_urgent: f64 = demands.iter().map(|demand| demand.all).sum();
        let is_short = less_urgent > capacity.work;
        let mut cumulative = 0.0;
        let mut priorities = FxHashMap::default();
        for demand in demands {
            less_urgent -= demand.all;
            let reserved = less_urgent.max(0.0).min(capacity.work * reserve).min(remaining / 2.0);
            let share = demand.all.min(remaining - reserved);
            remaining -= share;
            cumulative += demand.all;
            let waits = cumulative > f64::from(pool.slots) * NO_WAIT_FRACTION;
            priorities.insert(demand.priority, priority_shares(&demand, share, waits));
        }
        Self { calculated_at: now, slots: pool.slots, is_short, priorities }
    }

    pub(crate) fn is_current(&self, pool: &EnginePoolLoad, now: Instant, validity: Duration) -> bool {
        self.slots == pool.slots && now.since(self.calculated_at) < validity
    }

    pub(crate) fn share_of(&self, requester: Requester) -> RequesterShare {
        let Some(priority) = self.priorities.get(&requester.priority) else {
            return RequesterShare { fraction: 1.0, is_over_fair_share: false };
        };
        let fraction = priority.customers.get(&requester.customer).copied().unwrap_or(1.0);
        RequesterShare { fraction, is_over_fair_share: fraction < priority.fraction }
    }

    /// Returns how long a request of `priority` is expected to wait for a slot: the predicted wait of the pool, unless
    /// it overtakes those that wait.
    pub(crate) fn expected_wait(&self, priority: u8, pool: &EnginePoolLoad) -> Duration {
        let waits = self.priorities.get(&priority).is_some_and(|shares| shares.waits);
        if waits { pool.predicted_wait.unwrap_or_default() } else { Duration::ZERO }
    }
}

/// Divides a priority's `share` among its customers.
///
/// Demand of customers that this box does not know counts as that of customers of mean size.
fn priority_shares(demand: &FleetDemand, share: f64, waits: bool) -> PriorityShares {
    let known: f64 = demand.customers.iter().map(|(_, amount)| amount).sum();
    let mut demands: Vec<WeightedDemand> = demand
        .customers
        .iter()
        .map(|(_, amount)| WeightedDemand { weight: 1.0, amount: *amount, is_growing: false })
        .collect();
    let unknown = demand.all - known;
    if unknown > 0.0 && known > 0.0 {
        let weight = (unknown * demands.len() as f64 / known).max(1.0);
        demands.push(WeightedDemand { weight, amount: unknown, is_growing: false });
    }
    let shares = max_min_fair_shares(&demands, share);
    let fraction = |share: f64, amount: f64| if amount > 0.0 { (share / amount).min(1.0) } else { 1.0 };
    let customers = demand.customers.iter().zip(shares);
    let customers = customers.map(|((customer, amount), share)| (*customer, fraction(share, *amount)));
    PriorityShares { fraction: fraction(share, demand.all), customers: customers.collect(), waits }
}
