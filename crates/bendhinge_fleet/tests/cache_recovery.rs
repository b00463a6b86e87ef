//! Tests which of the routers that start together query the upstreams.

use std::time::Duration;

use bendhinge_fleet::{CacheRecovery, CacheRecoveryStep, CacheRecoveryTimings, FleetView};
use bendhinge_ids::Instant;

const TIMINGS: CacheRecoveryTimings = CacheRecoveryTimings {
    initial_delay: Duration::from_millis(100),
    per_upstream_delay: Duration::from_millis(5),
    isolated_delay: Duration::from_millis(400),
    rank_step: Duration::from_millis(1_000),
    timeout: Duration::from_millis(6_000),
};

/// With this number of upstreams the first rank waits 250 ms.
const UPSTREAM_COUNT: usize = 30;

const fn view(live_routers: usize, rank: usize) -> FleetView {
    FleetView { live_routers, rank, upstream_count: UPSTREAM_COUNT }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// Simulates `routers` that start together and discover each other within `discovery_ms`; those in
/// `dead` never query. Returns how many queried the upstreams before they received the result of another
/// one.
fn simulate(routers: usize, discovery_ms: usize, dead: &[usize]) -> usize {
    const QUERY_DURATION_MS: usize = 500;
    let recoveries: Vec<CacheRecovery> = (0..routers).map(|_| CacheRecovery::new(TIMINGS, at(0))).collect();
    let mut first_result_at: Option<usize> = None;
    let mut has_queried = vec![false; routers];
    for now in (100..7_000).step_by(100) {
        let has_result = first_result_at.is_some_and(|answer| now >= answer);
        let discovered = 1 + (routers - 1) * now.min(discovery_ms) / discovery_ms;
        for router in (0..routers).filter(|router| !dead.contains(router)) {
            // A router that knows few others assumes one of the first ranks.
            let rank = if discovered < routers { router * discovered / routers } else { router };
            let view = FleetView { live_routers: discovered, rank, upstream_count: UPSTREAM_COUNT };
            let step = recoveries[router].next_step(view, at(now as u64));
            if step == CacheRecoveryStep::QueryUpstreams && !has_queried[router] && !has_result {
                has_queried[router] = true;
                first_result_at.get_or_insert(now + QUERY_DURATION_MS);
            }
        }
    }
    has_queried.iter().filter(|has_queried| **has_queried).count()
}

#[test]
fn one_router_queries_if_all_know_each_other() {
    for routers in [2, 9, 64, 460] {
        assert_eq!(simulate(routers, 200, &[]), 1, "{routers} routers");
    }
}

/// Routers that have discovered few others may assume the first rank.
#[test]
fn few_routers_query_if_discovery_is_slow() {
    for routers in [2, 9, 64, 460] {
        let query_count = simulate(routers, 700, &[]);
        assert!((1..=3).contains(&query_count), "{query_count} of {routers} routers");
    }
}

#[test]
fn next_rank_queries_if_the_first_does_not() {
    assert_eq!(simulate(64, 200, &[0]), 1);
    assert_eq!(simulate(64, 200, &[0, 1]), 1);
}

#[test]
fn isolated_router_waits_for_discovery() {
    let recovery = CacheRecovery::new(TIMINGS, at(0));
    assert_eq!(recovery.next_step(view(1, 0), at(100)), CacheRecoveryStep::Wait);
    assert_eq!(
        recovery.next_step(view(1, 0), at(600)),
        CacheRecoveryStep::Wait,
        "the seeds may be starting as well"
    );
    assert_eq!(recovery.next_step(view(1, 0), at(800)), CacheRecoveryStep::QueryUpstreams);
}

/// Discovering further members must not postpone the query.
#[test]
fn later_discoveries_do_not_postpone_the_query() {
    let recovery = CacheRecovery::new(TIMINGS, at(0));
    assert_eq!(recovery.next_step(view(40, 0), at(200)), CacheRecoveryStep::Wait);
    assert_eq!(recovery.next_step(view(60, 0), at(300)), CacheRecoveryStep::QueryUpstreams);
}

/// A longer wait limits how many routers assume the first rank and query all upstreams.
#[test]
fn delay_grows_with_the_number_of_upstreams() {
    let recovery = CacheRecovery::new(TIMINGS, at(0));
    let with_upstreams = |upstream_count| FleetView { upstream_count, ..view(40, 0) };
    assert_eq!(recovery.next_step(with_upstreams(10), at(200)), CacheRecoveryStep::QueryUpstreams);
    assert_eq!(recovery.next_step(with_upstreams(100), at(500)), CacheRecoveryStep::Wait);
    assert_eq!(recovery.next_step(with_upstreams(100), at(700)), CacheRecoveryStep::QueryUpstreams);
}

#[test]
fn recovery_times_out() {
    let recovery = CacheRecovery::new(TIMINGS, at(0));
    assert_eq!(recovery.next_step(view(64, 63), at(100)), CacheRecoveryStep::Wait);
    assert_eq!(recovery.next_step(view(64, 63), at(6_100)), CacheRecoveryStep::GiveUp);
}
