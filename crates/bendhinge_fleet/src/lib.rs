//! State that a router replicates from the platform's store and shares with the other routers.
//!
//! * [`Replica`] holds a value with the time as of which it was current.
//! * [`Roster`] tracks the membership of the fleet, starting from a few seeds.
//! * [`StoreReadSchedule`] decides when this router reads the store.
//! * [`FetchPlan`] selects the peer from which a newer value is fetched.
//! * [`Directory`] holds the known upstreams and tolerates lists that vanish by mistake.
//! * [`ListHistory`] encodes upstream lists as deltas.
//! * [`UpdateLog`] holds recent updates, and [`PeerStates`] which of them each peer lacks.
//! * [`Loads`] estimates the number of requests at each upstream.
//! * [`CacheRecovery`] decides when a router that has just started queries the upstreams' caches.
//! * [`OutlierDetector`] tracks which upstreams are available, by their responses and by reports of peers.
//! * [`RequestedBackoffs`] tracks the upstreams that asked for a pause, and until when.
//! * [`FailureDetector`] tracks the upstreams that respond to no router, by the reports of all routers.
//! * [`Reachability`] detects partitions between this router and the upstreams of a pool, and [`PeerPartitions`] holds those of
//!   other routers.
//! * [`PoolWork`] estimates the work at the upstreams of an engine pool.
//! * [`Quarantine`] tracks the requests that crash the upstreams running them, and [`PartQuarantine`] the prompt parts that do.
//! * [`SoftwareHistory`] tracks which versions of their software the upstreams of a pool have run, and [`StreamRecords`] which of
//!   them began each stream.
//! * [`FleetTotals`] sums values over all routers.
//! * [`ResponseTimes`] estimates the response times of the upstreams of a plain pool.
//!
//! All types are pure state machines: the clock is passed in, and there is no I/O.
//! `docs/design/PLATFORM.md` describes the design.

mod backoff;
mod cache_recovery;
mod crash_table;
mod directory;
mod failure_detector;
mod fetch;
mod in_flight;
mod key_requests;
mod lists;
mod loads;
mod outlier_detector;
mod overloads;
mod part_quarantine;
mod peer_partitions;
mod peers;
mod permits;
mod quarantine;
mod reachability;
mod replica;
mod response_times;
mod roster;
mod software_history;
mod store_reads;
mod stream_records;
mod totals;
mod update_log;
mod work;

pub use backoff::{MAX_BACKOFF, RequestedBackoffs};
pub use cache_recovery::{CacheRecovery, CacheRecoveryStep, CacheRecoveryTimings, FleetView};
pub use directory::{
    Directory, DirectoryLimits, ListedUpstream, UpstreamEntry, UpstreamList, UpstreamState, WarmUp,
};
pub use failure_detector::{FailureDetector, FailureEvidence, FailureReport, SuspectChange};
pub use fetch::{FetchPlan, FetchSource};
pub use in_flight::InFlightSends;
pub use key_requests::KeyRequests;
pub use lists::{ListDelta, ListHistory, ListUpdate};
pub use loads::{
    AgedReport, ListLoads, LoadBasis, Loads, PackedHighLoads, PackedLoads, PoolReports, UpstreamLoad,
};
pub use outlier_detector::{OutlierDetector, OutlierLimits, UpstreamFailure, UpstreamHealth};
pub use overloads::OverloadLog;
pub use part_quarantine::{Evidence, PartCrash, PartHistory, PartQuarantine, ResponseEffect};
pub use peer_partitions::{PartitionReport, PeerPartitions};
pub use peers::{PeerState, PeerStates, PeerSummary};
pub use permits::{IssuedPermits, PermitDecision, PermitNumber, PermitRequest};
pub use quarantine::{Crash, CrashHistory, MAX_CRASHES, Quarantine, SendPermission};
pub use reachability::{Reachability, ReachabilityChange};
pub use replica::{Replica, Revision, UpdateOutcome, Version, VersionedValue};
pub use response_times::{ExpectedResponse, ResponseTimes};
pub use roster::{
    Contact, Member, MemberReport, MemberStates, Origin, Reach, Roster, RosterDigest, RosterTimeouts,
};
pub use software_history::{PoolSoftware, ServedSoftware, SoftwareHistory};
pub use store_reads::{StoreReadSchedule, StoreReadTimings};
pub use stream_records::{
    OwnStream, StreamId, StreamRecord, StreamRecordLimits, StreamRecords, StreamSoftware, UnsentRecord,
};
pub use totals::{Figure, FleetTotal, FleetTotals, PackedTotals, TotalKey};
pub use update_log::{LogPosition, RouterIncarnation, UpdateBatch, UpdateLog, UpdateLogLimits, UpdateSource};
pub use work::{PoolWork, SendId, SendWork, UpstreamWork, WorkReport};
