//! Value forms that several keys share.

use std::str::FromStr;
use std::time::Duration;

/// A span written in whole milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Millis(pub Duration);

impl FromStr for Millis {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        const LONGEST_MS: u64 = 86_400_000;
        match text.parse::<u64>() {
            Ok(millis) if millis <= LONGEST_MS => Ok(Self(Duration::from_millis(millis))),
            _ => Err(format!("write whole milliseconds from 0 to {LONGEST_MS}")),
        }
    }
}

/// A size written in bytes, or with `K` or `M` behind it for 1024 and 1024².
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteCount(pub usize);

impl FromStr for ByteCount {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (digits, unit) = match text.as_bytes().last() {
            Some(b'K') => (&text[..text.len() - 1], 1 << 10),
            Some(b'M') => (&text[..text.len() - 1], 1 << 20),
            _ => (text, 1),
        };
        digits
            .parse::<usize>()
            .ok()
            .and_then(|count| count.checked_mul(unit))
            .map(Self)
            .ok_or_else(|| "write a number of bytes, as 65536, 64K or 8M".to_owned())
    }
}

/// A decimal number in the range that settings have.
fn decimal(text: &str) -> Option<f64> {
    const BELOW: f64 = 1e6;
    text.parse::<f64>().ok().filter(|number| (0.0..BELOW).contains(number))
}

/// A decimal number that may be zero.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Amount(pub f64);

impl FromStr for Amount {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        decimal(text).map(Self).ok_or_else(|| "write a decimal number from 0 to below 1000000".to_owned())
    }
}

/// A positive decimal number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ratio(pub f64);

impl FromStr for Ratio {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let positive = decimal(text).filter(|ratio| *ratio > 0.0);
        positive.map(Self).ok_or_else(|| "write a decimal number above 0 and below 1000000".to_owned())
    }
}
