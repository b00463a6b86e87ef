//! Connections of callers that the gateway closed.

use super::Metrics;

impl Metrics {
    /// Counts a connection closed because the caller did not read its response.
    pub(crate) fn count_slow_caller_disconnect(&self) {
        self.caller_connections.unread.add(1, &[]);
    }

    /// Counts a connection of a caller that was closed because too many were open.
    pub(crate) fn count_refused_connection(&self) {
        self.caller_connections.refused.add(1, &[]);
    }

    /// Counts a connection of a caller that was closed because the memory of its buffers was needed elsewhere.
    pub(crate) fn count_revoked_connection(&self) {
        self.caller_connections.revoked.add(1, &[]);
    }
}
