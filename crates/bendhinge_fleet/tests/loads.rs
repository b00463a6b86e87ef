//! Loads are told in two bytes each, never younger than they are.

use std::time::Duration;

use bendhinge_fleet::{Loads, PackedHighLoads, PackedLoads, UpdateSource, UpstreamLoad};
use bendhinge_ids::{Instant, NameHash};

const NOW: Instant = Instant::from_millis(10_000);
const SENDER: UpdateSource = UpdateSource::Router(NameHash(1));
const LISTENER: UpdateSource = UpdateSource::Router(NameHash(2));

fn listed(count: u64) -> impl ExactSizeIterator<Item = NameHash> {
    (0..usize::try_from(count).unwrap()).map(|number| NameHash(100 + number as u64))
}

fn said(upstream: u64, in_progress: u32, age_ms: u64) -> UpstreamLoad {
    let at = NOW - Duration::from_millis(age_ms);
    UpstreamLoad { upstream: NameHash(100 + upstream), in_progress, reported_at: at }
}

/// What the listener estimates of an upstream while others have nothing on average.
fn estimate(loads: &Loads, upstream: u64) -> f32 {
    loads.estimate(NameHash(100 + upstream), 0.0, NOW)
}

#[test]
fn who_holds_the_same_list_estimates_the_same() {
    let (mut loads, mut heard) = (Loads::default(), Loads::default());
    for (upstream, in_progress) in [(0, 3), (2, 17), (3, 0)] {
        loads.record(said(upstream, in_progress, 120), UpdateSource::Local);
    }
    let states = loads.pack_all_for(LISTENER, listed(4), NOW);
    assert_eq!(states.0.len(), 2 * 4);
    heard.apply_all(&states, listed(4), SENDER, NOW);
    for upstream in 0..4 {
        assert!((estimate(&heard, upstream) - estimate(&loads, upstream)).abs() < 0.01, "{upstream}");
    }
}

#[test]
fn nobody_is_told_what_it_told_itself_nor_what_is_old() {
    let mut loads = Loads::default();
    loads.record(said(0, 5, 10), LISTENER);
    loads.record(said(1, 6, 10), SENDER);
    loads.record(said(2, 7, 2_600), SENDER);
    let mut heard = Loads::default();
    heard.apply_all(&loads.pack_all_for(LISTENER, listed(3), NOW), listed(3), SENDER, NOW);
    let told: Vec<NameHash> = heard.recent_reports(NOW).iter().map(|said| said.upstream).collect();
    assert_eq!(told, [NameHash(101)]);
}

#[test]
fn loads_that_do_not_fit_into_a_byte_are_told_as_the_largest() {
    let (mut loads, mut heard) = (Loads::default(), Loads::default());
    loads.record(said(0, 3_000, 0), UpdateSource::Local);
    heard.apply_all(&loads.pack_all_for(LISTENER, listed(1), NOW), listed(1), SENDER, NOW);
    assert!((estimate(&heard, 0) - 254.0).abs() < 0.01);
}

#[test]
fn states_of_another_list_are_not_taken() {
    let mut loads = Loads::default();
    loads.record(said(0, 5, 10), UpdateSource::Local);
    let mut states = loads.pack_all_for(LISTENER, listed(3), NOW);
    for count in [2, 4] {
        let mut heard = Loads::default();
        heard.apply_all(&states, listed(count), SENDER, NOW);
        assert_eq!(heard.recent_reports(NOW).len(), 0);
    }
    states.0.pop();
    let mut heard = Loads::default();
    heard.apply_all(&states, listed(3), SENDER, NOW);
    heard.apply_all(&PackedLoads::default(), listed(3), SENDER, NOW);
    assert_eq!(heard.recent_reports(NOW).len(), 0);
}

