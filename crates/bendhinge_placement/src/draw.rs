//! Numbers that look drawn and are the same wherever they are worked out.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A number that is another for each pair of numbers.
pub(crate) fn draw(number: u64, among: u64) -> u64 {
    xxh3_64_with_seed(&number.to_le_bytes(), among)
}

/// The same as a number from 0 up to 1.
pub(crate) fn draw_share(number: u64, among: u64) -> f32 {
    (draw(number, among) >> 40) as f32 / (1_u32 << 24) as f32
}
