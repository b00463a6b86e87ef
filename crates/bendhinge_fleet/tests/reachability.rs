//! Detection of partitions from own connections.

use std::time::Duration;

use bendhinge_fleet::{Reachability, ReachabilityChange};
use bendhinge_ids::{Instant, NameHash, PoolName};

const START: Instant = Instant(1_000_000_000);
const POOL_SIZE: usize = 12;

fn pool() -> PoolName {
    "engines".parse().unwrap()
}

fn after(millis: u64) -> Instant {
    START + Duration::from_millis(millis)
}

/// Records failed connections to the upstreams with these numbers, and returns the last change.
fn fail(reachability: &mut Reachability, upstreams: std::ops::Range<u64>, at: Instant) -> ReachabilityChange {
    let mut change = ReachabilityChange::Unchanged;
    for upstream in upstreams {
        change = reachability.record_connect_failure(&pool(), NameHash(upstream), POOL_SIZE, at);
    }
    change
}

fn connect(
    reachability: &mut Reachability,
    upstreams: std::ops::Range<u64>,
    at: Instant,
) -> ReachabilityChange {
    let mut change = ReachabilityChange::Unchanged;
    for upstream in upstreams {
        change = reachability.record_connected(&pool(), NameHash(upstream), POOL_SIZE, at);
    }
    change
}

#[test]
fn failed_connections_to_one_upstream_are_no_partition() {
    let mut reachability = Reachability::default();
    for attempt in 0..10 {
        assert_eq!(fail(&mut reachability, 1..2, after(attempt)), ReachabilityChange::Unchanged);
    }
    assert!(!reachability.is_suspect(&pool(), POOL_SIZE, after(10)));
}

#[test]
fn failed_connections_to_several_upstreams_are_suspect_and_then_a_partition() {
    let mut reachability = Reachability::default();
    assert_eq!(fail(&mut reachability, 0..2, after(0)), ReachabilityChange::Suspected);
    assert!(reachability.is_suspect(&pool(), POOL_SIZE, after(0)));
    assert_eq!(fail(&mut reachability, 2..4, after(0)), ReachabilityChange::Partitioned);
    assert!(reachability.is_partitioned(&pool()));
    assert_eq!(reachability.partitioned_pools().count(), 1);
}

#[test]
fn an_established_connection_ends_a_suspicion() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, 0..2, after(0));
    connect(&mut reachability, 2..3, after(1));
    assert!(!reachability.is_suspect(&pool(), POOL_SIZE, after(1)));
}

/// Guards against a gateway that takes the crash of half a pool for a partition.
#[test]
fn failed_connections_to_half_of_a_pool_are_no_partition() {
    let mut reachability = Reachability::default();
    connect(&mut reachability, 6..12, after(0));
    fail(&mut reachability, 0..6, after(10));
    assert!(!reachability.is_partitioned(&pool()));
}

/// Guards against a gateway that sends all requests to the one upstream that it still reaches.
#[test]
fn one_upstream_that_is_still_reached_does_not_rule_out_a_partition() {
    let mut reachability = Reachability::default();
    connect(&mut reachability, 11..12, after(0));
    fail(&mut reachability, 0..11, after(10));
    assert!(reachability.is_partitioned(&pool()));
    connect(&mut reachability, 11..12, after(20));
    assert!(reachability.is_partitioned(&pool()));
}

#[test]
fn a_partition_is_over_when_half_of_the_recent_connections_are_established() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, 0..8, after(0));
    assert_eq!(connect(&mut reachability, 0..3, after(100)), ReachabilityChange::Unchanged);
    assert_eq!(connect(&mut reachability, 3..4, after(110)), ReachabilityChange::Restored);
    assert!(!reachability.is_partitioned(&pool()));
}

#[test]
fn failures_count_for_a_limited_time() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, 0..3, after(0));
    fail(&mut reachability, 3..4, after(2_500));
    assert!(!reachability.is_partitioned(&pool()));
    assert!(!reachability.is_suspect(&pool(), POOL_SIZE, after(2_500)));
}

#[test]
fn a_pool_of_one_upstream_is_partitioned_by_one_failure() {
    let mut reachability = Reachability::default();
    let change = reachability.record_connect_failure(&pool(), NameHash(0), 1, after(0));
    assert_eq!(change, ReachabilityChange::Partitioned);
    let change = reachability.record_connected(&pool(), NameHash(0), 1, after(1));
    assert_eq!(change, ReachabilityChange::Restored);
}

#[test]
fn responses_of_other_upstreams_show_that_the_links_work() {
    let mut reachability = Reachability::default();
    reachability.record_response(&pool(), NameHash(1), after(10));
    assert!(reachability.has_other_responded(&pool(), NameHash(0), after(10)));
    assert!(!reachability.has_other_responded(&pool(), NameHash(0), after(11)));
    assert!(!reachability.has_other_responded(&pool(), NameHash(1), after(0)));
}

#[test]
fn a_partition_is_forgotten_with_the_upstreams_of_its_pool() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, 0..4, after(0));
    reachability.retain_listed(|_| false);
    assert!(!reachability.is_partitioned(&pool()));
}

/// Guards against a partition that lasts because of failed upstreams that are no longer listed.
#[test]
fn failures_of_upstreams_that_accept_no_work_do_not_count() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, 0..11, after(0));
    reachability.retain_accepting(&pool(), |upstream| upstream == NameHash(11));
    let change = reachability.record_connected(&pool(), NameHash(11), 1, after(10));
    assert_eq!(change, ReachabilityChange::Restored);
}

#[test]
fn any_recent_connection_or_response_shows_that_an_upstream_is_reached() {
    let mut reachability = Reachability::default();
    fail(&mut reachability, 0..11, after(0));
    assert!(!reachability.is_any_reached(&pool(), after(0)));
    connect(&mut reachability, 11..12, after(10));
    assert!(reachability.is_partitioned(&pool()));
    assert!(reachability.is_any_reached(&pool(), after(10)));
    reachability.record_response(&pool(), NameHash(0), after(3_000));
    assert!(reachability.is_any_reached(&pool(), after(3_100)));
    assert!(!reachability.is_any_reached(&pool(), after(4_100)));
}

#[test]
fn failures_are_recent_for_a_limited_time_or_during_a_partition() {
    let mut reachability = Reachability::default();
    connect(&mut reachability, 0..12, after(0));
    assert!(!reachability.has_recent_failure(&pool(), after(0)));
    fail(&mut reachability, 0..1, after(10));
    assert!(reachability.has_recent_failure(&pool(), after(1_000)));
    assert!(!reachability.has_recent_failure(&pool(), after(3_000)));
    fail(&mut reachability, 0..4, after(3_000));
    assert!(reachability.has_recent_failure(&pool(), after(10_000)));
}
