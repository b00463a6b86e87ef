//! Locations of chats that were displaced from their preferred upstream.

use std::collections::VecDeque;

use bendhinge_ids::{ChatKey, UpstreamName};
use rustc_hash::FxHashMap;

#[derive(Clone, Debug)]
struct Location {
    upstream: UpstreamName,
    sequence: u64,
}

/// A bounded map from displaced chats to the upstreams that serve them. The oldest entries are
/// evicted first.
///
/// The owner of a chat's preferred upstream receives a permit request for each request of the chat,
/// so it can redirect a displaced chat to its context without an additional message.
#[derive(Debug)]
pub struct DisplacedChats {
    locations: FxHashMap<ChatKey, Location>,
    insertion_order: VecDeque<(ChatKey, u64)>,
    capacity: usize,
    next_sequence: u64,
}

impl DisplacedChats {
    /// Creates a map of at most `capacity` chats.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { locations: FxHashMap::default(), insertion_order: VecDeque::new(), capacity, next_sequence: 0 }
    }

    /// Records that `chat` was displaced to `upstream`.
    pub fn record(&mut self, chat: ChatKey, upstream: UpstreamName) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.locations.insert(chat, Location { upstream, sequence });
        self.insertion_order.push_back((chat, sequence));
        while self.locations.len() > self.capacity || self.insertion_order.len() > 2 * self.capacity {
            self.evict_oldest();
        }
    }

    fn evict_oldest(&mut self) {
        let Some((chat, sequence)) = self.insertion_order.pop_front() else { return };
        // A chat that was recorded again has a newer entry, which must not be removed.
        if self.locations.get(&chat).is_some_and(|location| location.sequence == sequence) {
            self.locations.remove(&chat);
        }
    }

    /// Returns the upstream to which `chat` was displaced.
    #[must_use]
    pub fn location(&self, chat: ChatKey) -> Option<&UpstreamName> {
        self.locations.get(&chat).map(|location| &location.upstream)
    }
}
