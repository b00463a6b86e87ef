//! News in the order in which a router learned it, of which each peer is told what it lacks.
//!
//! A message holds so much news at most; the rest goes with the next one. So a burst, as when a fleet starts
//! and all prompts are read for the first time, delays news and loses none of it as long as it fits into what
//! is kept.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};

/// From whom a router learned something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateSource {
    /// By its own requests.
    Local,
    /// From another router, named by a hash of its address.
    Router(NameHash),
}

/// One life of a router: a number drawn at its start, never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterIncarnation(pub u64);

/// Up to where the news of one life of a router were told; each life numbers its news from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    /// Whose news.
    pub incarnation: RouterIncarnation,
    /// The number of the last piece that was told; 0 before the first.
    pub sequence: u64,
}

/// How much news is kept and told.
#[derive(Clone, Copy, Debug)]
pub struct UpdateLogLimits {
    /// Pieces that are kept.
    pub max_entries: usize,
    /// Pieces in one message.
    pub max_batch_entries: usize,
    /// How old a piece may be to be told.
    pub max_age: Duration,
    /// How old to a peer that was told nothing before: it has older ones from others.
    pub max_age_for_new_peer: Duration,
}

/// The news in one message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpdateBatch<T> {
    /// The pieces, oldest first.
    pub entries: Vec<T>,
    /// The number of the last one that was told or passed over.
    pub last_sequence: u64,
    /// Pieces that the peer lacks and is not told of, since they are too old or not kept any more.
    pub dropped: u64,
}

#[derive(Debug)]
struct Entry<T> {
    value: T,
    source: UpdateSource,
    recorded_at: Instant,
}

/// What a router learned lately, in order.
#[derive(Debug)]
pub struct UpdateLog<T> {
    limits: UpdateLogLimits,
    entries: VecDeque<Entry<T>>,
    /// The number of the piece before the oldest that is kept.
    last_evicted: u64,
}

impl<T: Copy> UpdateLog<T> {
    /// No news yet.
    #[must_use]
    pub const fn new(limits: UpdateLogLimits) -> Self {
        Self { limits, entries: VecDeque::new(), last_evicted: 0 }
    }

    /// Adds a piece that was learned at `now`.
    pub fn push(&mut self, value: T, source: UpdateSource, now: Instant) {
        if self.entries.len() >= self.limits.max_entries {
            self.entries.pop_front();
            self.last_evicted += 1;
        }
        self.entries.push_back(Entry { value, source, recorded_at: now });
    }

    /// What `listener` lacks that was told up to the number `told`, or nothing before; not what it told
    /// itself.
    #[must_use]
    pub fn since(&self, acknowledged: Option<u64>, receiver: UpdateSource, now: Instant) -> UpdateBatch<T> {
        let first_within =
            |max_age: Duration| self.entries.partition_point(|entry| now.since(entry.recorded_at) > max_age);
        let first_unexpired = first_within(self.limits.max_age);
        // A number that was never given is one of a life before.
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

    /// Gives up what is too old to be told.
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
