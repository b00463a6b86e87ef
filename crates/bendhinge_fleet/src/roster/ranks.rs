//! The order in which members read the store, and who asks whom in it.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// In fleets of this size or smaller all ask the first in rank.
pub(super) const ASKING_THE_FIRST: usize = 24;

/// Those of `ranked` of which the one at `place` asks one for what it hears of the store: in a
/// small fleet the first, in a large one some in between, so that nobody is asked by all.
pub(super) fn readers(place: usize, ranked: &[SocketAddr]) -> &[SocketAddr] {
    let between = ranked.len().isqrt();
    let is_small = ranked.len() <= ASKING_THE_FIRST;
    match place {
        0 => &ranked[1..ranked.len().min(2)],
        place if is_small || place <= between => &ranked[..1],
        _ => &ranked[1..=between],
    }
}

/// The one of them that it asks most.
pub(super) fn own_reader(place: usize, ranked: &[SocketAddr]) -> Option<SocketAddr> {
    let readers = readers(place, ranked);
    readers.get(place % readers.len().max(1)).copied()
}

pub(super) fn pick(among: &[SocketAddr], draw: &mut impl FnMut(usize) -> usize) -> Option<SocketAddr> {
    if among.is_empty() { None } else { among.get(draw(among.len())).copied() }
}

/// A member's place among the others: the same at all routers, and no data centre's boxes first.
pub(super) fn rank_score(address: SocketAddr) -> u64 {
    /// Any number; it sets this order apart from other uses of the hash.
    const SEED: u64 = 0x5eed;
    match address {
        SocketAddr::V4(address) => {
            let mut bytes = [0; 6];
            bytes[..4].copy_from_slice(&address.ip().octets());
            bytes[4..].copy_from_slice(&address.port().to_be_bytes());
            xxh3_64_with_seed(&bytes, SEED)
        }
        SocketAddr::V6(address) => xxh3_64_with_seed(&address.ip().octets(), SEED),
    }
}