/// On its way over many routers a report never looks younger than it is.
#[test]
fn a_report_never_looks_younger_on_its_way() {
    arbtest::arbtest(|random| {
        let (mut elapsed, age) = (random.int_in_range(0..=500)?, 40);
        let mut loads = Loads::default();
        loads.record(said(0, 9, age), UpdateSource::Local);
        for _ in 0..random.int_in_range(1..=6)? {
            let now = NOW + Duration::from_millis(elapsed);
            let states = loads.pack_all_for(LISTENER, listed(1), now);
            let arrives = random.int_in_range(0..=300)?;
            loads = Loads::default();
            // Counted from when it was asked for: that is before the states were made.
            loads.apply_all(&states, listed(1), SENDER, now);
            elapsed += arrives;
            let truth = NOW - Duration::from_millis(age);
            assert!(
                loads.recent_reports(now).iter().all(|said| said.reported_at <= truth),
                "{elapsed} ms later"
            );
        }
        Ok(())
    });
}

/// What is left of a report of ten requests after a second, when requests last so long.
fn left_after_a_second(lasted: Duration) -> f32 {
    let mut loads = Loads::default();
    loads.record(said(0, 10, 1_000), UpdateSource::Local);
    for _ in 0..1_000 {
        loads.start_request(NameHash(100));
        loads.end_request(NameHash(100), lasted);
    }
    estimate(&loads, 0)
}

#[test]
fn a_report_fades_as_fast_as_requests_come_and_go() {
    let (short, long) =
        (left_after_a_second(Duration::from_millis(200)), left_after_a_second(Duration::from_secs(4)));
    assert!(short < 0.1, "{short}: nobody is there any more who was there then");
    assert!(long > 7.0, "{long}: most of them still are");
    let hung = left_after_a_second(Duration::from_mins(1));
    assert!(hung < 8.0, "{hung}: a request that hangs says nothing of the others");
}

#[test]
fn requests_of_upstreams_that_say_nothing_of_their_load_do_not_count_for_those_that_do() {
    let mut loads = Loads::default();
    loads.record(said(0, 10, 1_000), UpdateSource::Local);
    let before = estimate(&loads, 0);
    for _ in 0..1_000 {
        loads.start_request(NameHash(101));
        loads.end_request(NameHash(101), Duration::from_millis(10));
    }
    assert!((estimate(&loads, 0) - before).abs() < 0.01);
}

/// Pattern: thousands of upstreams, most of which have one request or none. What is told of them does not grow with
/// their number, and the highest loads are told.
#[test]
fn of_a_long_list_the_highest_loads_are_told() {
    const HIGH: u64 = 40;
    let bytes = [2_000, 6_000, 12_000].map(|count| {
        let (mut loads, mut heard) = (Loads::default(), Loads::default());
        for upstream in 0..count {
            let in_progress = if upstream % (count / HIGH) == 7 { 9 } else { 1 };
            loads.record(said(upstream, in_progress, 120), UpdateSource::Local);
        }
        let told = loads.pack_highest_for(LISTENER, listed(count), NOW);
        let hash = |place: usize| listed(count).nth(place);
        heard.apply_highest(&told, hash, SENDER, NOW);
        let high = heard.recent_reports(NOW).iter().filter(|said| said.in_progress == 9).count();
        assert_eq!(high as u64, HIGH, "of {count}");
        assert!(
            heard
                .recent_reports(NOW)
                .iter()
                .all(|said| NOW.since(said.reported_at) >= Duration::from_millis(120))
        );
        told.0.len()
    });
    assert_eq!(bytes[0], bytes[2]);
    assert!(bytes[2] <= 1_024, "{bytes:?}");
}

#[test]
fn high_loads_of_places_that_are_not_listed_are_not_taken() {
    let mut heard = Loads::default();
    let told = PackedHighLoads(vec![0, 1, 5, 0, 0, 9, 5, 0, 0, 0]);
    heard.apply_highest(&told, |place| listed(3).nth(place), SENDER, NOW);
    let upstreams: Vec<NameHash> = heard.recent_reports(NOW).iter().map(|said| said.upstream).collect();
    assert_eq!(upstreams, [NameHash(101)]);
}
