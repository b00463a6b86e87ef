//! The fleet's configuration: its form, plans for changing it, and when a confirmed one is in
//! force.
//!
//! Operators publish confirmed documents on the platform; nothing here writes there. The
//! document is INI, like the settings, with one section per thing that operators name.

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

pub use adoption::{Adoption, Offer, SETTLE_TIME};
pub use delta::{Delta, DeltaError};
pub use effects::{DataCentreLoad, PoolEffect, PoolMember, ShareEffect};
pub use intent::{Intent, IntentError};
pub use model::{
    Class, Configuration, Customer, DataCentre, KeyHash, Pool, PoolKind, ServingState, UpstreamOverride,
};
pub use order::{EngineOrder, order_for};
pub use parse::{canonical_document, parse};
pub use plan::{Change, Confirmed, Plan, PlanError};
pub use schema::SCHEMA;
pub use seal::{SealError, SealKey};
