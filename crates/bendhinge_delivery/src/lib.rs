//! Request delivery rules: classification of failed attempts, retry decisions, and at-most-once
//! execution of requests marked as not repeatable.
//!
//! See `docs/design/DELIVERY.md` for the design.

mod attempt;
mod body_end;
mod events;
mod identity;
mod not_run;
mod once;
mod outstanding;
mod ownership;
mod retry;
mod stream_timing;

pub use attempt::{AttemptEnd, NextStep, Repeatable, next_step};
pub use body_end::BodyEnd;
pub use events::{CompleteEvents, EventSplitter};
pub use identity::{IdentityKey, RequestIdentity};
pub use not_run::{NotRun, NotRunReason, UpstreamReport};
pub use once::{Claim, Claimant, OnceKey, OnceLedger, OnceLimits, OnceOutcome};
pub use outstanding::{OutstandingSends, PromptWork, SendTotals};
pub use ownership::OwnershipHistory;
pub use retry::{RetryPolicy, RetryState, SendOutcome};
pub use stream_timing::{Pause, StreamTiming};
