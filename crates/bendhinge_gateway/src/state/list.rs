//! The replica of the list of upstreams.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Origin, UpdateOutcome, UpstreamList, Version};
use bendhinge_ids::Instant;
use bendhinge_peer::HeldVersion;

use super::upstreams::{State, UpstreamView};

impl UpstreamView {
    /// Whether a complete list is held.
    pub(crate) fn has_list(&self) -> bool {
        self.state.lock().unwrap().replica.current().is_some()
    }

    /// Whether a complete or a partial list is held.
    pub(crate) fn has_list_or_partial(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.replica.current().is_some() || state.partial_list.is_some()
    }

    /// Uses a partial list until a complete list arrives. Has no effect if a complete list is held.
    pub(crate) fn apply_partial_list(&self, list: Arc<UpstreamList>) {
        let mut state = self.state.lock().unwrap();
        if state.replica.current().is_none() && !list.entries.is_empty() {
            state.directory.apply(&list, bendhinge_clock::now());
            state.partial_list = Some(list);
        }
    }

    /// Returns the partial list, if no complete list is held yet.
    pub(crate) fn partial_list(&self) -> Option<Arc<UpstreamList>> {
        self.state.lock().unwrap().partial_list.clone()
    }

    /// Returns the time since the list was last known to be current.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        self.state.lock().unwrap().replica.age(now)
    }

    /// Returns the held version and the time since it was last known to be current.
    pub(crate) fn held_version(&self, now: Instant) -> Option<HeldVersion> {
        self.state.lock().unwrap().replica.current().map(|held| HeldVersion::new(held, now))
    }

    /// Returns the held list.
    pub(crate) fn list(&self) -> Option<Arc<UpstreamList>> {
        self.state.lock().unwrap().replica.value().cloned()
    }

    /// Whether `version` is newer than the held one and has to be fetched.
    pub(crate) fn needs(&self, version: Version) -> bool {
        self.state.lock().unwrap().replica.needs(version)
    }

    /// Whether `version` has the revision of the held list and other content.
    pub(crate) fn conflicts_with(&self, version: Version) -> bool {
        self.state.lock().unwrap().replica.conflicts_with(version)
    }

    /// Records that the list of `version` was current as of `as_of`.
    pub(crate) fn confirm(&self, version: Version, as_of: Instant) -> UpdateOutcome {
        let mut state = self.state.lock().unwrap();
        let outcome = state.replica.confirm(version, as_of);
        if outcome == UpdateOutcome::Confirmed {
            state.directory.confirm_current(as_of);
            state.software.confirm(as_of);
        }
        outcome
    }

    /// Installs a list unless a newer one is held. A list of the held revision is installed only if it was read from the
    /// store.
    pub(crate) fn update(
        &self,
        version: Version,
        as_of: Instant,
        list: UpstreamList,
        origin: Origin,
    ) -> UpdateOutcome {
        let mut state = self.state.lock().unwrap();
        let State { replica, list_history, .. } = &mut *state;
        let held = replica.value().cloned();
        let list = || {
            Arc::new(match &held {
                Some(held) => list.share_entries_with(held),
                None => list,
            })
        };
        let outcome = match origin {
            Origin::Store => replica.update_from_store(version, as_of, list),
            Origin::Peer => replica.update(version, as_of, list),
        };
        if let (UpdateOutcome::Updated, Some(held)) = (outcome, replica.current()) {
            list_history.push(held.version.digest, &held.value);
        }
        if outcome != UpdateOutcome::Stale {
            state.directory.confirm_current(as_of);
            state.software.confirm(as_of);
        }
        if outcome == UpdateOutcome::Updated {
            state.partial_list = None;
            state.apply_list();
        }
        outcome
    }
}
