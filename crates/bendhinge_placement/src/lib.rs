//! Which upstream serves a turn: pure functions over explicit state and an explicit clock.
//!
//! * [`Ranking`] orders the upstreams of a pool for a chat by weighted rendezvous hashing.
//! * [`LoadBound`] says how many requests an upstream may carry, as a multiple of the mean.
//! * [`PermitLedger`] is the exact count at the moment of admission, kept by the one router
//!   that counts for an upstream, with the displaced chats that it remembers.
//! * [`LoadView`] is what one router believes of loads, and [`Walk`] how it goes through them.
//! * [`choose`] finds the upstream of least cost for a prompt whose parts are named, over what
//!   is believed to be kept where ([`KeptParts`]).
//! * [`WarmingShare`] says which upstreams that are warming up a request may go to.
//! * [`assess`] tells a router, from lagged knowledge alone, whether asking is needed at all.
//!
//! `docs/design/PLACEMENT.md` says what was weighed and which measurement decided.

mod bound;
mod budget;
mod cost;
mod displaced;
mod draw;
mod homes;
mod kept;
mod knowledge;
mod ledger;
mod owner;
mod prompt;
mod ranking;
mod view;
mod walk;
mod warming;

pub use bound::{LoadBound, PoolLoad};
pub use budget::AskBudget;
pub use cost::{Candidate, Choice, ChoiceReason, CostRules, Question, choose};
pub use displaced::DisplacedChats;
pub use kept::{KeptPart, KeptParts};
pub use knowledge::{Assessment, KnownLoad, assess};
pub use ledger::{Denied, Granted, LedgerLimits, LoadReport, PermitLedger, PermitRequest};
pub use owner::{owner_of, rank_owners};
pub use prompt::{PartId, Prompt, PromptPart};
pub use ranking::{Ranked, Ranking, SHORTLIST, Shortlist, UpstreamIndex};
pub use view::{LoadView, ViewKey};
pub use walk::{Answer, PlacementReason, Step, Walk, WalkPool};
pub use warming::WarmingShare;
