//! Which of many routers that start together ask the upstreams what they keep.

use std::time::Duration;

use bendhinge_fleet::{CacheRecovery, CacheRecoveryStep, CacheRecoveryTimings, FleetView};
use bendhinge_ids::Instant;

const LIMITS: CacheRecoveryTimings = CacheRecoveryTimings {
    initial_delay: Duration::from_millis(100),
    per_upstream_delay: Duration::from_millis(5),
    isolated_delay: Duration::from_millis(400),
    rank_step: Duration::from_millis(1_000),
    timeout: Duration::from_millis(6_000),
};

/// With these the first in rank waits a quarter of a second.
const UPSTREAMS: usize = 30;

const fn seen(members: usize, rank: usize) -> FleetView {
    FleetView { live_routers: members, rank, upstream_count: UPSTREAMS }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Plays `routers` that start together and hear of each other within `heard_ms`; those in
/// `dead` never ask. Gives how many asked the upstreams before they learned from one that had.
fn play(routers: usize, heard_ms: usize, dead: &[usize]) -> usize {
    const ASKING_TAKES: usize = 500;
    let plans: Vec<CacheRecovery> = (0..routers).map(|_| CacheRecovery::new(LIMITS, at(0))).collect();
    let mut first_answer: Option<usize> = None;
    let mut asked = vec![false; routers];
    for now in (100..7_000).step_by(100) {
        let is_told = first_answer.is_some_and(|answer| now >= answer);
        let known = 1 + (routers - 1) * now.min(heard_ms) / heard_ms;
        for router in (0..routers).filter(|router| !dead.contains(router)) {
            // A router that knows few others takes itself for one of the first.
            let rank = if known < routers { router * known / routers } else { router };
            let seen = FleetView { live_routers: known, rank, upstream_count: UPSTREAMS };
            let step = plans[router].next_step(seen, at(now as u64));
            if step == CacheRecoveryStep::QueryUpstreams && !asked[router] && !is_told {
                asked[router] = true;
                first_answer.get_or_insert(now + ASKING_TAKES);
            }
        }
    }
    asked.iter().filter(|asked| **asked).count()
}

#[test]
fn one_of_many_that_start_together_and_know_each_other_asks() {
    for routers in [2, 9, 64, 460] {
        assert_eq!(play(routers, 200, &[]), 1, "{routers} routers");
    }
}

/// Some that have heard of few others take themselves for the first.
#[test]
fn few_ask_where_hearing_of_all_takes_longer() {
    for routers in [2, 9, 64, 460] {
        let asked = play(routers, 700, &[]);
        assert!((1..=3).contains(&asked), "{asked} of {routers} routers");
    }
}

#[test]
fn the_next_in_rank_asks_when_the_first_does_not() {
    assert_eq!(play(64, 200, &[0]), 1);
    assert_eq!(play(64, 200, &[0, 1]), 1);
}

#[test]
fn a_router_alone_looks_for_others_first() {
    let alone = CacheRecovery::new(LIMITS, at(0));
    assert_eq!(alone.next_step(seen(1, 0), at(100)), CacheRecoveryStep::Wait);
    assert_eq!(
        alone.next_step(seen(1, 0), at(600)),
        CacheRecoveryStep::Wait,
        "its seeds may be starting, too"
    );
    assert_eq!(alone.next_step(seen(1, 0), at(800)), CacheRecoveryStep::QueryUpstreams);
}

/// Each newly heard member put the question off before, for four seconds in a fleet of 64.
#[test]
fn members_that_are_heard_of_later_put_nothing_off() {
    let first = CacheRecovery::new(LIMITS, at(0));
    assert_eq!(first.next_step(seen(40, 0), at(200)), CacheRecoveryStep::Wait);
    assert_eq!(first.next_step(seen(60, 0), at(300)), CacheRecoveryStep::QueryUpstreams);
}

/// Each of many that take themselves for the first would ask all upstreams.
#[test]
fn the_more_upstreams_there_are_the_longer_it_waits() {
    let first = CacheRecovery::new(LIMITS, at(0));
    let among = |upstreams| FleetView { upstream_count: upstreams, ..seen(40, 0) };
    assert_eq!(first.next_step(among(10), at(200)), CacheRecoveryStep::QueryUpstreams);
    assert_eq!(first.next_step(among(100), at(500)), CacheRecoveryStep::Wait);
    assert_eq!(first.next_step(among(100), at(700)), CacheRecoveryStep::QueryUpstreams);
}

#[test]
fn it_ends() {
    let last = CacheRecovery::new(LIMITS, at(0));
    assert_eq!(last.next_step(seen(64, 63), at(100)), CacheRecoveryStep::Wait);
    assert_eq!(last.next_step(seen(64, 63), at(6_100)), CacheRecoveryStep::GiveUp);
}
