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
//! * [`OutlierDetector`] is which upstreams answer, by their own answers and what others saw.
//! * [`RequestedBackoffs`] is which upstreams asked to be spared, and until when.
//! * [`FailureDetector`] is which upstreams answer nobody, by what all routers saw.
//! * [`Quarantine`] is which requests crash the upstreams that run them.
//!
//! All of it is pure: explicit state, an explicit clock, no input or output.
//! `docs/design/PLATFORM.md` says what was weighed.

mod backoff;
mod belief;
mod directory;
mod failure_detector;
mod fetch;
mod lists;
mod loads;
mod news;
mod outlier_detector;
mod peers;
mod quarantine;
mod reading;
mod relearning;
mod roster;

pub use backoff::{MAX_BACKOFF, RequestedBackoffs};
pub use belief::{Belief, Held, Offer, Revision, Version};
pub use directory::{
    Directory, DirectoryLimits, ListedUpstream, UpstreamEntry, UpstreamList, UpstreamState, WarmUp,
};
pub use failure_detector::{FailureDetector, FailureEvidence, FailureReport, SuspectChange};
pub use fetch::{FetchPlan, Holder};
pub use lists::{ListChanges, ListHistory, ListTold};
pub use loads::{HighLoads, ListLoads, LoadSaid, LoadStates, Loads};
pub use news::{LearnedFrom, NewsLife, NewsLimits, NewsLog, NewsPosition, NewsTold};
pub use outlier_detector::{OutlierDetector, OutlierLimits, UpstreamFailure, UpstreamHealth};
pub use peers::{PeerSaid, PeerState, PeerStates};
pub use quarantine::{Crash, CrashHistory, InFlightSends, MAX_CRASHES, Quarantine, SendPermission};
pub use reading::{ReadingLimits, ReadingPlan};
pub use relearning::{RelearnLimits, RelearnStep, RelearnView, Relearning};
pub use roster::{Contact, Heard, Member, MemberStates, Origin, Reach, Roster, RosterDigest, RosterLimits};
