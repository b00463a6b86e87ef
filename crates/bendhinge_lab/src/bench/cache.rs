//! The contexts that an engine holds: a fixed number, least recently used out first.

use std::collections::{BTreeMap, HashMap};

/// A chat's number in the workload.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Chat(pub(super) u32);

/// One engine's contexts.
#[derive(Clone, Debug, Default)]
pub(super) struct ContextCache {
    used: HashMap<Chat, u64>,
    order: BTreeMap<u64, Chat>,
    clock: u64,
}

impl ContextCache {
    /// Whether the context of `chat` is held.
    pub(super) fn holds(&self, chat: Chat) -> bool {
        self.used.contains_key(&chat)
    }

    /// Stores or renews a context, and drops the oldest beyond `capacity`.
    pub(super) fn store(&mut self, chat: Chat, capacity: usize) {
        self.clock += 1;
        if let Some(before) = self.used.insert(chat, self.clock) {
            self.order.remove(&before);
        }
        self.order.insert(self.clock, chat);
        while self.used.len() > capacity {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.used.remove(&oldest);
            }
        }
    }

    /// Forgets everything, as an engine that starts anew does.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }
}
