//! What a router believes of its fleet, how old that belief is, and who refreshes it.
//!
//! * [`Replica`] is a value with the instant as of which it was known to be current.
//! * [`Roster`] is which routers there are, found from a few seeds.
//! * [`StoreReadSchedule`] says when a router itself reads the platform's store.
//! * [`Directory`] is which upstreams there are, over lists that may vanish by mistake.
//! * [`UpdateLog`] is what was learned lately, of which each peer is told what it lacks ([`PeerStates`]).
//! * [`Loads`] is how many requests are at each upstream.
//! * [`ListHistory`] tells a list of upstreams as changes, [`FetchPlan`] from whom it is fetched.
//! * [`CacheRecovery`] says when a router that has just started asks the upstreams what they keep.
//! * [`Judge`] is which upstreams answer, by their own answers and what others saw.
//! * [`Rests`] is which upstreams asked to be spared, and until when.
//! * [`Evidence`] is which upstreams answer nobody, by what all routers saw.
//! * [`Quarantine`] is which requests crash the upstreams that run them.
//!
//! All of it is pure: explicit state, an explicit clock, no input or output.
//! `docs/design/PLATFORM.md` says what was weighed.

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
