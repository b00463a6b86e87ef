//! Weighted max-min fair division ("water filling").

/// One who wants a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Want {
    /// Its weight relative to others; above zero.
    pub weight: f64,
    /// How much it wants.
    pub amount: f64,
}

/// Divides `total`: none gets less than its weighted part while it wants it, what some leave
/// goes to the others by weight, and what all leave is divided by weight as well, so that the
/// parts always add up to `total`.
#[must_use]
pub fn fill(wants: &[Want], total: f64) -> Vec<f64> {
    let mut parts = vec![0.0; wants.len()];
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|left, right| level(wants[*left]).total_cmp(&level(wants[*right])));
    let all_weights: f64 = wants.iter().map(|want| want.weight).sum();
    let (mut left, mut weights) = (total, all_weights);
    for index in order {
        let want = wants[index];
        let part = (left * want.weight / weights).min(want.amount);
        parts[index] = part;
        left -= part;
        weights -= want.weight;
    }
    if left > 0.0 && all_weights > 0.0 {
        for (part, want) in parts.iter_mut().zip(wants) {
            *part += left * want.weight / all_weights;
        }
    }
    parts
}

fn level(want: Want) -> f64 {
    want.amount / want.weight
}
