//! Reports of overloaded upstreams, as exchanged with peers.

use std::net::SocketAddr;

use bendhinge_fleet::{UpdateBatch, UpdateSource, UpstreamLoad};
use bendhinge_ids::Instant;
use bendhinge_peer::ObservedLoad;

use super::peers::{observed_load, reported_load, update_source};
use super::upstreams::{State, UpstreamView};

impl UpstreamView {
    /// Returns the reports to send to the gateway at `peer` after the sequence number `sent`.
    pub(crate) fn overloads_for(
        &self,
        peer: SocketAddr,
        sent: u64,
        now: Instant,
    ) -> UpdateBatch<ObservedLoad> {
        let state = self.state.lock().unwrap();
        let UpdateBatch { entries, last_sequence, dropped } =
            state.overloads.since(sent, update_source(peer), now);
        let entries = entries.iter().map(|report| observed_load(report, now)).collect();
        UpdateBatch { entries, last_sequence, dropped }
    }

    /// Records reports that the gateway at `from` sent at once, and queues new ones for other peers. Their ages count
    /// from `as_of`.
    pub(crate) fn record_overloads(&self, loads: &[ObservedLoad], from: SocketAddr, as_of: Instant) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        for load in loads {
            self.record_overload(&mut state, reported_load(load, as_of), update_source(from), now);
        }
    }

    /// Records the report of an overloaded upstream and notifies the control plane if it is new.
    pub(super) fn record_overload(
        &self,
        state: &mut State,
        report: UpstreamLoad,
        source: UpdateSource,
        now: Instant,
    ) {
        let is_active = self.load_settings.overload_reports.is_active(state.engines.is_pace_reported);
        if is_active && state.overloads.record(report, source, now) {
            // A full channel holds a notification already.
            let _ = self.overload_notifier.try_send(());
        }
    }
}
