//! Serving rules: which pool serves a request according to its host and path, how the request may be
//! handled, and which customer its API key belongs to.
//!
//! * [`ServingRules`] is one immutable version of the rules; updates replace it as a whole.
//! * [`RouteTable`] finds the route of a request.
//! * [`CustomerTable`] finds the customer that owns an API key.
//!
//! This crate does no I/O. Parsers of the individual document formats produce these types.

mod customer;
mod regions;
mod route;
mod rules;
mod table;

pub use customer::{Customer, CustomerTable};
pub use regions::RegionFilter;
pub use route::{PoolWeights, Route, RouteKind, WeightedPool};
pub use rules::{CallerLimits, EntryKind, LeftOutEntry, PoolRule, ServingRules};
pub use table::{RouteTable, host_without_port};
