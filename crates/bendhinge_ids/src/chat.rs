//! Identifiers of chats and requests.

use std::fmt;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash that is the same for all turns of a chat; determines their placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChatKey(pub u64);

impl ChatKey {
    /// Hashes a chat name chosen by the caller. Equal names of different customers give different keys.
    #[must_use]
    pub fn of(customer: &str, chat: &[u8]) -> Self {
        Self(xxh3_64_with_seed(chat, xxh3_64(customer.as_bytes())))
    }

    /// Returns the rendezvous hashing score of this key for `member`.
    #[must_use]
    pub fn score(self, member: &str) -> u64 {
        xxh3_64_with_seed(member.as_bytes(), self.0)
    }
}

/// Identifier that a request keeps across routers, attempts and upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
