//! Work estimates of the upstreams of an engine pool.

use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use bendhinge_fleet::{PoolWork, SendWork, UpstreamWork, WorkReport};
use bendhinge_ids::{Instant, NameHash};

const ENGINE: NameHash = NameHash(1);
const OTHER_ENGINE: NameHash = NameHash(2);
/// Speed at which the engines of these tests process prompts.
const TOKENS_PER_MS: u32 = 50;
/// Time to the first event of a request without tokens to process.
const BASE_MS: u64 = 20;

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

const fn unread(tokens: u32) -> SendWork {
    SendWork { unread_tokens: tokens }
}

const fn report(running: u32, waiting: u32, slots: Option<u32>, pace_percent: Option<u32>) -> WorkReport {
    WorkReport { running, waiting, slots, pace_percent }
}

/// Records `count` requests, one after the other from `from_ms` on, that each hold a slot for `hold_ms`.
fn learn(work: &mut PoolWork, count: u64, hold_ms: u64, from_ms: u64) -> u64 {
    let mut now = from_ms;
    for number in 0..count {
        let tokens = if number % 2 == 0 { 10_000 } else { 500 };
        let id = work.start(ENGINE, unread(tokens), at(now));
        let read_ms = u64::from(tokens / TOKENS_PER_MS);
        work.first_event(id, at(now + BASE_MS + read_ms));
        work.end(id, at(now + BASE_MS + hold_ms));
        now += BASE_MS + hold_ms;
    }
    now
}

/// Guards against a router that claims knowledge right after its start, on which others would rely.
#[test]
fn nothing_is_predicted_before_it_is_learned() {
    let mut work = PoolWork::default();
    assert_eq!(work.read_time(1_000), None);
    assert_eq!(work.usual_first_event(), None);
    assert_eq!(work.predicted_wait([(ENGINE, 100.0)].into_iter(), at(0)), None, "slots are not known");
    assert_eq!(work.predicted_wait(std::iter::empty(), at(0)), None, "no upstream takes requests");
    work.record_report(ENGINE, report(4, 0, Some(8), None), at(0));
    assert_eq!(work.predicted_wait([(ENGINE, 100.0)].into_iter(), at(0)), None, "hold times are not known");
    assert_eq!(work.predicted_wait([(ENGINE, 4.0)].into_iter(), at(0)), Some(Duration::ZERO));
    let usual = UpstreamWork { pending_tokens: 0.0, waiting: 0.0, running: 3.0, pace: 1.0 };
    assert_eq!(work.estimate(OTHER_ENGINE, 3.0, at(0)), usual);
}

#[test]
fn read_speed_is_learned_from_first_events() {
    let mut work = PoolWork::default();
    learn(&mut work, 20, 400, 0);
    let read_ms = work.read_time(10_000).unwrap().as_secs_f64() * 1e3;
    assert!((190.0..210.0).contains(&read_ms), "{read_ms} ms for 200 ms");
    let base_ms = work.usual_first_event().unwrap().as_secs_f64() * 1e3;
    assert!((15.0..25.0).contains(&base_ms), "{base_ms} ms for 20 ms");
    let tokens = work.tokens_within(Duration::from_millis(100)).unwrap();
    assert!((4_700.0..5_300.0).contains(&tokens), "{tokens} tokens for 5,000");
}

/// Guards against a speed learned from times that include the wait for a slot: long and short prompts
/// would seem to take equally long.
#[test]
fn read_speed_is_not_learned_while_requests_wait_for_slots() {
    let mut work = PoolWork::default();
    let now = learn(&mut work, 20, 400, 0);
    let before = work.read_time(10_000);
    for number in 0..20 {
        let sent_at = now + number * 100;
        let id = work.start(ENGINE, unread(if number % 2 == 0 { 10 } else { 10_000 }), at(sent_at));
        work.record_report(ENGINE, report(8, 30, Some(8), None), at(sent_at + 2_000));
        work.first_event(id, at(sent_at + 2_000));
    }
    assert_eq!(work.read_time(10_000), before);
}

#[test]
fn tokens_are_pending_from_send_to_first_event() {
    let mut work = PoolWork::default();
    let first = work.start(ENGINE, unread(9_000), at(0));
    let second = work.start(ENGINE, unread(1_000), at(1));
    let pending = |work: &PoolWork| work.estimate(ENGINE, 2.0, at(10)).pending_tokens;
    assert!((pending(&work) - 10_000.0).abs() < 0.1);
    work.first_event(first, at(10));
    assert!((pending(&work) - 1_000.0).abs() < 0.1);
    work.end(second, at(10));
    assert!(pending(&work).abs() < 0.1, "a send that failed before its first event is not pending");
    assert!(work.estimate(OTHER_ENGINE, 0.0, at(10)).pending_tokens.abs() < 0.1);
}

