//! Each peer is told each piece of news once, however many come at a time.

use std::time::Duration;

use bendhinge_fleet::{UpdateLog, UpdateLogLimits, UpdateSource};
use bendhinge_ids::{Instant, NameHash};

const LIMITS: UpdateLogLimits = UpdateLogLimits {
    max_entries: 2_000,
    max_batch_entries: 100,
    max_age: Duration::from_secs(5),
    max_age_for_new_peer: Duration::from_millis(1_300),
};

const PEER: UpdateSource = UpdateSource::Router(NameHash(1));
const OTHER: UpdateSource = UpdateSource::Router(NameHash(2));

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn a_peer_is_told_what_came_since_it_was_told() {
    let mut log = UpdateLog::new(LIMITS);
    log.push("first", UpdateSource::Local, at(10_000));
    let told = log.since(None, PEER, at(10_000));
    assert_eq!(told.entries, ["first"]);
    log.push("second", OTHER, at(10_400));
    let told_next = log.since(Some(told.last_sequence), PEER, at(10_400));
    assert_eq!(told_next.entries, ["second"]);
    assert!(log.since(Some(told_next.last_sequence), PEER, at(10_800)).entries.is_empty());
    assert_eq!(log.since(None, OTHER, at(10_800)).entries, ["first"], "another was told nothing");
}

#[test]
fn nobody_is_told_what_it_told_itself() {
    let mut log = UpdateLog::new(LIMITS);
    log.push("its own", PEER, at(10_000));
    log.push("another's", OTHER, at(10_000));
    let told = log.since(None, PEER, at(10_000));
    assert_eq!(told.entries, ["another's"]);
    assert_eq!(told.last_sequence, 2);
}

#[test]
fn a_peer_that_was_told_nothing_is_spared_old_news() {
    let mut log = UpdateLog::new(LIMITS);
    log.push("old", OTHER, at(10_000));
    log.push("new", OTHER, at(12_000));
    assert_eq!(log.since(None, PEER, at(12_100)).entries, ["new"]);
    assert_eq!(log.since(Some(0), PEER, at(12_100)).entries, ["old", "new"]);
}

/// A fleet that starts reads all prompts for the first time. What does not fit into a message goes with the
/// next; before, all above 400 pieces was left out, and who was not told had prompts read again elsewhere.
#[test]
fn a_burst_is_told_in_several_messages_and_whole() {
    const BURST: u32 = 1_000;
    let mut log = UpdateLog::new(LIMITS);
    (0..BURST).for_each(|piece| log.push(piece, OTHER, at(10_000)));
    let (mut heard, mut told, mut now) = (Vec::new(), None, 10_000);
    while heard.len() < BURST as usize {
        let news = log.since(told, PEER, at(now));
        assert!(news.entries.len() <= LIMITS.max_batch_entries);
        assert!(!news.entries.is_empty(), "{} of them are lost", BURST as usize - heard.len());
        assert_eq!(news.dropped, 0);
        heard.extend(news.entries);
        told = Some(news.last_sequence);
        now += 400;
    }
    assert_eq!(heard, (0..BURST).collect::<Vec<_>>());
}

#[test]
fn what_is_not_told_any_more_is_counted() {
    let mut log = UpdateLog::new(LIMITS);
    (0..10).for_each(|piece| log.push(piece, OTHER, at(10_000)));
    log.push(10, OTHER, at(16_000));
    let late = log.since(Some(4), PEER, at(16_000));
    assert_eq!((late.entries, late.dropped), (vec![10], 6), "too old");
    log.evict_expired(at(16_000));
    let later = log.since(Some(4), PEER, at(16_000));
    assert_eq!((later.entries, later.dropped), (vec![10], 6), "not kept");
    for piece in 0..LIMITS.max_entries {
        log.push(piece, OTHER, at(16_000));
    }
    let last = log.since(Some(10), PEER, at(16_000));
    assert_eq!(last.dropped, 1, "pushed out by later ones");
}

#[test]
fn a_number_of_a_life_before_is_no_number() {
    let mut log = UpdateLog::new(LIMITS);
    log.push("of this life", OTHER, at(10_000));
    assert_eq!(log.since(Some(5_000), PEER, at(10_000)).entries, ["of this life"]);
}

/// Whatever is lost, delayed or told twice: who goes on asking hears everything in order, as long as it
/// is kept.
#[test]
fn whoever_goes_on_asking_hears_all() {
    arbtest::arbtest(|random| {
        let mut log = UpdateLog::new(LIMITS);
        let (mut pushed, mut heard, mut told) = (0_u32, Vec::new(), 0);
        for _ in 0..random.int_in_range(1..=60)? {
            let now = at(10_000 + u64::from(pushed));
            for _ in 0..random.int_in_range(0..=60)? {
                log.push(pushed, if random.ratio(1, 3)? { PEER } else { OTHER }, now);
                pushed += 1;
            }
            let news = log.since(Some(told), PEER, now);
            // An answer that is lost moves nothing.
            if random.ratio(2, 3)? {
                heard.extend(news.entries);
                told = news.last_sequence;
            }
            if random.ratio(1, 5)? {
                log.evict_expired(now);
            }
        }
        for _ in 0..60 {
            let news = log.since(Some(told), PEER, at(14_000));
            heard.extend(news.entries);
            told = news.last_sequence;
        }
        assert!(heard.is_sorted(), "in order, and none twice");
        assert_eq!(told, u64::from(pushed));
        Ok(())
    });
}
