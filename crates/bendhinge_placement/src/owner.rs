//! Assignment of upstreams and idempotency keys to boxes by rendezvous hashing. Adding or removing
//! a box moves only the names that it owns.

use bendhinge_ids::{BoxName, ChatKey};
use xxhash_rust::xxh3::xxh3_64;

/// Returns the box that owns `name`, or `None` if `boxes` is empty.
#[must_use]
pub fn owner_of<'a>(name: &str, boxes: impl IntoIterator<Item = &'a BoxName>) -> Option<&'a BoxName> {
    let key = ChatKey(xxh3_64(name.as_bytes()));
    boxes.into_iter().max_by_key(|name| (key.score(name.as_str()), *name))
}

/// Returns all boxes in the order in which they would take over `name`.
#[must_use]
pub fn rank_owners<'a>(name: &str, boxes: impl IntoIterator<Item = &'a BoxName>) -> Vec<&'a BoxName> {
    let key = ChatKey(xxh3_64(name.as_bytes()));
    let mut ranked: Vec<_> = boxes.into_iter().collect();
    ranked.sort_by_key(|name| std::cmp::Reverse((key.score(name.as_str()), *name)));
    ranked
}
