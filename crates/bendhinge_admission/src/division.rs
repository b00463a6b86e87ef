//! Dividing what the fleet may have in progress between its classes, customers and routers.

use crate::CustomerIndex;
use crate::usage::{FleetUsage, Usage};
use crate::water::{Want, fill};

/// The part of a limit that all routers together may pass it by.
const SLACK: f64 = 0.1;

pub(crate) fn want(weight: f64, usage: Usage) -> Want {
    Want { weight, amount: f64::from(usage.wanted()), growing: usage.refused > 0 }
}

/// A fair division, in which none has less than its weighted part though it wants nothing yet:
/// whoever comes back to a share that was lent to others has it with its first request.
pub(crate) fn at_least_shares(wants: &[Want], total: f64) -> Vec<f64> {
    let weights: f64 = wants.iter().map(|want| want.weight).sum();
    let parts = fill(wants, total).into_iter().zip(wants);
    parts.map(|(part, want)| part.max(total * want.weight / weights)).collect()
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

/// What all routers together may have in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Limit {
    /// A customer's own limit.
    Hard(u32),
    /// A part of the pool that is due to a class or a customer.
    Share(u32),
}

/// The most that one router may have in progress of a `limit` for the fleet: what it has, and
/// of what is free the part that its own wants are of all wants. Where the fleet is over the
/// limit, because what was lent is wanted back, each router gives up its part of the excess.
///
/// The one added to each router's wants gives a router that wanted nothing yet its part. Some
/// slack is added, because requests do not come to the routers as their wants were, and one
/// router's part would stay unused while another refuses. The rounding is upwards: over a round
/// the fleet passes a share by at most the slack and its number of routers, and a customer's own
/// limit, which has no slack, by less than its number of routers.
pub(crate) fn part_of(limit: Limit, has: u32, own: Usage, others: Usage, routers: usize) -> u32 {
    let (limit, slack) = match limit {
        Limit::Hard(limit) => (limit, 0.0),
        Limit::Share(due) => (due, f64::from(due) * SLACK / routers as f64),
    };
    let in_progress = has + others.in_progress;
    if in_progress > limit {
        let kept = f64::from(limit) / f64::from(in_progress);
        return round_up(f64::from(has) * kept);
    }
    let all_wants = f64::from(own.wanted() + others.wanted()) + routers as f64;
    let part = (f64::from(own.wanted()) + 1.0) / all_wants;
    has + round_up(f64::from(limit - in_progress) * part + slack)
}
