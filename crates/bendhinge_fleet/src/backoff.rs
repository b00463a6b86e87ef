//! Backoffs that upstreams request.
//!
//! An upstream that rejects a request may say for how long this router must not send it another one. Unlike
//! an ejection by the [`OutlierDetector`](crate::OutlierDetector), which is inferred from failures, a
//! requested backoff always lasts to its end: responses to earlier requests, reports of other routers and
//! new upstream lists do not shorten it. A restarted upstream has a different hash, so the backoff does not
//! apply to it.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

/// The upper bound of a requested backoff. It exceeds the time that a restart or loading a model takes. An
/// upstream that requests more gets one request per this period.
pub const MAX_BACKOFF: Duration = Duration::from_mins(10);

/// The backoffs that upstreams requested from this router.
#[derive(Debug, Default)]
pub struct RequestedBackoffs(FxHashMap<NameHash, Instant>);

impl RequestedBackoffs {
    /// Records that an upstream requested a backoff at `now` and returns its end. It never shortens a
    /// backoff that is already in effect, since responses may arrive out of order.
    pub fn record(&mut self, upstream: NameHash, backoff: Duration, now: Instant) -> Instant {
        let requested_end = now + backoff.min(MAX_BACKOFF);
        let end = self.0.entry(upstream).or_insert(requested_end);
        *end = requested_end.max(*end);
        *end
    }

    /// Returns the end of the upstream's backoff if one is in effect.
    #[must_use]
    pub fn ends_at(&self, upstream: NameHash, now: Instant) -> Option<Instant> {
        self.0.get(&upstream).copied().filter(|end| now < *end)
    }

    /// Removes expired backoffs. Those of unlisted upstreams are kept, since such an upstream may be listed
    /// again.
    pub fn prune(&mut self, now: Instant) {
        self.0.retain(|_, end| now < *end);
    }

    /// Returns the number of backoffs in effect.
    #[must_use]
    pub fn active_count(&self, now: Instant) -> usize {
        self.0.values().filter(|end| now < **end).count()
    }
}
