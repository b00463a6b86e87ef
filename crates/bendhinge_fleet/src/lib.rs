//! What a router believes of its fleet, how old that belief is, and who refreshes it.
//!
//! * [`Belief`] is a value with the instant as of which it was known to be current.
//! * [`Roster`] is which routers there are, found from a few seeds.
//! * [`ReadingPlan`] says when a router itself reads the platform's store.
//! * [`Directory`] is which upstreams there are, over lists that may vanish by mistake.
//! * [`NewsLog`] is what was learned lately, of which each peer is told what it lacks ([`PeerStates`]).
//! * [`Loads`] is how many requests are at each upstream.
//! * [`ListHistory`] tells a list of upstreams as changes, [`FetchPlan`] from whom it is fetched.
//! * [`Relearning`] says when a router that has just started asks the upstreams what they keep.
//! * [`Judge`] is which upstreams answer, by their own answers and what others saw.
//! * [`Rests`] is which upstreams asked to be spared, and until when.
//! * [`Evidence`] is which upstreams answer nobody, by what all routers saw.
//! * [`Quarantine`] is which requests crash the upstreams that run them.
//!
//! All of it is pure: explicit state, an explicit clock, no input or output.
//! `docs/design/PLATFORM.md` says what was weighed.

mod belief;
mod directory;
mod evidence;
mod fetch;
mod judge;
mod lists;
mod loads;
mod news;
mod peers;
mod quarantine;
mod reading;
mod relearning;
mod rests;
mod roster;

pub use belief::{Belief, Held, Offer, Revision, Version};
pub use directory::{Directory, DirectoryLimits, Listed, UpstreamEntry, UpstreamList, UpstreamState, WarmUp};
pub use evidence::{Doubt, Evidence, Verdict, Witness};
pub use fetch::{FetchPlan, Holder};
pub use judge::{Judge, JudgeLimits, Standing, UpstreamFailure};
pub use lists::{ListChanges, ListHistory, ListTold};
pub use loads::{HighLoads, ListLoads, LoadSaid, LoadStates, Loads};
pub use news::{LearnedFrom, NewsLife, NewsLimits, NewsLog, NewsPosition, NewsTold};
pub use peers::{PeerSaid, PeerState, PeerStates};
pub use quarantine::{Crash, MOST_CRASHES, Permission, Quarantine, Suspicion, UnderWay};
pub use reading::{ReadingLimits, ReadingPlan};
pub use relearning::{RelearnLimits, RelearnStep, RelearnView, Relearning};
pub use rests::{LONGEST_REST, Rests};
pub use roster::{Contact, Heard, Member, MemberStates, Origin, Reach, Roster, RosterDigest, RosterLimits};
