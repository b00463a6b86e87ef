//! What gateways tell each other: how old their beliefs are, whom they know, and what they saw
//! of upstreams.

mod client;
mod convert;
mod server;
mod suspicion;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{
    FailureEvidence, FailureReport, ListLoads, ListUpdate, LogPosition, MemberReport, MemberStates,
    RosterDigest, UpstreamList, Version, VersionedValue,
};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::PartId;
use bytes::Bytes;

pub use client::FleetClient;
pub use server::serve_fleet;
pub use suspicion::{ObservedCrash, ObservedSends, ObservedSuspicion};

/// A value that the sender holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// Which one.
    pub version: Version,
    /// How long ago it was known to be current.
    pub age: Duration,
}

impl Known {
    /// What is known at `now` of a value that is held.
    #[must_use]
    pub fn of<T>(held: &VersionedValue<T>, now: Instant) -> Self {
        Self { version: held.version, age: now.since(held.as_of) }
    }
}

/// What an upstream said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedLoad {
    /// The upstream.
    pub upstream: NameHash,
    /// Requests there, running and waiting.
    pub in_progress: u16,
    /// How long ago it said so.
    pub age: Duration,
}

/// A part of a prompt that an upstream read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedRead {
    /// The part.
    pub part: PartId,
    /// The upstream.
    pub upstream: NameHash,
    /// How long ago it was last used there.
    pub age: Duration,
}

/// What is known of an upstream that failed lately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedDoubt {
    /// The upstream.
    pub upstream: NameHash,
    /// How long ago anybody had an answer of it.
    pub answered: Option<Duration>,
    /// Who had failures, and how long ago.
    pub witnesses: Vec<ObservedFailure>,
}

impl ObservedDoubt {
    /// What is known at `now` of an upstream.
    #[must_use]
    pub fn of(upstream: NameHash, doubt: &FailureEvidence, now: Instant) -> Self {
        let failure =
            |witness: &FailureReport| ObservedFailure { router: witness.router, age: now.since(witness.at) };
        Self {
            upstream,
            answered: doubt.last_response.map(|answered| now.since(answered)),
            witnesses: doubt.reports.iter().map(failure).collect(),
        }
    }

    /// The same, its ages counted from `as_of`.
    #[must_use]
    pub fn as_of(&self, as_of: Instant) -> FailureEvidence {
        let witness =
            |failure: &ObservedFailure| FailureReport { router: failure.router, at: as_of - failure.age };
        FailureEvidence {
            last_response: self.answered.map(|age| as_of - age),
            reports: self.witnesses.iter().map(witness).collect(),
        }
    }
}

/// A gateway's last failure at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedFailure {
    /// Which gateway, by a hash of its address.
    pub router: NameHash,
    /// How long ago.
    pub age: Duration,
}

/// What one gateway tells another in an exchange.
///
/// It says no more than the receiver lacks, as far as the sender knows: what both list is told in a few
/// bytes each, and reads once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// The sender itself.
    pub sender: MemberReport,
    /// Whether it says only what the sender holds, and asks for no more: there is news.
    pub is_brief: bool,
    /// Whether it asks for members alone.
    pub is_probe: bool,
    /// The serving rules that it holds.
    pub rules: Option<Known>,
    /// The list of upstreams that it holds.
    pub upstreams: Option<Known>,
    /// Whether it holds a part of a list, and no whole one yet.
    pub is_begun: bool,
    /// Which members it knows.
    pub roster: RosterDigest,
    /// The members that it knows, if the receiver may know others.
    pub members: Vec<MemberReport>,
    /// Their states, if the receiver knows the same ones.
    pub member_states: Option<MemberStates>,
    /// What it heard from upstreams of their loads, if the receiver may hold another list of them.
    pub loads: Vec<ObservedLoad>,
    /// Their loads, if the receiver holds the same list.
    pub list_loads: Option<ListLoads>,
    /// What upstreams read, as the sender learned lately.
    pub reads: Vec<ObservedRead>,
    /// Up to where this message tells of the sender's reads.
    pub told: Option<LogPosition>,
    /// Up to where the sender was told of the receiver's.
    pub heard: Option<LogPosition>,
    /// What it knows of upstreams that failed lately.
    pub doubts: Vec<ObservedDoubt>,
    /// Requests under which upstreams crash: what changed lately, or all that matters if the receiver knows
    /// something else.
    pub suspicions: Vec<ObservedSuspicion>,
    /// A digest of all that matters of them.
    pub quarantine: u64,
}

impl PeerMessage {
    /// A message that says nothing but who sends it.
    #[must_use]
    pub const fn from_sender(sender: MemberReport) -> Self {
        Self {
            sender,
            is_brief: false,
            is_probe: false,
            rules: None,
            upstreams: None,
            is_begun: false,
            roster: RosterDigest(0),
            members: Vec::new(),
            member_states: None,
            loads: Vec::new(),
            list_loads: None,
            reads: Vec::new(),
            told: None,
            heard: None,
            doubts: Vec::new(),
            suspicions: Vec::new(),
            quarantine: 0,
        }
    }
}

/// A part of all that a gateway believes upstreams to have read: of the parts of prompts whose
/// number leaves `index` when divided by `count`. Asked for one by one, they never take much
/// memory at either end, however many ask at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadsPage {
    /// Which one, from 0.
    pub index: u32,
    /// How many there are; 0 are one.
    pub count: u32,
}

impl ReadsPage {
    /// Whether a part is on the page.
    #[must_use]
    pub fn holds(self, part: PartId) -> bool {
        part.0 % u64::from(self.count.max(1)) == u64::from(self.index)
    }
}

/// What a gateway answers to its peers.
pub trait FleetDuties {
    /// Takes in a message and gives the own one.
    fn exchange(&self, message: PeerMessage) -> PeerMessage;
    /// The document of the serving rules that are held.
    fn rules(&self) -> Option<(Known, Bytes)>;
    /// The list of upstreams that is held, for a peer that holds the one whose digest is `base`.
    fn upstreams(&self, base: Option<u64>) -> Option<(Known, ListUpdate)>;
    /// A list of upstreams that was held lately, by its digest.
    fn list(&self, digest: u64) -> Option<Arc<UpstreamList>>;
    /// The part of a list with which this gateway has begun, if it holds no whole one.
    fn list_part(&self) -> Option<Arc<UpstreamList>>;
    /// All that upstreams are believed to have read; `None` just after the start.
    fn reads(&self, page: ReadsPage) -> Option<Vec<ObservedRead>>;
}

/// Where a member is reached, as sent: IPv4 only, which is what gateways listen on.
const fn address_parts(address: SocketAddr) -> Option<(u32, u16)> {
    match address {
        SocketAddr::V4(address) => Some((address.ip().to_bits(), address.port())),
        SocketAddr::V6(_) => None,
    }
}
