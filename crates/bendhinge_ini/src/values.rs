//! Value types shared by several keys.

use std::str::FromStr;
use std::time::Duration;

/// A duration written in whole milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Millis(pub Duration);

impl FromStr for Millis {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        const MAX_MS: u64 = 86_400_000;
        match text.parse::<u64>() {
            Ok(millis) if millis <= MAX_MS => Ok(Self(Duration::from_millis(millis))),
            _ => Err(format!("write whole milliseconds from 0 to {MAX_MS}")),
        }
    }
}

/// A size in bytes, optionally with the suffix `K` (1024) or `M` (1024²).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteCount(pub usize);

impl FromStr for ByteCount {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (digits, multiplier) = match text.as_bytes().last() {
            Some(b'K') => (&text[..text.len() - 1], 1 << 10),
            Some(b'M') => (&text[..text.len() - 1], 1 << 20),
            _ => (text, 1),
        };
        digits
            .parse::<usize>()
            .ok()
            .and_then(|count| count.checked_mul(multiplier))
            .map(Self)
            .ok_or_else(|| "write a number of bytes, such as 65536, 64K or 8M".to_owned())
    }
}

/// Parses a decimal number in the range allowed for settings.
fn parse_decimal(text: &str) -> Option<f64> {
    const UPPER_BOUND: f64 = 1e6;
    text.parse::<f64>().ok().filter(|number| (0.0..UPPER_BOUND).contains(number))
}

/// A non-negative decimal number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NonNegativeNumber(pub f64);

impl FromStr for NonNegativeNumber {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        parse_decimal(text)
            .map(Self)
            .ok_or_else(|| "write a decimal number from 0 to below 1000000".to_owned())
    }
}

/// A positive decimal number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PositiveNumber(pub f64);

impl FromStr for PositiveNumber {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let positive = parse_decimal(text).filter(|number| *number > 0.0);
        positive.map(Self).ok_or_else(|| "write a decimal number above 0 and below 1000000".to_owned())
    }
}
