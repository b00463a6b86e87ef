//! Tests the response times of plain pools that are shared as fleet totals.

use std::time::Duration;

use bendhinge_fleet::{ExpectedResponse, FleetTotals, PackedTotals, ResponseTimes, TotalKey, UpdateSource};
use bendhinge_ids::{Instant, NameHash};

const POOL: NameHash = NameHash(1);
const FAST: NameHash = NameHash(10);
const SLOW: NameHash = NameHash(11);
const START: Instant = Instant::from_millis(10_000);
const TARGET: Duration = Duration::from_millis(200);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Sends requests one after the other to `upstream` for `span`, each of which takes `response_time`.
fn serve(
    times: &mut ResponseTimes,
    upstream: NameHash,
    response_time: Duration,
    from: Instant,
    span: Duration,
) {
    let mut at = from;
    while at + response_time <= from + span {
        times.start(upstream, at);
        at = at + response_time;
        times.end(upstream, Some(response_time), at);
    }
}

/// Returns the totals of a router that received the figures of `other`.
fn totals_with(other: &ResponseTimes, at: Instant) -> FleetTotals {
    let (mut sender, mut receiver) = (FleetTotals::default(), FleetTotals::default());
    sender.set_own(other.own_figures(at), at);
    let packed = sender.subtotal_for(UpdateSource::Router(NameHash(2)), at);
    receiver.record_subtotal(UpdateSource::Router(NameHash(3)), &packed, at);
    receiver
}

fn response_ms(expected: ExpectedResponse) -> u128 {
    expected.response_time.as_millis()
}

/// Guards against preferring an upstream without any knowledge.
#[test]
fn without_knowledge_all_upstreams_are_equal() {
    let (times, totals) = (ResponseTimes::new(POOL), FleetTotals::default());
    let expected = times.expected(FAST, &totals, START);
    assert_eq!(expected, times.expected(SLOW, &totals, START));
    assert!(expected.in_progress.abs() < f32::EPSILON);
    assert_eq!(times.hedge_delay(TARGET, &totals, START), Some(ms(140)));
}

/// Guards against ignoring what other routers know of an upstream that this one has not used.
#[test]
fn response_times_of_other_routers_count() {
    let (own, mut other) = (ResponseTimes::new(POOL), ResponseTimes::new(POOL));
    let now = START + ms(2_000);
    serve(&mut other, FAST, ms(20), START, ms(2_000));
    serve(&mut other, SLOW, ms(100), START, ms(2_000));
    let totals = totals_with(&other, now);
    let (fast, slow) = (own.expected(FAST, &totals, now), own.expected(SLOW, &totals, now));
    assert!((18..=30).contains(&response_ms(fast)), "{fast:?}");
    assert!((60..=110).contains(&response_ms(slow)), "{slow:?}");
}

/// Guards against own requests that count late or twice.
#[test]
fn own_requests_in_progress_are_exact() {
    let (mut own, mut other) = (ResponseTimes::new(POOL), ResponseTimes::new(POOL));
    for _ in 0..3 {
        other.start(FAST, START);
    }
    let mut totals = totals_with(&other, START);
    for count in 1..=4_u8 {
        own.start(FAST, START);
        assert!((own.expected(FAST, &totals, START).own_in_progress - f32::from(count)).abs() < 0.001);
        assert!((own.expected(FAST, &totals, START).in_progress - f32::from(count + 3)).abs() < 0.01);
        totals.set_own(own.own_figures(START), START);
        assert!((own.expected(FAST, &totals, START).in_progress - f32::from(count + 3)).abs() < 0.01);
    }
    for _ in 0..6 {
        own.end(FAST, None, START);
    }
    assert!(own.expected(FAST, &totals, START).own_in_progress.abs() < 0.001);
}

/// Guards against an upstream that looks fast because only its fast responses are complete.
#[test]
fn an_upstream_that_stops_responding_becomes_slow() {
    let (own, stopped_at) = (ResponseTimes::new(POOL), START + ms(2_000));
    for (elapsed, factor) in [(ms(600), 4), (ms(1_000), 5)] {
        let mut other_at = ResponseTimes::new(POOL);
        serve(&mut other_at, FAST, ms(20), START, ms(2_000) + elapsed);
        serve(&mut other_at, SLOW, ms(20), START, ms(2_000));
        for number in 0..8 {
            other_at.start(SLOW, stopped_at + ms(number * 50));
        }
        let now = stopped_at + elapsed;
        let totals = totals_with(&other_at, now);
        let (fast, slow) = (own.expected(FAST, &totals, now), own.expected(SLOW, &totals, now));
        assert!(slow.response_time > fast.response_time * factor, "{slow:?}, {fast:?}");
        assert!((slow.in_progress - 8.0).abs() < 0.1, "{slow:?}");
    }
}

