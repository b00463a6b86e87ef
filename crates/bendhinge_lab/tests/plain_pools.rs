//! Choosing an upstream of a plain pool and hedging, in virtual time. The load is described in
//! `bench::shared_pool`, all compared ways in `docs/design/PLAIN-POOLS.md`.

use bendhinge_lab::bench::shared_pool::{Choice, Hedge, Load, USUAL, mean};

const SEEDS: [u64; 3] = [20_261_202, 20_261_203, 20_261_204];

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
