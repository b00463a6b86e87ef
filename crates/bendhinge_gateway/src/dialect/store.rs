//! What an adapter reads from the store.

use bendhinge_fleet::{Revision, UpstreamEntry};
use bendhinge_ids::{DataCentreName, UpstreamName};
use bytes::Bytes;
use rustc_hash::FxHashSet;

/// The part of the store to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePart {
    /// Everything.
    All,
    /// The upstreams and the drained data centres.
    Upstreams,
    /// The serving rules.
    Rules,
    /// The drained data centres. This part is small and serves to read the store's revision.
    Drained,
}

impl StorePart {
    /// Whether the part includes the upstreams.
    #[must_use]
    pub const fn includes_upstreams(self) -> bool {
        matches!(self, Self::All | Self::Upstreams)
    }
}

/// A page of the store's contents.
#[derive(Debug, Default)]
pub struct StorePage {
    /// The store's revision at the time of the read.
    pub at: Revision,
    /// The serving rules, if they are on the page.
    pub rules: Option<StoredRules>,
    /// The upstreams on the page.
    pub upstreams: Vec<UpstreamEntry>,
    /// The drained data centres on the page.
    pub drained: Vec<DataCentreName>,
    /// Invalid entries under the keys of upstreams or drained data centres.
    pub foreign: Vec<ForeignEntry>,
    /// The key after which the next page starts, if there is one.
    pub next_after: Option<String>,
}

/// The changes of the store since a revision.
#[derive(Debug, Default)]
pub struct StoreChanges {
    /// The revision up to which the changes are complete.
    pub at: Revision,
    /// The changes in order. An entry may occur more than once.
    pub changes: Vec<StoreChange>,
}

/// A change of a store entry.
#[derive(Debug)]
pub struct StoreChange {
    /// The key of the entry.
    pub key: String,
    /// The new state of the entry.
    pub entry: ChangedEntry,
}

/// The new state of a store entry.
#[derive(Debug)]
pub enum ChangedEntry {
    /// The serving rules.
    Rules(StoredRules),
    /// An added or modified upstream.
    Upstream(UpstreamEntry),
    /// An upstream whose entry was deleted or replaced by an invalid one.
    RemovedUpstream {
        /// The name of the upstream, if the key contains one.
        name: Option<UpstreamName>,
        /// The invalid entry, if there is one.
        foreign: Option<ForeignEntry>,
    },
    /// A data centre that was drained, or is no longer.
    DataCentre {
        /// The name of the data centre.
        name: DataCentreName,
        /// Whether it is drained.
        is_drained: bool,
    },
    /// An invalid entry under a key of a drained data centre.
    Foreign(ForeignEntry),
    /// An entry of another kind, which is not tracked by changes.
    Other,
}

/// The last change of each store entry.
#[derive(Debug, Default)]
pub struct LatestChanges {
    /// The revision up to which the changes are complete.
    pub at: Revision,
    /// The serving rules, if they changed.
    pub rules: Option<StoredRules>,
    /// The added and modified upstreams.
    pub updated: Vec<UpstreamEntry>,
    /// The upstreams whose entries were deleted or became invalid.
    pub removed: Vec<UpstreamName>,
    /// The data centres that were drained.
    pub drained: Vec<DataCentreName>,
    /// The data centres that are no longer drained.
    pub restored: Vec<DataCentreName>,
    /// The invalid entries.
    pub foreign: Vec<ForeignEntry>,
    /// The keys of all changed entries.
    pub keys: FxHashSet<String>,
}

impl LatestChanges {
    /// Returns the drained data centres as of these changes, sorted. `base` are those of any revision from the start
    /// of the changes to their end.
    #[must_use]
    pub fn drained_since(&self, base: Vec<DataCentreName>) -> Vec<DataCentreName> {
        let mut drained = base;
        drained.retain(|name| !self.restored.contains(name));
        drained.extend(self.drained.iter().cloned());
        drained.sort_unstable();
        drained.dedup();
        drained
    }
}

impl StoreChanges {
    /// Returns the last change of each entry, in order.
    #[must_use]
    pub fn latest(self) -> LatestChanges {
        let mut latest = LatestChanges { at: self.at, ..LatestChanges::default() };
        let mut last_entries: Vec<ChangedEntry> = Vec::new();
        for change in self.changes.into_iter().rev() {
            if latest.keys.insert(change.key) {
                last_entries.push(change.entry);
            }
        }
        for entry in last_entries.into_iter().rev() {
            match entry {
                ChangedEntry::Rules(rules) => latest.rules = Some(rules),
                ChangedEntry::Upstream(upstream) => latest.updated.push(upstream),
                ChangedEntry::RemovedUpstream { name, foreign } => {
                    latest.removed.extend(name);
                    latest.foreign.extend(foreign);
                }
                ChangedEntry::DataCentre { name, is_drained: true } => latest.drained.push(name),
                ChangedEntry::DataCentre { name, is_drained: false } => latest.restored.push(name),
                ChangedEntry::Foreign(foreign) => latest.foreign.push(foreign),
                ChangedEntry::Other => {}
            }
        }
        latest
    }
}

/// A store entry that cannot be parsed, such as one written by another program. It is skipped and reported.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ForeignEntry {
    /// The key, as far as it can be parsed.
    pub key: String,
    /// Why the entry cannot be parsed.
    pub reason: String,
}

impl ForeignEntry {
    /// Creates an entry. Both texts are truncated to a length suitable for a log line.
    pub fn new(mut key: String, reason: &impl ToString) -> Self {
        /// Keys can be long, and an error can quote a part of the value.
        const MAX_TEXT_BYTES: usize = 160;
        let mut reason = reason.to_string();
        for text in [&mut key, &mut reason] {
            text.truncate(text.floor_char_boundary(MAX_TEXT_BYTES));
        }
        Self { key, reason }
    }
}

/// The serving rules as stored.
#[derive(Debug)]
pub struct StoredRules {
    /// The store revision of the last change.
    pub revision: Revision,
    /// The document.
    pub document: Bytes,
}