/// Guards against avoiding an upstream that was slow a moment ago.
#[test]
fn a_slow_phase_is_forgotten() {
    let (own, mut other) = (ResponseTimes::new(POOL), ResponseTimes::new(POOL));
    serve(&mut other, FAST, ms(20), START, ms(2_000));
    serve(&mut other, SLOW, ms(100), START, ms(2_000));
    let now = START + ms(2_000);
    let totals = totals_with(&other, now);
    let gap = |now: Instant, totals: &FleetTotals| {
        let (fast, slow) = (own.expected(FAST, totals, now), own.expected(SLOW, totals, now));
        slow.response_time.saturating_sub(fast.response_time)
    };
    assert!(gap(now, &totals) > ms(40));
    // The upstream is fast again.
    serve(&mut other, SLOW, ms(20), now, ms(1_000));
    serve(&mut other, FAST, ms(20), now, ms(1_000));
    let later = now + ms(1_000);
    assert!(gap(later, &totals_with(&other, later)) < ms(15));
    // A router that resumes has no information.
    assert_eq!(gap(now + ms(10_000), &totals), Duration::ZERO);
}

/// Guards against hedges that take the retry budget without being in time.
#[test]
fn a_hedge_is_sent_only_if_it_can_be_in_time() {
    let totals = FleetTotals::default();
    let delay = |response_time: u64| {
        let mut times = ResponseTimes::new(POOL);
        for number in 0..4 {
            serve(&mut times, NameHash(10 + number), ms(response_time), START, ms(5_000));
        }
        times.hedge_delay(TARGET, &totals, START + ms(5_000))
    };
    assert_eq!(delay(30), Some(ms(140)));
    let slower = delay(70).unwrap();
    assert!((ms(100)..ms(140)).contains(&slower), "{slower:?}");
    assert_eq!(delay(120), None);
    assert_eq!(delay(400), None);
}

/// Guards against memory that grows with upstreams that are gone.
#[test]
fn upstreams_that_are_not_listed_are_removed() {
    let mut times = ResponseTimes::new(POOL);
    for number in 0..100 {
        serve(&mut times, NameHash(100 + number), ms(10), START, ms(20));
    }
    times.start(NameHash(100), START + ms(20));
    let before = times.own_figures(START + ms(20)).len();
    times.retain_listed(|upstream| upstream == NameHash(101));
    let after = times.own_figures(START + ms(20)).len();
    assert!(before > 200 && after < 15, "{before}, {after}");
}

/// Guards against panics and invalid estimates from invalid totals, any order of events and any time.
#[test]
fn arbitrary_events_and_totals_yield_finite_estimates() {
    arbtest::arbtest(|source| {
        let (mut times, mut totals) = (ResponseTimes::new(POOL), FleetTotals::default());
        for _ in 0..source.int_in_range(1..=20)? {
            let now = START + ms(source.int_in_range(0..=30_000)?);
            let upstream = NameHash(source.int_in_range(9..=12)?);
            match source.int_in_range(0..=3)? {
                0 => times.start(upstream, now),
                1 => times.end(upstream, Some(Duration::from_nanos(source.arbitrary()?)), now),
                2 => times.end(upstream, None, now),
                _ => {
                    let keys: Vec<TotalKey> =
                        times.own_figures(now).iter().map(|figure| figure.key).collect();
                    let mut bytes = vec![0, 1, 0, 0];
                    for key in keys.into_iter().take(40) {
                        bytes.extend(key.0.to_be_bytes());
                        bytes.extend(source.arbitrary::<[u8; 2]>()?);
                    }
                    totals.record_subtotal(UpdateSource::Router(NameHash(3)), &PackedTotals(bytes), now);
                }
            }
            let expected = times.expected(upstream, &totals, now);
            assert!(expected.in_progress.is_finite() && expected.in_progress >= 0.0, "{expected:?}");
            let delay = times.hedge_delay(TARGET, &totals, now);
            assert!(delay.is_none_or(|delay| delay <= ms(140)), "{delay:?}");
            assert!(times.own_figures(now).iter().all(|figure| figure.value.is_finite()));
        }
        Ok(())
    });
}

/// Guards against shared counts, which are older, that hide the exact one.
#[test]
fn an_exact_count_takes_precedence_for_a_moment() {
    let (mut times, totals) = (ResponseTimes::new(POOL), FleetTotals::default());
    times.start(FAST, START);
    times.record_exact_count(FAST, 7, START);
    let in_progress = |at| times.expected(FAST, &totals, at).in_progress;
    assert!((in_progress(START + ms(100)) - 7.0).abs() < f32::EPSILON);
    assert!((in_progress(START + ms(1_000)) - 1.0).abs() < f32::EPSILON);
}
