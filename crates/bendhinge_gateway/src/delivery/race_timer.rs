//! When a silent stream is requested from another upstream, too.

use std::time::Duration;

use bendhinge_ids::Instant;

/// Number of target gaps without data after which a stream is requested from another upstream, too.
const MAX_SILENT_GAPS: u32 = 3;

/// When a stream is requested from another upstream.
pub(super) struct RaceTimer {
    target_gap: Option<Duration>,
    due_at: Option<Instant>,
}

impl RaceTimer {
    pub(super) fn new(target_gap: Option<Duration>) -> Self {
        let mut timer = Self { target_gap: target_gap.filter(|gap| !gap.is_zero()), due_at: None };
        timer.restart();
        timer
    }

    /// Returns how long a source may be silent.
    pub(super) fn limit(&self) -> Option<Duration> {
        self.target_gap.map(|gap| gap * MAX_SILENT_GAPS)
    }

    /// Starts anew, after data or a send.
    pub(super) fn restart(&mut self) {
        self.due_at = self.limit().map(|limit| bendhinge_clock::now() + limit);
    }

    /// Waits one more target gap, after a send that was denied or failed.
    pub(super) fn postpone(&mut self) {
        self.due_at = self.target_gap.map(|gap| bendhinge_clock::now() + gap);
    }

    /// Returns the time until a send is due; `None` if none ever is.
    pub(super) fn remaining(&self) -> Option<Duration> {
        self.due_at.map(|due_at| due_at.since(bendhinge_clock::now()))
    }
}
