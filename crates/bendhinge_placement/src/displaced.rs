//! Chats that could not go to their first upstream, remembered where they are asked for next.

use std::collections::VecDeque;

use bendhinge_ids::{ChatKey, UpstreamName};
use rustc_hash::FxHashMap;

#[derive(Clone, Debug)]
struct Place {
    upstream: UpstreamName,
    stamp: u64,
}

/// A bounded memory of where displaced chats went; the oldest is forgotten first.
///
/// The router that counts for a chat's first upstream is asked on every turn, so it can send
/// a displaced chat back to its context without any further message.
#[derive(Debug)]
pub struct DisplacedChats {
    places: FxHashMap<ChatKey, Place>,
    order: VecDeque<(ChatKey, u64)>,
    capacity: usize,
    next_stamp: u64,
}

impl DisplacedChats {
    /// A memory of at most `capacity` chats.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self { places: FxHashMap::default(), order: VecDeque::new(), capacity, next_stamp: 0 }
    }

    /// Remembers that `chat` went to `upstream`.
    pub fn remember(&mut self, chat: ChatKey, upstream: UpstreamName) {
        let stamp = self.next_stamp;
        self.next_stamp += 1;
        self.places.insert(chat, Place { upstream, stamp });
        self.order.push_back((chat, stamp));
        while self.places.len() > self.capacity || self.order.len() > 2 * self.capacity {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((chat, stamp)) = self.order.pop_front() else { return };
        // An older note of a chat that was remembered again is only dropped from the order.
        if self.places.get(&chat).is_some_and(|place| place.stamp == stamp) {
            self.places.remove(&chat);
        }
    }

    /// Where `chat` went, if it was displaced.
    #[must_use]
    pub fn place(&self, chat: ChatKey) -> Option<&UpstreamName> {
        self.places.get(&chat).map(|place| &place.upstream)
    }
}
