//! Reports on single requests, compiled from the logs of all gateways.
//!
//! * [`read_log`] parses a gateway's log,
//! * [`request_reports`] collects the events related to a request,
//! * [`pause_cause`] names the likely cause of a stream's longest pause,
//! * [`render`] formats a report as text.

mod concurrent;
mod log_entry;
mod pause;
mod render;
mod report;

pub use concurrent::ConcurrentSend;
pub use log_entry::{Cut, Entry, Event, ForwardAttempt, Resumption, SendAttempt, read_log};
pub use pause::{PauseCause, StreamMeasurements, pause_cause};
pub use render::render;
pub use report::{
    CrashRecord, NearbyEvent, RelatedAttempts, RequestReport, UpstreamSummary, request_reports,
};
