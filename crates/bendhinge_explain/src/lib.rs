//! One request's story from the logs of all gateways.
//!
//! * [`read_log`] reads the lines of a gateway's log,
//! * [`stories`] finds what a request met, and what its gateway believed just then,
//! * [`tell`] writes it down.

mod line;
mod story;
mod tell;

pub use line::{Entry, Event, Send, read_log};
pub use story::{Backdrop, CrashRecord, SameRequest, Story, UpstreamRecord, stories};
pub use tell::tell;
