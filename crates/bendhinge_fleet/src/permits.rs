//! Permits for requests to upstreams that do not report their load, counted by the router that issues them.
//!
//! One router issues the permits of an upstream for the whole fleet. It therefore knows the exact number of requests
//! there, whereas counts that all routers share are older than the queues of a busy upstream last.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

/// Longest lifetime of a permit. A router that is suspended may hold permits for requests that ended long ago.
const MAX_LIFETIME: Duration = Duration::from_mins(1);
/// Most permits of an upstream at a time, far above what an upstream can serve.
const MAX_PERMITS: usize = 4_096;

/// A request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Hash of the upstream's name.
    pub upstream: NameHash,
    /// Number of requests there at which the permit is refused.
    pub limit: u32,
    /// Time after which the request has ended in any case.
    pub lifetime: Duration,
}

/// Identifies a permit among those of its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PermitNumber(u64);

/// The decision on a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PermitDecision {
    /// Number of other requests at the upstream.
    pub in_progress: u32,
    /// The permit; `None` if it is refused.
    pub permit: Option<PermitNumber>,
}

#[derive(Debug)]
struct IssuedPermit {
    number: PermitNumber,
    expires_at: Instant,
}

/// The permits that a router has issued.
#[derive(Debug, Default)]
pub struct IssuedPermits {
    by_upstream: FxHashMap<NameHash, Vec<IssuedPermit>>,
    next: u64,
}

impl IssuedPermits {
    /// Issues a permit, unless the upstream has reached the limit of the request.
    pub fn issue(&mut self, request: PermitRequest, now: Instant) -> PermitDecision {
        let permits = self.by_upstream.entry(request.upstream).or_default();
        permits.retain(|permit| now < permit.expires_at);
        let in_progress = u32::try_from(permits.len()).unwrap_or(u32::MAX);
        if in_progress >= request.limit || permits.len() >= MAX_PERMITS {
            return PermitDecision { in_progress, permit: None };
        }
        let number = PermitNumber(self.next);
        self.next += 1;
        permits.push(IssuedPermit { number, expires_at: now + request.lifetime.min(MAX_LIFETIME) });
        PermitDecision { in_progress, permit: Some(number) }
    }

    /// Ends a permit whose request has ended. Has no effect if it has expired.
    pub fn end(&mut self, upstream: NameHash, number: PermitNumber) {
        let Some(permits) = self.by_upstream.get_mut(&upstream) else { return };
        permits.retain(|permit| permit.number != number);
        if permits.is_empty() {
            self.by_upstream.remove(&upstream);
        }
    }

    /// Returns the number of requests at an upstream that have a permit.
    #[must_use]
    pub fn in_progress(&self, upstream: NameHash, now: Instant) -> usize {
        let permits = self.by_upstream.get(&upstream);
        permits.map_or(0, |permits| permits.iter().filter(|permit| now < permit.expires_at).count())
    }

    /// Returns the number of permits of all upstreams, including expired ones of upstreams without requests since.
    #[must_use]
    pub fn count(&self) -> usize {
        self.by_upstream.values().map(Vec::len).sum()
    }

    /// Removes expired permits.
    pub fn prune(&mut self, now: Instant) {
        self.by_upstream.retain(|_, permits| {
            permits.retain(|permit| now < permit.expires_at);
            !permits.is_empty()
        });
    }
}
