//! Weighted max-min fair division ("water filling").

/// One who wants a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Want {
    /// Its weight relative to others; above zero.
    pub weight: f64,
    /// How much it wants.
    pub amount: f64,
    /// Whether it was refused some of it of late, so that it will want more yet.
    pub growing: bool,
}

/// Divides `total`: none gets less than its weighted part while it wants it, and what some leave
/// goes to the others by weight. What all leave goes by weight to those that are growing, or to
/// all where none is, so that the parts always add up to `total`.
#[must_use]
pub fn fill(wants: &[Want], total: f64) -> Vec<f64> {
    let mut parts = vec![0.0; wants.len()];
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|left, right| level(wants[*left]).total_cmp(&level(wants[*right])));
    let mut left = total;
    let mut weights: f64 = wants.iter().map(|want| want.weight).sum();
    for index in order {
        let want = wants[index];
        let part = (left * want.weight / weights).min(want.amount);
        parts[index] = part;
        left -= part;
        weights -= want.weight;
    }
    let any_grows = wants.iter().any(|want| want.growing);
    let takes_more = |want: &Want| want.growing || !any_grows;
    let weights: f64 = wants.iter().filter(|want| takes_more(want)).map(|want| want.weight).sum();
    if left > 0.0 && weights > 0.0 {
        for (part, want) in parts.iter_mut().zip(wants).filter(|(_, want)| takes_more(want)) {
            *part += left * want.weight / weights;
        }
    }
    parts
}

fn level(want: Want) -> f64 {
    want.amount / want.weight
}
