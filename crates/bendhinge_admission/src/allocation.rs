//! Allocation of the fleet's capacity to classes, customers and routers.

use crate::CustomerIndex;
use crate::fair_share::{WeightedDemand, max_min_fair_shares};
use crate::usage::{FleetUsage, Usage};

/// Fraction of a share by which all routers together may exceed it.
const SLACK_RATIO: f64 = 0.1;

pub(crate) fn weighted_demand(weight: f64, usage: Usage) -> WeightedDemand {
    WeightedDemand { weight, amount: f64::from(usage.demand()), is_growing: usage.refused > 0 }
}

/// Divides `total` fairly, but gives each entry at least its weighted share even without demand.
///
/// An entry whose idle share was lent to others can therefore claim it back with its first request. The results
/// can add up to more than `total`.
pub(crate) fn guaranteed_shares(demands: &[WeightedDemand], total: f64) -> Vec<f64> {
    let total_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let shares = max_min_fair_shares(demands, total).into_iter().zip(demands);
    shares.map(|(share, demand)| share.max(total * demand.weight / total_weight)).collect()
}

pub(crate) fn sum_over_pools(usage: &FleetUsage, customer: CustomerIndex) -> Usage {
    let mut sum = Usage::default();
    usage.pools.iter().for_each(|pool| sum += pool.customer(customer));
    sum
}

pub(crate) fn round_up(amount: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive count far below 2^32"
    )]
    let count = (amount - 1e-9).max(0.0).ceil() as u32;
    count
}

/// Limit on the requests in progress in the whole fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) enum FleetLimit {
    /// Configured limit of a customer.
    Hard(u32),
    /// Share of a pool that is allocated to a class or a customer.
    Share(u32),
}

/// Returns this router's quota of a fleet-wide `limit`: the requests that it has in progress plus its part of the
/// free capacity, in proportion to its part of the demand. If the fleet exceeds the limit because lent capacity is
/// claimed back, every router gives up the same fraction of its requests.
///
/// One is added to the demand of each router so that a router without demand gets a part too. Shares get some slack,
/// because the next requests may arrive at other routers than the demand suggests, and one router would refuse
/// requests while the quota of another is unused. Results are rounded up. In one round the fleet thus exceeds a share
/// by at most the slack plus the number of routers, and a hard limit, which has no slack, by less than the number of
/// routers.
pub(crate) fn router_quota(
    limit: FleetLimit,
    current: u32,
    own: Usage,
    others: Usage,
    router_count: usize,
) -> u32 {
    let (limit, slack) = match limit {
        FleetLimit::Hard(limit) => (limit, 0.0),
        FleetLimit::Share(share) => (share, f64::from(share) * SLACK_RATIO / router_count as f64),
    };
    let fleet_in_progress = current + others.in_progress;
    if fleet_in_progress > limit {
        let kept_fraction = f64::from(limit) / f64::from(fleet_in_progress);
        return round_up(f64::from(current) * kept_fraction);
    }
    let total_demand = f64::from(own.demand() + others.demand()) + router_count as f64;
    let fraction = (f64::from(own.demand()) + 1.0) / total_demand;
    current + round_up(f64::from(limit - fleet_in_progress) * fraction + slack)
}
