//! Relay topology among the members, by their rank in the order of store reads.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest fleet in which all members use the first rank as relay.
pub(super) const SMALL_FLEET_MAX: usize = 24;

/// Returns the candidate relays of the member at `position`.
///
/// In a small fleet this is the first rank. In a large one it is a middle tier, which in turn uses the
/// first rank, so that no member serves all others. The first rank itself uses the second.
pub(super) fn relays(position: usize, ranked: &[SocketAddr]) -> &[SocketAddr] {
    let relay_count = ranked.len().isqrt();
    let is_small = ranked.len() <= SMALL_FLEET_MAX;
    match position {
        0 => &ranked[1..ranked.len().min(2)],
        position if is_small || position <= relay_count => &ranked[..1],
        _ => &ranked[1..=relay_count],
    }
}

/// Returns the preferred relay of the member at `position`.
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

/// Hashes a record together with the score of a member, to order the members that may hold it.
pub(super) fn record_score(record: u64, member_score: u64) -> u64 {
    xxh3_64_with_seed(&record.to_be_bytes(), member_score)
}

/// Hashes an address to order members of equal priority. The order is the same at all routers and mixes
/// data centres.
pub(super) fn rank_score(address: SocketAddr) -> u64 {
    /// Seed that separates this hash from other uses of the function.
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
