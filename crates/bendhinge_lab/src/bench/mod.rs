//! The bench of the decisions in virtual time: seeded, several routers, lagging reports, churn,
//! a surge, limited caches. The decisions are the router's own functions; there is no model of
//! a network, and nothing here is a simulator of a cluster.

pub mod admission;
pub mod buffers;
mod cache;
pub mod crashing;
pub mod crashing_parts;
pub mod decision;
pub mod engine_admission;
pub mod engine_loads;
pub mod load_limit;
pub mod pauses;
pub mod placement;
pub mod plain_pool;
mod policy;
pub mod prefill;
pub mod resting;
pub mod retry_budget;
pub mod shared_pool;
pub mod slowed;
pub mod warming;
mod workload;

pub use policy::PolicyKind;
pub use workload::Scenario;

/// A positive number without its fraction.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small positive number")]
const fn whole(number: f64) -> u64 {
    number as u64
}

/// A number in the precision of the decisions.
#[expect(clippy::cast_possible_truncation, reason = "a small positive number")]
const fn narrow(number: f64) -> f32 {
    number as f32
}
