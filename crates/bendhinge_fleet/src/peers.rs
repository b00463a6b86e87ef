//! Latest state of each peer, used to send it only what it lacks.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_ids::Instant;
use rustc_hash::FxHashMap;

use crate::roster::RosterDigest;
use crate::update_log::{LogPosition, RouterIncarnation};

/// State that a peer reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSummary {
    /// Incarnation of the peer, or `None` if it reports none.
    pub incarnation: Option<RouterIncarnation>,
    /// Digest of the members that it knows.
    pub roster_digest: RosterDigest,
    /// Digest of the upstream list that it holds, if any.
    pub upstream_list_digest: Option<u64>,
    /// Digest of its quarantine state.
    pub quarantine_digest: u64,
    /// The digest of its quarantine of prompt parts.
    pub part_quarantine_digest: u64,
}

/// State of a peer as known to this router.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    /// Latest summary received from the peer.
    pub summary: PeerSummary,
    /// Last sequence number of this router's log that this incarnation of the peer acknowledged.
    pub acknowledged: Option<u64>,
    /// Last position of the peer's log that this router received.
    pub received: Option<LogPosition>,
    last_seen: Instant,
}

/// States of all peers that were contacted recently.
#[derive(Debug)]
pub struct PeerStates {
    peers: FxHashMap<SocketAddr, PeerState>,
    retention: Duration,
}

impl PeerStates {
    /// Creates an empty table. Peers without contact for `retention` are evicted.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { peers: FxHashMap::default(), retention }
    }

    /// Returns the state of `peer`.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<&PeerState> {
        self.peers.get(&peer)
    }

    /// Records a summary received from `peer`. A new incarnation resets the log positions.
    pub fn record_summary(&mut self, peer: SocketAddr, summary: PeerSummary, now: Instant) {
        let state = self.peers.entry(peer).or_insert(PeerState {
            summary,
            acknowledged: None,
            received: None,
            last_seen: now,
        });
        if state.summary.incarnation != summary.incarnation {
            state.acknowledged = None;
            state.received = None;
        }
        state.summary = summary;
        state.last_seen = now;
    }

    /// Records that `incarnation` of `peer` acknowledged this router's log up to `sequence`. Ignored if
    /// the peer has restarted since.
    pub fn record_acknowledged(
        &mut self,
        peer: SocketAddr,
        incarnation: Option<RouterIncarnation>,
        sequence: u64,
    ) {
        let state = self.peers.get_mut(&peer).filter(|state| state.summary.incarnation == incarnation);
        if let Some(state) = state {
            state.acknowledged = state.acknowledged.max(Some(sequence));
        }
    }

    /// Records that the log of `peer` was received up to `position`.
    pub fn record_received(&mut self, peer: SocketAddr, position: LogPosition) {
        if let Some(state) = self.peers.get_mut(&peer) {
            let known = state.received.filter(|received| received.incarnation == position.incarnation);
            let sequence =
                known.map_or(position.sequence, |received| received.sequence.max(position.sequence));
            state.received = Some(LogPosition { sequence, ..position });
        }
    }

    /// Evicts the peers that were not contacted within the retention period.
    pub fn evict_idle(&mut self, now: Instant) {
        let retention = self.retention;
        self.peers.retain(|_, state| now.since(state.last_seen) < retention);
    }
}
