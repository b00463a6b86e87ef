//! Request identity, used to recognise retries of the same request.

use bendhinge_ids::{PartDigest, PoolName, RequestDigest, RequestHint};
use hmac::{Hmac, Mac};
use sha2::Sha256;
use xxhash_rust::xxh3::Xxh3;

/// The secret key for request digests. All boxes of a fleet share it, so that their digests agree; it must
/// stay secret, so that a short body cannot be recovered by brute force.
#[derive(Clone)]
pub struct IdentityKey(pub [u8; 32]);

impl IdentityKey {
    /// Returns a truncated HMAC-SHA-256 of `parts` under the key.
    #[must_use]
    #[expect(clippy::missing_panics_doc, reason = "keys of every length are taken")]
    pub fn hash(&self, parts: &[&[u8]]) -> u64 {
        let mut hash = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        for part in parts {
            // Length prefixes keep the boundaries between parts unambiguous.
            hash.update(&(part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        let mac: [u8; 32] = hash.finalize().into_bytes().into();
        u64::from_be_bytes(*mac.first_chunk().expect("32 bytes contain 8"))
    }
}

impl IdentityKey {
    /// Returns the digest of the prompt part with the ID `part` in requests to `pool`.
    #[must_use]
    pub fn part_digest(&self, pool: &PoolName, part: u64) -> PartDigest {
        PartDigest(self.hash(&[b"prompt part", pool.as_str().as_bytes(), &part.to_be_bytes()]))
    }
}

/// The fields that identify a request across retries and boxes. Other headers, which a caller may vary freely,
/// are excluded.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// The customer that sent the request.
    pub customer: &'a str,
    /// The HTTP method.
    pub method: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The request body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Computes a fast hash of the request that includes the length of the body but not its content.
    #[must_use]
    #[expect(clippy::missing_panics_doc, reason = "32 bytes hold 8")]
    pub fn hint(&self, key: &IdentityKey) -> RequestHint {
        let secret = u64::from_le_bytes(*key.0.first_chunk().expect("32 bytes contain 8"));
        let mut hash = Xxh3::with_seed(secret);
        for part in [self.customer, self.method, self.target] {
            hash.update(&(part.len() as u64).to_be_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(&(self.body.len() as u64).to_be_bytes());
        RequestHint(hash.digest())
    }

    /// Computes the digest under `key`: the hint, followed by a truncated HMAC-SHA-256.
    #[must_use]
    pub fn digest(&self, key: &IdentityKey) -> RequestDigest {
        let parts = [self.customer.as_bytes(), self.method.as_bytes(), self.target.as_bytes(), self.body];
        let suffix = key.hash(&parts);
        RequestDigest::new(self.hint(key), suffix)
    }
}
