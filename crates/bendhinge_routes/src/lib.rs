//! Serving rules: which pool a request goes to by its host and path, what may be done with it,
//! and whose key it carries.
//!
//! * [`ServingRules`] is one whole version, never changed, only replaced.
//! * [`RouteTable`] finds the route of a request.
//! * [`CustomerTable`] finds the customer that holds a key.
//!
//! All of it is pure; a document in any form is read into these types by whoever knows the form.

mod customer;
mod regions;
mod route;
mod rules;
mod table;

pub use customer::{Customer, CustomerTable};
pub use regions::Regions;
pub use route::{Route, RouteKind, Split, SplitPart};
pub use rules::{CallerLimits, PoolRule, ServingRules};
pub use table::{RouteTable, host_without_port};
