//! One answer, whole, to its own request: what an attempt's end means, when another attempt is
//! allowed, and how a request marked as not repeatable runs at most once.
//!
//! `docs/design/DELIVERY.md` says what was weighed.

mod attempt;
mod course;
mod events;
mod identity;
mod once;
mod ownership;

pub use attempt::{AttemptEnd, NextStep, Repeatable, next_step};
pub use course::{Course, CourseRules, SendEnd};
pub use events::EventSplitter;
pub use identity::{IdentityKey, RequestIdentity};
pub use once::{Claim, Claimant, OnceKey, OnceLedger, OnceLimits, OnceOutcome};
pub use ownership::OwnershipHistory;
