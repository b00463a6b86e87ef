//! RPC interface that a router offers to other routers.

use bendhinge_delivery::{Claim, Claimant, OnceKey, OnceOutcome};
use bendhinge_ids::{ChatKey, Digest, EventSequence, PermitId, RequestId, RouterInstance, UpstreamName};
use bendhinge_membership::Summary;
use bendhinge_placement::{PermitGrant, PermitRequest};

/// A message with the sender's event and request, so that the timelines of both processes can be
/// correlated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Traced<T> {
    /// The message.
    pub message: T,
    /// The event that the sender recorded for the message.
    pub event: EventSequence,
    /// The client request that caused the message.
    pub request: RequestId,
}

/// A claim of an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key.
    pub key: OnceKey,
    /// The router that is going to send the request to an upstream.
    pub holder: RouterInstance,
    /// Whether the client declares this as the first time that it sends the request.
    pub declared_first: bool,
}

/// The response to a [`PermitRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PermitResponse {
    /// The request may be sent. The permit has to be released afterwards.
    Granted(PermitGrant),
    /// The upstream has reached its load limit.
    AtBound {
        /// The upstream's load.
        in_progress: u32,
    },
    /// The chat was displaced to this upstream by an earlier request.
    Redirect(UpstreamName),
    /// The router does not own the permits of this upstream.
    NotOwner,
}

/// The response to a [`ClaimRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimResponse {
    /// The decision of the key's owner.
    Claim(Claim),
    /// The router does not own this key.
    NotOwner,
}

impl ClaimResponse {
    /// Returns the name used in metrics and in the timeline.
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

/// The response to a request for a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigResponse {
    /// No newer configuration is available.
    None,
    /// The changed sections, as JSON.
    Delta(Vec<u8>),
    /// The complete document.
    Full(String),
}

/// RPC methods that a router implements for its peers. None of them may block.
pub trait PeerService {
    /// Merges membership summaries of a peer and returns summaries for it.
    fn exchange(&self, summaries: Vec<Summary>) -> Vec<Summary>;
    /// Grants or denies a permit to send a request to an upstream.
    fn acquire(&self, request: Traced<PermitRequest>) -> Traced<PermitResponse>;
    /// Releases permits.
    fn release(&self, permits: &[PermitId]);
    /// Records the upstream to which a chat was displaced.
    fn record_displaced(&self, chat: ChatKey, location: UpstreamName);
    /// Claims an idempotency key.
    fn claim_once(&self, request: Traced<ClaimRequest>) -> Traced<ClaimResponse>;
    /// Records the outcome of a claimed request.
    fn settle_once(&self, key: OnceKey, claimant: Claimant, outcome: OnceOutcome);
    /// Returns the latest configuration for a router that holds the one with the digest `base`.
    fn configuration(&self, base: Digest) -> ConfigResponse;
    /// Returns the platform's member list as JSON if its revision is newer than `known_revision`.
    fn members(&self, known_revision: u64) -> Option<Vec<u8>>;
}
