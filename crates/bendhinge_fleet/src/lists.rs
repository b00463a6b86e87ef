//! Lists of upstreams as changes against one that a peer holds already.
//!
//! A list is some 100 bytes an upstream, and a deployment's releases, crashes and returns change one or
//! two of them at a time, tens of times a minute: told whole, each change of one among 250 upstreams costs
//! each box of a fleet 25 KB, and some 200 bytes as a change (reckoned from the schema, before
//! compression).

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use bendhinge_ids::{DataCentreName, NameHash, UpstreamName};
use rustc_hash::{FxHashMap, FxHashSet, FxHasher};

use crate::directory::{UpstreamEntry, UpstreamList};

/// Lists that are remembered for peers that hold an older one. A peer that missed more changes than that
/// fetches the list whole.
const MAX_LISTS: usize = 12;

/// What differs between two lists.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListDelta {
    /// Upstreams that are not listed any more, by their hashes.
    pub removed: Vec<NameHash>,
    /// Entries that are new or differ.
    pub upserted: Vec<Arc<UpstreamEntry>>,
    /// The data centres that are drained now, all of them.
    pub drained: Vec<DataCentreName>,
}

/// A list as it is told to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// All of it.
    Full(UpstreamList),
    /// What changed since the list whose digest is `base`.
    Delta {
        /// The digest of the list that the peer holds.
        base: u64,
        /// What changed.
        delta: ListDelta,
    },
}

impl UpstreamList {
    /// The hash of the content, the same at all routers of one build.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = FxHasher::default();
        self.hash(&mut hasher);
        hasher.finish()
    }

    /// What has to change in `base` to become this list.
    #[must_use]
    pub fn delta_from(&self, base: &Self) -> ListDelta {
        let (now, before) = (by_hash(self), by_hash(base));
        let removed = base.entries.iter().map(|entry| entry.hash).filter(|hash| !now.contains_key(hash));
        let is_same = |entry: &&Arc<UpstreamEntry>| before.get(&entry.hash).is_some_and(|old| old == entry);
        let upserted = self.entries.iter().filter(|entry| !is_same(entry)).cloned();
        ListDelta { removed: removed.collect(), upserted: upserted.collect(), drained: self.drained.clone() }
    }

    /// This list with `changes` made.
    #[must_use]
    pub fn apply(&self, delta: &ListDelta) -> Self {
        let upserted = delta.upserted.iter().map(|entry| entry.hash);
        let replaced: FxHashSet<NameHash> = delta.removed.iter().copied().chain(upserted).collect();
        let is_replaced = |entry: &UpstreamEntry| replaced.contains(&entry.hash);
        self.replace_entries(is_replaced, delta.upserted.iter().cloned(), delta.drained.clone())
    }

    /// This list after the store wrote the entries that `came` and removed those that are `gone`, with these data
    /// centres `drained`. An entry replaces all lives of the upstream that it names.
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

    /// This list without the entries that are replaced, and with those that `came`.
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

    /// The same list, whose entries are shared with `other` where they are equal: lists that follow each
    /// other are mostly alike, and several are held at a time.
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

/// The lists that were held lately.
#[derive(Debug, Default)]
pub struct ListHistory(VecDeque<(u64, Arc<UpstreamList>)>);

impl ListHistory {
    /// Remembers a list that is held.
    pub fn push(&mut self, digest: u64, list: &Arc<UpstreamList>) {
        self.0.retain(|(known, _)| *known != digest);
        if self.0.len() == MAX_LISTS {
            self.0.pop_front();
        }
        self.0.push_back((digest, Arc::clone(list)));
    }

    /// A list that was held lately.
    #[must_use]
    pub fn get(&self, digest: u64) -> Option<&Arc<UpstreamList>> {
        self.0.iter().find(|(known, _)| *known == digest).map(|(_, list)| list)
    }

    /// `list` as it is told to a peer that holds the one whose digest is `base`.
    #[must_use]
    pub fn update_for(&self, list: &UpstreamList, base: Option<u64>) -> ListUpdate {
        let known = base.and_then(|base| Some((base, self.get(base)?)));
        let Some((base, known)) = known else { return ListUpdate::Full(list.clone()) };
        ListUpdate::Delta { base, delta: list.delta_from(known) }
    }
}
