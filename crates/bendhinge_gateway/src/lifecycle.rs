//! Graceful shutdown of the process: tracks requests in progress and decides when new ones are refused.

use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bendhinge_ids::Instant;
use futures_lite::FutureExt;
use smol::{Task, Timer};

use crate::settings::StopSettings;

/// The shutdown state of the process and its number of requests in progress.
pub(crate) struct Lifecycle {
    settings: StopSettings,
    stopping_since: OnceLock<Instant>,
    in_progress: AtomicUsize,
}

/// Counts a request as in progress until dropped.
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

    /// Counts a request as in progress until the returned guard is dropped.
    pub(crate) fn begin_request(self: &Arc<Self>) -> InProgress {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        InProgress(Arc::clone(self))
    }

    /// Returns the number of requests in progress.
    pub(crate) fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::Acquire)
    }

    /// Returns whether shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping_since.get().is_some()
    }

    /// Begins shutdown.
    pub(crate) fn begin_shutdown(&self) {
        // Repeated calls keep the time of the first one.
        let _ = self.stopping_since.set(bendhinge_clock::now());
    }

    /// Returns whether new requests are served. They still are for a period after the stop signal, so that
    /// callers and the load balancer can react to it.
    pub(crate) fn accepts_requests(&self) -> bool {
        let since = self.stopping_since.get();
        since.is_none_or(|since| bendhinge_clock::now().since(*since) < self.settings.accept_period)
    }

    /// Returns by when requests in progress have to end: shortly before the grace period is over.
    fn drain_deadline(&self) -> Instant {
        /// Part of the grace period that is reserved for writing the last responses.
        const WRITE_MARGIN: Duration = Duration::from_millis(400);
        let since = self.stopping_since.get().copied().unwrap_or_else(bendhinge_clock::now);
        since + self.settings.grace_period.saturating_sub(WRITE_MARGIN)
    }

    /// Waits until the accept period is over, no request is in progress and `handing_over` is finished, or until shortly
    /// before the grace period ends.
    pub(crate) async fn wait_until_drained(&self, handing_over: &Task<()>) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        Timer::after(self.settings.accept_period).await;
        let deadline = self.drain_deadline();
        let is_drained = || self.in_progress() == 0 && handing_over.is_finished();
        while !is_drained() && bendhinge_clock::now() < deadline {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Waits until `connections` are closed, or until shortly before the grace period ends. A response that is
    /// complete may not be written yet, as when the caller reads it slowly.
    pub(crate) async fn wait_until_closed(&self, connections: impl Future<Output = ()>) {
        let deadline = async {
            Timer::after(self.drain_deadline().since(bendhinge_clock::now())).await;
        };
        connections.or(deadline).await;
    }
}
