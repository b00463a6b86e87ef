//! Keys that stay the same over the turns of a chat and the attempts of a request.

use std::fmt;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// What all turns of one chat have in common, hashed; decides where its turns go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChatKey(pub u64);

impl ChatKey {
    /// The key of a chat that its caller names, apart from the same name of other customers.
    #[must_use]
    pub fn of(customer: &str, chat: &[u8]) -> Self {
        Self(xxh3_64_with_seed(chat, xxh3_64(customer.as_bytes())))
    }

    /// This key's score for a member of a set: the base of every rendezvous hash here.
    #[must_use]
    pub fn score(self, member: &str) -> u64 {
        xxh3_64_with_seed(member.as_bytes(), self.0)
    }
}

/// The number by which one request is followed through routers, attempts and upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
