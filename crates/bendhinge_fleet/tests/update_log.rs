//! Tests that each peer receives each update once, including bursts of updates.

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
fn peer_receives_entries_since_its_position() {
    let mut log = UpdateLog::new(LIMITS);
    log.push("first", UpdateSource::Local, at(10_000));
    let first_batch = log.since(None, PEER, at(10_000));
    assert_eq!(first_batch.entries, ["first"]);
    log.push("second", OTHER, at(10_400));
    let next_batch = log.since(Some(first_batch.last_sequence), PEER, at(10_400));
    assert_eq!(next_batch.entries, ["second"]);
    assert!(log.since(Some(next_batch.last_sequence), PEER, at(10_800)).entries.is_empty());
    assert_eq!(
        log.since(None, OTHER, at(10_800)).entries,
        ["first"],
        "the other peer has received nothing yet"
    );
}

#[test]
fn entries_of_the_receiver_are_left_out() {
    let mut log = UpdateLog::new(LIMITS);
    log.push("its own", PEER, at(10_000));
    log.push("another's", OTHER, at(10_000));
    let batch = log.since(None, PEER, at(10_000));
    assert_eq!(batch.entries, ["another's"]);
    assert_eq!(batch.last_sequence, 2);
}

#[test]
fn new_peer_does_not_receive_old_entries() {
    let mut log = UpdateLog::new(LIMITS);
    log.push("old", OTHER, at(10_000));
    log.push("new", OTHER, at(12_000));
    assert_eq!(log.since(None, PEER, at(12_100)).entries, ["new"]);
    assert_eq!(log.since(Some(0), PEER, at(12_100)).entries, ["old", "new"]);
}

/// A burst that exceeds one message continues in the next ones without loss.
#[test]
fn burst_is_split_without_loss() {
    const BURST_ENTRIES: u32 = 1_000;
    let mut log = UpdateLog::new(LIMITS);
    (0..BURST_ENTRIES).for_each(|entry| log.push(entry, OTHER, at(10_000)));
    let (mut received, mut position, mut now) = (Vec::new(), None, 10_000);
    while received.len() < BURST_ENTRIES as usize {
        let batch = log.since(position, PEER, at(now));
        assert!(batch.entries.len() <= LIMITS.max_batch_entries);
        assert!(!batch.entries.is_empty(), "{} entries are lost", BURST_ENTRIES as usize - received.len());
        assert_eq!(batch.dropped, 0);
        received.extend(batch.entries);
        position = Some(batch.last_sequence);
        now += 400;
    }
    assert_eq!(received, (0..BURST_ENTRIES).collect::<Vec<_>>());
}

#[test]
fn dropped_entries_are_counted() {
    let mut log = UpdateLog::new(LIMITS);
    (0..10).for_each(|entry| log.push(entry, OTHER, at(10_000)));
    log.push(10, OTHER, at(16_000));
    let batch_after_expiry = log.since(Some(4), PEER, at(16_000));
    assert_eq!((batch_after_expiry.entries, batch_after_expiry.dropped), (vec![10], 6), "expired");
    log.evict_expired(at(16_000));
    let batch_after_eviction = log.since(Some(4), PEER, at(16_000));
    assert_eq!((batch_after_eviction.entries, batch_after_eviction.dropped), (vec![10], 6), "evicted");
    for entry in 0..LIMITS.max_entries {
        log.push(entry, OTHER, at(16_000));
    }
    let batch_after_overflow = log.since(Some(10), PEER, at(16_000));
    assert_eq!(batch_after_overflow.dropped, 1, "evicted by later entries");
}

#[test]
fn sequence_number_of_an_earlier_incarnation_is_ignored() {
    let mut log = UpdateLog::new(LIMITS);
    log.push("of this life", OTHER, at(10_000));
    assert_eq!(log.since(Some(5_000), PEER, at(10_000)).entries, ["of this life"]);
}

/// Random losses and evictions: a peer that keeps requesting receives all entries in order while they
/// are kept.
#[test]
fn polling_peer_receives_all_entries() {
    arbtest::arbtest(|random| {
        let mut log = UpdateLog::new(LIMITS);
        let (mut pushed, mut received, mut position) = (0_u32, Vec::new(), 0);
        for _ in 0..random.int_in_range(1..=60)? {
            let now = at(10_000 + u64::from(pushed));
            for _ in 0..random.int_in_range(0..=60)? {
                log.push(pushed, if random.ratio(1, 3)? { PEER } else { OTHER }, now);
                pushed += 1;
            }
            let batch = log.since(Some(position), PEER, now);
            // A lost response does not advance the position.
            if random.ratio(2, 3)? {
                received.extend(batch.entries);
                position = batch.last_sequence;
            }
            if random.ratio(1, 5)? {
                log.evict_expired(now);
            }
        }
        for _ in 0..60 {
            let batch = log.since(Some(position), PEER, at(14_000));
            received.extend(batch.entries);
            position = batch.last_sequence;
        }
        assert!(received.is_sorted(), "entries are out of order");
        assert_eq!(position, u64::from(pushed));
        Ok(())
    });
}
