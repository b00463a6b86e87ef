//! Pseudo-random numbers that every router derives identically from the same input.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes two numbers into one.
pub(crate) fn hash_pair(number: u64, seed: u64) -> u64 {
    xxh3_64_with_seed(&number.to_le_bytes(), seed)
}

/// Hashes two numbers into a number in `[0, 1)`.
pub(crate) fn hash_pair_unit(number: u64, seed: u64) -> f32 {
    (hash_pair(number, seed) >> 40) as f32 / (1_u32 << 24) as f32
}
