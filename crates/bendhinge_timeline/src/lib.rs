//! The record of events that each process keeps in memory, and their merging into one time
//! line over all processes.

mod event;
mod merge;
mod picture;
mod record;
mod text;

pub use event::{Event, EventKind, EventLink, ProcessId};
pub use merge::{Filter, Order, Placed, merge};
pub use picture::svg;
pub use record::{Record, RecordPage};
pub use text::lines;
