//! From whom a router fetches what it lacks, one copy of a thing at a time.

use std::net::SocketAddr;

use crate::belief::Version;

/// Somebody who holds a version that was lacking when it told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Where it is reached.
    pub address: SocketAddr,
    /// What it holds.
    pub version: Version,
}

/// The fetches of one thing. Several peers tell of the same change, and a second copy on its way would
/// delay both; but the first may be older, or never come.
#[derive(Debug, Default)]
pub struct FetchPlan {
    is_under_way: bool,
    /// Who told of the newest version meanwhile.
    next: Option<Holder>,
}

impl FetchPlan {
    /// Notes that `holder` told of what it holds; `true` if a fetch is to begin with [`FetchPlan::next`].
    /// Who holds nothing that `lacks` here is not remembered in the place of one that does.
    #[must_use]
    pub fn told(&mut self, holder: Holder, lacks: impl Fn(Version) -> bool) -> bool {
        let is_older = |next: Holder| next.version.revision > holder.version.revision;
        if !lacks(holder.version) || self.next.is_some_and(is_older) {
            return false;
        }
        self.next = Some(holder);
        !std::mem::replace(&mut self.is_under_way, true)
    }

    /// Whom to fetch from next, if what it holds still `lacks`; `None` ends it.
    pub fn next(&mut self, lacks: impl Fn(Version) -> bool) -> Option<Holder> {
        let next = self.next.take().filter(|holder| lacks(holder.version));
        self.is_under_way = next.is_some();
        next
    }

    /// Notes that a fetch was given up before its end: whoever tells next begins another.
    pub const fn given_up(&mut self) {
        self.is_under_way = false;
        self.next = None;
    }
}
