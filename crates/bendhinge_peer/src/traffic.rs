//! Traffic counters of the connections between routers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Traffic counters, shared by all connections of the process.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    rejected: AtomicU64,
    open: AtomicU64,
}

/// Counts a connection as open until dropped.
pub(crate) struct OpenConnectionGuard(Arc<TrafficCounters>);

impl OpenConnectionGuard {
    pub(crate) fn new(traffic: &Arc<TrafficCounters>) -> Self {
        traffic.open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(traffic))
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl TrafficCounters {
    pub(crate) fn record_sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_received(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_rejected(&self) {
        self.rejected.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of bytes sent, without TCP and IP headers.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received, without TCP and IP headers.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of connections closed because a message failed authentication or decoding.
    #[must_use]
    pub fn rejected_connections(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }

    /// Returns the number of open connections, including those opened by peers.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }
}
