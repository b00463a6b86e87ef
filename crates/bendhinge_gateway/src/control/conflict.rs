//! Lists of upstreams that differ between gateways though they are of one revision of the store.
//!
//! One of them was read wrongly then, and only the store can say which. Gateways do not confirm each other's lists
//! then, so each reads the store itself. Changes are applied to the held list and would keep its error, so the list
//! is read in full.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::Version;
use bendhinge_ids::Instant;

use super::ControlPlane;

/// Minimum time between two full reads of a gateway because of conflicts. Gateways of two releases may hash equal lists
/// differently, which no read resolves.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(30);

/// State of the conflict.
#[derive(Debug, Default)]
pub(super) struct ListConflict {
    is_known: Cell<bool>,
    last_read: Cell<Option<Instant>>,
}

impl ListConflict {
    /// Records a conflict. Returns whether it was not known before, and is to be resolved.
    fn record(&self, now: Instant) -> bool {
        let is_recent = self.last_read.get().is_some_and(|read| now.since(read) < MIN_READ_INTERVAL);
        !is_recent && !self.is_known.replace(true)
    }

    /// Records that the list was read in full.
    pub(super) fn resolve(&self, now: Instant) {
        if self.is_known.replace(false) {
            self.last_read.set(Some(now));
        }
    }
}

impl ControlPlane {
    /// Compares the version of a peer's list with the held one.
    pub(super) fn check_for_list_conflict(&self, peer: SocketAddr, version: Version) {
        let context = &self.context;
        let now = bendhinge_clock::now();
        let Some(held) = context.upstreams.held_version(now) else { return };
        if context.upstreams.conflicts_with(version) && self.list_conflict.record(now) {
            context.metrics.count_list_conflict();
            context.log.list_conflict(peer, version, held.version.digest);
        }
    }

    /// Returns whether this gateway has to read the whole list because of a conflict.
    pub(super) fn has_list_conflict(&self) -> bool {
        self.list_conflict.is_known.get()
    }
}
