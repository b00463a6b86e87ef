//! A bounded table of crash histories, with the last change of each, from which a router composes its reports to others.

use std::cell::Cell;
use std::hash::Hash;

use bendhinge_ids::Instant;
use rustc_hash::FxHashMap;

use crate::UpdateSource;

/// The crash history of a suspect.
pub(crate) trait History: Default {
    /// Identifies the suspect.
    type Key: Copy + Eq + Hash;

    /// Whether a history is reported that was cleared before any other router knew of it.
    const REPORTS_UNSHARED: bool;

    /// Returns the number of crashes that count.
    fn crash_count(&self) -> usize;

    /// Returns when the last of these crashes was detected.
    fn last_crash_at(&self) -> Option<Instant>;

    /// Returns the contribution to the digest of the table.
    fn digest(&self, key: Self::Key) -> u64;

    /// Whether the history can be removed.
    fn is_expired(&self, now: Instant) -> bool;
}

/// A crash history and its last changes.
#[derive(Debug)]
struct Entry<H> {
    history: H,
    /// When this router last changed it.
    changed_at: Option<Instant>,
    /// When and by which report another router last changed it.
    reported: Option<(Instant, UpdateSource)>,
    /// Whether another router has reported the history or was sent it while it had crashes.
    is_shared: Cell<bool>,
}

impl<H> Entry<H> {
    fn new(history: H) -> Self {
        Self { history, changed_at: None, reported: None, is_shared: Cell::new(false) }
    }

    fn record_change(&mut self, source: UpdateSource, now: Instant) {
        if source == UpdateSource::Local {
            self.changed_at = Some(now);
        } else {
            self.reported = Some((now, source));
        }
    }

    /// Whether the history changed after `since` by this router or, if it `forwards`, by another one than `recipient`.
    fn has_changed(&self, recipient: UpdateSource, since: Instant, forwards: bool) -> bool {
        let has_changed_here = self.changed_at.is_some_and(|at| at > since);
        let is_reported = self.reported.is_some_and(|(at, source)| at > since && source != recipient);
        has_changed_here || forwards && is_reported
    }
}

/// The effect of an update.
#[derive(Debug)]
pub(crate) enum Update<K> {
    /// Nothing changed, or there is no room for a further history.
    None,
    /// A history changed.
    Changed,
    /// A history was added, in place of another one if the table was full.
    Inserted { evicted: Option<K> },
}

impl<K> Update<K> {
    /// Whether anything changed.
    pub(crate) const fn is_change(&self) -> bool {
        !matches!(self, Self::None)
    }
}

/// A bounded table of crash histories.
#[derive(Debug)]
pub(crate) struct CrashTable<H: History> {
    entries: FxHashMap<H::Key, Entry<H>>,
    capacity: usize,
    digest: u64,
}

impl<H: History> CrashTable<H> {
    /// Creates an empty table for at most `capacity` histories.
    pub(crate) fn new(capacity: usize) -> Self {
        Self { entries: FxHashMap::default(), capacity, digest: 0 }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn get(&self, key: H::Key) -> Option<&H> {
        self.entries.get(&key).map(|entry| &entry.history)
    }

    /// Returns all histories.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (H::Key, &H)> {
        self.entries.iter().map(|(key, entry)| (*key, &entry.history))
    }

    /// Returns a digest that is equal for tables whose histories have equal contributions.
    pub(crate) const fn digest(&self) -> u64 {
        self.digest
    }

    /// Updates the history of a suspect; returns `false` if it has none or did not change.
    pub(crate) fn update(
        &mut self,
        key: H::Key,
        source: UpdateSource,
        now: Instant,
        apply: impl FnOnce(&mut H) -> bool,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(&key) else { return false };
        let before = entry.history.digest(key);
        let is_changed = apply(&mut entry.history);
        self.digest ^= before ^ entry.history.digest(key);
        if is_changed {
            entry.record_change(source, now);
        }
        if source != UpdateSource::Local {
            entry.is_shared.set(true);
        }
        is_changed
    }

    /// Like [`Self::update`], but adds a history if necessary.
    pub(crate) fn update_or_insert(
        &mut self,
        key: H::Key,
        source: UpdateSource,
        now: Instant,
        apply: impl FnOnce(&mut H) -> bool,
    ) -> Update<H::Key> {
        if self.entries.contains_key(&key) {
            let is_changed = self.update(key, source, now, apply);
            return if is_changed { Update::Changed } else { Update::None };
        }
        let mut history = H::default();
        if !apply(&mut history) {
            return Update::None;
        }
        let Ok(evicted) = self.make_room_for(&history) else { return Update::None };
        self.digest ^= history.digest(key);
        let mut entry = Entry::new(history);
        entry.record_change(source, now);
        entry.is_shared.set(source != UpdateSource::Local);
        self.entries.insert(key, entry);
        Update::Inserted { evicted }
    }

    /// Evicts the lowest-ranked history if the table is full; returns `Err` if there is no room. Histories with equal
    /// crash counts do not evict each other: routers would send each other the evicted ones again and again.
    fn make_room_for(&mut self, history: &H) -> Result<Option<H::Key>, ()> {
        if self.entries.len() < self.capacity {
            return Ok(None);
        }
        let rank = |entry: &Entry<H>| (entry.history.crash_count(), entry.history.last_crash_at());
        let lowest = self.entries.iter().min_by_key(|(_, entry)| rank(entry));
        let Some((key, entry)) = lowest else { return Err(()) };
        if entry.history.crash_count() >= history.crash_count() {
            return Err(());
        }
        let key = *key;
        self.remove(key);
        Ok(Some(key))
    }

    fn remove(&mut self, key: H::Key) {
        if let Some(entry) = self.entries.remove(&key) {
            self.digest ^= entry.history.digest(key);
        }
    }

    /// Returns the histories that changed after `since` and that `recipient` has not reported itself: changes that this
    /// router observed and, if it `forwards`, those received from others.
    pub(crate) fn changes_for(
        &self,
        recipient: UpdateSource,
        since: Instant,
        forwards: bool,
    ) -> impl Iterator<Item = (H::Key, &H)> {
        let is_sent = move |entry: &&Entry<H>| {
            let is_reported = H::REPORTS_UNSHARED || entry.is_shared.get() || entry.history.crash_count() > 0;
            is_reported && entry.has_changed(recipient, since, forwards)
        };
        let changed = self.entries.iter().filter(move |(_, entry)| is_sent(entry));
        changed.map(|(key, entry)| {
            entry.is_shared.set(true);
            (*key, &entry.history)
        })
    }

    /// Removes expired histories and returns their keys.
    pub(crate) fn prune(&mut self, now: Instant) -> Vec<H::Key> {
        let expired = self.iter().filter(|(_, history)| history.is_expired(now)).map(|(key, _)| key);
        let expired: Vec<_> = expired.collect();
        for key in &expired {
            self.remove(*key);
        }
        expired
    }
}
