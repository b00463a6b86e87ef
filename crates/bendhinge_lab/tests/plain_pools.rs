//! Choosing an upstream of a plain pool and hedging, in virtual time. The load is described in
//! `bench::shared_pool`, all compared ways in `docs/design/PLAIN-POOLS.md`.

use bendhinge_lab::bench::shared_pool::{Choice, DRAINED_IN_BURST, Hedge, Load, SLOW_AT_TIMES, USUAL, mean};

const SEEDS: [u64; 3] = [20_261_202, 20_261_203, 20_261_204];
/// How gateways choose.
const IN_USE: Choice = Choice::Counted;
/// Fraction of the requests of five seconds that may reach upstreams with over twice the mean load plus three.
const MAX_OVER_LIMIT: f64 = 0.03;

/// Guards against response times that are not shared: each router alone cannot notice a slow upstream.
#[test]
fn an_upstream_that_is_always_slow_gets_fewer_requests() {
    let load = Load { first_slowdown: 3.0, ..USUAL };
    let random = mean((Choice::Random, Hedge::Fixed), load, &SEEDS);
    let expected = mean((Choice::Expected, Hedge::Tail), load, &SEEDS);
    assert!(expected.in_time > random.in_time + 10.0, "{expected:?}, {random:?}");
    assert!(expected.p99_ms < 0.75 * random.p99_ms, "{expected:?}, {random:?}");
}

/// Guards against herding: choosing the fastest upstream sends many requests to the same one.
#[test]
fn equal_upstreams_are_not_herded() {
    let fastest = mean((Choice::Fastest, Hedge::Fixed), USUAL, &SEEDS);
    let expected = mean((Choice::Expected, Hedge::Tail), USUAL, &SEEDS);
    assert!(fastest.over_bound > 20.0, "{fastest:?}");
    assert!(expected.over_bound < 1.0 && expected.in_time > 999.0, "{expected:?}");
}

/// Guards against queues that no router sees: routers draw independently, by counts that are older than the queues.
#[test]
fn plain_upstreams_stay_within_the_load_limit_while_a_data_centre_is_drained() {
    let figures = mean((IN_USE, Hedge::Tail), DRAINED_IN_BURST, &SEEDS);
    assert!(figures.worst_over_bound <= MAX_OVER_LIMIT, "{figures:?}");
}

/// Guards against the same at upstreams that cannot serve their share for a while.
#[test]
fn plain_upstreams_stay_within_the_load_limit_while_some_are_slow() {
    let figures = mean((IN_USE, Hedge::Tail), SLOW_AT_TIMES, &SEEDS);
    assert!(figures.worst_over_bound <= MAX_OVER_LIMIT, "{figures:?}");
}

/// Guards against a model that does not show the fault: a random choice exceeds the load limit, and exact counts do not.
#[test]
fn only_exact_counts_keep_plain_upstreams_within_the_load_limit() {
    for load in [DRAINED_IN_BURST, SLOW_AT_TIMES] {
        let random = mean((Choice::Random, Hedge::Tail), load, &SEEDS);
        let exact = mean((Choice::Exact, Hedge::Tail), load, &SEEDS);
        assert!(random.worst_over_bound > MAX_OVER_LIMIT, "{random:?}");
        assert!(exact.worst_over_bound <= MAX_OVER_LIMIT, "{exact:?}");
    }
}
