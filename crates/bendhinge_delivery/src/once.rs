//! The keys of requests that may run at most once, at the router that keeps them.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bendhinge_ids::{Digest, Instant, RequestId, RouterInstance};

/// A customer's idempotency key, hashed with the customer's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct OnceKey(pub [u8; 16]);

impl OnceKey {
    /// The key of `idempotency_key` as `customer` sent it.
    #[must_use]
    pub fn of(customer: &str, idempotency_key: &[u8]) -> Self {
        // Names have no zero byte, so the two parts cannot run into one another.
        let joined = [customer.as_bytes(), &[0], idempotency_key].concat();
        Self(Digest::of(&joined).0)
    }

    /// The key as text, for finding its owner.
    #[must_use]
    pub fn as_text(self) -> String {
        Digest(self.0).to_string()
    }
}

/// Who claims a key: one request in one life of a router. A late word about an earlier claim
/// of the same router therefore says nothing about a later one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claimant {
    /// The router.
    pub life: RouterInstance,
    /// The request.
    pub request: RequestId,
}

/// The answer to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// The claimant may run the request, once.
    Granted,
    /// Another attempt holds it: it may be running, have run, or have been lost.
    AlreadyTaken,
    /// It has run.
    AlreadyRan,
    /// This router cannot tell whether another granted it before.
    CannotVouch,
    /// No more keys can be kept.
    Full,
}

/// What became of a granted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnceOutcome {
    /// An upstream answered it.
    Ran,
    /// No byte of it reached an upstream: it may be claimed again.
    NotRun,
    /// It is not known.
    Unknown,
}

/// What a ledger may hold.
#[derive(Clone, Copy, Debug)]
pub struct OnceLimits {
    /// How long a key is kept after it was claimed; callers must not retry for longer.
    pub window: Duration,
    /// How many keys are kept; further claims are refused, for dropping one would forget it.
    pub keys: usize,
}

#[derive(Clone, Debug)]
struct Record {
    claimant: Claimant,
    claimed_at: Instant,
    ran: bool,
}

/// The keys that one router keeps.
#[derive(Debug)]
pub struct OnceLedger {
    limits: OnceLimits,
    records: HashMap<OnceKey, Record>,
    by_age: VecDeque<(Instant, OnceKey)>,
}

impl OnceLedger {
    /// An empty ledger.
    #[must_use]
    pub fn new(limits: OnceLimits) -> Self {
        Self { limits, records: HashMap::new(), by_age: VecDeque::new() }
    }

    /// How many keys are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Claims `key` for `claimant`. `vouched` says that no other router can have granted it:
    /// see [`crate::OwnershipHistory`], or the caller declared its first attempt.
    pub fn claim(&mut self, key: OnceKey, claimant: &Claimant, vouched: bool, now: Instant) -> Claim {
        self.forget_old(now);
        if let Some(record) = self.records.get(&key) {
            return if record.ran { Claim::AlreadyRan } else { Claim::AlreadyTaken };
        }
        if !vouched {
            return Claim::CannotVouch;
        }
        if self.by_age.len() >= self.limits.keys {
            return Claim::Full;
        }
        self.records.insert(key, Record { claimant: claimant.clone(), claimed_at: now, ran: false });
        self.by_age.push_back((now, key));
        Claim::Granted
    }

    /// Notes what became of a request. Only the claimant that holds it can settle it.
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

    fn forget_old(&mut self, now: Instant) {
        while let Some((claimed, key)) = self.by_age.front().copied() {
            if now.since(claimed) <= self.limits.window {
                break;
            }
            self.by_age.pop_front();
            // A key that was given up and claimed again stands twice; its later entry counts.
            if self.records.get(&key).is_some_and(|record| record.claimed_at == claimed) {
                self.records.remove(&key);
            }
        }
    }
}
