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
//! * [`Judge`] tracks which upstreams are available, by their responses and by reports of peers.
//! * [`Rests`] tracks the upstreams that asked for a pause, and until when.
//! * [`Evidence`] tracks the upstreams that respond to no router, by the reports of all routers.
//! * [`Quarantine`] tracks the requests that crash the upstreams running them.
//!
//! All types are pure state machines: the clock is passed in, and there is no I/O.
//! `docs/design/PLATFORM.md` describes the design.

mod cache_recovery;
mod directory;
mod evidence;
mod fetch;
mod judge;
mod lists;
mod loads;
mod peers;
mod quarantine;
mod replica;
mod rests;
mod roster;
mod store_reads;
mod update_log;

pub use cache_recovery::{CacheRecovery, CacheRecoveryStep, CacheRecoveryTimings, FleetView};
pub use directory::{Directory, DirectoryLimits, Listed, UpstreamEntry, UpstreamList, UpstreamState, WarmUp};
pub use evidence::{Doubt, Evidence, Verdict, Witness};
pub use fetch::{FetchPlan, FetchSource};
pub use judge::{Judge, JudgeLimits, Standing, UpstreamFailure};
pub use lists::{ListDelta, ListHistory, ListUpdate};
pub use loads::{ListLoads, Loads, PackedHighLoads, PackedLoads, UpstreamLoad};
pub use peers::{PeerState, PeerStates, PeerSummary};
pub use quarantine::{Crash, MOST_CRASHES, Permission, Quarantine, Suspicion, UnderWay};
pub use replica::{Replica, Revision, UpdateOutcome, Version, VersionedValue};
pub use rests::{LONGEST_REST, Rests};
pub use roster::{
    Contact, Member, MemberReport, MemberStates, Origin, Reach, Roster, RosterDigest, RosterTimeouts,
};
pub use store_reads::{StoreReadSchedule, StoreReadTimings};
pub use update_log::{LogPosition, RouterIncarnation, UpdateBatch, UpdateLog, UpdateLogLimits, UpdateSource};
