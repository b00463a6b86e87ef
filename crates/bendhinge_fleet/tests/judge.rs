//! Upstreams are judged by their own answers, and tried again gently.

use std::time::Duration;

use bendhinge_fleet::{Judge, JudgeLimits, Standing, UpstreamFailure};
use bendhinge_ids::{Instant, NameHash};

const LIMITS: JudgeLimits = JudgeLimits {
    rest: Duration::from_millis(500),
    longest_rest: Duration::from_millis(4_000),
    half_life: Duration::from_secs(3),
};
const UPSTREAM: NameHash = NameHash(1);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn is_good(standing: Standing) -> bool {
    matches!(standing, Standing::Good { .. })
}

#[test]
fn each_kind_of_failure_has_its_own_patience() {
    let cases = [
        (UpstreamFailure::NotConnected, 1),
        (UpstreamFailure::Replaced, 1),
        (UpstreamFailure::Silent, 2),
        (UpstreamFailure::Lost, 3),
        (UpstreamFailure::Shed, 3),
        (UpstreamFailure::Failed, 6),
    ];
    for (failure, allowed) in cases {
        let mut judge = Judge::new(LIMITS);
        let rested: Vec<bool> =
            (0..allowed).map(|number| judge.failed(UPSTREAM, failure, at(1_000 + number))).collect();
        let expected: Vec<bool> = (1..=allowed).map(|number| number == allowed).collect();
        assert_eq!(rested, expected, "{failure:?}");
    }
}

#[test]
fn after_its_rest_it_gets_one_request_on_trial() {
    let mut judge = Judge::new(LIMITS);
    judge.failed(UPSTREAM, UpstreamFailure::NotConnected, at(1_000));
    assert_eq!(judge.standing(UPSTREAM, at(1_400)), Standing::Resting);
    assert_eq!(judge.standing(UPSTREAM, at(1_600)), Standing::OnTrial);
    judge.sent(UPSTREAM, at(1_600));
    assert_eq!(judge.standing(UPSTREAM, at(1_700)), Standing::Resting, "one trial at a time");
    judge.answered(UPSTREAM, at(1_750));
    assert!(is_good(judge.standing(UPSTREAM, at(1_750))));
}

#[test]
fn a_failed_trial_makes_the_rest_longer_up_to_a_limit() {
    let mut judge = Judge::new(LIMITS);
    let mut now = 1_000;
    let mut rests = Vec::new();
    for _ in 0..6 {
        judge.failed(UPSTREAM, UpstreamFailure::NotConnected, at(now));
        let rest =
            (1..60_000).find(|rest| judge.standing(UPSTREAM, at(now + rest)) != Standing::Resting).unwrap();
        rests.push(rest);
        now += rest;
        judge.sent(UPSTREAM, at(now));
    }
    assert_eq!(rests, [500, 1_000, 2_000, 4_000, 4_000, 4_000]);
}

/// A hundred requests that were under way when an upstream was lost, or full, are one failure: with
/// each of them the rest grew to its longest, and an upstream that was well again stood idle for
/// eight seconds while the others carried its part.
#[test]
fn what_fails_during_a_rest_makes_it_no_longer() {
    let mut judge = Judge::new(LIMITS);
    for number in 0..100 {
        judge.failed(UPSTREAM, UpstreamFailure::NotConnected, at(1_000 + number));
    }
    assert_eq!(judge.standing(UPSTREAM, at(1_450)), Standing::Resting);
    assert_eq!(judge.standing(UPSTREAM, at(1_550)), Standing::OnTrial);
}

/// After an overload, in which all refuse, all would rest for long while nothing is wrong with them.
#[test]
fn want_of_room_makes_no_rest_longer() {
    let mut judge = Judge::new(LIMITS);
    for number in 0..20 {
        judge.failed(UPSTREAM, UpstreamFailure::Shed, at(1_000 + number));
    }
    assert_eq!(judge.standing(UPSTREAM, at(1_500)), Standing::Resting);
    assert_eq!(judge.standing(UPSTREAM, at(1_600)), Standing::OnTrial);
}

#[test]
fn an_upstream_that_nobody_tried_is_forgiven_in_the_end() {
    let mut judge = Judge::new(LIMITS);
    judge.failed(UPSTREAM, UpstreamFailure::NotConnected, at(1_000));
    assert_eq!(judge.standing(UPSTREAM, at(5_000)), Standing::OnTrial);
    assert!(is_good(judge.standing(UPSTREAM, at(6_000))));
}

#[test]
fn the_share_of_failures_fades() {
    let mut judge = Judge::new(LIMITS);
    for number in 0..10 {
        judge.failed(UPSTREAM, UpstreamFailure::Failed, at(1_000));
        judge.answered(UPSTREAM, at(1_000 + number));
    }
    let failing = |judge: &mut Judge, now| match judge.standing(UPSTREAM, now) {
        Standing::Good { failing } => failing,
        other => panic!("{other:?}"),
    };
    let early = failing(&mut judge, at(1_010));
    judge.answered(UPSTREAM, at(31_000));
    let late = failing(&mut judge, at(31_000));
    assert!(early > 0.4 && late < 0.01, "{early} {late}");
}

/// Three hundred failures of an overload kept their share for half a minute: nothing was sent there
/// that could have been answered.
#[test]
fn the_share_of_failures_fades_where_nothing_is_sent_any_more() {
    let mut judge = Judge::new(LIMITS);
    for number in 0..300 {
        judge.failed(UPSTREAM, UpstreamFailure::Shed, at(1_000 + number));
    }
    let Standing::Good { failing } = judge.standing(UPSTREAM, at(11_300)) else { panic!("it was forgiven") };
    assert!(failing < 0.06, "{failing} ten seconds later");
}

#[test]
fn one_that_others_found_lost_rests_and_gets_a_trial() {
    let mut judge = Judge::new(LIMITS);
    assert!(judge.suspected(UPSTREAM, at(1_000)));
    assert!(!judge.suspected(UPSTREAM, at(1_100)), "it rests already");
    assert_eq!(judge.standing(UPSTREAM, at(1_400)), Standing::Resting);
    assert_eq!(judge.standing(UPSTREAM, at(1_600)), Standing::OnTrial);
    judge.answered(UPSTREAM, at(1_700));
    assert!(is_good(judge.standing(UPSTREAM, at(1_700))));
}

/// What a router saw itself holds against others' answers: its own link may be what fails.
#[test]
fn others_answers_end_a_rest_that_others_began_and_no_other() {
    let mut judge = Judge::new(LIMITS);
    judge.suspected(UPSTREAM, at(1_000));
    judge.cleared(UPSTREAM);
    assert!(is_good(judge.standing(UPSTREAM, at(1_100))));
    judge.failed(UPSTREAM, UpstreamFailure::NotConnected, at(2_000));
    judge.cleared(UPSTREAM);
    assert_eq!(judge.standing(UPSTREAM, at(2_100)), Standing::Resting);
}
