//! From whom a router fetches what it lacks, one copy of a thing at a time.

use std::net::SocketAddr;

use crate::replica::Version;

/// Somebody who holds a version that was lacking when it told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FetchSource {
    /// Where it is reached.
    pub address: SocketAddr,
    /// What it holds.
    pub version: Version,
}

/// The fetches of one thing. Several peers tell of the same change, and a second copy on its way would
/// delay both; but the first may be older, or never come.
#[derive(Debug, Default)]
pub struct FetchPlan {
    is_in_flight: bool,
    /// Who told of the newest version meanwhile.
    pending: Option<FetchSource>,
}

impl FetchPlan {
    /// Notes that `holder` told of what it holds; `true` if a fetch is to begin with [`FetchPlan::next`].
    /// Who holds nothing that `lacks` here is not remembered in the place of one that does.
    #[must_use]
    pub fn announce(&mut self, source: FetchSource, needs: impl Fn(Version) -> bool) -> bool {
        let is_older = |pending: FetchSource| pending.version.revision > source.version.revision;
        if !needs(source.version) || self.pending.is_some_and(is_older) {
            return false;
        }
        self.pending = Some(source);
        !std::mem::replace(&mut self.is_in_flight, true)
    }

    /// Whom to fetch from next, if what it holds still `lacks`; `None` ends it.
    pub fn next_source(&mut self, needs: impl Fn(Version) -> bool) -> Option<FetchSource> {
        let next = self.pending.take().filter(|source| needs(source.version));
        self.is_in_flight = next.is_some();
        next
    }

    /// Notes that a fetch was given up before its end: whoever tells next begins another.
    pub const fn cancel(&mut self) {
        self.is_in_flight = false;
        self.pending = None;
    }
}
