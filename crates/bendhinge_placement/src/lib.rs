//! Selection of the upstream that serves a request: deterministic functions over explicit state and
//! an explicit clock.
//!
//! * [`Ranking`] orders the upstreams of a pool for a chat by weighted rendezvous hashing.
//! * [`LoadBound`] limits the load of an upstream to a multiple of the mean load.
//! * [`PermitLedger`] keeps the exact load of an upstream at the router that owns it, and the
//!   locations of displaced chats.
//! * [`LoadView`] holds a router's estimate of all loads, and [`UpstreamSearch`] selects an
//!   upstream from the ranking by these loads and by permits.
//! * [`choose`] selects the upstream with the lowest cost for a prompt, based on the index of
//!   cached prompt parts ([`CachedParts`]).
//! * [`spread_above_limit`] divides requests among the few upstreams that may process them.
//! * [`LocalityState`] computes which share of a data centre's requests goes to others.
//! * [`choose_plain`] selects an upstream of a plain pool by expected response time.
//! * [`WarmupLimit`] limits the requests sent to upstreams that are warming up.
//! * [`assess`] decides from possibly stale load data whether a permit must be requested.
//!
//! The design is described in `docs/design/PLACEMENT.md`.

mod assessment;
mod bound;
mod cached;
mod cost;
mod displaced;
mod hash;
mod homes;
mod ledger;
mod locality;
mod owner;
mod permit_budget;
mod plain;
mod prompt;
mod ranking;
mod search;
mod spread;
mod view;
mod warmup;
mod work;

pub use assessment::{Assessment, KnownLoad, assess};
pub use bound::{LoadBound, PoolLoad};
pub use cached::{CachedPart, CachedParts};
pub use cost::{
    Candidate, CandidateWork, Choice, ChoiceReason, CostModel, CostQuery, Distance, Locality, UpstreamUsage,
    choose,
};
pub use displaced::DisplacedChats;
pub use ledger::{LedgerLimits, LoadReport, PermitDenied, PermitGrant, PermitLedger, PermitRequest};
pub use locality::{LocalUpstream, LocalityState};
pub use owner::{owner_of, rank_owners};
pub use permit_budget::PermitRequestBudget;
pub use plain::{PlainCandidate, PlainChoice, choose_plain};
pub use prompt::{PartId, Prompt, PromptPart};
pub use ranking::{RankedUpstream, Ranking, SHORTLIST_SIZE, Shortlist, UpstreamIndex};
pub use search::{PermitResponse, PlacementReason, SearchPool, SearchStep, UpstreamSearch};
pub use spread::spread_above_limit;
pub use view::{LoadKey, LoadView};
pub use warmup::WarmupLimit;
