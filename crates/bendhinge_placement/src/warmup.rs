//! Rate limiting of requests to upstreams that are warming up.
//!
//! For some seconds after its start, an upstream can serve only a few requests per second from all
//! routers together, and fails under a higher load. An idle upstream that is the home of affinity
//! keys would attract all routers at once, since none of them knows the others' requests in time.
//!
//! Each request therefore selects one upstream of the pool uniformly at random, and may be sent to
//! a warming upstream only if it selected that one. In a pool of N upstreams, each warming upstream
//! receives at most 1/N of the requests without coordination. If this exceeds its capacity, routers
//! additionally admit only a fraction, computed from their own demand and the number of known routers.
//! The selection alone does not account for bursts, and the fraction alone does not account for
//! routers that are partitioned or have just started.
//!
//! Alternatives are discussed in `docs/design/SHIFTED-WORK.md`.

use crate::Candidate;
use crate::hash::hash_pair_unit;

/// Fraction of the warm-up capacity that is used on average, as a margin for random bursts. With a capacity of 9.6
/// requests per second and a third of the routers unknown, the fullest of 1,800 seconds had 22 requests with 0.6 and 16
/// with 0.4; upstreams fall over well above their capacity.
const RATE_UTILIZATION: f32 = 0.4;
/// Seeds for deriving two independent numbers from one request.
const SELECTION_SEED: u64 = 1;
const ADMISSION_SEED: u64 = 2;

/// A router's data for limiting requests to the warming upstreams of a pool.
#[derive(Clone, Copy, Debug)]
pub struct WarmupLimit {
    /// Requests per second that one upstream can serve while it warms up.
    pub requests_per_second: f32,
    /// Requests per second for the pool that this router receives.
    pub demand_per_second: f32,
    /// Number of routers including this one; `None` if no other router is known.
    pub router_count: Option<usize>,
}

impl WarmupLimit {
    /// Clears `takes_work` of the warming candidates, except the one to which the request
    /// identified by `tie_breaker` may be sent, if any. If all candidates are warming up, none
    /// may remain; the request cannot be served yet.
    pub fn exclude_warming(&self, candidates: &mut [Candidate], tie_breaker: u64) {
        let accepting: Vec<usize> =
            (0..candidates.len()).filter(|index| candidates[*index].takes_work).collect();
        let warming = accepting.iter().filter(|index| candidates[**index].is_warming).count();
        if warming == 0 {
            return;
        }
        let selected = accepting[position(hash_pair_unit(tie_breaker, SELECTION_SEED), accepting.len())];
        let is_admitted = hash_pair_unit(tie_breaker, ADMISSION_SEED)
            < self.admission_fraction(accepting.len(), warming == accepting.len());
        for index in accepting {
            let may_serve = !candidates[index].is_warming || index == selected && is_admitted;
            candidates[index].takes_work = may_serve;
        }
    }

    /// Returns the fraction of the requests that may be sent to the warming upstream they
    /// selected among `upstreams` candidates. May exceed 1.
    fn admission_fraction(&self, upstreams: usize, all_warming: bool) -> f32 {
        let Some(router_count) = self.router_count else {
            // Without known routers the total demand is unknown, so warming upstreams
            // are used only if there are no others.
            return if all_warming { 1.0 } else { 0.0 };
        };
        let total_demand_per_second = self.demand_per_second * router_count as f32;
        let demand_per_upstream = total_demand_per_second / upstreams as f32;
        RATE_UTILIZATION * self.requests_per_second / demand_per_upstream.max(f32::MIN_POSITIVE)
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "below the count")]
fn position(random: f32, count: usize) -> usize {
    ((random * count as f32) as usize).min(count - 1)
}