#[test]
fn long_queues_are_predicted_from_slots_and_hold_times() {
    const HOLD_MS: u64 = 800;
    let mut work = PoolWork::default();
    let now = learn(&mut work, 60, HOLD_MS, 0);
    work.record_report(ENGINE, report(8, 0, Some(8), None), at(now));
    for queue in [16_u16, 80] {
        let now = now + u64::from(queue) * 1_000;
        // Each of eight slots is free again after 0.8 s, so one request begins each 0.1 s.
        let loads = [(ENGINE, 8.0 + f32::from(queue)), (OTHER_ENGINE, 8.0 + f32::from(queue))];
        let wait = work.predicted_wait(loads.into_iter(), at(now)).unwrap().as_secs_f64();
        let expected = f64::from(queue + 1) * 0.1;
        assert!((expected / 1.3..expected * 1.3).contains(&wait), "{wait} s, expected {expected} s");
    }
    let loads = [(ENGINE, 100.0), (OTHER_ENGINE, 2.0)];
    assert_eq!(work.predicted_wait(loads.into_iter(), at(now)), Some(Duration::ZERO), "one has free slots");
}

/// Loads are known some tenths of a second late. Guards against waits that are predicted far too short
/// while queues grow.
#[test]
fn growing_queues_are_extrapolated() {
    let mut work = PoolWork::default();
    let now = learn(&mut work, 60, 800, 0);
    work.record_report(ENGINE, report(8, 0, Some(8), None), at(now));
    let mut predict = |load: f32, after_ms| {
        work.predicted_wait([(ENGINE, load)].into_iter(), at(now + after_ms)).unwrap().as_secs_f64()
    };
    // 20 requests per second more, of which one begins each 0.1 s.
    let growing: Vec<f64> =
        (0..6_u8).map(|step| predict(20.0 + 8.0 * f32::from(step), u64::from(step) * 400)).collect();
    let steady = predict(60.0, 60_000);
    assert!(growing[5] > steady + 0.7, "{growing:?} with growth, {steady} without");
}

/// Guards against a hold time of a stream that includes the time for which the router was suspended.
#[test]
fn suspension_is_not_learned_as_a_hold_time() {
    let mut work = PoolWork::default();
    let now = learn(&mut work, 20, 400, 0);
    work.record_report(ENGINE, report(8, 0, Some(8), None), at(now));
    let id = work.start(ENGINE, unread(100), at(now));
    work.first_event(id, at(now + 20));
    work.end(id, at(now + 20_000));
    let wait = work.predicted_wait([(ENGINE, 15.0)].into_iter(), at(now + 20_000)).unwrap();
    assert!(wait < Duration::from_millis(500), "{wait:?} for eight requests, one each 50 ms");
}

/// Engines can have too little memory to use all of their slots. Guards against taking their waiting
/// requests for running ones.
#[test]
fn requests_wait_at_an_engine_that_cannot_use_all_slots() {
    let mut work = PoolWork::default();
    work.record_report(ENGINE, report(20, 10, Some(48), None), at(0));
    let estimate = work.estimate(ENGINE, 30.0, at(1_000));
    assert!((estimate.running - 20.0).abs() < 0.1 && (estimate.waiting - 10.0).abs() < 0.1, "{estimate:?}");
    work.record_report(ENGINE, report(30, 0, Some(48), None), at(1_500));
    let estimate = work.estimate(OTHER_ENGINE, 30.0, at(10_000));
    assert!((estimate.running - 30.0).abs() < 0.1, "{estimate:?}: the shortage is over");
}

/// Guards against sending to, or avoiding, an upstream for a pace that changed since.
#[test]
fn reported_pace_fades() {
    let mut work = PoolWork::default();
    work.record_report(ENGINE, report(1, 0, Some(8), Some(250)), at(0));
    let pace = |after_ms| work.estimate(ENGINE, 0.0, at(after_ms)).pace;
    assert!((pace(0) - 2.5).abs() < 0.01);
    assert!((1.4..1.7).contains(&pace(300)), "{}", pace(300));
    assert!((pace(2_000) - 1.0).abs() < 0.01, "a report of 2 s ago says nothing");
}

/// Guards against decisions of a router that resumes and takes what it knew before for current, and
/// against learning the suspension as a processing time.
#[test]
fn router_that_resumes_does_not_trust_earlier_work() {
    const SUSPENDED_MS: u64 = 10_000;
    let mut work = PoolWork::default();
    let now = learn(&mut work, 20, 400, 0);
    let read_time = work.read_time(10_000);
    work.record_report(ENGINE, report(8, 8, Some(8), Some(250)), at(now));
    let id = work.start(ENGINE, unread(10_000), at(now));
    let resumed = at(now + SUSPENDED_MS);
    let estimate = work.estimate(ENGINE, 2.0, resumed);
    assert!(estimate.pending_tokens.abs() < 0.1 && (estimate.pace - 1.0).abs() < 0.01, "{estimate:?}");
    work.first_event(id, resumed);
    work.end(id, resumed);
    assert_eq!(work.read_time(10_000), read_time);
    let wait = work.predicted_wait([(ENGINE, 16.0)].into_iter(), resumed).unwrap();
    assert!(wait < Duration::from_millis(800), "{wait:?} for nine requests, one each 50 ms");
}

