//! Which software can have begun the streams of a pool.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{PoolSoftware, SoftwareHistory, UpstreamEntry, UpstreamList, UpstreamState};
use bendhinge_ids::{Instant, NameHash};

const POOL: &str = "engines";
/// How long the streams of the tests last.
const STREAM_AGE: Duration = Duration::from_secs(20);
/// Long enough for all streams, and for upstreams that serve on after they left the list.
const LONG: u64 = 40;

fn at(seconds: u64) -> Instant {
    Instant::default() + Duration::from_secs(1_000 + seconds)
}

fn software(version: &str) -> NameHash {
    NameHash::of(version)
}

fn list(versions: &[&str]) -> UpstreamList {
    let entry = |(number, version): (usize, &&str)| {
        let name = format!("engine-{number}").parse().unwrap();
        Arc::new(UpstreamEntry {
            hash: UpstreamEntry::instance_hash(&name, 0),
            name,
            started_ms: 0,
            software: software(version),
            pool: POOL.parse().unwrap(),
            address: ([127, 0, 0, 1], 9).into(),
            data_centre: "south".parse().unwrap(),
            slots: 8,
            state: UpstreamState::Ready,
            created_revision: 1,
            warm_up: None,
        })
    };
    UpstreamList { entries: versions.iter().enumerate().map(entry).collect(), drained: Vec::new() }
}

/// Confirms the list every second.
fn watch(history: &mut SoftwareHistory, from: u64, to: u64) {
    (from..=to).for_each(|second| history.confirm(at(second)));
}

fn pool_software(history: &SoftwareHistory, second: u64) -> PoolSoftware {
    history.software_of(NameHash::of(POOL), STREAM_AGE, at(second))
}

/// Guards against the only version of a list being taken for the only one that can have begun a stream.
#[test]
fn single_version_counts_only_once_it_was_watched_for_long_enough() {
    let mut history = SoftwareHistory::new(false);
    history.record_list(&list(&["v1", "v1"]), at(0));
    watch(&mut history, 0, LONG);
    assert_eq!(pool_software(&history, 20), PoolSoftware::Unknown);
    assert_eq!(pool_software(&history, LONG), PoolSoftware::Single(software("v1")));
}

#[test]
fn no_stream_is_older_than_the_first_start_of_the_fleet() {
    let mut history = SoftwareHistory::new(true);
    history.record_list(&list(&["v1"]), at(0));
    history.confirm(at(0));
    assert_eq!(pool_software(&history, 1), PoolSoftware::Single(software("v1")));
}

/// Guards against a version that is forgotten as soon as its last upstream has left the list.
#[test]
fn versions_that_left_count_while_their_streams_may_last() {
    let mut history = SoftwareHistory::new(true);
    history.record_list(&list(&["v1", "v2"]), at(0));
    history.record_list(&list(&["v2"]), at(10));
    watch(&mut history, 0, 60);
    assert_eq!(pool_software(&history, 39), PoolSoftware::Several);
    assert_eq!(pool_software(&history, 41), PoolSoftware::Single(software("v2")));
}

/// Guards against a version that came and went while the list was not confirmed.
#[test]
fn gaps_between_confirmations_start_the_watch_anew() {
    let mut history = SoftwareHistory::new(true);
    history.record_list(&list(&["v1"]), at(0));
    watch(&mut history, 0, 50);
    assert_eq!(pool_software(&history, 53), PoolSoftware::Unknown);
    watch(&mut history, 54, 100);
    assert_eq!(pool_software(&history, 60), PoolSoftware::Unknown);
    assert_eq!(pool_software(&history, 90), PoolSoftware::Single(software("v1")));
}

