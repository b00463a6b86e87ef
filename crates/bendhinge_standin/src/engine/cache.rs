//! The prefix cache: which conversations an engine still holds, least recently used out first.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A conversation's prefix, hashed message by message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PrefixHash(pub u64);

impl PrefixHash {
    /// The prefix of no messages.
    pub const EMPTY: Self = Self(0);

    /// This prefix with one message more.
    #[must_use]
    pub fn with(self, role: &str, content: &str) -> Self {
        Self(xxh3_64_with_seed(content.as_bytes(), xxh3_64_with_seed(role.as_bytes(), self.0)))
    }
}

/// Something that happened in the cache.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; gaps are events that were lost.
    pub sequence: u64,
    /// The prefix.
    pub prefix: PrefixHash,
    /// Whether it was stored, else evicted.
    pub stored: bool,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    tokens: u64,
    used: u64,
}

/// The cache.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    held: HashMap<PrefixHash, Held>,
    tokens: u64,
    clock: u64,
    events: VecDeque<CacheEvent>,
    next_event: u64,
}

impl PrefixCache {
    /// A cache of at most `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self { capacity, held: HashMap::new(), tokens: 0, clock: 0, events: VecDeque::new(), next_event: 1 }
    }

    /// The tokens of the longest of `prefixes` that is held; `prefixes` go from short to long.
    pub fn reuse(&mut self, prefixes: &[PrefixHash]) -> u64 {
        self.clock += 1;
        let longest = prefixes.iter().rev().find(|prefix| self.held.contains_key(prefix));
        let Some(held) = longest.and_then(|prefix| self.held.get_mut(prefix)) else { return 0 };
        held.used = self.clock;
        held.tokens
    }

    /// Stores a prefix of `tokens`, in place of the shorter ones that it extends.
    pub fn store(&mut self, extended: &[PrefixHash], prefix: PrefixHash, tokens: u64) {
        for shorter in extended {
            self.drop_prefix(*shorter);
        }
        self.drop_prefix(prefix);
        self.clock += 1;
        self.held.insert(prefix, Held { tokens, used: self.clock });
        self.tokens += tokens;
        self.note(prefix, true);
        while self.tokens > self.capacity && self.held.len() > 1 {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let oldest = self.held.iter().min_by_key(|(_, held)| held.used).map(|(prefix, _)| *prefix);
        if let Some(prefix) = oldest {
            self.drop_prefix(prefix);
            self.note(prefix, false);
        }
    }

    fn drop_prefix(&mut self, prefix: PrefixHash) {
        if let Some(held) = self.held.remove(&prefix) {
            self.tokens -= held.tokens;
        }
    }

    /// Notes an event; every tenth is lost on its way.
    fn note(&mut self, prefix: PrefixHash, stored: bool) {
        const KEPT: usize = 1_024;
        const LOST_EVERY: u64 = 10;
        let sequence = self.next_event;
        self.next_event += 1;
        if !sequence.is_multiple_of(LOST_EVERY) {
            self.events.push_back(CacheEvent { sequence, prefix, stored });
        }
        while self.events.len() > KEPT {
            self.events.pop_front();
        }
    }

    /// Events after `sequence`.
    #[must_use]
    pub fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        self.events.iter().filter(|event| event.sequence > sequence).copied().collect()
    }

    /// Forgets everything, as an engine that loads another model does.
    pub fn clear(&mut self) {
        self.held.clear();
        self.tokens = 0;
    }
}
