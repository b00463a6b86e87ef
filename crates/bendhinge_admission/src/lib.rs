//! Admission control: decides which requests are admitted. All functions are pure; state and time are passed in
//! explicitly.
//!
//! Shares and limits apply to the whole fleet, although each router sees only part of the traffic. Routers exchange
//! the numbers of requests that they have in progress and have refused. In each round, every router claims a part of
//! the free capacity in proportion to its part of the demand.
//!
//! For pools of engines, [`engine::EngineAdmission`] divides the slots among the fleet's demands. For pools of plain
//! upstreams that do not report their load, [`Pacer`] adapts the admitted rate to the responses.
//! `docs/design/ADMISSION.md` describes the alternatives that were considered.

mod allocation;
mod budget;
mod controller;
mod demand;
pub mod engine;
mod fair_share;
mod pacing;
mod retry_after;
mod router_retry_budget;
mod rules;
mod usage;

pub use budget::RetryBudget;
pub use controller::{AdmissionController, AdmissionRequest, Refusal, RefusalReason};
pub use demand::{DecayingRate, Demand};
pub use fair_share::{WeightedDemand, max_min_fair_shares};
pub use pacing::{Pacer, PacingDecision, Requester};
pub use retry_after::retry_after;
pub use router_retry_budget::{FleetRetryBudget, RetryDecision, RouterRetryBudget};
pub use rules::{AdmissionRules, ClassIndex, ClassRule, CustomerIndex, CustomerRule, PoolIndex, PoolRule};
pub use usage::{FleetUsage, PoolUsage, Usage};
