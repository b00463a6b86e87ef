//! Tests of the admission to engine pools: decisions of one box for given loads and totals.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_admission::Requester;
use bendhinge_admission::engine::{
    AdmissionRefusal, DemandKey, EngineAdmission, EngineDecision, EnginePoolLoad, EngineRequest, RequestKind,
};
use bendhinge_ids::{Instant, NameHash};

const SLOTS: u32 = 480;
const ROUTER_COUNT: u32 = 10;
const FULL_TIME: Duration = Duration::from_secs(15);

fn at(millis: u64) -> Instant {
    Instant::from_millis(10_000 + millis)
}

fn request(priority: u8, customer: u64) -> EngineRequest {
    EngineRequest {
        requester: Requester { priority, customer: NameHash(customer) },
        patience: Duration::from_secs(2),
        target_latency: Duration::from_millis(500),
        time_left: FULL_TIME,
        full_time: FULL_TIME,
        tokens: 500,
    }
}

fn pool(in_progress: u32) -> EnginePoolLoad {
    EnginePoolLoad {
        upstreams: 10,
        slots: SLOTS,
        in_progress,
        predicted_wait: None,
        router_count: ROUTER_COUNT,
    }
}

const fn nothing_shared(_: DemandKey) -> Option<f32> {
    None
}

/// Evenly spread values in `[0, 1)`.
fn jitter(index: u64) -> f64 {
    (index as f64 * 0.618_034).fract()
}

/// Requests of one customer or class, sent in turn with others.
struct Source {
    request: EngineRequest,
    per_second: u64,
}

/// Sends requests for `seconds` and returns the fraction of each source's requests that were admitted in the second
/// half of the time.
fn admitted_fractions(
    admission: &mut EngineAdmission,
    sources: &[Source],
    load: EnginePoolLoad,
    totals: &dyn Fn(DemandKey) -> Option<f32>,
    seconds: u64,
) -> Vec<f64> {
    let mut counts = vec![(0, 0); sources.len()];
    for millis in 0..seconds * 1_000 {
        for (source, count) in sources.iter().zip(&mut counts) {
            let is_due = (millis * source.per_second) % 1_000 < source.per_second;
            if !is_due {
                continue;
            }
            let index = count.0 + count.1 + millis;
            let decision = admission.decide(&source.request, &load, totals, jitter(index), at(millis));
            if millis >= seconds * 500 {
                if decision == EngineDecision::Admitted { count.0 += 1 } else { count.1 += 1 }
            }
        }
    }
    counts.iter().map(|(admitted, refused)| *admitted as f64 / (admitted + refused) as f64).collect()
}

/// Guards against refusals while capacity is free, and against traffic for totals that nobody needs.
#[test]
fn below_the_threshold_everything_is_admitted_and_nothing_is_shared() {
    arbtest(|u| {
        let mut admission = EngineAdmission::default();
        for millis in 0..u.int_in_range(1..=300)? {
            let request = request(u.arbitrary()?, u.arbitrary()?);
            let load = pool(u.int_in_range(0..=SLOTS * 69 / 100)?);
            let total: Option<f32> = u.arbitrary()?;
            let decision = admission.decide(&request, &load, &|_| total, 0.999, at(millis));
            assert_eq!(decision, EngineDecision::Admitted);
            assert!(admission.own_figures(at(millis)).is_empty());
        }
        Ok(())
    });
}

/// Guards against refusing urgent requests while capacity goes to others.
#[test]
fn least_urgent_requests_are_refused_first() {
    for has_totals in [false, true] {
        let mut admission = EngineAdmission::default();
        let sources = [0, 1, 2]
            .map(|priority| Source { request: request(priority, u64::from(priority)), per_second: 25 });
        // The fleet demands 250 slots for each of three priorities and has 480; without observations a request counts
        // as one slot-second.
        let totals = |_: DemandKey| has_totals.then_some(250.0);
        let admitted = admitted_fractions(&mut admission, &sources, pool(SLOTS), &totals, 6);
        assert!(admitted[0] > 0.98, "{admitted:?}");
        assert!((0.5..0.98).contains(&admitted[1]), "{admitted:?}");
        assert!((0.005..0.2).contains(&admitted[2]), "the least urgent are not starved: {admitted:?}");
    }
}

