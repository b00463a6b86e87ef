//! Since when each peer lacks news, so that nothing is told twice to the same peer.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_ids::Instant;
use rustc_hash::FxHashMap;

/// When each peer was last told the news.
#[derive(Debug)]
pub struct NewsCursors {
    told: FxHashMap<SocketAddr, Instant>,
    longest: Duration,
}

impl NewsCursors {
    /// Nobody was told anything. No peer is told news that is older than `longest`.
    #[must_use]
    pub fn new(longest: Duration) -> Self {
        Self { told: FxHashMap::default(), longest }
    }

    /// How far back the news reach that `peer` lacks at `now`.
    #[must_use]
    pub fn span(&self, peer: SocketAddr, now: Instant) -> Duration {
        self.told.get(&peer).map_or(self.longest, |told| now.since(*told).min(self.longest))
    }

    /// Notes that `peer` was told all that was known at `at`.
    pub fn told(&mut self, peer: SocketAddr, at: Instant) {
        let told = self.told.entry(peer).or_insert(at);
        *told = (*told).max(at);
    }

    /// Forgets peers that would be told everything anyway.
    pub fn forget(&mut self, now: Instant) {
        let longest = self.longest;
        self.told.retain(|_, told| now.since(*told) < longest);
    }
}
