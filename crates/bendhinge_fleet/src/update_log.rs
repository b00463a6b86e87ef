//! Log of recent updates, from which each peer is sent the entries that it has not received.
//!
//! A message holds a limited number of entries and the rest follows with the next one. A burst of
//! updates is therefore delayed, but not lost while it fits into the log.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};

/// Where an update came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateSource {
    /// A request of this router.
    Local,
    /// Another router, identified by a hash of its address.
    Router(NameHash),
}

/// Random non-zero identifier of one run of a router process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterIncarnation(pub u64);

/// Position in the update log of a router. Each incarnation numbers its entries from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// Incarnation of the router whose log it is.
    pub incarnation: RouterIncarnation,
    /// Sequence number of the last entry sent, or 0 before the first.
    pub sequence: u64,
}

/// Limits on the entries that are kept and sent.
#[derive(Clone, Copy, Debug)]
pub struct UpdateLogLimits {
    /// Maximum number of entries kept.
    pub max_entries: usize,
    /// Maximum number of entries in a message.
    pub max_batch_entries: usize,
    /// Maximum age of an entry that is sent.
    pub max_age: Duration,
    /// Maximum age of an entry that is sent to a peer for the first time. Such a peer has older entries
    /// from other routers.
    pub max_age_for_new_peer: Duration,
}

/// Entries for one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateBatch<T> {
    /// The entries, oldest first.
    pub entries: Vec<T>,
    /// Sequence number of the last entry that was included or skipped.
    pub last_sequence: u64,
    /// Number of entries that the peer misses because they expired or were evicted.
    pub dropped: u64,
}

#[derive(Debug)]
struct Entry<T> {
    value: T,
    source: UpdateSource,
    recorded_at: Instant,
}

/// Recent updates of a router, in the order of their arrival.
#[derive(Debug)]
pub struct UpdateLog<T> {
    limits: UpdateLogLimits,
    entries: VecDeque<Entry<T>>,
    /// Sequence number of the last entry that was evicted.
    last_evicted: u64,
}

impl<T: Copy> UpdateLog<T> {
    /// Creates an empty log.
    #[must_use]
    pub const fn new(limits: UpdateLogLimits) -> Self {
        Self { limits, entries: VecDeque::new(), last_evicted: 0 }
    }

    /// Appends an entry, evicting the oldest one if the log is full.
    pub fn push(&mut self, value: T, source: UpdateSource, now: Instant) {
        if self.entries.len() >= self.limits.max_entries {
            self.entries.pop_front();
            self.last_evicted += 1;
        }
        self.entries.push_back(Entry { value, source, recorded_at: now });
    }

    /// Returns the entries after the sequence number `acknowledged` for `receiver`, without those that
    /// came from `receiver`. `None` stands for a peer that has received nothing yet.
    #[must_use]
    pub fn since(&self, acknowledged: Option<u64>, receiver: UpdateSource, now: Instant) -> UpdateBatch<T> {
        let first_within =
            |max_age: Duration| self.entries.partition_point(|entry| now.since(entry.recorded_at) > max_age);
        let first_unexpired = first_within(self.limits.max_age);
        // A sequence number beyond the end of the log belongs to an earlier incarnation.
        let (first, dropped) = match acknowledged.filter(|acknowledged| *acknowledged <= self.last_sequence())
        {
            None => (first_within(self.limits.max_age_for_new_peer), 0),
            Some(acknowledged) => {
                let missing = self.last_evicted.saturating_sub(acknowledged);
                let next =
                    usize::try_from(acknowledged.saturating_sub(self.last_evicted)).unwrap_or(usize::MAX);
                (next.max(first_unexpired), missing + first_unexpired.saturating_sub(next) as u64)
            }
        };
        let mut entries = Vec::new();
        let mut end = first;
        for entry in self.entries.iter().skip(first) {
            if entries.len() == self.limits.max_batch_entries {
                break;
            }
            end += 1;
            if entry.source != receiver {
                entries.push(entry.value);
            }
        }
        UpdateBatch { entries, last_sequence: self.last_evicted + end as u64, dropped }
    }

    /// Evicts the entries that are too old to be sent.
    pub fn evict_expired(&mut self, now: Instant) {
        let expired =
            self.entries.partition_point(|entry| now.since(entry.recorded_at) > self.limits.max_age);
        self.entries.drain(..expired);
        self.last_evicted += expired as u64;
        self.entries.shrink_to(self.limits.max_batch_entries);
    }

    fn last_sequence(&self) -> u64 {
        self.last_evicted + self.entries.len() as u64
    }
}
