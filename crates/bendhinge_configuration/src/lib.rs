//! The fleet's configuration: its schema and parser, plans for changing it, and the selection of
//! the confirmed document in force.
//!
//! Operators publish confirmed documents on the platform; this crate never writes to it. A
//! document is an INI file with one section for each configured object.

mod adoption;
mod delta;
mod effects;
mod intent;
mod model;
mod order;
mod parse;
mod plan;
mod schema;
mod seal;

pub use adoption::{Adoption, OfferOutcome, SETTLE_TIME};
pub use delta::{Delta, DeltaError};
pub use effects::{DataCentreLoad, PoolEffect, PoolMember, ShareEffect};
pub use intent::{Intent, IntentError};
pub use model::{
    Class, Configuration, Customer, DataCentre, KeyHash, Pool, PoolKind, ServingState, UpstreamOverride,
};
pub use order::{EngineOrder, engine_order};
pub use parse::{parse, parse_document};
pub use plan::{ConfirmedPlan, Plan, PlanError, SectionChange};
pub use schema::SCHEMA;
pub use seal::{SealError, SealKey};
