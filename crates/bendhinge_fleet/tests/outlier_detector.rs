//! Outlier detection: failing upstreams are ejected and then probed.

use std::time::Duration;

use bendhinge_fleet::{OutlierDetector, OutlierLimits, UpstreamFailure, UpstreamHealth};
use bendhinge_ids::{Instant, NameHash};

const LIMITS: OutlierLimits = OutlierLimits {
    base_ejection: Duration::from_millis(500),
    max_ejection: Duration::from_millis(4_000),
    half_life: Duration::from_secs(3),
};
const UPSTREAM: NameHash = NameHash(1);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn is_healthy(health: UpstreamHealth) -> bool {
    matches!(health, UpstreamHealth::Healthy { .. })
}

#[test]
fn ejection_threshold_depends_on_failure_kind() {
    let cases = [
        (UpstreamFailure::ConnectFailed, 1),
        (UpstreamFailure::ConnectTimedOut, 1),
        (UpstreamFailure::WrongInstance, 1),
        (UpstreamFailure::TimedOut, 2),
        (UpstreamFailure::ConnectionLost, 3),
        (UpstreamFailure::Rejected, 3),
        (UpstreamFailure::ErrorResponse, 6),
    ];
    for (failure, threshold) in cases {
        let mut detector = OutlierDetector::new(LIMITS);
        let ejected: Vec<bool> = (0..threshold)
            .map(|number| detector.record_failure(UPSTREAM, failure, at(1_000 + number)))
            .collect();
        let expected: Vec<bool> = (1..=threshold).map(|number| number == threshold).collect();
        assert_eq!(ejected, expected, "{failure:?}");
    }
}

#[test]
fn one_probe_is_allowed_after_ejection() {
    let mut detector = OutlierDetector::new(LIMITS);
    detector.record_failure(UPSTREAM, UpstreamFailure::ConnectFailed, at(1_000));
    assert_eq!(detector.health(UPSTREAM, at(1_400)), UpstreamHealth::Ejected);
    assert_eq!(detector.health(UPSTREAM, at(1_600)), UpstreamHealth::ProbeAllowed);
    detector.record_send(UPSTREAM, at(1_600));
    assert_eq!(detector.health(UPSTREAM, at(1_700)), UpstreamHealth::Ejected, "one probe at a time");
    detector.record_success(UPSTREAM, at(1_750));
    assert!(is_healthy(detector.health(UPSTREAM, at(1_750))));
}

#[test]
fn failed_probes_extend_the_ejection_up_to_the_limit() {
    let mut detector = OutlierDetector::new(LIMITS);
    let mut now = 1_000;
    let mut ejections_ms = Vec::new();
    for _ in 0..6 {
        detector.record_failure(UPSTREAM, UpstreamFailure::ConnectFailed, at(now));
        let ejection_ms = (1..60_000)
            .find(|ejection_ms| detector.health(UPSTREAM, at(now + ejection_ms)) != UpstreamHealth::Ejected)
            .unwrap();
        ejections_ms.push(ejection_ms);
        now += ejection_ms;
        detector.record_send(UPSTREAM, at(now));
    }
    assert_eq!(ejections_ms, [500, 1_000, 2_000, 4_000, 4_000, 4_000]);
}

/// Guards against long ejections caused by the many requests in flight when an upstream fails.
#[test]
fn failures_during_an_ejection_do_not_extend_it() {
    let mut detector = OutlierDetector::new(LIMITS);
    for number in 0..100 {
        detector.record_failure(UPSTREAM, UpstreamFailure::ConnectFailed, at(1_000 + number));
    }
    assert_eq!(detector.health(UPSTREAM, at(1_450)), UpstreamHealth::Ejected);
    assert_eq!(detector.health(UPSTREAM, at(1_550)), UpstreamHealth::ProbeAllowed);
}

/// Guards against long ejections of healthy upstreams after an overload in which all of them reject
/// requests.
#[test]
fn rejections_do_not_extend_the_ejection() {
    let mut detector = OutlierDetector::new(LIMITS);
    for number in 0..20 {
        detector.record_failure(UPSTREAM, UpstreamFailure::Rejected, at(1_000 + number));
    }
    assert_eq!(detector.health(UPSTREAM, at(1_500)), UpstreamHealth::Ejected);
    assert_eq!(detector.health(UPSTREAM, at(1_600)), UpstreamHealth::ProbeAllowed);
}

#[test]
fn ejection_expires_without_a_probe() {
    let mut detector = OutlierDetector::new(LIMITS);
    detector.record_failure(UPSTREAM, UpstreamFailure::ConnectFailed, at(1_000));
    assert_eq!(detector.health(UPSTREAM, at(5_000)), UpstreamHealth::ProbeAllowed);
    assert!(is_healthy(detector.health(UPSTREAM, at(6_000))));
}

#[test]
fn failure_rate_decays() {
    let mut detector = OutlierDetector::new(LIMITS);
    for number in 0..10 {
        detector.record_failure(UPSTREAM, UpstreamFailure::ErrorResponse, at(1_000));
        detector.record_success(UPSTREAM, at(1_000 + number));
    }
    let failure_rate = |detector: &mut OutlierDetector, now| match detector.health(UPSTREAM, now) {
        UpstreamHealth::Healthy { failure_rate } => failure_rate,
        other => panic!("{other:?}"),
    };
    let early = failure_rate(&mut detector, at(1_010));
    detector.record_success(UPSTREAM, at(31_000));
    let late = failure_rate(&mut detector, at(31_000));
    assert!(early > 0.4 && late < 0.01, "{early} {late}");
}

/// Guards against a failure rate that stays high because the upstream gets no requests that could lower it.
#[test]
fn failure_rate_decays_without_requests() {
    let mut detector = OutlierDetector::new(LIMITS);
    for number in 0..300 {
        detector.record_failure(UPSTREAM, UpstreamFailure::Rejected, at(1_000 + number));
    }
    let UpstreamHealth::Healthy { failure_rate } = detector.health(UPSTREAM, at(11_300)) else {
        panic!("the ejection should have expired")
    };
    assert!(failure_rate < 0.06, "failure rate {failure_rate} after ten seconds");
}

#[test]
fn suspected_upstream_is_ejected_and_probed() {
    let mut detector = OutlierDetector::new(LIMITS);
    assert!(detector.eject_suspect(UPSTREAM, at(1_000)));
    assert!(!detector.eject_suspect(UPSTREAM, at(1_100)), "already ejected");
    assert_eq!(detector.health(UPSTREAM, at(1_400)), UpstreamHealth::Ejected);
    assert_eq!(detector.health(UPSTREAM, at(1_600)), UpstreamHealth::ProbeAllowed);
    detector.record_success(UPSTREAM, at(1_700));
    assert!(is_healthy(detector.health(UPSTREAM, at(1_700))));
}

/// A router's own failures outweigh the responses to others, since its own network link may be faulty.
#[test]
fn clearing_a_suspect_keeps_ejections_by_own_failures() {
    let mut detector = OutlierDetector::new(LIMITS);
    detector.eject_suspect(UPSTREAM, at(1_000));
    detector.clear_suspect(UPSTREAM);
    assert!(is_healthy(detector.health(UPSTREAM, at(1_100))));
    detector.record_failure(UPSTREAM, UpstreamFailure::ConnectFailed, at(2_000));
    detector.clear_suspect(UPSTREAM);
    assert_eq!(detector.health(UPSTREAM, at(2_100)), UpstreamHealth::Ejected);
}
