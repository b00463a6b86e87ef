//! The order in which members read the store, and who asks whom in it.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// In fleets of this size or smaller all ask the first in rank.
pub(super) const SMALL_FLEET_MAX: usize = 24;

/// Those of `ranked` of which the one at `place` asks one for what it hears of the store: in a
/// small fleet the first, in a large one some in between, so that nobody is asked by all.
pub(super) fn relays(position: usize, ranked: &[SocketAddr]) -> &[SocketAddr] {
    let relay_count = ranked.len().isqrt();
    let is_small = ranked.len() <= SMALL_FLEET_MAX;
    match position {
        0 => &ranked[1..ranked.len().min(2)],
        position if is_small || position <= relay_count => &ranked[..1],
        _ => &ranked[1..=relay_count],
    }
}

/// The one of them that it asks most.
pub(super) fn primary_relay(position: usize, ranked: &[SocketAddr]) -> Option<SocketAddr> {
    let relays = relays(position, ranked);
    relays.get(position % relays.len().max(1)).copied()
}

pub(super) fn pick_random(
    candidates: &[SocketAddr],
    draw: &mut impl FnMut(usize) -> usize,
) -> Option<SocketAddr> {
    if candidates.is_empty() { None } else { candidates.get(draw(candidates.len())).copied() }
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
