//! Who reads the store, and when.

use std::time::Duration;

use bendhinge_fleet::{StoreReadSchedule, StoreReadTimings};
use bendhinge_ids::Instant;

const LIMITS: StoreReadTimings = StoreReadTimings {
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
fn patience_grows_with_rank_up_to_a_limit() {
    let plan = StoreReadSchedule::new(LIMITS);
    let patience: Vec<u128> = (0..5).map(|rank| plan.read_age(rank, NO_COST).as_millis()).collect();
    assert_eq!(patience, [700, 1_300, 1_900, 2_200, 2_200]);
    assert_eq!(plan.read_age(usize::MAX, NO_COST), LIMITS.max_age);
}

#[test]
fn a_router_that_believes_nothing_reads_at_once_but_not_in_a_loop() {
    let mut plan = StoreReadSchedule::new(LIMITS);
    assert_eq!(plan.time_until_read(None, 3, NO_COST, at(1_000)), Duration::ZERO);
    plan.record_success(at(1_010));
    assert_eq!(
        plan.time_until_read(None, 3, NO_COST, at(1_010)),
        millis(1_000),
        "the store held nothing yet"
    );
    assert_eq!(plan.time_until_read(None, 3, NO_COST, at(2_010)), Duration::ZERO);
    assert!(plan.time_until_read(None, 30, NO_COST, at(2_010)) > millis(3_000), "those in front ask for it");
}

#[test]
fn a_router_reads_when_its_belief_is_as_old_as_its_rank_allows() {
    let plan = StoreReadSchedule::new(LIMITS);
    assert_eq!(plan.time_until_read(Some(millis(200)), 0, NO_COST, at(5_000)), millis(500));
    assert_eq!(plan.time_until_read(Some(millis(900)), 0, NO_COST, at(5_000)), Duration::ZERO);
    assert_eq!(plan.time_until_read(Some(millis(900)), 1, NO_COST, at(5_000)), millis(400));
}

/// The rules can be a megabyte, a second on the narrowest link: were they read each 0.7 s, nothing else
/// had room there, and were all to read when they are 2.2 s old, all would read all the time.
#[test]
fn what_takes_long_to_read_is_read_more_seldom_and_by_few() {
    let plan = StoreReadSchedule::new(LIMITS);
    let cost = millis(1_000);
    assert_eq!(plan.read_age(0, cost), millis(1_700));
    assert_eq!(plan.read_age(1, cost), millis(2_300));
    let oldest_of_the_first = plan.read_age(0, cost) + cost;
    assert!(plan.read_age(73, cost) > oldest_of_the_first);
}

#[test]
fn a_router_that_is_turned_away_is_patient_only_while_it_hears_from_others() {
    let mut plan = StoreReadSchedule::new(LIMITS);
    plan.record_failure(at(1_000));
    assert!(plan.is_failing());
    assert_eq!(plan.time_until_read(Some(millis(200)), 0, NO_COST, at(1_100)), millis(1_900));
    // The pause does not outlast the age at which all read: it is short of that of a leaving upstream.
    assert_eq!(plan.time_until_read(Some(millis(800)), 0, NO_COST, at(1_100)), millis(1_400));
    assert_eq!(plan.time_until_read(Some(millis(2_500)), 0, NO_COST, at(1_100)), millis(200));
    plan.record_success(at(1_500));
    assert!(!plan.is_failing());
    assert_eq!(plan.time_until_read(Some(millis(800)), 0, NO_COST, at(1_500)), Duration::ZERO);
}

/// Calls that routers of these `ranks` make to a store that is down for `down_ms`, by rank.
fn calls_in_outage(ranks: std::ops::Range<usize>, down_ms: u64) -> Vec<u32> {
    let calls = |rank| {
        let mut plan = StoreReadSchedule::new(LIMITS);
        let mut calls = 0;
        for now in (10_000..10_000 + down_ms).step_by(50) {
            let age = millis(now - 7_000);
            if plan.time_until_read(Some(age), rank, NO_COST, at(now)).is_zero() {
                plan.record_failure(at(now));
                calls += 1;
            }
        }
        calls
    };
    ranks.map(calls).collect()
}

/// A store that is down is asked often by a few, and seldom by the others.
#[test]
fn a_store_that_is_down_is_not_asked_by_all() {
    let calls = calls_in_outage(0..74, 4_500);
    assert!(calls[..4].iter().all(|calls| *calls >= 12), "the first ask all the time: {calls:?}");
    assert!(calls[..16].iter().all(|calls| *calls >= 4), "some others ask soon: {calls:?}");
    let total: u32 = calls.iter().sum();
    assert!(total <= 260, "{total} calls");
}

/// Nobody stops asking, however late in rank: whom nobody tells that the store is back still learns it.
#[test]
fn nobody_gives_up_a_store_that_is_down() {
    let calls = calls_in_outage(0..295, 120_000);
    assert!(calls.iter().all(|calls| *calls >= 4), "{calls:?}");
}

/// What a store that is down is asked, after each router's first question, does not grow with the fleet.
#[test]
fn a_store_that_is_down_is_not_asked_more_by_a_larger_fleet() {
    const DOWN_MS: u64 = 12_000;
    let later = |routers: usize| {
        let calls = calls_in_outage(0..routers, DOWN_MS);
        calls.iter().map(|calls| calls - 1).sum::<u32>()
    };
    assert!(later(295) <= later(74) + later(74) / 4, "{} against {}", later(295), later(74));
    assert!(later(3_705) <= later(74) + later(74) / 2, "{}", later(3_705));
}

/// A router that has just started waits until it has heard of the others; one that holds a list knows its rank.
#[test]
fn a_long_list_is_read_to_its_end_by_rank() {
    let plan = StoreReadSchedule::new(LIMITS);
    assert_eq!(plan.full_list_delay(0, true), Duration::ZERO);
    assert_eq!(plan.full_list_delay(3, true), LIMITS.rank_step * 3);
    assert!(plan.full_list_delay(0, false) > Duration::ZERO);
    assert_eq!(plan.full_list_delay(3, false), plan.full_list_delay(0, false) + LIMITS.rank_step * 3);
    assert!(plan.full_list_delay(usize::MAX, false) > Duration::from_hours(1));
}