/// Guards against one customer's burst crowding out the others of its priority.
#[test]
fn customer_with_a_burst_takes_only_from_its_own_share() {
    let mut admission = EngineAdmission::default();
    let mut sources: Vec<Source> =
        (1..8).map(|customer| Source { request: request(1, customer), per_second: 4 }).collect();
    sources.push(Source { request: request(1, 99), per_second: 80 });
    let totals = |key: DemandKey| match key.customer {
        None => Some(7.0 * 40.0 + 800.0),
        Some(NameHash(99)) => Some(800.0),
        Some(_) => Some(40.0),
    };
    let admitted = admitted_fractions(&mut admission, &sources, pool(SLOTS + 20), &totals, 6);
    assert!(admitted[..7].iter().all(|admitted| *admitted > 0.98), "{admitted:?}");
    assert!((0.1..0.4).contains(&admitted[7]), "{admitted:?}");
    let refusal = admission.decide(&request(1, 99), &pool(SLOTS + 20), &totals, 0.99, at(6_000));
    assert!(matches!(refusal, EngineDecision::Refused { reason: AdmissionRefusal::CustomerOverShare, .. }));
}

/// Guards against a delay that takes the caller's remaining time, or that brings all callers back together.
#[test]
fn retry_delays_are_useful_and_spread() {
    let mut admission = EngineAdmission::default();
    let sources = [Source { request: request(1, 1), per_second: 200 }];
    admitted_fractions(&mut admission, &sources, pool(SLOTS * 2), &nothing_shared, 3);
    let delays: Vec<Duration> = (0..100)
        .filter_map(|index| {
            let time_left = Duration::from_secs(3);
            let request = EngineRequest { time_left, full_time: time_left, ..request(1, 1) };
            match admission.decide(&request, &pool(SLOTS * 2), &nothing_shared, jitter(index), at(3_000)) {
                EngineDecision::Refused { retry_after, .. } => Some(retry_after),
                EngineDecision::Admitted => None,
            }
        })
        .collect();
    assert!(delays.len() > 50);
    let (earliest, latest) = (delays.iter().min().unwrap(), delays.iter().max().unwrap());
    assert!(*latest <= Duration::from_secs(1), "{latest:?}");
    assert!(*earliest >= Duration::from_millis(300), "{earliest:?}");
    assert!(*latest >= *earliest + Duration::from_millis(400), "{earliest:?} to {latest:?}");
}

/// Guards against refusing the same requests again and again.
#[test]
fn retried_requests_go_before_new_ones() {
    let mut admission = EngineAdmission::default();
    let retried = EngineRequest { time_left: FULL_TIME.mul_f64(0.7), ..request(1, 1) };
    let sources =
        [Source { request: retried, per_second: 50 }, Source { request: request(1, 1), per_second: 50 }];
    let admitted = admitted_fractions(&mut admission, &sources, pool(SLOTS), &nothing_shared, 6);
    assert!(admitted[0] > 1.5 * admitted[1] && admitted[1] > 0.1, "{admitted:?}");
}

/// Guards against shares in requests: the customer with few long requests would get more than its share of slots, or a
/// long request none at all.
#[test]
fn shares_are_in_work_and_long_requests_are_not_starved() {
    let mut admission = EngineAdmission::default();
    let long = EngineRequest { tokens: 30_000, ..request(1, 1) };
    let short = EngineRequest { tokens: 100, ..request(1, 2) };
    for _ in 0..200 {
        let first_event = Duration::from_millis(100);
        admission.record_end(long.kind(), first_event, Duration::from_secs(3));
        admission.record_end(short.kind(), first_event, Duration::from_millis(300));
    }
    let sources = [Source { request: long, per_second: 10 }, Source { request: short, per_second: 100 }];
    let admitted = admitted_fractions(&mut admission, &sources, pool(SLOTS), &nothing_shared, 6);
    assert!((admitted[0] - admitted[1]).abs() < 0.1, "equal work, equal fractions: {admitted:?}");
    assert!(admitted[0] > 0.5, "{admitted:?}");
}

