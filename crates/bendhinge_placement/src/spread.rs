//! Requests that only some upstreams of a pool may process.

use crate::cost::mean_load;
use crate::{Candidate, CostModel};

/// Leaves only the least loaded of the candidates that accept requests, if all of them are at or above the load limit.
///
/// Few upstreams may get the requests of many, such as the last ones with an old version of their software. By cost,
/// the one that has the prompt cached would get all of them.
pub fn spread_above_limit(model: &CostModel, candidates: &mut [Candidate]) {
    let limit = model.load_limit(mean_load(candidates));
    let accepting = |candidate: &&Candidate| candidate.takes_work;
    let lowest_load = candidates.iter().filter(accepting).map(|candidate| candidate.load).reduce(f32::min);
    if let Some(lowest_load) = lowest_load.filter(|load| *load >= limit) {
        for candidate in candidates {
            candidate.takes_work &= candidate.load <= lowest_load;
        }
    }
}
