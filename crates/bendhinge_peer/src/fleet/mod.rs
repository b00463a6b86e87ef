//! RPC interface between gateways: exchange of replica versions, membership and observations of
//! upstreams.

mod client;
mod convert;
mod crash_history;
mod part_history;
mod permits;
mod server;
mod stream_records;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{
    FailureEvidence, FailureReport, ListLoads, ListUpdate, LogPosition, MemberReport, MemberStates,
    PackedTotals, PartitionReport, PermitRequest, RosterDigest, StreamId, UpstreamList, Version,
    VersionedValue,
};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_placement::PartId;
use bytes::Bytes;

pub use client::FleetClient;
pub use crash_history::{ObservedCrash, ObservedCrashHistory, ObservedInFlightSends};
pub use part_history::{ObservedPartCrash, ObservedPartHistory};
pub use permits::{PermitAnswer, PermitGuard, RemotePermit};
pub use server::{serve_fleet, serve_fleet_and_streams};
pub use stream_records::{ObservedSoftware, ObservedStream, StreamAnswer};

/// The version and age of a replicated value that a gateway holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldVersion {
    /// The version of the value.
    pub version: Version,
    /// The time since the value was known to be current.
    pub age: Duration,
}

impl HeldVersion {
    /// Creates the description of `value` at `now`.
    #[must_use]
    pub fn new<T>(value: &VersionedValue<T>, now: Instant) -> Self {
        Self { version: value.version, age: now.since(value.as_of) }
    }
}

/// The load that an upstream reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedLoad {
    /// The upstream.
    pub upstream: NameHash,
    /// The number of its requests, running and queued.
    pub in_progress: u16,
    /// The time since the report.
    pub age: Duration,
}

/// A prompt part that an upstream has cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedCachedPart {
    /// The prompt part.
    pub part: PartId,
    /// The upstream.
    pub upstream: NameHash,
    /// The time since the upstream last used it.
    pub age: Duration,
}

/// [`FailureEvidence`] about an upstream, with ages instead of instants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedFailureEvidence {
    /// The upstream.
    pub upstream: NameHash,
    /// The time since any gateway last got a response from it.
    pub last_response_age: Option<Duration>,
    /// The failures that gateways reported.
    pub reports: Vec<ObservedFailureReport>,
}

impl ObservedFailureEvidence {
    /// Converts evidence, with ages as of `now`.
    #[must_use]
    pub fn new(upstream: NameHash, evidence: &FailureEvidence, now: Instant) -> Self {
        let observed = |report: &FailureReport| ObservedFailureReport {
            router: report.router,
            age: now.since(report.at),
        };
        Self {
            upstream,
            last_response_age: evidence.last_response.map(|at| now.since(at)),
            reports: evidence.reports.iter().map(observed).collect(),
        }
    }

    /// Converts back to evidence, with ages counted from `as_of`.
    #[must_use]
    pub fn to_evidence(&self, as_of: Instant) -> FailureEvidence {
        let restored =
            |report: &ObservedFailureReport| FailureReport { router: report.router, at: as_of - report.age };
        FailureEvidence {
            last_response: self.last_response_age.map(|age| as_of - age),
            reports: self.reports.iter().map(restored).collect(),
        }
    }
}

/// The last failure of a gateway's requests to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedFailureReport {
    /// The hash of the gateway's address.
    pub router: NameHash,
    /// The time since the failure.
    pub age: Duration,
}

/// A [`PartitionReport`], with an age instead of an instant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedPartition {
    /// The hash of the gateway's address.
    pub router: NameHash,
    /// The hashes of the names of the pools that it does not reach.
    pub pools: Vec<NameHash>,
    /// The time since it reported this.
    pub age: Duration,
}

impl ObservedPartition {
    /// Converts a report, with its age as of `now`.
    #[must_use]
    pub fn new(report: PartitionReport, now: Instant) -> Self {
        Self { router: report.router, pools: report.pools, age: now.since(report.at) }
    }

    /// Converts back to a report, with the age counted from `as_of`.
    #[must_use]
    pub fn to_report(&self, as_of: Instant) -> PartitionReport {
        PartitionReport { router: self.router, pools: self.pools.clone(), at: as_of - self.age }
    }
}

