//! Which box counts for an upstream, or keeps an idempotency key: rendezvous over the boxes,
//! so that a box that comes or goes moves only what it owned.

use bendhinge_ids::{BoxName, ChatKey};
use xxhash_rust::xxh3::xxh3_64;

/// The box of `boxes` that owns `thing`; `None` if there is no box.
#[must_use]
pub fn owner_of<'a>(thing: &str, boxes: impl IntoIterator<Item = &'a BoxName>) -> Option<&'a BoxName> {
    let key = ChatKey(xxh3_64(thing.as_bytes()));
    boxes.into_iter().max_by_key(|name| (key.score(name.as_str()), *name))
}

/// All boxes in the order in which they would own `thing`.
#[must_use]
pub fn rank_owners<'a>(thing: &str, boxes: impl IntoIterator<Item = &'a BoxName>) -> Vec<&'a BoxName> {
    let key = ChatKey(xxh3_64(thing.as_bytes()));
    let mut ranked: Vec<_> = boxes.into_iter().collect();
    ranked.sort_by_key(|name| std::cmp::Reverse((key.score(name.as_str()), *name)));
    ranked
}
