//! Numbers with one meaning each.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::BoxName;

/// A hash as a number from 0 up to 1.
#[must_use]
pub const fn share_of(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// The revision of a confirmed configuration; only ever grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigRevision(pub u64);

impl ConfigRevision {
    /// The revision that a plan made from this one will have.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigRevision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// One life of a process, from its start to its end: milliseconds since 1970 at its start.
///
/// A later life of the same box has a higher number unless the box's clock was set back, in
/// which case its peers keep ignoring it until the clock has caught up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One life of one box's router.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouterLife {
    /// The box.
    pub name: BoxName,
    /// Which life.
    pub incarnation: Incarnation,
}

/// The number of an event in the record of one life of a process; 0 stands for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EventSequence(pub u64);

/// A permit's number, unique within the life of the router that counted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PermitId(pub u64);

/// What tells a request that comes again from all others, under a key of the fleet: whose it is, where it goes
/// and what it says, none of which can be read from it. Its upper half is a [`RequestHint`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub u128);

impl FromStr for RequestDigest {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// What tells a request from nearly all others, without a look at its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestHint(pub u64);

impl RequestDigest {
    const HALF: u32 = 64;

    /// The digest with these halves.
    #[must_use]
    pub fn new(hint: RequestHint, rest: u64) -> Self {
        Self(u128::from(hint.0) << Self::HALF | u128::from(rest))
    }

    /// Its upper half.
    #[must_use]
    pub const fn hint(self) -> RequestHint {
        RequestHint((self.0 >> Self::HALF) as u64)
    }

    /// Its lower half.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "a half is cut out")]
    pub const fn rest(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// The first 16 bytes of a document's SHA-256.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// The digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let full = sha2::Sha256::digest(bytes);
        let mut short = [0; 16];
        short.copy_from_slice(&full[..16]);
        Self(short)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

/// Why a text is not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a digest is 32 hexadecimal digits")]
pub struct DigestError;

impl FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, DigestError> {
        let mut bytes = [0; 16];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| DigestError)?;
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<Self, DigestError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}
