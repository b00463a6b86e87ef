//! From the start to the end of the process: when it is ready, and when it may stop.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bendhinge_ids::Instant;
use smol::Timer;

use crate::settings::StopSettings;

/// Where the process stands.
pub(crate) struct Lifecycle {
    settings: StopSettings,
    stopping_since: OnceLock<Instant>,
    in_progress: AtomicUsize,
}

/// A request in progress, until dropped.
pub(crate) struct InProgress(Arc<Lifecycle>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Release);
    }
}

impl Lifecycle {
    pub(crate) const fn new(settings: StopSettings) -> Self {
        Self { settings, stopping_since: OnceLock::new(), in_progress: AtomicUsize::new(0) }
    }

    /// Counts a request in.
    pub(crate) fn begin(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(Arc::clone(self))
    }

    /// How many requests are in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Whether the process was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Notes that the process was asked to stop.
    pub(crate) fn stop(&self) {
        // Asked again, it has been stopping since it was first asked.
        let _ = self.stopping_since.set(bendhinge_clock::now());
    }

    /// Whether a request that comes now is still served: for a while after the request to stop,
    /// so that callers and the balancer can notice.
    pub(crate) fn takes_requests(&self) -> bool {
        let since = self.stopping_since.get();
        since.is_none_or(|since| bendhinge_clock::now().since(*since) < self.settings.accept)
    }

    /// Waits until callers had time to notice and no request is in progress, or until the time
    /// before the process is killed is nearly over.
    pub(crate) async fn drained(&self) {
        const LOOK: Duration = Duration::from_millis(20);
        /// What is kept of the grace time for the last answers on their way.
        const LAST_MOMENTS: Duration = Duration::from_millis(400);
        Timer::after(self.settings.accept).await;
        let rest = self.settings.grace.saturating_sub(self.settings.accept + LAST_MOMENTS);
        let until = bendhinge_clock::now() + rest;
        while self.in_progress() > 0 && bendhinge_clock::now() < until {
            Timer::after(LOOK).await;
        }
    }
}
