//! Which machine counts for an upstream, or keeps an idempotency key: rendezvous over the machines,
//! so that a machine that comes or goes moves only what it owned.

use bendhinge_ids::{ChatKey, MachineName};
use xxhash_rust::xxh3::xxh3_64;

/// The machine of `machines` that owns `thing`; `None` if there is no machine.
#[must_use]
pub fn owner_of<'a>(
    thing: &str,
    machines: impl IntoIterator<Item = &'a MachineName>,
) -> Option<&'a MachineName> {
    let key = ChatKey(xxh3_64(thing.as_bytes()));
    machines.into_iter().max_by_key(|name| (key.score(name.as_str()), *name))
}

/// All machines in the order in which they would own `thing`.
#[must_use]
pub fn rank_owners<'a>(
    thing: &str,
    machines: impl IntoIterator<Item = &'a MachineName>,
) -> Vec<&'a MachineName> {
    let key = ChatKey(xxh3_64(thing.as_bytes()));
    let mut ranked: Vec<_> = machines.into_iter().collect();
    ranked.sort_by_key(|name| std::cmp::Reverse((key.score(name.as_str()), *name)));
    ranked
}
