//! Logs: lines only for changes of state, on standard error.

use std::sync::Arc;

use spdlog::sink::StdStreamSink;

/// Sends all log lines to standard error; standard output is for the addresses alone.
pub(crate) fn start() -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder().stderr().build_arc()?;
    let logger = spdlog::Logger::builder().sink(sink).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
