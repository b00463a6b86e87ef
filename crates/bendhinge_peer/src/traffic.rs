//! Counters of what the connections between routers carry.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counters, shared by all connections of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    foreign: AtomicU64,
    open: AtomicU64,
}

/// One open connection, counted as long as this is held.
pub(crate) struct OpenConnection(Arc<Traffic>);

impl OpenConnection {
    pub(crate) fn counted_in(traffic: &Arc<Traffic>) -> Self {
        traffic.open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(traffic))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Traffic {
    pub(crate) fn sent(&self, bytes: usize) {
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, bytes: usize) {
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn foreign(&self) {
        self.foreign.fetch_add(1, Ordering::Relaxed);
    }

    /// Bytes sent, without the heads of TCP and IP.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }

    /// Bytes received, likewise.
    #[must_use]
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Connections dropped because their messages were foreign, altered or replayed.
    #[must_use]
    pub fn foreign_connections(&self) -> u64 {
        self.foreign.load(Ordering::Relaxed)
    }

    /// Connections that are open now, those that peers opened among them.
    #[must_use]
    pub fn open_connections(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }
}
