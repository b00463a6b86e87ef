//! Stand-ins for what the users run: a model engine, a plain service and the platform.
//!
//! They are test equipment, apart from the product. Each listens on a free port of the loopback
//! address, prints `listening NAME ADDRESS` and takes orders on `/control/...`.

pub mod engine;
pub mod gateway;
pub mod platform;
pub mod service;

mod answers;
mod process;

pub use process::run;