/// The message that two gateways send each other in an exchange.
///
/// It contains only what the receiver lacks as far as the sender knows. Entries of lists that both sides
/// hold are encoded in a few bytes each, and cached parts are sent only once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerMessage {
    /// The state of the sender.
    pub sender: MemberReport,
    /// Whether the message only announces new versions and requests no other data.
    pub is_announcement: bool,
    /// Whether the sender requests only the members.
    pub is_probe: bool,
    /// The version of the serving rules that the sender holds.
    pub rules: Option<HeldVersion>,
    /// The version of the upstream list that the sender holds.
    pub upstreams: Option<HeldVersion>,
    /// Whether the sender holds a part of an upstream list but no complete one.
    pub has_partial_list: bool,
    /// The digest of the members that the sender knows.
    pub roster_digest: RosterDigest,
    /// The members that the sender knows, unless the receiver knows the same.
    pub members: Vec<MemberReport>,
    /// The states of the members, if the receiver knows the same members.
    pub member_states: Option<MemberStates>,
    /// The loads of upstreams, unless the receiver holds the same upstream list.
    pub loads: Vec<ObservedLoad>,
    /// The loads of upstreams, if the receiver holds the same upstream list.
    pub list_loads: Option<ListLoads>,
    /// Recent entries of the sender's log of cached parts.
    pub cached_parts: Vec<ObservedCachedPart>,
    /// The position in the sender's log up to which this message contains the entries.
    pub sent_position: Option<LogPosition>,
    /// The position in the receiver's log up to which the sender has received the entries.
    pub received_position: Option<LogPosition>,
    /// Evidence about upstreams that failed recently.
    pub failure_evidence: Vec<ObservedFailureEvidence>,
    /// Crash histories of requests: the recent changes, or all relevant ones if the receiver's digest
    /// differs.
    pub crash_histories: Vec<ObservedCrashHistory>,
    /// The digest of all relevant crash histories.
    pub quarantine_digest: u64,
    /// Crash histories of prompt parts, as for requests.
    pub part_histories: Vec<ObservedPartHistory>,
    /// The digest of all relevant crash histories of prompt parts.
    pub part_quarantine_digest: u64,
    /// In a request to the preferred relay, the subtotal of the sender and of the gateways that use it as their
    /// relay; in the response, the totals of the fleet.
    pub totals: Option<PackedTotals>,
    /// The gateways that are or recently were partitioned from pools.
    pub partitions: Vec<ObservedPartition>,
}

impl PeerMessage {
    /// Creates a message that contains only the state of the sender.
    #[must_use]
    pub const fn from_sender(sender: MemberReport) -> Self {
        Self {
            sender,
            is_announcement: false,
            is_probe: false,
            rules: None,
            upstreams: None,
            has_partial_list: false,
            roster_digest: RosterDigest(0),
            members: Vec::new(),
            member_states: None,
            loads: Vec::new(),
            list_loads: None,
            cached_parts: Vec::new(),
            sent_position: None,
            received_position: None,
            failure_evidence: Vec::new(),
            crash_histories: Vec::new(),
            part_histories: Vec::new(),
            part_quarantine_digest: 0,
            quarantine_digest: 0,
            totals: None,
            partitions: Vec::new(),
        }
    }
}

/// A page of the cached parts that a gateway knows: the prompt parts whose ID modulo `count` is `index`.
///
/// Fetching page by page limits the memory used at both ends, even with many concurrent fetches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPartsPage {
    /// The index of the page, starting at 0.
    pub index: u32,
    /// The number of pages; 0 means 1.
    pub count: u32,
}

impl CachedPartsPage {
    /// Whether the page contains `part`.
    #[must_use]
    pub fn contains(self, part: PartId) -> bool {
        part.0 % u64::from(self.count.max(1)) == u64::from(self.index)
    }
}

/// RPC methods that a gateway implements for its peers.
pub trait FleetService {
    /// Merges a peer's message and returns the message for the peer.
    fn exchange(&self, message: PeerMessage) -> PeerMessage;
    /// Returns the serving rules that this gateway holds.
    fn rules(&self) -> Option<(HeldVersion, Bytes)>;
    /// Returns the upstream list that this gateway holds, for a peer that holds the one with the digest
    /// `base`.
    fn upstreams(&self, base: Option<u64>) -> Option<(HeldVersion, ListUpdate)>;
    /// Returns the current or a recent upstream list by its digest.
    fn recent_list(&self, digest: u64) -> Option<Arc<UpstreamList>>;
    /// Returns the partial upstream list that this gateway uses until it holds a complete one.
    fn partial_list(&self) -> Option<Arc<UpstreamList>>;
    /// Returns a page of the known cached parts, or `None` shortly after startup.
    fn cached_parts(&self, page: CachedPartsPage) -> Option<Vec<ObservedCachedPart>>;
    /// Merges records of streams.
    fn merge_streams(&self, _streams: Vec<ObservedStream>) {}
    /// Returns what this gateway knows of a stream and of the software of its pool, or of all pools.
    fn find_stream(&self, _stream: StreamId, _pool: Option<NameHash>) -> StreamAnswer {
        StreamAnswer::default()
    }
    /// Issues a permit, whose guard is dropped when the peer releases it or is lost; no permit if the limit is reached.
    fn issue_permit(&self, _request: PermitRequest) -> PermitAnswer<PermitGuard> {
        PermitAnswer { in_progress: 0, permit: None }
    }
}

/// Returns the address bits and the port, or `None` for IPv6, which gateways do not listen on.
const fn address_parts(address: SocketAddr) -> Option<(u32, u16)> {
    match address {
        SocketAddr::V4(address) => Some((address.ip().to_bits(), address.port())),
        SocketAddr::V6(_) => None,
    }
}
