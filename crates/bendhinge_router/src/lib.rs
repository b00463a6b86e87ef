//! The router: takes callers' requests, decides which upstream serves each, and passes the
//! whole answer back.
//!
//! One module per duty; each has its state and its messages. [`node`] holds what the duties
//! share. Callers are served on the threads of `workers`; everything between routers and
//! towards the platform runs on one thread of its own, see [`control`].

mod admission;
mod args;
mod configuration;
mod control;
mod delivery;
mod intake;
mod logs;
mod membership;
mod metrics;
mod node;
mod operators;
mod placement;
mod run;
pub mod settings;

pub use run::main;
