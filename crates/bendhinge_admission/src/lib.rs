//! What is let in and what is refused: pure functions over explicit state and an explicit clock.
//!
//! Shares and limits hold for the whole fleet while each router sees a part of the traffic.
//! Routers tell each other what they have in progress and what they refused; in each round a
//! router takes of what is still free the part that its share of the demand gives it.
//!
//! A pool of plain upstreams that says nothing of its load is let by [`Pacer`] what it turns out to take.
//! `docs/design/ADMISSION.md` says what was weighed.

mod budget;
mod demand;
mod division;
mod gate;
mod pacing;
mod retry_after;
mod retry_share;
mod rules;
mod usage;
mod water;

pub use budget::RetryBudget;
pub use demand::{Demand, Rate};
pub use gate::{Admission, Ask, Refusal, RefusalReason};
pub use pacing::{Asker, Paced, Pacer};
pub use retry_after::retry_after;
pub use retry_share::{FleetRetryBudget, RetryShare};
pub use rules::{ClassIndex, ClassRule, CustomerIndex, CustomerRule, PoolIndex, PoolRule, Rules};
pub use usage::{FleetUsage, PoolUsage, Usage};
pub use water::{Want, fill};
