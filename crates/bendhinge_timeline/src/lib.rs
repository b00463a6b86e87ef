//! In-memory event log of each process, and the merge of several logs into one timeline.

mod event;
mod event_log;
mod merge;
mod svg;
mod text;

pub use event::{Event, EventKind, EventLink, ProcessId};
pub use event_log::{EventLog, EventLogPage};
pub use merge::{Filter, OrderBasis, TimelineEntry, merge};
pub use svg::render_svg;
pub use text::render_lines;
