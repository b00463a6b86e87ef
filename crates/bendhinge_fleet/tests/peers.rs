//! What is remembered of peers ends with their lives.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::{NewsLife, NewsPosition, PeerSaid, PeerStates, RosterDigest};
use bendhinge_ids::Instant;

const PEER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::new(10, 0, 0, 1)), 7_000);
const FIRST_LIFE: Option<NewsLife> = Some(NewsLife(11));
const SECOND_LIFE: Option<NewsLife> = Some(NewsLife(12));

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn said(life: Option<NewsLife>) -> PeerSaid {
    PeerSaid { life, roster: RosterDigest(1), upstreams: Some(2), quarantine: 0 }
}

fn states() -> PeerStates {
    PeerStates::new(Duration::from_secs(20))
}

#[test]
fn a_new_life_was_told_nothing_and_told_nothing() {
    let mut peers = states();
    peers.said(PEER, said(FIRST_LIFE), at(0));
    peers.told(PEER, FIRST_LIFE, 40);
    peers.heard(PEER, NewsPosition { life: NewsLife(11), number: 7 });
    peers.said(PEER, said(FIRST_LIFE), at(400));
    assert_eq!(peers.get(PEER).unwrap().told, Some(40));
    assert_eq!(peers.get(PEER).unwrap().heard.unwrap().number, 7);
    peers.said(PEER, said(SECOND_LIFE), at(800));
    assert_eq!(peers.get(PEER).unwrap().told, None);
    assert_eq!(peers.get(PEER).unwrap().heard, None);
    peers.told(PEER, FIRST_LIFE, 50);
    assert_eq!(peers.get(PEER).unwrap().told, None, "an answer of the life before comes late");
}

#[test]
fn answers_that_overtake_each_other_take_nothing_back() {
    let mut peers = states();
    peers.said(PEER, said(FIRST_LIFE), at(0));
    peers.told(PEER, FIRST_LIFE, 40);
    peers.told(PEER, FIRST_LIFE, 30);
    assert_eq!(peers.get(PEER).unwrap().told, Some(40));
    peers.heard(PEER, NewsPosition { life: NewsLife(11), number: 7 });
    peers.heard(PEER, NewsPosition { life: NewsLife(11), number: 5 });
    assert_eq!(peers.get(PEER).unwrap().heard.unwrap().number, 7);
}

#[test]
fn who_was_not_talked_to_for_long_is_forgotten() {
    let mut peers = states();
    peers.said(PEER, said(FIRST_LIFE), at(0));
    peers.forget(at(19_000));
    assert!(peers.get(PEER).is_some());
    peers.forget(at(21_000));
    assert!(peers.get(PEER).is_none());
}
