//! Tests the load estimates and the compact encoding of loads.

use std::time::Duration;

use bendhinge_fleet::{
    AgedReport, LoadBasis, Loads, PackedHighLoads, PackedLoads, PoolReports, UpdateSource, UpstreamLoad,
};
use bendhinge_ids::{Instant, NameHash};

const NOW: Instant = Instant::from_millis(10_000);
const SENDER: UpdateSource = UpdateSource::Router(NameHash(1));
const RECEIVER: UpdateSource = UpdateSource::Router(NameHash(2));

fn listed(count: u64) -> impl ExactSizeIterator<Item = NameHash> {
    (0..usize::try_from(count).unwrap()).map(|number| NameHash(100 + number as u64))
}

fn reported_load(upstream: u64, in_progress: u32, age_ms: u64) -> UpstreamLoad {
    let reported_at = NOW - Duration::from_millis(age_ms);
    UpstreamLoad { upstream: NameHash(100 + upstream), in_progress, reported_at }
}

/// Returns the estimate for an upstream with a mean load of other routers of zero.
fn estimate(loads: &Loads, upstream: u64) -> f32 {
    loads.estimate(NameHash(100 + upstream), 0.0, NOW)
}

#[test]
fn decoded_loads_yield_the_same_estimates() {
    let (mut loads, mut received) = (Loads::default(), Loads::default());
    for (upstream, in_progress) in [(0, 3), (2, 17), (3, 0)] {
        loads.record(reported_load(upstream, in_progress, 120), UpdateSource::Local);
    }
    let packed = loads.pack_all_for(RECEIVER, listed(4), NOW);
    assert_eq!(packed.0.len(), 2 * 4);
    received.apply_all(&packed, listed(4), SENDER, NOW);
    for upstream in 0..4 {
        assert!((estimate(&received, upstream) - estimate(&loads, upstream)).abs() < 0.01, "{upstream}");
    }
}

#[test]
fn reports_of_the_receiver_and_old_reports_are_left_out() {
    let mut loads = Loads::default();
    loads.record(reported_load(0, 5, 10), RECEIVER);
    loads.record(reported_load(1, 6, 10), SENDER);
    loads.record(reported_load(2, 7, 2_600), SENDER);
    let mut received = Loads::default();
    received.apply_all(&loads.pack_all_for(RECEIVER, listed(3), NOW), listed(3), SENDER, NOW);
    let upstreams: Vec<NameHash> = received.recent_reports(NOW).iter().map(|load| load.upstream).collect();
    assert_eq!(upstreams, [NameHash(101)]);
}

#[test]
fn loads_above_one_byte_are_capped() {
    let (mut loads, mut received) = (Loads::default(), Loads::default());
    loads.record(reported_load(0, 3_000, 0), UpdateSource::Local);
    received.apply_all(&loads.pack_all_for(RECEIVER, listed(1), NOW), listed(1), SENDER, NOW);
    assert!((estimate(&received, 0) - 254.0).abs() < 0.01);
}

#[test]
fn loads_of_another_list_are_ignored() {
    let mut loads = Loads::default();
    loads.record(reported_load(0, 5, 10), UpdateSource::Local);
    let mut packed = loads.pack_all_for(RECEIVER, listed(3), NOW);
    for count in [2, 4] {
        let mut received = Loads::default();
        received.apply_all(&packed, listed(count), SENDER, NOW);
        assert_eq!(received.recent_reports(NOW).len(), 0);
    }
    packed.0.pop();
    let mut received = Loads::default();
    received.apply_all(&packed, listed(3), SENDER, NOW);
    received.apply_all(&PackedLoads::default(), listed(3), SENDER, NOW);
    assert_eq!(received.recent_reports(NOW).len(), 0);
}

/// Guards against an upstream that counts as loaded as the others as soon as it takes requests again.
#[test]
fn the_mean_load_is_approached_after_idling() {
    let loads = Loads::default();
    let mean = |millis: i64| {
        let idle_until = Instant(NOW.0.saturating_add_signed(-millis * 1_000));
        loads.mean_after_idling(6.0, idle_until, NOW)
    };
    assert!(mean(-1_000).abs() < 0.01, "it still idles");
    assert!(mean(0).abs() < 0.01);
    assert!(mean(0) < mean(500) && mean(500) < mean(2_000));
    assert!(mean(30_000) > 5.9);
}

/// Guards against a summary that counts outdated reports, or upstreams without a report as idle.
#[test]
fn pool_reports_summarize_recent_reports_only() {
    let mut loads = Loads::default();
    loads.record(reported_load(0, 5, 100), SENDER);
    loads.record(reported_load(1, 9, 300), SENDER);
    loads.record(reported_load(2, 40, 4_000), SENDER);
    let reports = loads.pool_reports(listed(4), NOW);
    assert_eq!(
        reports,
        PoolReports { mean_other_requests: 7.0, mean_age: Duration::from_millis(200), unreported: 2 }
    );
    assert!((loads.mean_other_requests(listed(4), NOW) - 7.0).abs() < 0.01);
}

