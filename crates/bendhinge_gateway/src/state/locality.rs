//! Preference for the upstreams of the own data centre.

use std::time::Duration;

use bendhinge_fleet::ListedUpstream;
use bendhinge_ids::{Instant, PoolName};
use bendhinge_placement::{Candidate, LocalUpstream, Locality, LocalityState};
use rustc_hash::FxHashMap;

/// Interval at which the spillover share of a pool is adjusted; the loads of other gateways arrive no more often.
const UPDATE_INTERVAL: Duration = Duration::from_millis(250);

/// The spillover shares of all pools.
#[derive(Default)]
pub(super) struct PoolLocalities(FxHashMap<PoolName, PoolLocality>);

#[derive(Default)]
struct PoolLocality {
    state: LocalityState,
    updated_at: Option<Instant>,
}

impl PoolLocalities {
    /// Returns the preference for a request to `pool`.
    pub(super) fn locality(
        &mut self,
        pool: &PoolName,
        listed: &[&ListedUpstream],
        candidates: &[Candidate],
        now: Instant,
    ) -> Locality {
        if !self.0.contains_key(pool) {
            self.0.insert(pool.clone(), PoolLocality::default());
        }
        let Some(locality) = self.0.get_mut(pool) else { return Locality { spill: 0.0 } };
        if locality.updated_at.is_none_or(|at| now.since(at) >= UPDATE_INTERVAL) {
            locality.updated_at = Some(now);
            let upstreams = candidates.iter().zip(listed).map(|(candidate, listed)| LocalUpstream {
                load: candidate.load,
                slots: Some(listed.entry.slots),
                distance: candidate.distance,
                takes_work: candidate.takes_work,
            });
            locality.state.update(&upstreams.collect::<Vec<_>>(), now);
        }
        Locality { spill: locality.state.spill() }
    }
}