/// Guards against unbounded state and messages through customers that keep appearing.
#[test]
fn state_of_many_customers_is_bounded_and_expires() {
    let mut admission = EngineAdmission::default();
    for customer in 0..5_000 {
        admission.decide(&request(1, customer), &pool(SLOTS), &nothing_shared, 0.5, at(customer));
    }
    assert!(admission.own_figures(at(5_000)).len() <= 257);
    admission.prune(at(60_000));
    assert!(admission.own_figures(at(60_000)).is_empty());
}

/// Guards against panics and lasting damage through implausible loads, totals and times.
#[test]
fn implausible_values_do_no_harm() {
    arbtest(|u| {
        let mut admission = EngineAdmission::default();
        for _ in 0..u.int_in_range(1..=60)? {
            let now = Instant(u.int_in_range(0..=1 << 40)?);
            let duration = |value: u64| Duration::from_micros(value);
            let request = EngineRequest {
                requester: Requester { priority: u.arbitrary()?, customer: NameHash(u.arbitrary()?) },
                patience: duration(u.arbitrary()?),
                target_latency: duration(u.arbitrary()?),
                time_left: duration(u.arbitrary()?),
                full_time: duration(u.arbitrary()?),
                tokens: u.arbitrary()?,
            };
            let load = EnginePoolLoad {
                upstreams: u.arbitrary()?,
                slots: u.arbitrary()?,
                in_progress: u.arbitrary()?,
                predicted_wait: u.arbitrary::<Option<u64>>()?.map(duration),
                router_count: u.arbitrary()?,
            };
            let total: Option<f32> = u.arbitrary()?;
            let decision = admission.decide(&request, &load, &|_| total, u.arbitrary()?, now);
            if let EngineDecision::Refused { retry_after, .. } = decision {
                assert!(retry_after <= request.time_left / 3 + Duration::from_micros(1), "{retry_after:?}");
            }
            let kind = RequestKind { priority: u.arbitrary()?, tokens: u.arbitrary()? };
            admission.record_first_event(kind, duration(u.arbitrary()?), now);
            admission.record_end(kind, duration(u.arbitrary()?), duration(u.arbitrary()?));
            admission.record_rejection(now);
        }
        admission.prune(Instant(1 << 41));
        let calm = admission.decide(&request(1, 1), &pool(0), &nothing_shared, 0.5, Instant(1 << 41));
        assert_eq!(calm, EngineDecision::Admitted);
        Ok(())
    });
}

/// Guards against a box that refuses urgent requests, or admits all, while it has learned nothing since its start.
#[test]
fn restarted_box_divides_by_the_totals_of_the_others() {
    let mut admission = EngineAdmission::default();
    let totals = |key: DemandKey| Some(if key.priority == 0 { 300.0 } else { 900.0 });
    let decide = |admission: &mut EngineAdmission, priority, index: u64| {
        let request = request(priority, 1);
        let load = EnginePoolLoad { in_progress: SLOTS * 11 / 10, ..pool(0) };
        admission.decide(&request, &load, &totals, jitter(index), at(index * 33)) == EngineDecision::Admitted
    };
    let urgent = (0..100).filter(|index| decide(&mut admission, 0, *index)).count();
    let others = (100..200).filter(|index| decide(&mut admission, 1, *index)).count();
    assert!(urgent > 80, "{urgent}");
    assert!(others < 60, "{others}");
}