/// Guards against log lines that show another report than the one behind the estimate.
#[test]
fn basis_is_the_latest_report_and_the_own_requests() {
    let mut loads = Loads::default();
    let upstream = NameHash(100);
    assert_eq!(loads.basis(upstream, NOW), LoadBasis::default());
    loads.record(reported_load(0, 9, 300), SENDER);
    loads.record(reported_load(0, 2, 700), UpdateSource::Local);
    loads.start_request(upstream);
    let report = Some(AgedReport { in_progress: 9, age: Duration::from_millis(300) });
    assert_eq!(loads.basis(upstream, NOW), LoadBasis { own_requests: 1, report });
}

/// Forwarding a report over several routers must not make it look more recent.
#[test]
fn forwarding_never_makes_a_report_look_younger() {
    arbtest::arbtest(|random| {
        let (mut elapsed, age) = (random.int_in_range(0..=500)?, 40);
        let mut loads = Loads::default();
        loads.record(reported_load(0, 9, age), UpdateSource::Local);
        for _ in 0..random.int_in_range(1..=6)? {
            let now = NOW + Duration::from_millis(elapsed);
            let packed = loads.pack_all_for(RECEIVER, listed(1), now);
            let transit_ms = random.int_in_range(0..=300)?;
            loads = Loads::default();
            // Ages count from the time of the request, before the loads were encoded.
            loads.apply_all(&packed, listed(1), SENDER, now);
            elapsed += transit_ms;
            let truth = NOW - Duration::from_millis(age);
            assert!(
                loads.recent_reports(now).iter().all(|load| load.reported_at <= truth),
                "{elapsed} ms later"
            );
        }
        Ok(())
    });
}

/// Returns what remains of a report of ten requests after one second, given the duration of requests.
fn remaining_after_a_second(duration: Duration) -> f32 {
    let mut loads = Loads::default();
    loads.record(reported_load(0, 10, 1_000), UpdateSource::Local);
    for _ in 0..1_000 {
        loads.start_request(NameHash(100));
        loads.end_request(NameHash(100), duration);
    }
    estimate(&loads, 0)
}

#[test]
fn report_decays_with_the_duration_of_requests() {
    let (short, long) = (
        remaining_after_a_second(Duration::from_millis(200)),
        remaining_after_a_second(Duration::from_secs(4)),
    );
    assert!(short < 0.1, "{short}: none of the reported requests is left");
    assert!(long > 7.0, "{long}: most of the reported requests are left");
    let hung = remaining_after_a_second(Duration::from_mins(1));
    assert!(hung < 8.0, "{hung}: a hung request must not affect the decay");
}

#[test]
fn upstreams_without_reports_do_not_affect_the_decay() {
    let mut loads = Loads::default();
    loads.record(reported_load(0, 10, 1_000), UpdateSource::Local);
    let before = estimate(&loads, 0);
    for _ in 0..1_000 {
        loads.start_request(NameHash(101));
        loads.end_request(NameHash(101), Duration::from_millis(10));
    }
    assert!((estimate(&loads, 0) - before).abs() < 0.01);
}

/// With thousands of mostly idle upstreams, the message size stays constant and the highest loads are
/// included.
#[test]
fn highest_loads_of_a_long_list_are_encoded() {
    const HIGH: u64 = 40;
    let bytes = [2_000, 6_000, 12_000].map(|count| {
        let (mut loads, mut received) = (Loads::default(), Loads::default());
        for upstream in 0..count {
            let in_progress = if upstream % (count / HIGH) == 7 { 9 } else { 1 };
            loads.record(reported_load(upstream, in_progress, 120), UpdateSource::Local);
        }
        let encoded = loads.pack_highest_for(RECEIVER, listed(count), NOW);
        let hash_at = |index: usize| listed(count).nth(index);
        received.apply_highest(&encoded, hash_at, SENDER, NOW);
        let high = received.recent_reports(NOW).iter().filter(|load| load.in_progress == 9).count();
        assert_eq!(high as u64, HIGH, "of {count}");
        assert!(
            received
                .recent_reports(NOW)
                .iter()
                .all(|load| NOW.since(load.reported_at) >= Duration::from_millis(120))
        );
        encoded.0.len()
    });
    assert_eq!(bytes[0], bytes[2]);
    assert!(bytes[2] <= 1_024, "{bytes:?}");
}

#[test]
fn loads_at_unknown_list_indices_are_ignored() {
    let mut received = Loads::default();
    let encoded = PackedHighLoads(vec![0, 1, 5, 0, 0, 9, 5, 0, 0, 0]);
    received.apply_highest(&encoded, |index| listed(3).nth(index), SENDER, NOW);
    let upstreams: Vec<NameHash> = received.recent_reports(NOW).iter().map(|load| load.upstream).collect();
    assert_eq!(upstreams, [NameHash(101)]);
}
