//! What a router does for its peers.

use bendhinge_delivery::{Claim, Claimant, OnceKey, OnceOutcome};
use bendhinge_ids::{ChatKey, Digest, EventSequence, PermitId, RequestId, RouterLife, UpstreamName};
use bendhinge_membership::Summary;
use bendhinge_placement::{Granted, PermitRequest};

/// A message with the event that its sender recorded for it, which ties the time lines of the
/// two processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told<T> {
    /// The message.
    pub message: T,
    /// The sender's event.
    pub event: EventSequence,
    /// The caller's request on whose behalf it is sent.
    pub request: RequestId,
}

/// A claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key.
    pub key: OnceKey,
    /// The router that would run the request.
    pub holder: RouterLife,
    /// Whether the caller says that it has not sent the request before.
    pub declared_first: bool,
}

/// The answer to a question for a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitAnswer {
    /// The request may be sent; the permit must be returned.
    Granted(Granted),
    /// The upstream carries as much as it may.
    AtBound {
        /// Its count.
        in_progress: u32,
    },
    /// The chat was displaced to another upstream before.
    Elsewhere(UpstreamName),
    /// The router does not count for this upstream.
    NotOwner,
}

/// The answer to a claim of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnceAnswer {
    /// The key's owner has decided.
    Claim(Claim),
    /// The router does not keep this key.
    NotOwner,
}

impl OnceAnswer {
    /// The word used in metrics and in the time line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Claim(Claim::Granted) => "granted",
            Self::Claim(Claim::AlreadyTaken) => "already_taken",
            Self::Claim(Claim::AlreadyRan) => "already_ran",
            Self::Claim(Claim::Unverifiable) => "cannot_vouch",
            Self::Claim(Claim::Full) => "full",
            Self::NotOwner => "not_owner",
        }
    }
}

/// A configuration that is newer than the asker's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigAnswer {
    /// There is none.
    None,
    /// The sections that differ, as JSON.
    Delta(Vec<u8>),
    /// The whole document.
    Whole(String),
}

/// What a router does for its peers. No duty waits for anything.
pub trait PeerDuties {
    /// Takes in a peer's summaries and gives some back.
    fn exchange(&self, summaries: Vec<Summary>) -> Vec<Summary>;
    /// Counts a request for an upstream.
    fn acquire(&self, request: Told<PermitRequest>) -> Told<PermitAnswer>;
    /// Takes permits back.
    fn release(&self, permits: &[PermitId]);
    /// Remembers where a chat went that its first upstream could not take.
    fn displaced(&self, chat: ChatKey, place: UpstreamName);
    /// Claims an idempotency key.
    fn claim_once(&self, request: Told<ClaimRequest>) -> Told<OnceAnswer>;
    /// Settles a claim.
    fn settle_once(&self, key: OnceKey, claimant: Claimant, outcome: OnceOutcome);
    /// Gives the latest configuration to a router whose latest is `base`.
    fn configuration(&self, base: Digest) -> ConfigAnswer;
    /// Gives the platform's list, as JSON, if it is newer than `known`.
    fn members(&self, known: u64) -> Option<Vec<u8>>;
}
