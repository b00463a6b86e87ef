//! Suspicion of upstreams based on the failures that several routers observe.

use bendhinge_fleet::{
    FailureDetector, FailureEvidence, FailureReport, SuspectChange, UpdateSource, UpstreamFailure,
};
use bendhinge_ids::{Instant, NameHash};

const UPSTREAM: NameHash = NameHash(7);
/// The router that the detector belongs to.
const LOCAL_ROUTER: NameHash = NameHash(1);

/// The router that reports evidence, and the one that evidence is announced to.
const SENDER: UpdateSource = UpdateSource::Router(NameHash(200));
const RECIPIENT: UpdateSource = UpdateSource::Router(NameHash(201));

fn at(millis: u64) -> Instant {
    Instant::from_millis(10_000 + millis)
}

fn report(router: u64, millis: u64) -> FailureReport {
    FailureReport { router: NameHash(router), at: at(millis) }
}

fn evidence(reports: &[FailureReport]) -> FailureEvidence {
    FailureEvidence { last_response: None, reports: reports.to_vec() }
}

#[test]
fn failures_of_one_router_raise_no_suspicion() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    for millis in [0, 100, 200] {
        let received = evidence(&[report(1, millis)]);
        assert_eq!(detector.merge(UPSTREAM, &received, SENDER, at(millis)), SuspectChange::Unchanged);
    }
}

#[test]
fn failures_of_two_routers_raise_suspicion() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    detector.record_failure(UPSTREAM, UpstreamFailure::ConnectionLost, at(0), at(0));
    let received = evidence(&[report(2, 50)]);
    assert_eq!(detector.merge(UPSTREAM, &received, SENDER, at(100)), SuspectChange::Suspected);
    assert_eq!(
        detector.merge(UPSTREAM, &received, SENDER, at(200)),
        SuspectChange::Unchanged,
        "the suspicion is reported once"
    );
}

/// Guards against suspicion caused by routers with faulty links or by a full queue.
#[test]
fn later_response_outweighs_all_failures() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    detector.record_failure(UPSTREAM, UpstreamFailure::ConnectionLost, at(0), at(0));
    detector.record_response(UPSTREAM, at(80));
    let failures = evidence(&[report(2, 50), report(3, 60), report(4, 70)]);
    assert_eq!(detector.merge(UPSTREAM, &failures, SENDER, at(100)), SuspectChange::Unchanged);
    let later = evidence(&[report(2, 90), report(3, 95)]);
    assert_eq!(detector.merge(UPSTREAM, &later, SENDER, at(100)), SuspectChange::Suspected);
    let response = FailureEvidence { last_response: Some(at(96)), ..FailureEvidence::default() };
    assert_eq!(detector.merge(UPSTREAM, &response, SENDER, at(150)), SuspectChange::Cleared);
}

#[test]
fn timeout_counts_from_send_and_rejection_counts_as_response() {
    let other = evidence(&[report(2, 550)]);
    let change_after = |failure, response| {
        let mut detector = FailureDetector::new(LOCAL_ROUTER);
        detector.record_response(UPSTREAM, at(response));
        detector.record_failure(UPSTREAM, failure, at(500), at(600));
        detector.merge(UPSTREAM, &other, SENDER, at(600))
    };
    assert_eq!(change_after(UpstreamFailure::TimedOut, 400), SuspectChange::Suspected);
    assert_eq!(
        change_after(UpstreamFailure::TimedOut, 520),
        SuspectChange::Unchanged,
        "the response was only delayed"
    );
    assert_eq!(change_after(UpstreamFailure::ConnectFailed, 520), SuspectChange::Suspected);
    assert_eq!(change_after(UpstreamFailure::ConnectTimedOut, 400), SuspectChange::Suspected);
    assert_eq!(
        change_after(UpstreamFailure::ConnectTimedOut, 520),
        SuspectChange::Unchanged,
        "the upstream responded while the connection was attempted"
    );
    assert_eq!(
        change_after(UpstreamFailure::Rejected, 400),
        SuspectChange::Unchanged,
        "a rejection is a response"
    );
    assert_eq!(
        change_after(UpstreamFailure::WrongInstance, 400),
        SuspectChange::Unchanged,
        "another instance responded"
    );
}

