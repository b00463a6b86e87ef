//! Newtypes for revisions, incarnations, sequence numbers and digests.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::Digest as _;

use crate::BoxName;

/// Maps a hash uniformly to `[0, 1)`.
#[must_use]
pub const fn hash_to_fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Revision of a confirmed configuration; increases monotonically.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ConfigRevision(pub u64);

impl ConfigRevision {
    /// Returns the revision that a plan based on this one will have.
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

/// Identifies one run of a process by its start time, in milliseconds since the Unix epoch.
///
/// A restarted process has a higher incarnation unless the clock of its box was set back. In that case its peers
/// ignore it until the clock has caught up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One run of the router on a box.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RouterInstance {
    /// Name of the box.
    pub name: BoxName,
    /// Incarnation of the router process.
    pub incarnation: Incarnation,
}

/// Sequence number of an event within the log of one process incarnation; 0 means no event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EventSequence(pub u64);

/// Identifier of a permit, unique within the incarnation of the router that granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PermitId(pub u64);

/// Digest, keyed with a secret of the fleet, that identifies repetitions of a request. It covers the customer, the
/// target and the body, and reveals none of them. Its upper half is a [`RequestHint`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub u128);

impl FromStr for RequestDigest {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Keyed 64-bit hash of a request that is cheap to compute because it does not cover the contents of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestHint(pub u64);

impl RequestDigest {
    const HALF_BITS: u32 = 64;

    /// Combines the upper and the lower half.
    #[must_use]
    pub fn new(hint: RequestHint, lower_half: u64) -> Self {
        Self(u128::from(hint.0) << Self::HALF_BITS | u128::from(lower_half))
    }

    /// Returns the upper half.
    #[must_use]
    pub const fn hint(self) -> RequestHint {
        RequestHint((self.0 >> Self::HALF_BITS) as u64)
    }

    /// Returns the lower half.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "keeps the lower half only")]
    pub const fn lower_half(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// Digest of a part of the prompts that a pool processes; keyed, so that the ID of the part cannot be recovered from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartDigest(pub u64);

impl FromStr for PartDigest {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl fmt::Display for PartDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// First 16 bytes of the SHA-256 hash of a document.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        let hash = sha2::Sha256::digest(bytes);
        let mut truncated = [0; 16];
        truncated.copy_from_slice(&hash[..16]);
        Self(truncated)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

/// Error for a string that is not a valid digest.
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
