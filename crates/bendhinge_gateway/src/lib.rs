//! A gateway that routes requests of callers by host and path to upstreams and passes their responses back.
//!
//! Each module owns its state; `run` wires them together:
//!
//! * `intake`: receives and admits requests of callers,
//! * `delivery`: sends requests to upstreams, with retries, and relays the response,
//! * `quarantine`: blocks requests that crash upstreams,
//! * `state`: replicas of the serving rules and of the list of upstreams, with their ages,
//! * `control`: communication with the other gateways and the platform's store,
//! * `lifecycle`, `ready`: graceful shutdown and readiness.
//!
//! Adapters translate the protocols of callers, upstreams and the platform's store, see [`dialect`].

mod admission;
mod args;
mod control;
mod delivery;
pub mod dialect;
mod forwarding;
mod intake;
mod lifecycle;
mod log;
mod metrics;
pub mod native;
mod pacing;
mod permits;
mod quarantine;
mod ready;
mod retries;
mod run;
pub mod settings;
mod state;
mod streams;
mod totals;

pub use run::{main, reference};