/// Guards against suspicion of an upstream that responds to this router while two others report failures,
/// such as short request timeouts.
#[test]
fn own_response_outweighs_reported_failures() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    detector.record_response(UPSTREAM, at(80));
    let failures = evidence(&[report(2, 50), report(3, 60)]);
    assert_eq!(detector.merge(UPSTREAM, &failures, SENDER, at(100)), SuspectChange::Unchanged);
    let announced: Vec<_> =
        detector.changes_for(RECIPIENT, at(100)).map(|(_, evidence)| evidence.last_response).collect();
    assert_eq!(announced, [Some(at(80))], "the response is announced to other routers");
}

#[test]
fn expired_failures_are_ignored_and_not_announced() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    detector.record_failure(UPSTREAM, UpstreamFailure::ConnectionLost, at(0), at(0));
    assert_eq!(detector.changes_for(RECIPIENT, at(100)).count(), 1);
    assert_eq!(detector.changes_for(RECIPIENT, at(3_100)).count(), 0);
    assert_eq!(
        detector.merge(UPSTREAM, &evidence(&[report(2, 3_050)]), SENDER, at(3_100)),
        SuspectChange::Unchanged
    );
    detector.prune(|_| true, at(7_000));
    assert_eq!(
        detector.merge(UPSTREAM, &evidence(&[report(2, 6_900)]), SENDER, at(7_000)),
        SuspectChange::Unchanged
    );
}

/// Guards against each router having to detect a failed upstream by its own failures.
#[test]
fn all_routers_suspect_after_failures_of_two() {
    const ROUTERS: u64 = 87;
    let mut routers: Vec<FailureDetector> =
        (0..ROUTERS).map(|number| FailureDetector::new(NameHash(number))).collect();
    routers[3].record_failure(UPSTREAM, UpstreamFailure::ConnectionLost, at(0), at(0));
    routers[70].record_failure(UPSTREAM, UpstreamFailure::ConnectionLost, at(20), at(20));
    let mut suspecting = 0;
    // Every router receives the evidence of all routers in each round.
    for round in 1..=3 {
        let now = at(round * 400);
        let announced: Vec<FailureEvidence> = routers
            .iter()
            .flat_map(|router| router.changes_for(RECIPIENT, now).map(|(_, evidence)| evidence.clone()))
            .collect();
        for router in &mut routers {
            for evidence in &announced {
                suspecting +=
                    u64::from(router.merge(UPSTREAM, evidence, SENDER, now) == SuspectChange::Suspected);
            }
        }
    }
    assert_eq!(suspecting, ROUTERS);
}

/// Unchanged evidence is announced for two gossip rounds, not in each message; continued failures are
/// announced again.
#[test]
fn evidence_is_announced_when_it_changes() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    let is_announced_at =
        |detector: &FailureDetector, millis| detector.changes_for(RECIPIENT, at(millis)).count() == 1;
    detector.record_failure(UPSTREAM, UpstreamFailure::ConnectionLost, at(0), at(0));
    assert!(is_announced_at(&detector, 0) && is_announced_at(&detector, 800));
    detector.record_failure(UPSTREAM, UpstreamFailure::ConnectionLost, at(500), at(500));
    assert!(!is_announced_at(&detector, 1_000), "another failure of the same router is no change");
    detector.record_failure(UPSTREAM, UpstreamFailure::ConnectionLost, at(1_200), at(1_200));
    assert!(is_announced_at(&detector, 1_300), "failures that continue for over a second are announced");
    detector.merge(UPSTREAM, &evidence(&[report(2, 2_200)]), SENDER, at(2_200));
    assert!(is_announced_at(&detector, 2_300), "the failure of a second router");
    detector.merge(UPSTREAM, &evidence(&[report(2, 2_200), report(3, 2_250)]), SENDER, at(3_000));
    assert!(!is_announced_at(&detector, 3_150), "a third router adds nothing to the quorum");
    detector.record_response(UPSTREAM, at(3_200));
    assert!(is_announced_at(&detector, 3_300), "a response");
}

