//! What each peer said last of itself, and what it was told: both decide how little a message may say.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_ids::Instant;
use rustc_hash::FxHashMap;

use crate::news::{NewsLife, NewsPosition};
use crate::roster::RosterDigest;

/// What a peer said of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerSaid {
    /// Its life; `None` if it says none.
    pub life: Option<NewsLife>,
    /// Which members it knows.
    pub roster: RosterDigest,
    /// The digest of the list of upstreams that it holds, if it holds one.
    pub upstreams: Option<u64>,
    /// The digest of what it knows of requests that crash upstreams.
    pub quarantine: u64,
}

/// What is known of a peer.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    /// What it said last.
    pub said: PeerSaid,
    /// Up to which of the own news it was told in this life of its.
    pub told: Option<u64>,
    /// Up to which of its news this router heard.
    pub heard: Option<NewsPosition>,
    at: Instant,
}

/// What is known of all peers that were talked to lately.
#[derive(Debug)]
pub struct PeerStates {
    peers: FxHashMap<SocketAddr, PeerState>,
    kept_for: Duration,
}

impl PeerStates {
    /// Nobody was talked to. A peer that was not for `kept_for` is forgotten.
    #[must_use]
    pub fn new(kept_for: Duration) -> Self {
        Self { peers: FxHashMap::default(), kept_for }
    }

    /// What is known of `peer`.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<&PeerState> {
        self.peers.get(&peer)
    }

    /// Notes what `peer` said of itself. A new life of it was told nothing.
    pub fn said(&mut self, peer: SocketAddr, said: PeerSaid, now: Instant) {
        let state = self.peers.entry(peer).or_insert(PeerState { said, told: None, heard: None, at: now });
        if state.said.life != said.life {
            state.told = None;
            state.heard = None;
        }
        state.said = said;
        state.at = now;
    }

    /// Notes that `peer`, as it said that it was `life`, took in the own news up to `number`.
    pub fn told(&mut self, peer: SocketAddr, life: Option<NewsLife>, number: u64) {
        let state = self.peers.get_mut(&peer).filter(|state| state.said.life == life);
        if let Some(state) = state {
            state.told = state.told.max(Some(number));
        }
    }

    /// Notes that the news of `peer` were heard up to `position`.
    pub fn heard(&mut self, peer: SocketAddr, position: NewsPosition) {
        if let Some(state) = self.peers.get_mut(&peer) {
            let before = state.heard.filter(|heard| heard.life == position.life);
            let number = before.map_or(position.number, |heard| heard.number.max(position.number));
            state.heard = Some(NewsPosition { number, ..position });
        }
    }

    /// Forgets peers that were not talked to for long.
    pub fn forget(&mut self, now: Instant) {
        let kept_for = self.kept_for;
        self.peers.retain(|_, state| now.since(state.at) < kept_for);
    }
}