/// Guards against a router that has just started and takes the only version that it sees for that of all streams, and against
/// one that refuses them all because its list was not confirmed for a while.
#[test]
fn seen_version_counts_once_the_list_was_held_for_long_enough() {
    let seen =
        |history: &SoftwareHistory, second| history.seen_software(NameHash::of(POOL), STREAM_AGE, at(second));
    let mut history = SoftwareHistory::new(false);
    history.record_list(&list(&["v2"]), at(0));
    watch(&mut history, 0, 5);
    assert_eq!(seen(&history, 20), PoolSoftware::Unknown);
    watch(&mut history, 25, 30);
    assert_eq!(seen(&history, LONG), PoolSoftware::Single(software("v2")));
    assert_eq!(pool_software(&history, LONG), PoolSoftware::Unknown);

    let mut vouched = SoftwareHistory::new(false);
    vouched.record_list(&list(&["v2"]), at(0));
    vouched.confirm(at(0));
    vouched.merge(&[], Duration::from_secs(LONG), at(0));
    assert_eq!(seen(&vouched, 1), PoolSoftware::Single(software("v2")));
}

#[test]
fn history_of_another_router_is_taken_over() {
    let mut known = SoftwareHistory::new(true);
    known.record_list(&list(&["v1", "v2"]), at(0));
    known.record_list(&list(&["v2"]), at(10));
    watch(&mut known, 0, 20);

    let mut started = SoftwareHistory::new(false);
    started.record_list(&list(&["v2"]), at(20));
    started.confirm(at(20));
    assert_eq!(pool_software(&started, 20), PoolSoftware::Unknown);
    started.merge(&known.served(None, at(20)), known.watched_for(at(20)), at(20));
    assert_eq!(pool_software(&started, 20), PoolSoftware::Several);
    watch(&mut started, 21, 41);
    assert_eq!(pool_software(&started, 41), PoolSoftware::Single(software("v2")));
}

/// Guards against a router that has just started and takes another one's word that knows no more.
#[test]
fn history_of_a_router_that_has_just_started_proves_nothing() {
    let mut first = SoftwareHistory::new(false);
    first.record_list(&list(&["v1"]), at(0));
    watch(&mut first, 0, 5);
    let mut second = first_of(&list(&["v1"]), 3);
    second.merge(&first.served(None, at(5)), first.watched_for(at(5)), at(5));
    watch(&mut second, 4, 8);
    assert_eq!(pool_software(&second, 8), PoolSoftware::Unknown);
    assert_eq!(second.watched_for(at(8)), Duration::from_secs(8));
}

fn first_of(list: &UpstreamList, second: u64) -> SoftwareHistory {
    let mut history = SoftwareHistory::new(false);
    history.record_list(list, at(second));
    history.confirm(at(second));
    history
}

/// Guards against a stream that begins at software which another router, with a list of a moment before, does not know.
#[test]
fn new_software_settles_after_all_routers_know_it() {
    let pool = NameHash::of(POOL);
    let mut history = SoftwareHistory::new(true);
    history.record_list(&list(&["v1", "v2"]), at(0));
    assert!(
        history.is_settled(pool, software("v1"), at(0)) && history.is_settled(pool, software("v2"), at(0))
    );
    history.record_list(&list(&["v1", "v2", "v3"]), at(10));
    assert!(!history.is_settled(pool, software("v3"), at(12)));
    history.record_list(&list(&["v1", "v3"]), at(12));
    assert!(history.is_settled(pool, software("v3"), at(13)));
    assert!(history.is_settled(pool, software("v1"), at(12)));
    // A rollback to a version that left long ago.
    history.record_list(&list(&["v1", "v2", "v3"]), at(60));
    assert!(!history.is_settled(pool, software("v2"), at(60)));
}

#[test]
fn number_of_versions_is_bounded() {
    const MAX_VERSIONS: usize = 16;
    let mut history = SoftwareHistory::new(true);
    for number in 0..100 {
        history.record_list(&list(&["kept", &format!("v{number}")]), at(number));
    }
    let served = history.served(Some(NameHash::of(POOL)), at(100));
    assert_eq!(served.len(), MAX_VERSIONS);
    assert!(served.iter().any(|served| served.software == software("kept")));
    history.prune(at(10_000));
    assert_eq!(history.served(None, at(10_000)).len(), 2);
}
