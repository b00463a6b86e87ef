//! The gateway: takes callers' requests by host and path, decides which upstream serves each, and
//! passes the whole answer back.
//!
//! One module per duty, each with its own state and a narrow interface; [`run`] alone knows all:
//!
//! * `intake`: a caller's request up to the decision to serve it,
//! * `delivery`: sends until there is one answer, and passing it back whole,
//! * `quarantine`: the requests under which upstreams crash,
//! * `state`: the active serving rules and the upstreams, with the age of each replica,
//! * `control`: the other gateways and the platform's store, from which knowledge comes,
//! * `lifecycle`, `ready`: starting, being ready, stopping.
//!
//! How callers, upstreams and the platform spell all this is an adapter's business, see
//! [`dialect`].

mod args;
mod control;
mod delivery;
pub mod dialect;
mod intake;
mod lifecycle;
mod log;
mod metrics;
pub mod native;
mod pacing;
mod quarantine;
mod ready;
mod retries;
mod run;
pub mod settings;
mod state;

pub use run::{main, reference};
