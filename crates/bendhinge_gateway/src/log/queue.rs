//! The queue of log lines that another thread writes.

use std::num::NonZeroUsize;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use smol::Timer;
use spdlog::formatter::{Formatter, FormatterContext};
use spdlog::sink::{GetSinkProp, Sink, SinkProp, StdStreamSink};
use spdlog::{Record, StringBuf};

/// The number of queued lines above which usual lines are dropped and counted.
const MAX_USUAL_LINES: usize = 1_024;
/// The same for all lines.
const MAX_LINES: usize = 2 * MAX_USUAL_LINES;
/// The number of queued bytes above which lines are dropped and counted. Lines contain texts of callers, such as request IDs.
const MAX_BYTES: usize = 4 << 20;
/// How long [`LineQueue::flush`] waits at most.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(10);

/// Which lines are dropped first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinePriority {
    Usual,
    /// Lines that are also queued when no usual ones are.
    High,
}

/// Numbers of lines that were queued, written and dropped.
#[derive(Debug, Default)]
pub(super) struct LineQueue {
    queued: AtomicUsize,
    written: AtomicUsize,
    dropped: AtomicUsize,
    /// Dropped lines that no line has reported yet.
    unreported: AtomicUsize,
    queued_bytes: AtomicUsize,
    written_bytes: AtomicUsize,
}

impl LineQueue {
    /// Capacity of the writing thread's own queue.
    pub(super) const CAPACITY: NonZeroUsize = NonZeroUsize::MIN.saturating_add(2 * MAX_LINES);

    /// Whether a line of this priority may be queued.
    pub(super) fn has_room(&self, priority: LinePriority) -> bool {
        let max_lines = match priority {
            LinePriority::Usual => MAX_USUAL_LINES,
            LinePriority::High => MAX_LINES,
        };
        difference(&self.queued, &self.written) < max_lines
            && difference(&self.queued_bytes, &self.written_bytes) < MAX_BYTES
    }

    pub(super) fn count_queued(&self, bytes: usize) {
        self.queued.fetch_add(1, Ordering::Relaxed);
        self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(super) fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
        self.unreported.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of dropped lines since the last call.
    pub(super) fn take_unreported(&self) -> usize {
        self.unreported.swap(0, Ordering::Relaxed)
    }

    /// Returns the number of dropped lines.
    pub(super) fn dropped(&self) -> usize {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Waits until the lines queued so far are written, for a short time at most: a reader that stops reading must not
    /// hold up requests.
    pub(super) async fn flush(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(1);
        let target = self.queued.load(Ordering::Relaxed);
        let deadline = bendhinge_clock::now() + FLUSH_TIMEOUT;
        while self.written.load(Ordering::Acquire) < target && bendhinge_clock::now() < deadline {
            Timer::after(POLL_INTERVAL).await;
        }
    }
}

fn difference(queued: &AtomicUsize, written: &AtomicUsize) -> usize {
    queued.load(Ordering::Relaxed).saturating_sub(written.load(Ordering::Relaxed))
}

/// Formats a record as its bare payload.
#[derive(Clone)]
pub(super) struct LineFormatter;

impl Formatter for LineFormatter {
    fn format(
        &self,
        record: &Record<'_>,
        text: &mut StringBuf,
        _: &mut FormatterContext<'_>,
    ) -> spdlog::Result<()> {
        text.push_str(record.payload());
        text.push('\n');
        Ok(())
    }
}

/// Writes lines to standard output and counts them once they are written.
pub(super) struct CountingSink {
    prop: SinkProp,
    output: Arc<StdStreamSink>,
    queue: Arc<LineQueue>,
}

impl CountingSink {
    pub(super) fn new(output: Arc<StdStreamSink>, queue: Arc<LineQueue>) -> Self {
        Self { prop: SinkProp::default(), output, queue }
    }
}

impl GetSinkProp for CountingSink {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for CountingSink {
    fn log(&self, record: &Record<'_>) -> spdlog::Result<()> {
        let written = self.output.log(record);
        self.queue.written_bytes.fetch_add(record.payload().len(), Ordering::Relaxed);
        self.queue.written.fetch_add(1, Ordering::Release);
        written
    }

    fn flush(&self) -> spdlog::Result<()> {
        self.output.flush()
    }
}
