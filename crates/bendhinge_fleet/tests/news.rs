//! Each peer is told each piece of news once.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_fleet::NewsCursors;
use bendhinge_ids::Instant;

const LONGEST: Duration = Duration::from_millis(1_300);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn peer(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

#[test]
fn a_peer_is_told_what_came_since_it_was_told() {
    let mut cursors = NewsCursors::new(LONGEST);
    assert_eq!(cursors.span(peer(1), at(10_000)), LONGEST);
    cursors.told(peer(1), at(10_000));
    assert_eq!(cursors.span(peer(1), at(10_400)), Duration::from_millis(400));
    assert_eq!(cursors.span(peer(2), at(10_400)), LONGEST, "another was told nothing");
    assert_eq!(cursors.span(peer(1), at(19_000)), LONGEST, "old news are not told");
}

#[test]
fn word_that_arrives_late_does_not_bring_news_back() {
    let mut cursors = NewsCursors::new(LONGEST);
    cursors.told(peer(1), at(10_400));
    cursors.told(peer(1), at(10_000));
    assert_eq!(cursors.span(peer(1), at(10_500)), Duration::from_millis(100));
}

#[test]
fn forgetting_changes_nothing_that_is_told() {
    let mut cursors = NewsCursors::new(LONGEST);
    cursors.told(peer(1), at(10_000));
    cursors.told(peer(2), at(11_200));
    cursors.forget(at(11_400));
    assert_eq!(cursors.span(peer(1), at(11_400)), LONGEST);
    assert_eq!(cursors.span(peer(2), at(11_400)), Duration::from_millis(200));
}
