//! What is remembered of peers ends with their lives.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{LogPosition, PeerStates, PeerSummary, RosterDigest, RouterIncarnation};
use bendhinge_ids::Instant;

const PEER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1)), 7_000);
const FIRST_LIFE: Option<RouterIncarnation> = Some(RouterIncarnation(11));
const SECOND_LIFE: Option<RouterIncarnation> = Some(RouterIncarnation(12));

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn said(life: Option<RouterIncarnation>) -> PeerSummary {
    PeerSummary {
        incarnation: life,
        roster_digest: RosterDigest(1),
        upstream_list_digest: Some(2),
        quarantine_digest: 0,
    }
}

fn states() -> PeerStates {
    PeerStates::new(Duration::from_secs(20))
}

#[test]
fn a_new_life_was_told_nothing_and_told_nothing() {
    let mut peers = states();
    peers.record_summary(PEER, said(FIRST_LIFE), at(0));
    peers.record_acknowledged(PEER, FIRST_LIFE, 40);
    peers.record_received(PEER, LogPosition { incarnation: RouterIncarnation(11), sequence: 7 });
    peers.record_summary(PEER, said(FIRST_LIFE), at(400));
    assert_eq!(peers.get(PEER).unwrap().acknowledged, Some(40));
    assert_eq!(peers.get(PEER).unwrap().received.unwrap().sequence, 7);
    peers.record_summary(PEER, said(SECOND_LIFE), at(800));
    assert_eq!(peers.get(PEER).unwrap().acknowledged, None);
    assert_eq!(peers.get(PEER).unwrap().received, None);
    peers.record_acknowledged(PEER, FIRST_LIFE, 50);
    assert_eq!(peers.get(PEER).unwrap().acknowledged, None, "an answer of the life before comes late");
}

#[test]
fn answers_that_overtake_each_other_take_nothing_back() {
    let mut peers = states();
    peers.record_summary(PEER, said(FIRST_LIFE), at(0));
    peers.record_acknowledged(PEER, FIRST_LIFE, 40);
    peers.record_acknowledged(PEER, FIRST_LIFE, 30);
    assert_eq!(peers.get(PEER).unwrap().acknowledged, Some(40));
    peers.record_received(PEER, LogPosition { incarnation: RouterIncarnation(11), sequence: 7 });
    peers.record_received(PEER, LogPosition { incarnation: RouterIncarnation(11), sequence: 5 });
    assert_eq!(peers.get(PEER).unwrap().received.unwrap().sequence, 7);
}

#[test]
fn who_was_not_talked_to_for_long_is_forgotten() {
    let mut peers = states();
    peers.record_summary(PEER, said(FIRST_LIFE), at(0));
    peers.evict_idle(at(19_000));
    assert!(peers.get(PEER).is_some());
    peers.evict_idle(at(21_000));
    assert!(peers.get(PEER).is_none());
}
