//! The software of the upstreams, as far as it decides which of them may go on with a stream.

use std::time::Duration;

use bendhinge_fleet::{ListedUpstream, PoolSoftware, ServedSoftware};
use bendhinge_ids::{Instant, NameHash, PoolName};
use bendhinge_placement::Candidate;

use super::upstreams::{State, UpstreamView};
use crate::forwarding::pool_hash;

/// Which software may process a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SoftwareRule {
    /// Any software.
    #[default]
    Any,
    /// Software that all gateways are expected to know, unless only other software accepts the request.
    Settled,
    /// Only this software.
    Only(NameHash),
}

impl SoftwareRule {
    /// Whether an upstream with this estimated load may go on with the stream. One that is full would reject it.
    pub(super) fn allows(self, listed: &ListedUpstream, load: f32) -> bool {
        match self {
            Self::Any | Self::Settled => true,
            Self::Only(software) => {
                let slots = listed.entry.slots;
                listed.entry.software == software && (slots == 0 || load < slots as f32)
            }
        }
    }
}

impl UpstreamView {
    /// Returns the software that began any stream of `pool` that has lasted for up to `max_age`.
    pub(crate) fn pool_software(&self, pool: &PoolName, max_age: Duration) -> PoolSoftware {
        self.state.lock().unwrap().software.software_of(pool_hash(pool), max_age, bendhinge_clock::now())
    }

    /// Like [`UpstreamView::pool_software`], but assumes that no version came and went while the list was not confirmed.
    pub(crate) fn seen_software(&self, pool: &PoolName, max_age: Duration) -> PoolSoftware {
        self.state.lock().unwrap().software.seen_software(pool_hash(pool), max_age, bendhinge_clock::now())
    }

    /// Whether a record of a stream with this remaining lifetime has to be sent to other gateways, because several
    /// versions may have begun the streams of its pool.
    pub(crate) fn needs_stream_records(&self, pool: NameHash, lifetime: Duration) -> bool {
        let state = self.state.lock().unwrap();
        !matches!(state.software.software_of(pool, lifetime, bendhinge_clock::now()), PoolSoftware::Single(_))
    }

    /// Returns for how long this gateway cannot have missed a version, and the versions of a pool or of all pools.
    pub(crate) fn software_history(&self, pool: Option<NameHash>) -> (Duration, Vec<ServedSoftware>) {
        let now = bendhinge_clock::now();
        let state = self.state.lock().unwrap();
        (state.software.watched_for(now), state.software.served(pool, now))
    }

    /// Merges the history of another gateway.
    pub(crate) fn merge_software_history(
        &self,
        served: &[ServedSoftware],
        watched_for: Duration,
        as_of: Instant,
    ) {
        self.state.lock().unwrap().software.merge(served, watched_for, as_of);
    }
}

impl State {
    /// Excludes upstreams with software that other gateways may not know yet, if others accept requests.
    pub(super) fn exclude_new_software(
        &self,
        pool: &PoolName,
        listed: &[&ListedUpstream],
        candidates: &mut [Candidate],
        now: Instant,
    ) {
        let is_settled =
            |listed: &ListedUpstream| self.software.is_settled(pool_hash(pool), listed.entry.software, now);
        let has_settled = candidates
            .iter()
            .zip(listed)
            .any(|(candidate, listed)| candidate.takes_work && is_settled(listed));
        if !has_settled {
            return;
        }
        for (candidate, listed) in candidates.iter_mut().zip(listed) {
            candidate.takes_work &= is_settled(listed);
        }
    }
}