#[test]
fn implausible_reports_are_ignored_or_clamped() {
    let mut work = PoolWork::default();
    work.record_report(ENGINE, report(2, 0, Some(8), Some(100)), at(0));
    let wait = |work: &mut PoolWork| work.predicted_wait([(ENGINE, 4.0)].into_iter(), at(0));
    for (running, waiting) in [(u32::MAX, 0), (0, u32::MAX), (u32::MAX, u32::MAX)] {
        work.record_report(ENGINE, report(running, waiting, Some(1), Some(u32::MAX)), at(0));
        assert_eq!(wait(&mut work), Some(Duration::ZERO), "{running} running, {waiting} waiting");
    }
    for slots in [None, Some(0), Some(u32::MAX)] {
        work.record_report(ENGINE, report(0, 0, slots, Some(0)), at(0));
        assert_eq!(wait(&mut work), Some(Duration::ZERO), "{slots:?} slots");
        assert!((work.estimate(ENGINE, 0.0, at(0)).pace - 1.0).abs() < 0.01, "a pace of 0 is ignored");
    }
    work.record_report(ENGINE, report(0, 1, None, Some(u32::MAX)), at(0));
    let estimate = work.estimate(ENGINE, 4.0, at(0));
    assert!(estimate.pace <= 10.0 && estimate.waiting.abs() < 0.1, "{estimate:?}");
}

/// Guards against state that grows with every upstream ever seen and with sends whose end is not recorded.
#[test]
fn unlisted_upstreams_and_lost_sends_are_removed() {
    let mut work = PoolWork::default();
    work.record_report(ENGINE, report(8, 0, Some(8), Some(200)), at(0));
    let id = work.start(OTHER_ENGINE, unread(1_000), at(0));
    work.prune(|_| false, at(10));
    assert!((work.estimate(ENGINE, 0.0, at(10)).pace - 1.0).abs() < 0.01);
    assert!(work.estimate(OTHER_ENGINE, 0.0, at(10)).pending_tokens > 999.0, "its request is in progress");
    work.prune(|_| true, at(3_600_000));
    work.first_event(id, at(3_600_000));
    work.end(id, at(3_600_000));
    assert_eq!(work.read_time(1), None);
}

/// Applies one arbitrary call.
fn apply(work: &mut PoolWork, bytes: &mut Unstructured<'_>, now: Instant) -> Result<()> {
    let upstream = NameHash(bytes.int_in_range(0..=3)?);
    match bytes.int_in_range(0..=3)? {
        0 => {
            let send = SendWork { unread_tokens: bytes.arbitrary()? };
            let id = work.start(upstream, send, now);
            if bytes.arbitrary()? {
                work.first_event(id, now + Duration::from_millis(bytes.int_in_range(0..=60_000)?));
            }
            if bytes.arbitrary()? {
                work.end(id, now + Duration::from_millis(bytes.int_in_range(0..=60_000)?));
            }
        }
        1 => work.prune(|listed| listed.0 > 1, now),
        _ => {
            let report =
                report(bytes.arbitrary()?, bytes.arbitrary()?, bytes.arbitrary()?, bytes.arbitrary()?);
            work.record_report(upstream, report, now);
        }
    }
    Ok(())
}

/// Guards against panics and against estimates that are negative, infinite or not a number.
#[test]
fn estimates_stay_finite_after_any_calls() {
    arbtest(|bytes| {
        let mut work = PoolWork::default();
        let mut now = Instant::default();
        while !bytes.is_empty() {
            now = now + Duration::from_millis(bytes.int_in_range(0..=10_000)?);
            apply(&mut work, bytes, now)?;
            let load = bytes.int_in_range(0..=100_000_u32)? as f32;
            let estimate = work.estimate(NameHash(2), load, now);
            for figure in [estimate.pending_tokens, estimate.waiting, estimate.running, estimate.pace] {
                assert!(figure.is_finite() && figure >= 0.0, "{estimate:?}");
            }
            assert!((estimate.running + estimate.waiting - load).abs() <= load * 1e-5, "{estimate:?}");
            let _ = (work.read_time(u32::MAX), work.usual_first_event());
            let _ = work.predicted_wait([(NameHash(2), load), (NameHash(3), load)].into_iter(), now);
        }
        Ok(())
    });
}
