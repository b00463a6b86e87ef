//! Encoding of subtotals and totals.

use std::time::Duration;

use rustc_hash::FxHashMap;

use super::{Figure, TotalKey};

/// Maximum number of values in a message.
const MAX_VALUES: usize = 48;
/// Two bytes of routers, one of hops and one of age.
const HEADER_BYTES: usize = 4;
/// Four bytes of key and two of value.
const ENTRY_BYTES: usize = 6;
/// Resolution of the age of totals. A byte covers more than the age at which they expire.
const AGE_UNIT: Duration = Duration::from_millis(10);
/// Bits of the significand of an encoded value, for a relative error of at most 1/2,048.
const SIGNIFICAND_BITS: u32 = 10;
/// Exponent of the smallest encoded value, 2^-24. The largest is nearly 2^40.
const MIN_EXPONENT: i32 = -24;

/// Subtotal or totals in a message between routers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PackedTotals(pub Vec<u8>);

/// Sums of the figures of several routers.
#[derive(Clone, Debug, Default)]
pub(super) struct TotalsMessage {
    /// Number of routers counted.
    pub(super) routers: u32,
    /// Number of exchanges through which the oldest part has passed before.
    pub(super) hops: u8,
    /// Age of the sums.
    pub(super) age: Duration,
    /// Values above 0 by key.
    pub(super) values: FxHashMap<TotalKey, f32>,
}

impl TotalsMessage {
    /// Returns the message of one router.
    pub(super) fn of_own(figures: Vec<Figure>) -> Self {
        let mut values = FxHashMap::default();
        for Figure { key, value } in figures {
            if value.is_finite() && value > 0.0 {
                *values.entry(key).or_insert(0.0) += value.min(decode(u16::MAX));
            }
        }
        Self { routers: 1, hops: 0, age: Duration::ZERO, values }
    }

    /// Adds the messages of other routers to the own one, which counts as one router even if it is `None`.
    pub(super) fn sum<'a>(own: Option<&Self>, others: impl Iterator<Item = &'a Self>) -> Self {
        let mut sum = own.cloned().unwrap_or(Self { routers: 1, ..Self::default() });
        for other in others {
            sum.routers = sum.routers.saturating_add(other.routers);
            sum.hops = sum.hops.max(other.hops + 1);
            for (key, value) in &other.values {
                *sum.values.entry(*key).or_insert(0.0) += value;
            }
        }
        sum
    }

    pub(super) fn value(&self, key: TotalKey) -> f32 {
        self.values.get(&key).copied().unwrap_or(0.0)
    }

    pub(super) fn keys(&self) -> impl Iterator<Item = TotalKey> {
        self.values.keys().copied()
    }

    /// Encodes the message with its highest values. Equal values are ordered by key, so that all routers
    /// leave out the same ones.
    pub(super) fn pack(&self) -> PackedTotals {
        let mut values: Vec<(u16, TotalKey)> =
            self.values.iter().map(|(key, value)| (encode(*value), *key)).collect();
        values.retain(|(code, _)| *code > 0);
        values.sort_unstable_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(&right.1)));
        values.truncate(MAX_VALUES);
        let [high, low] = u16::try_from(self.routers).unwrap_or(u16::MAX).to_be_bytes();
        // Rounded up, so that totals never look more recent than they are.
        let age = self.age.as_millis().div_ceil(AGE_UNIT.as_millis());
        let mut bytes = vec![high, low, self.hops, u8::try_from(age).unwrap_or(u8::MAX)];
        for (code, key) in values {
            bytes.extend(key.0.to_be_bytes());
            bytes.extend(code.to_be_bytes());
        }
        PackedTotals(bytes)
    }
}

impl PackedTotals {
    /// Decodes the message; returns `None` if it is empty or malformed.
    pub(super) fn unpack(&self) -> Option<TotalsMessage> {
        let (header, entries) = self.0.split_first_chunk::<HEADER_BYTES>()?;
        let (entries, rest) = entries.as_chunks::<ENTRY_BYTES>();
        let [high, low, hops, age] = *header;
        let routers = u32::from(u16::from_be_bytes([high, low]));
        if routers == 0 || !rest.is_empty() || entries.len() > MAX_VALUES {
            return None;
        }
        let value = |entry: &[u8; ENTRY_BYTES]| {
            let [a, b, c, d, high, low] = *entry;
            (TotalKey(u32::from_be_bytes([a, b, c, d])), decode(u16::from_be_bytes([high, low])))
        };
        let values = entries.iter().map(value).collect();
        Some(TotalsMessage { routers, hops, age: AGE_UNIT * u32::from(age), values })
    }
}

/// Encodes a value as an unsigned floating-point number of 6 bits of exponent and 10 of significand, in which
/// every code stands for a finite value. 0 stands for values below the smallest.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "bounded before the conversion")]
fn encode(value: f32) -> u16 {
    let value = if value.is_nan() { 0.0 } else { value.clamp(0.0, decode(u16::MAX)) };
    let smallest = 2.0_f32.powi(MIN_EXPONENT);
    if value < smallest {
        return 0;
    }
    // The codes of a power of two and of the next one are 2^10 apart; a significand that rounds up to the
    // next power of two carries into the exponent.
    let exponent = value.log2().floor() as i32;
    let exponent = if 2.0_f32.powi(exponent) > value { exponent - 1 } else { exponent };
    let steps = (1_u32 << SIGNIFICAND_BITS) as f32;
    let significand = ((value / 2.0_f32.powi(exponent) - 1.0) * steps).round() as u32;
    let code = ((exponent - MIN_EXPONENT) as u32 * (1 << SIGNIFICAND_BITS)).saturating_add(significand);
    u16::try_from(code).unwrap_or(u16::MAX)
}

fn decode(code: u16) -> f32 {
    if code == 0 {
        return 0.0;
    }
    let exponent = i32::from(code >> SIGNIFICAND_BITS) + MIN_EXPONENT;
    let significand = f32::from(code & ((1 << SIGNIFICAND_BITS) - 1)) / (1_u32 << SIGNIFICAND_BITS) as f32;
    (1.0 + significand) * 2.0_f32.powi(exponent)
}
