//! Delta encoding of upstream lists.
//!
//! Most changes affect one or two upstreams, so a peer that holds a recent list is sent only the
//! difference. A list takes some 100 bytes for each upstream, 25 KB for 250, and the change of one some 200 bytes.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use bendhinge_ids::{DataCentreName, NameHash, UpstreamName};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};

use crate::directory::{UpstreamEntry, UpstreamList};

/// Number of recent lists kept as delta bases. A peer whose list is older fetches the full list.
const MAX_LISTS: usize = 12;

/// Difference between two lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDelta {
    /// Hashes of the upstreams that were removed.
    pub removed: Vec<NameHash>,
    /// Entries that were added or changed.
    pub upserted: Vec<Arc<UpstreamEntry>>,
    /// All data centres that are drained in the new list.
    pub drained: Vec<DataCentreName>,
}

/// A list as sent to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The full list.
    Full(UpstreamList),
    /// The difference from a list that the peer holds.
    Delta {
        /// Digest of the list that the peer holds.
        base: u64,
        /// Changes to apply to it.
        delta: ListDelta,
    },
}

impl UpstreamList {
    /// Returns a hash of the content. It is the same on all routers of one build.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = FxHasher::default();
        self.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the changes that turn `base` into this list.
    #[must_use]
    pub fn delta_from(&self, base: &Self) -> ListDelta {
        let (now, before) = (by_hash(self), by_hash(base));
        let removed = base.entries.iter().map(|entry| entry.hash).filter(|hash| !now.contains_key(hash));
        let is_same = |entry: &&Arc<UpstreamEntry>| before.get(&entry.hash).is_some_and(|old| old == entry);
        let upserted = self.entries.iter().filter(|entry| !is_same(entry)).cloned();
        ListDelta { removed: removed.collect(), upserted: upserted.collect(), drained: self.drained.clone() }
    }

    /// Returns this list with `delta` applied.
    #[must_use]
    pub fn apply(&self, delta: &ListDelta) -> Self {
        let upserted = delta.upserted.iter().map(|entry| entry.hash);
        let replaced: FxHashSet<NameHash> = delta.removed.iter().copied().chain(upserted).collect();
        let is_replaced = |entry: &UpstreamEntry| replaced.contains(&entry.hash);
        self.replace_entries(is_replaced, delta.upserted.iter().cloned(), delta.drained.clone())
    }

    /// Returns this list after the store wrote the entries `upserted` and deleted the upstreams
    /// `removed`. An entry replaces all incarnations of the upstream with its name.
    #[must_use]
    pub fn with_store_changes(
        &self,
        upserted: Vec<UpstreamEntry>,
        removed: &[UpstreamName],
        drained: Vec<DataCentreName>,
    ) -> Self {
        let names = upserted.iter().map(|entry| &entry.name).chain(removed);
        let replaced: FxHashSet<UpstreamName> = names.cloned().collect();
        self.replace_entries(
            |entry| replaced.contains(&entry.name),
            upserted.into_iter().map(Arc::new),
            drained,
        )
    }

    /// Returns this list with the matching entries removed and `upserted` inserted.
    fn replace_entries(
        &self,
        is_replaced: impl Fn(&UpstreamEntry) -> bool,
        upserted: impl Iterator<Item = Arc<UpstreamEntry>>,
        drained: Vec<DataCentreName>,
    ) -> Self {
        let retained = self.entries.iter().filter(|entry| !is_replaced(entry)).cloned();
        let mut entries: Vec<_> = retained.chain(upserted).collect();
        entries.sort_by(|left, right| left.name.cmp(&right.name));
        Self { entries, drained }
    }

    /// Returns the same list, sharing the entries that are equal in `other` to save memory.
    #[must_use]
    pub fn share_entries_with(self, other: &Self) -> Self {
        let before = by_hash(other);
        let shared = self.entries.into_iter().map(|entry| match before.get(&entry.hash) {
            Some(old) if **old == entry => Arc::clone(old),
            _ => entry,
        });
        Self { entries: shared.collect(), drained: self.drained }
    }
}

fn by_hash(list: &UpstreamList) -> FxHashMap<NameHash, &Arc<UpstreamEntry>> {
    list.entries.iter().map(|entry| (entry.hash, entry)).collect()
}

/// Recently held lists, by digest.
#[derive(Debug, Default)]
pub struct ListHistory(VecDeque<(u64, Arc<UpstreamList>)>);

impl ListHistory {
    /// Adds a list, evicting the oldest one if the history is full.
    pub fn push(&mut self, digest: u64, list: &Arc<UpstreamList>) {
        self.0.retain(|(known, _)| *known != digest);
        if self.0.len() == MAX_LISTS {
            self.0.pop_front();
        }
        self.0.push_back((digest, Arc::clone(list)));
    }

    /// Returns the list with the given digest, if it is still kept.
    #[must_use]
    pub fn get(&self, digest: u64) -> Option<&Arc<UpstreamList>> {
        self.0.iter().find(|(known, _)| *known == digest).map(|(_, list)| list)
    }

    /// Encodes `list` for a peer that holds the list with the digest `base`.
    #[must_use]
    pub fn update_for(&self, list: &UpstreamList, base: Option<u64>) -> ListUpdate {
        let known = base.and_then(|base| Some((base, self.get(base)?)));
        let Some((base, known)) = known else { return ListUpdate::Full(list.clone()) };
        ListUpdate::Delta { base, delta: list.delta_from(known) }
    }
}