/// Guards against refusals that outlast an overload.
#[test]
fn all_is_admitted_soon_after_an_overload() {
    let mut admission = EngineAdmission::default();
    let sources = [Source { request: request(1, 1), per_second: 200 }];
    let admitted = admitted_fractions(&mut admission, &sources, pool(SLOTS * 2), &nothing_shared, 3);
    assert!(admitted[0] < 0.5, "{admitted:?}");
    let load = pool(SLOTS / 2);
    let refused_after = |millis: u64, admission: &mut EngineAdmission| {
        let decision = admission.decide(&request(1, 1), &load, &nothing_shared, 0.999, at(3_000 + millis));
        decision != EngineDecision::Admitted
    };
    let last = (0..300).map(|step| step * 10).filter(|millis| refused_after(*millis, &mut admission)).max();
    assert!(last.is_none_or(|millis| millis <= 1_000), "still refused after {last:?} ms");
}

/// Guards against boxes that admit and refuse together: with the same reports and totals, boxes with little and with
/// much traffic have to admit about the same fraction.
#[test]
fn boxes_of_all_sizes_admit_the_same_fraction() {
    let totals = |key: DemandKey| Some(if key.customer.is_some() { 240.0 } else { 960.0 });
    let fractions = [10, 100].map(|per_second| {
        let mut admission = EngineAdmission::default();
        let sources = [Source { request: request(1, 1), per_second }];
        admitted_fractions(&mut admission, &sources, pool(SLOTS), &totals, 20)[0]
    });
    assert!((fractions[0] - fractions[1]).abs() < 0.15, "{fractions:?}");
    assert!(fractions.iter().all(|fraction| (0.2..0.8).contains(fraction)), "{fractions:?}");
}

/// Guards against sending requests that wait longer than their callers do.
#[test]
fn request_that_would_outwait_its_caller_is_refused_at_once() {
    let mut admission = EngineAdmission::default();
    let load = EnginePoolLoad { predicted_wait: Some(Duration::from_secs(5)), ..pool(SLOTS * 2) };
    let sources = [Source { request: request(1, 1), per_second: 200 }];
    admitted_fractions(&mut admission, &sources, load, &nothing_shared, 3);
    let decision = admission.decide(&request(1, 1), &load, &nothing_shared, 0.0, at(3_000));
    assert!(matches!(
        decision,
        EngineDecision::Refused { reason: AdmissionRefusal::DeadlineUnreachable, .. }
    ));
}

/// Guards against a customer whose callers retry at once lowering the fraction that others get.
#[test]
fn retries_of_one_customer_do_not_affect_others() {
    let mut admission = EngineAdmission::default();
    let retried = EngineRequest { time_left: FULL_TIME.mul_f64(0.8), ..request(1, 2) };
    let sources =
        [Source { request: request(1, 1), per_second: 20 }, Source { request: retried, per_second: 200 }];
    let totals = |key: DemandKey| Some(if key.customer.is_some() { 480.0 } else { 960.0 });
    let admitted = admitted_fractions(&mut admission, &sources, pool(SLOTS), &totals, 10);
    assert!(admitted[0] > 0.4, "{admitted:?}");
}

/// Guards against a refusal on a prediction alone: a burst at one box, or demands that others share, while most slots
/// are known to be free.
#[test]
fn nothing_is_refused_while_most_slots_are_free() {
    arbtest(|random| {
        let mut admission = EngineAdmission::default();
        let totals = |_: DemandKey| Some(100_000.0);
        for step in 0..400 {
            let in_progress = random.int_in_range(0..=SLOTS * 3)?;
            let customer = random.int_in_range(1..=3)?;
            let request = request(random.int_in_range(0..=2)?, customer);
            let decision =
                admission.decide(&request, &pool(in_progress), &totals, jitter(step), at(step * 5));
            if in_progress < SLOTS / 2 {
                assert_eq!(decision, EngineDecision::Admitted, "{in_progress} of {SLOTS} slots");
            }
        }
        Ok(())
    });
}
