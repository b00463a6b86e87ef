//! Applies what was read from the platform's store to the replicas.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Origin, Revision, UpstreamList, Version};
use bendhinge_ids::{DataCentreName, Instant};
use bendhinge_peer::HeldVersion;

use super::ControlPlane;
use super::pages::{ReadOutcome, StoreContents};
use crate::delivery::DeliveryContext;
use crate::dialect::{ForeignEntry, LatestChanges, StorePart, StoredRules};

/// A part of an answer of the store that neither updated nor confirmed the replica.
#[derive(Debug, thiserror::Error)]
pub(super) enum NotApplied {
    #[error("the store is at revision {at}, before revision {held} which this gateway knows")]
    OlderRevision { held: u64, at: u64 },
    #[error("the answer neither updates nor confirms the list of upstreams")]
    Upstreams,
    #[error("the answer neither updates nor confirms the rules")]
    Rules,
}

impl ControlPlane {
    /// Applies the outcome of a read, and checks that the replicas are as current as the read. `held` is the
    /// revision that was known when the read started.
    pub(super) fn apply_outcome(
        self: &Rc<Self>,
        part: StorePart,
        outcome: ReadOutcome,
        held: Option<Revision>,
    ) -> Result<(), NotApplied> {
        let (start, at, has_list, has_rules) = match &outcome {
            ReadOutcome::Full(contents) => {
                (contents.start, contents.revision, part.includes_upstreams(), contents.rules.is_some())
            }
            ReadOutcome::Changes { start, changes, .. } => (*start, changes.at, true, true),
            ReadOutcome::SuppliedByPeer => return Ok(()),
        };
        if let Some(held) = held.filter(|held| at < *held) {
            return Err(NotApplied::OlderRevision { held: held.0, at: at.0 });
        }
        match outcome {
            ReadOutcome::Full(contents) => {
                self.apply_contents(part, contents);
                if has_list {
                    self.list_conflict.resolve(bendhinge_clock::now());
                }
            }
            ReadOutcome::Changes { start, drained, changes } => self.apply_changes(start, drained, changes),
            ReadOutcome::SuppliedByPeer => {}
        }
        let now = bendhinge_clock::now();
        // A peer may have supplied a newer value during the read.
        let is_outdated = |held: Option<HeldVersion>| {
            held.is_none_or(|held| now - held.age < start && held.version.revision <= at)
        };
        if has_list && is_outdated(self.context.upstreams.held_version(now)) {
            return Err(NotApplied::Upstreams);
        }
        if has_rules && is_outdated(self.context.rules.held_version(now)) {
            return Err(NotApplied::Rules);
        }
        Ok(())
    }

    /// Replaces the set of entries of other writers, and logs the changes.
    fn update_foreign_entries(&self, foreign: &BTreeSet<ForeignEntry>) {
        /// Maximum number of log lines for added entries, and for removed ones, per read.
        const MAX_LOG_LINES: usize = 16;
        let DeliveryContext { log, metrics, .. } = &*self.context;
        metrics.record_foreign_entries(foreign.len());
        let previous = self.foreign_entries.replace(foreign.clone());
        for added in foreign.difference(&previous).take(MAX_LOG_LINES) {
            log.foreign_entry_changed(&added.key, Some(&added.reason));
        }
        let is_removed = |removed: &&ForeignEntry| !foreign.iter().any(|entry| entry.key == removed.key);
        for removed in previous.iter().filter(is_removed).take(MAX_LOG_LINES) {
            log.foreign_entry_changed(&removed.key, None);
        }
    }

    /// Starts serving with the first page of a long list, which holds the rules and some of the
    /// upstreams.
    pub(super) fn start_with_first_page(self: &Rc<Self>, mut contents: StoreContents) {
        let (start, at) = (contents.start, contents.revision);
        if let Some(StoredRules { revision, document }) = contents.rules.take() {
            let version = Version::of_document(revision, at);
            // Peers are not notified, since all gateways that start read this page.
            self.update_rules_locally(&current_at_read(version), start, document, Origin::Store);
        }
        self.context.upstreams.apply_partial_list(Arc::new(contents.into_list()));
    }

    fn apply_contents(self: &Rc<Self>, part: StorePart, mut contents: StoreContents) {
        let (start, at) = (contents.start, contents.revision);
        if let Some(rules) = contents.rules.take() {
            self.update_rules_from_store(rules, at, start);
        }
        if !part.includes_upstreams() {
            return;
        }
        self.update_foreign_entries(&contents.foreign_entries.drain(..).collect());
        self.update_list_from_store(contents.into_list(), at, start);
    }

    fn apply_changes(self: &Rc<Self>, start: Instant, drained: Vec<DataCentreName>, changes: LatestChanges) {
        let LatestChanges { at, rules, updated, removed, foreign, keys, .. } = changes;
        let now = bendhinge_clock::now();
        let DeliveryContext { rules: held_rules, upstreams, .. } = &*self.context;
        match (rules, held_rules.held_version(now)) {
            (Some(rules), _) => self.update_rules_from_store(rules, at, start),
            (None, Some(held)) => {
                held_rules.confirm(Version { revision: at, ..held.version }, start);
            }
            (None, None) => {}
        }
        let has_changed = |entry: &ForeignEntry| keys.contains(&entry.key);
        let mut all_foreign = self.foreign_entries.borrow().clone();
        all_foreign.retain(|entry| !has_changed(entry));
        all_foreign.extend(foreign);
        self.update_foreign_entries(&all_foreign);
        let (Some(list), Some(held)) = (upstreams.list(), upstreams.held_version(now)) else { return };
        if updated.is_empty() && removed.is_empty() && drained == list.drained {
            upstreams.confirm(Version { revision: at, ..held.version }, start);
            return;
        }
        self.update_list_from_store(list.with_store_changes(updated, &removed, drained), at, start);
    }

    /// Updates the list to the one at store revision `at`, from a read started at `start`.
    fn update_list_from_store(self: &Rc<Self>, list: UpstreamList, at: Revision, start: Instant) {
        let version = Version { revision: at, digest: list.digest() };
        self.update_upstream_list(&current_at_read(version), start, list, Origin::Store);
    }

    /// Updates the rules to those at store revision `at`, from a read started at `start`.
    fn update_rules_from_store(self: &Rc<Self>, rules: StoredRules, at: Revision, start: Instant) {
        let version = Version::of_document(rules.revision, at);
        if self.needs_rules(version) {
            self.update_rules(&current_at_read(version), start, rules.document, Origin::Store);
        } else {
            self.context.rules.confirm(version, start);
        }
    }
}

/// Describes a version that was current when its read started.
const fn current_at_read(version: Version) -> HeldVersion {
    HeldVersion { version, age: Duration::ZERO }
}
