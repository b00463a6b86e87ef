//! What each peer said last of itself, and what it was told: both decide how little a message may say.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_ids::Instant;
use rustc_hash::FxHashMap;

use crate::roster::RosterDigest;
use crate::update_log::{LogPosition, RouterIncarnation};

/// What a peer said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSummary {
    /// Its life; `None` if it says none.
    pub incarnation: Option<RouterIncarnation>,
    /// Which members it knows.
    pub roster_digest: RosterDigest,
    /// The digest of the list of upstreams that it holds, if it holds one.
    pub upstream_list_digest: Option<u64>,
    /// The digest of what it knows of requests that crash upstreams.
    pub quarantine_digest: u64,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    /// What it said last.
    pub summary: PeerSummary,
    /// Up to which of the own news it was told in this life of its.
    pub acknowledged: Option<u64>,
    /// Up to which of its news this router heard.
    pub received: Option<LogPosition>,
    last_seen: Instant,
}

/// What is known of all peers that were talked to lately.
#[derive(Debug)]
pub struct PeerStates {
    peers: FxHashMap<SocketAddr, PeerState>,
    retention: Duration,
}

impl PeerStates {
    /// Nobody was talked to. A peer that was not for `kept_for` is forgotten.
    #[must_use]
    pub fn new(retention: Duration) -> Self {
        Self { peers: FxHashMap::default(), retention }
    }

    /// What is known of `peer`.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<&PeerState> {
        self.peers.get(&peer)
    }

    /// Notes what `peer` said of itself. A new life of it was told nothing.
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

    /// Notes that `peer`, as it said that it was `life`, took in the own news up to `number`.
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

    /// Notes that the news of `peer` were heard up to `position`.
    pub fn record_received(&mut self, peer: SocketAddr, position: LogPosition) {
        if let Some(state) = self.peers.get_mut(&peer) {
            let known = state.received.filter(|received| received.incarnation == position.incarnation);
            let sequence =
                known.map_or(position.sequence, |received| received.sequence.max(position.sequence));
            state.received = Some(LogPosition { sequence, ..position });
        }
    }

    /// Forgets peers that were not talked to for long.
    pub fn evict_idle(&mut self, now: Instant) {
        let retention = self.retention;
        self.peers.retain(|_, state| now.since(state.last_seen) < retention);
    }
}