/// Limits the announcements about upstreams that fail some of their requests.
#[test]
fn occasional_failures_are_rarely_announced() {
    const UPSTREAMS: u64 = 120;
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    let (mut announced, mut rounds) = (0, 0);
    for millis in (0..4_000).step_by(10) {
        let upstream = NameHash(100 + millis / 10 % UPSTREAMS);
        detector.record_response(upstream, at(millis));
        // Every eighth request fails, at one of several routers.
        if millis / 10 % 8 == 0 {
            detector.merge(upstream, &evidence(&[report(millis % 7, millis + 1)]), SENDER, at(millis + 1));
        }
        if millis % 400 == 0 {
            rounds += 1;
            announced += detector.changes_for(RECIPIENT, at(millis + 5)).count();
        }
    }
    assert!(announced < 20 * rounds, "{announced} in {rounds} messages");
}

/// Evidence is sent back to its sender only if this router knows more.
#[test]
fn sender_receives_only_evidence_that_it_lacks() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    detector.merge(UPSTREAM, &evidence(&[report(2, 50)]), SENDER, at(100));
    assert_eq!(detector.changes_for(SENDER, at(100)).count(), 0);
    assert_eq!(detector.changes_for(RECIPIENT, at(100)).count(), 1);
    detector.record_response(UPSTREAM, at(150));
    assert_eq!(detector.changes_for(SENDER, at(150)).count(), 1);
    detector.merge(UPSTREAM, &evidence(&[report(3, 120)]), SENDER, at(1_100));
    assert_eq!(detector.changes_for(SENDER, at(1_100)).count(), 1, "the sender lacks the response");
}

/// Guards against suspicion caused by routers that are partitioned from all upstreams.
#[test]
fn unconfirmed_failures_are_not_reported() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    detector.record_unconfirmed_failure(UPSTREAM, UpstreamFailure::ConnectFailed, at(0), at(10));
    assert!(detector.has_unconfirmed());
    assert_eq!(detector.changes_for(RECIPIENT, at(10)).count(), 0);
    detector.confirm_failures(|_| false, at(20));
    assert_eq!(detector.changes_for(RECIPIENT, at(20)).count(), 0);
}

#[test]
fn confirmed_failures_are_reported_as_of_their_time() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    detector.record_unconfirmed_failure(UPSTREAM, UpstreamFailure::ConnectFailed, at(0), at(10));
    detector.confirm_failures(|upstream| upstream == UPSTREAM, at(20));
    assert!(!detector.has_unconfirmed());
    let (upstream, evidence) = detector.changes_for(RECIPIENT, at(20)).next().unwrap();
    assert_eq!(upstream, UPSTREAM);
    assert_eq!(evidence.reports, [FailureReport { router: LOCAL_ROUTER, at: at(10) }]);
}

#[test]
fn unconfirmed_failures_are_dropped_or_expire() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    detector.record_unconfirmed_failure(UPSTREAM, UpstreamFailure::TimedOut, at(0), at(10));
    detector.drop_unconfirmed(|upstream| upstream == UPSTREAM);
    assert!(!detector.has_unconfirmed());
    detector.record_unconfirmed_failure(UPSTREAM, UpstreamFailure::TimedOut, at(0), at(10));
    detector.prune(|_| true, at(3_500));
    assert!(!detector.has_unconfirmed());
}

#[test]
fn an_unconfirmed_error_counts_as_a_response() {
    let mut detector = FailureDetector::new(LOCAL_ROUTER);
    detector.record_unconfirmed_failure(UPSTREAM, UpstreamFailure::ErrorResponse, at(0), at(10));
    assert!(!detector.has_unconfirmed());
    assert_eq!(detector.last_response(UPSTREAM), Some(at(10)));
}
