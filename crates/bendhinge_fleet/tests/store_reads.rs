//! Tests when each rank reads the store.

use std::time::Duration;

use bendhinge_fleet::{StoreReadSchedule, StoreReadTimings};
use bendhinge_ids::Instant;

const TIMINGS: StoreReadTimings = StoreReadTimings {
    first_rank_age: Duration::from_millis(700),
    rank_step: Duration::from_millis(600),
    max_age: Duration::from_millis(2_200),
    retry_delay: Duration::from_millis(2_000),
    urgent_retry_delay: Duration::from_millis(300),
};

const NO_COST: Duration = Duration::ZERO;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn read_age_grows_with_rank_up_to_a_limit() {
    let schedule = StoreReadSchedule::new(TIMINGS);
    let read_ages: Vec<u128> = (0..5).map(|rank| schedule.read_age(rank, NO_COST).as_millis()).collect();
    assert_eq!(read_ages, [700, 1_300, 1_900, 2_200, 2_200]);
    assert_eq!(schedule.read_age(usize::MAX, NO_COST), TIMINGS.max_age);
}

#[test]
fn empty_replica_is_read_at_once_but_not_in_a_loop() {
    let mut schedule = StoreReadSchedule::new(TIMINGS);
    assert_eq!(schedule.time_until_read(None, 3, NO_COST, at(1_000)), Duration::ZERO);
    schedule.record_success(at(1_010));
    assert_eq!(schedule.time_until_read(None, 3, NO_COST, at(1_010)), millis(1_000), "the store was empty");
    assert_eq!(schedule.time_until_read(None, 3, NO_COST, at(2_010)), Duration::ZERO);
    assert!(
        schedule.time_until_read(None, 30, NO_COST, at(2_010)) > millis(3_000),
        "earlier ranks read for it"
    );
}

#[test]
fn read_is_due_at_the_age_of_the_rank() {
    let schedule = StoreReadSchedule::new(TIMINGS);
    assert_eq!(schedule.time_until_read(Some(millis(200)), 0, NO_COST, at(5_000)), millis(500));
    assert_eq!(schedule.time_until_read(Some(millis(900)), 0, NO_COST, at(5_000)), Duration::ZERO);
    assert_eq!(schedule.time_until_read(Some(millis(900)), 1, NO_COST, at(5_000)), millis(400));
}

/// An expensive read must neither saturate the link of the first rank nor trigger reads by all ranks.
#[test]
fn expensive_reads_are_rarer_and_left_to_few() {
    let schedule = StoreReadSchedule::new(TIMINGS);
    let cost = millis(1_000);
    assert_eq!(schedule.read_age(0, cost), millis(1_700));
    assert_eq!(schedule.read_age(1, cost), millis(2_300));
    let max_age_of_first_rank = schedule.read_age(0, cost) + cost;
    assert!(schedule.read_age(73, cost) > max_age_of_first_rank);
}

#[test]
fn failed_read_is_delayed_only_until_the_maximum_age() {
    let mut schedule = StoreReadSchedule::new(TIMINGS);
    schedule.record_failure(at(1_000));
    assert!(schedule.is_failing());
    assert_eq!(schedule.time_until_read(Some(millis(200)), 0, NO_COST, at(1_100)), millis(1_900));
    // The delay ends at the maximum age.
    assert_eq!(schedule.time_until_read(Some(millis(800)), 0, NO_COST, at(1_100)), millis(1_400));
    assert_eq!(schedule.time_until_read(Some(millis(2_500)), 0, NO_COST, at(1_100)), millis(200));
    schedule.record_success(at(1_500));
    assert!(!schedule.is_failing());
    assert_eq!(schedule.time_until_read(Some(millis(800)), 0, NO_COST, at(1_500)), Duration::ZERO);
}

/// Returns the number of calls of each of the `ranks` to a store that is down for `down_ms`.
fn calls_in_outage(ranks: std::ops::Range<usize>, down_ms: u64) -> Vec<u32> {
    let calls = |rank| {
        let mut schedule = StoreReadSchedule::new(TIMINGS);
        let mut calls = 0;
        for now in (10_000..10_000 + down_ms).step_by(50) {
            let age = millis(now - 7_000);
            if schedule.time_until_read(Some(age), rank, NO_COST, at(now)).is_zero() {
                schedule.record_failure(at(now));
                calls += 1;
            }
        }
        calls
    };
    ranks.map(calls).collect()
}

/// The first ranks retry often and the others seldom, so that a store that is down is not flooded.
#[test]
fn most_ranks_seldom_call_a_store_that_is_down() {
    let calls = calls_in_outage(0..74, 4_500);
    assert!(calls[..4].iter().all(|calls| *calls >= 12), "the first ranks retry often: {calls:?}");
    assert!(calls[..16].iter().all(|calls| *calls >= 4), "the next ranks retry: {calls:?}");
    let total: u32 = calls.iter().sum();
    assert!(total <= 260, "{total} calls");
}

/// Every rank keeps retrying, so that a router without peers notices that the store is back.
#[test]
fn every_rank_keeps_calling_a_store_that_is_down() {
    let calls = calls_in_outage(0..295, 120_000);
    assert!(calls.iter().all(|calls| *calls >= 4), "{calls:?}");
}

/// After each router's first call, the load on a store that is down is nearly independent of the fleet
/// size.
#[test]
fn calls_to_a_store_that_is_down_do_not_grow_with_the_fleet() {
    const DOWN_MS: u64 = 12_000;
    let repeated_calls = |routers: usize| {
        let calls = calls_in_outage(0..routers, DOWN_MS);
        calls.iter().map(|calls| calls - 1).sum::<u32>()
    };
    assert!(
        repeated_calls(295) <= repeated_calls(74) + repeated_calls(74) / 4,
        "{} against {}",
        repeated_calls(295),
        repeated_calls(74)
    );
    assert!(
        repeated_calls(3_705) <= repeated_calls(74) + repeated_calls(74) / 2,
        "{}",
        repeated_calls(3_705)
    );
}

/// A router that has just started first discovers the others. One that holds a list already knows its
/// rank.
#[test]
fn full_list_delay_grows_with_rank() {
    let schedule = StoreReadSchedule::new(TIMINGS);
    assert_eq!(schedule.full_list_delay(0, true), Duration::ZERO);
    assert_eq!(schedule.full_list_delay(3, true), TIMINGS.rank_step * 3);
    assert!(schedule.full_list_delay(0, false) > Duration::ZERO);
    assert_eq!(
        schedule.full_list_delay(3, false),
        schedule.full_list_delay(0, false) + TIMINGS.rank_step * 3
    );
    assert!(schedule.full_list_delay(usize::MAX, false) > Duration::from_hours(1));
}
