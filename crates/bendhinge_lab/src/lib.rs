//! The load and experiment tool: it starts a fleet of real processes with stand-ins for what the
//! users run, loads it, breaks it, and measures it; and a bench of the decisions in virtual time.
//!
//! It is apart from the product: no router starts a process.

pub mod bench;
pub mod client;
pub mod demo;
pub mod deployment;
pub mod fleet;
pub mod gateways;
pub mod load;
pub mod measure;
pub mod process;
