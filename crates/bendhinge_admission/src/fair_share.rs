//! Weighted max-min fair division.

/// One participant of a division.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedDemand {
    /// Weight relative to the other participants; positive.
    pub weight: f64,
    /// Amount demanded.
    pub amount: f64,
    /// Whether part of the demand was refused recently, so that it is expected to grow.
    pub is_growing: bool,
}

/// Divides `total` by weighted max-min fairness and returns the share of each participant.
///
/// No participant gets less than its weighted share unless it demands less; what it leaves goes to the others by
/// weight. If all demands are met, the surplus goes by weight to the participants with growing demand, or to all if
/// there are none, so that the shares always add up to `total`.
#[must_use]
pub fn max_min_fair_shares(demands: &[WeightedDemand], total: f64) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|left, right| per_weight(demands[*left]).total_cmp(&per_weight(demands[*right])));
    let mut remaining = total;
    let mut remaining_weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    for index in order {
        let demand = demands[index];
        let share = (remaining * demand.weight / remaining_weight).min(demand.amount);
        shares[index] = share;
        remaining -= share;
        remaining_weight -= demand.weight;
    }
    let any_growing = demands.iter().any(|demand| demand.is_growing);
    let gets_surplus = |demand: &WeightedDemand| demand.is_growing || !any_growing;
    let surplus_weight: f64 =
        demands.iter().filter(|demand| gets_surplus(demand)).map(|demand| demand.weight).sum();
    if remaining > 0.0 && surplus_weight > 0.0 {
        for (share, demand) in shares.iter_mut().zip(demands).filter(|(_, demand)| gets_surplus(demand)) {
            *share += remaining * demand.weight / surplus_weight;
        }
    }
    shares
}

fn per_weight(demand: WeightedDemand) -> f64 {
    demand.amount / demand.weight
}
