//! Counters of what the connections between routers carry.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters, shared by all connections of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    foreign: AtomicU64,
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
}
