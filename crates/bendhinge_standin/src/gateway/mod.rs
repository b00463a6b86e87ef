//! What stands around gateways: a store and upstreams that speak the product's own interface, in
//! the process of whoever uses them, with faults that can be switched on.

mod store;
mod upstream;

pub use store::{DATA_CENTRE, Store, StoreFault, UpstreamRecord};
pub use upstream::{Framing, Run, Upstream, UpstreamFault};
