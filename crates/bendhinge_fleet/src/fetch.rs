//! Selects the peer from which a newer value is fetched, with at most one fetch in flight.

use std::net::SocketAddr;

use crate::replica::Version;

/// A peer that announced a version needed by this router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchSource {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Version that the peer holds.
    pub version: Version,
}

/// Fetch state of one value.
///
/// Several peers announce the same change. Fetching it from all of them at once would waste bandwidth,
/// so the newest announcement is kept until the fetch in flight has ended.
#[derive(Debug, Default)]
pub struct FetchPlan {
    is_in_flight: bool,
    /// Peer that announced the newest version since the current fetch began.
    pending: Option<FetchSource>,
}

impl FetchPlan {
    /// Records a version announced by a peer. Returns `true` if the caller has to start fetching,
    /// beginning with [`FetchPlan::next_source`].
    ///
    /// Announcements of versions that are not needed, or that are older than the pending one, are
    /// ignored.
    #[must_use]
    pub fn announce(&mut self, source: FetchSource, needs: impl Fn(Version) -> bool) -> bool {
        let is_older = |pending: FetchSource| pending.version.revision > source.version.revision;
        if !needs(source.version) || self.pending.is_some_and(is_older) {
            return false;
        }
        self.pending = Some(source);
        !std::mem::replace(&mut self.is_in_flight, true)
    }

    /// Returns the next peer to fetch from, or `None` if no announced version is needed any more.
    pub fn next_source(&mut self, needs: impl Fn(Version) -> bool) -> Option<FetchSource> {
        let next = self.pending.take().filter(|source| needs(source.version));
        self.is_in_flight = next.is_some();
        next
    }

    /// Resets the state after a fetch was aborted, so that the next announcement starts a new one.
    pub const fn cancel(&mut self) {
        self.is_in_flight = false;
        self.pending = None;
    }
}
