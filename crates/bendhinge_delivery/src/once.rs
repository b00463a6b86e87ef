//! Ledger of idempotency keys that a router owns, for at-most-once execution of requests.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bendhinge_ids::{Digest, Instant, RequestId, RouterInstance};

/// The hash of an idempotency key and the name of the customer that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OnceKey(pub [u8; 16]);

impl OnceKey {
    /// Hashes `idempotency_key` together with the name of `customer`.
    #[must_use]
    pub fn of(customer: &str, idempotency_key: &[u8]) -> Self {
        // Customer names contain no zero byte, so the separator makes the encoding unambiguous.
        let joined = [customer.as_bytes(), &[0], idempotency_key].concat();
        Self(Digest::of(&joined).0)
    }

    /// The hexadecimal form, from which the owning router is derived.
    #[must_use]
    pub fn as_text(self) -> String {
        Digest(self.0).to_string()
    }
}

/// The holder of a claim: one request of one router incarnation.
///
/// It identifies each claim uniquely, so a delayed outcome of an earlier claim of the same router
/// cannot affect a later one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claimant {
    /// The router incarnation.
    pub life: RouterInstance,
    /// The request.
    pub request: RequestId,
}

/// The result of claiming a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The claimant may run the request once.
    Granted,
    /// Another attempt holds the key. Its request may be running, have run or have been lost.
    AlreadyTaken,
    /// The request has run.
    AlreadyRan,
    /// This router cannot verify that no other router granted the key before.
    Unverifiable,
    /// The ledger holds the maximum number of keys.
    Full,
}

/// The outcome of a request whose claim was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnceOutcome {
    /// An upstream responded to the request.
    Ran,
    /// No byte of the request reached an upstream. The key may be claimed again.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Limits of an [`OnceLedger`].
#[derive(Clone, Copy, Debug)]
pub struct OnceLimits {
    /// How long a key is retained after it was claimed. Callers must not retry after that.
    pub window: Duration,
    /// The maximum number of keys, including released ones until their window ends. Further claims are
    /// refused, because evicting a key would allow its request to run again.
    pub max_keys: usize,
}

#[derive(Clone, Debug)]
struct ClaimRecord {
    claimant: Claimant,
    claimed_at: Instant,
    ran: bool,
}

/// The claimed keys that one router owns.
#[derive(Debug)]
pub struct OnceLedger {
    limits: OnceLimits,
    records: HashMap<OnceKey, ClaimRecord>,
    expiry_queue: VecDeque<(Instant, OnceKey)>,
}

impl OnceLedger {
    /// Creates an empty ledger.
    #[must_use]
    pub fn new(limits: OnceLimits) -> Self {
        Self { limits, records: HashMap::new(), expiry_queue: VecDeque::new() }
    }

    /// The number of claimed keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is claimed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Claims `key` for `claimant`.
    ///
    /// `not_granted_elsewhere` is true if no other router can have granted the key, either by its
    /// [`crate::OwnershipHistory`] or because the caller declared this to be the first attempt.
    pub fn claim(
        &mut self,
        key: OnceKey,
        claimant: &Claimant,
        not_granted_elsewhere: bool,
        now: Instant,
    ) -> Claim {
        self.remove_expired(now);
        if let Some(record) = self.records.get(&key) {
            return if record.ran { Claim::AlreadyRan } else { Claim::AlreadyTaken };
        }
        if !not_granted_elsewhere {
            return Claim::Unverifiable;
        }
        if self.expiry_queue.len() >= self.limits.max_keys {
            return Claim::Full;
        }
        self.records.insert(key, ClaimRecord { claimant: claimant.clone(), claimed_at: now, ran: false });
        self.expiry_queue.push_back((now, key));
        Claim::Granted
    }

    /// Records the outcome of a request. Ignored unless `claimant` holds the claim on `key`.
    pub fn settle(&mut self, key: OnceKey, claimant: &Claimant, outcome: OnceOutcome) {
        let Some(record) = self.records.get_mut(&key).filter(|record| record.claimant == *claimant) else {
            return;
        };
        match outcome {
            OnceOutcome::Ran => record.ran = true,
            OnceOutcome::NotRun if !record.ran => {
                self.records.remove(&key);
            }
            OnceOutcome::NotRun | OnceOutcome::Unknown => {}
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((claimed_at, key)) = self.expiry_queue.front().copied() {
            if now.since(claimed_at) <= self.limits.window {
                break;
            }
            self.expiry_queue.pop_front();
            // A key that was released and claimed again is queued twice; only its last claim counts.
            if self.records.get(&key).is_some_and(|record| record.claimed_at == claimed_at) {
                self.records.remove(&key);
            }
        }
    }
}
