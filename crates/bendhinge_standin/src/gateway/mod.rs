//! What stands around gateways: a store and upstreams that speak the product's own interface, in
//! the process of whoever uses them, with faults that can be switched on.

mod answers;
mod fault;
mod run;
mod store;
mod upstream;
mod varied;

pub use fault::{Framing, Silence, UpstreamFault};
pub use run::Run;
pub use store::{DATA_CENTRE, Store, StoreFault, UpstreamRecord};
pub use upstream::Upstream;
pub use varied::VariedUpstream;
