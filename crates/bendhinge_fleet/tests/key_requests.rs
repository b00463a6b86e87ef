//! Tests the count of requests in progress by affinity key.

use bendhinge_fleet::{FleetTotals, KeyRequests, TotalKey, UpdateSource};
use bendhinge_ids::{Instant, NameHash};

const NOW: Instant = Instant::from_millis(1_000);
const RELAY: UpdateSource = UpdateSource::Router(NameHash(1));
const MEMBER: UpdateSource = UpdateSource::Router(NameHash(2));
const ROUTERS: usize = 60;

fn key(number: u64) -> TotalKey {
    KeyRequests::key(NameHash(9), number)
}

fn with_requests(counts: &[(u64, usize)]) -> KeyRequests {
    let mut requests = KeyRequests::default();
    for (number, count) in counts {
        (0..*count).for_each(|_| requests.start(key(*number)));
    }
    requests
}

fn assert_estimate(requests: &KeyRequests, totals: &FleetTotals, number: u64, expected: f32) {
    let estimate = requests.estimate(key(number), totals, ROUTERS, NOW);
    assert!((estimate - expected).abs() < 0.01, "{estimate} for key {number}");
}

/// Guards against several homes for each prompt that a router happens to send once.
#[test]
fn a_single_own_request_says_nothing_of_the_other_routers() {
    let requests = with_requests(&[(1, 1), (2, 2)]);
    let totals = FleetTotals::default();
    assert_estimate(&requests, &totals, 1, 0.0);
    assert_estimate(&requests, &totals, 2, 60.0);
    assert_eq!(requests.own_figures().len(), 1);
}

/// Guards against a router that knows only of its own requests with a prompt.
#[test]
fn the_total_of_the_fleet_counts_at_each_router() {
    let mut relay = FleetTotals::default();
    relay.set_own(with_requests(&[(1, 5)]).own_figures(), NOW);
    let mut member = FleetTotals::default();
    member.set_own(with_requests(&[(1, 4)]).own_figures(), NOW);
    relay.record_subtotal(MEMBER, &member.subtotal_for(RELAY, NOW), NOW);
    member.record_totals(RELAY, &relay.totals_for(MEMBER, NOW), NOW);
    for totals in [&relay, &member] {
        assert_estimate(&KeyRequests::default(), totals, 1, 9.0);
        assert_estimate(&KeyRequests::default(), totals, 2, 0.0);
    }
}

/// Guards against popular prompts that displace the other totals, which a message has room for 48 of.
#[test]
fn only_the_most_popular_keys_are_reported() {
    let counts: Vec<(u64, usize)> =
        (1..=30).map(|number| (number, usize::try_from(number).unwrap())).collect();
    let mut reported: Vec<f32> =
        with_requests(&counts).own_figures().iter().map(|figure| figure.value).collect();
    reported.sort_by(f32::total_cmp);
    assert_eq!(reported, [23.0, 24.0, 25.0, 26.0, 27.0, 28.0, 29.0, 30.0]);
}

/// Guards against memory that grows with each prompt that was ever sent, and a panic where an end is recorded twice.
#[test]
fn ended_requests_are_forgotten() {
    let mut requests = with_requests(&[(1, 3)]);
    (0..4).for_each(|_| requests.end(key(1)));
    assert_eq!(requests.own(key(1)), 0);
    requests.start(key(1));
    assert_eq!(requests.own(key(1)), 1);
}
