//! Tests that the state kept for a peer is bound to its incarnation and expires.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{LogPosition, PeerStates, PeerSummary, RosterDigest, RouterIncarnation};
use bendhinge_ids::Instant;

const PEER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1)), 7_000);
const FIRST_INCARNATION: Option<RouterIncarnation> = Some(RouterIncarnation(11));
const SECOND_INCARNATION: Option<RouterIncarnation> = Some(RouterIncarnation(12));

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn summary(incarnation: Option<RouterIncarnation>) -> PeerSummary {
    PeerSummary {
        incarnation,
        roster_digest: RosterDigest(1),
        upstream_list_digest: Some(2),
        quarantine_digest: 0,
        part_quarantine_digest: 0,
    }
}

fn peer_states() -> PeerStates {
    PeerStates::new(Duration::from_secs(20))
}

#[test]
fn new_incarnation_resets_positions() {
    let mut peers = peer_states();
    peers.record_summary(PEER, summary(FIRST_INCARNATION), at(0));
    peers.record_acknowledged(PEER, FIRST_INCARNATION, 40);
    peers.record_received(PEER, LogPosition { incarnation: RouterIncarnation(11), sequence: 7 });
    peers.record_summary(PEER, summary(FIRST_INCARNATION), at(400));
    assert_eq!(peers.get(PEER).unwrap().acknowledged, Some(40));
    assert_eq!(peers.get(PEER).unwrap().received.unwrap().sequence, 7);
    peers.record_summary(PEER, summary(SECOND_INCARNATION), at(800));
    assert_eq!(peers.get(PEER).unwrap().acknowledged, None);
    assert_eq!(peers.get(PEER).unwrap().received, None);
    peers.record_acknowledged(PEER, FIRST_INCARNATION, 50);
    assert_eq!(
        peers.get(PEER).unwrap().acknowledged,
        None,
        "a late response of the previous incarnation is ignored"
    );
}

#[test]
fn reordered_responses_do_not_move_positions_back() {
    let mut peers = peer_states();
    peers.record_summary(PEER, summary(FIRST_INCARNATION), at(0));
    peers.record_acknowledged(PEER, FIRST_INCARNATION, 40);
    peers.record_acknowledged(PEER, FIRST_INCARNATION, 30);
    assert_eq!(peers.get(PEER).unwrap().acknowledged, Some(40));
    peers.record_received(PEER, LogPosition { incarnation: RouterIncarnation(11), sequence: 7 });
    peers.record_received(PEER, LogPosition { incarnation: RouterIncarnation(11), sequence: 5 });
    assert_eq!(peers.get(PEER).unwrap().received.unwrap().sequence, 7);
}

#[test]
fn idle_peer_is_evicted() {
    let mut peers = peer_states();
    peers.record_summary(PEER, summary(FIRST_INCARNATION), at(0));
    peers.evict_idle(at(19_000));
    assert!(peers.get(PEER).is_some());
    peers.evict_idle(at(21_000));
    assert!(peers.get(PEER).is_none());
}
