//! When upstreams are suspected on what other routers saw.

use bendhinge_fleet::{Doubt, Evidence, UpdateSource, UpstreamFailure, Verdict, Witness};
use bendhinge_ids::{Instant, NameHash};

const UPSTREAM: NameHash = NameHash(7);
/// The router whose evidence it is.
const OWN: NameHash = NameHash(1);

/// Who tells it of doubts, and whom it tells.
const SENDER: UpdateSource = UpdateSource::Router(NameHash(200));
const LISTENER: UpdateSource = UpdateSource::Router(NameHash(201));

fn at(millis: u64) -> Instant {
    Instant::from_millis(10_000 + millis)
}

fn witness(router: u64, millis: u64) -> Witness {
    Witness { router: NameHash(router), at: at(millis) }
}

fn doubt(witnesses: &[Witness]) -> Doubt {
    Doubt { answered: None, witnesses: witnesses.to_vec() }
}

#[test]
fn one_routers_failures_make_no_suspect() {
    let mut evidence = Evidence::new(OWN);
    for millis in [0, 100, 200] {
        let heard = doubt(&[witness(1, millis)]);
        assert_eq!(evidence.hear(UPSTREAM, &heard, SENDER, at(millis)), Verdict::Unchanged);
    }
}

#[test]
fn failures_of_two_routers_do() {
    let mut evidence = Evidence::new(OWN);
    evidence.failed(UPSTREAM, UpstreamFailure::Lost, at(0), at(0));
    let heard = doubt(&[witness(2, 50)]);
    assert_eq!(evidence.hear(UPSTREAM, &heard, SENDER, at(100)), Verdict::Suspect);
    assert_eq!(evidence.hear(UPSTREAM, &heard, SENDER, at(200)), Verdict::Unchanged, "it is told once");
}

/// Routers whose own links fail, or that meet a full queue, are outvoted by any answer.
#[test]
fn a_later_answer_outweighs_all_failures() {
    let mut evidence = Evidence::new(OWN);
    evidence.failed(UPSTREAM, UpstreamFailure::Lost, at(0), at(0));
    evidence.answered(UPSTREAM, at(80));
    let failures = doubt(&[witness(2, 50), witness(3, 60), witness(4, 70)]);
    assert_eq!(evidence.hear(UPSTREAM, &failures, SENDER, at(100)), Verdict::Unchanged);
    let later = doubt(&[witness(2, 90), witness(3, 95)]);
    assert_eq!(evidence.hear(UPSTREAM, &later, SENDER, at(100)), Verdict::Suspect);
    let answered = Doubt { answered: Some(at(96)), ..Doubt::default() };
    assert_eq!(evidence.hear(UPSTREAM, &answered, SENDER, at(150)), Verdict::Cleared);
}

#[test]
fn silence_counts_from_when_the_request_was_sent_and_a_refusal_not_at_all() {
    let other = doubt(&[witness(2, 550)]);
    let verdict = |failure, answered| {
        let mut evidence = Evidence::new(OWN);
        evidence.answered(UPSTREAM, at(answered));
        evidence.failed(UPSTREAM, failure, at(500), at(600));
        evidence.hear(UPSTREAM, &other, SENDER, at(600))
    };
    assert_eq!(verdict(UpstreamFailure::Silent, 400), Verdict::Suspect);
    assert_eq!(verdict(UpstreamFailure::Silent, 520), Verdict::Unchanged, "it answers from behind a queue");
    assert_eq!(verdict(UpstreamFailure::NotConnected, 520), Verdict::Suspect);
    assert_eq!(verdict(UpstreamFailure::Shed, 400), Verdict::Unchanged, "a refusal is an answer");
    assert_eq!(verdict(UpstreamFailure::Replaced, 400), Verdict::Unchanged, "it is another that answered");
}

/// Who is answered all the time has no doubt of its own that an answer could end. Before, it took
/// what two others told of requests with short time limits for the loss of the upstream.
#[test]
fn a_router_that_is_answered_does_not_suspect_on_what_it_is_told() {
    let mut evidence = Evidence::new(OWN);
    evidence.answered(UPSTREAM, at(80));
    let failures = doubt(&[witness(2, 50), witness(3, 60)]);
    assert_eq!(evidence.hear(UPSTREAM, &failures, SENDER, at(100)), Verdict::Unchanged);
    let told: Vec<_> = evidence.doubts_for(LISTENER, at(100)).map(|(_, doubt)| doubt.answered).collect();
    assert_eq!(told, [Some(at(80))], "and it tells the others so");
}

#[test]
fn old_failures_count_for_nothing_and_are_not_told() {
    let mut evidence = Evidence::new(OWN);
    evidence.failed(UPSTREAM, UpstreamFailure::Lost, at(0), at(0));
    assert_eq!(evidence.doubts_for(LISTENER, at(100)).count(), 1);
    assert_eq!(evidence.doubts_for(LISTENER, at(3_100)).count(), 0);
    assert_eq!(evidence.hear(UPSTREAM, &doubt(&[witness(2, 3_050)]), SENDER, at(3_100)), Verdict::Unchanged);
    evidence.prune(|_| true, at(7_000));
    assert_eq!(evidence.hear(UPSTREAM, &doubt(&[witness(2, 6_900)]), SENDER, at(7_000)), Verdict::Unchanged);
}

/// Many routers together find an upstream that answers nobody, each of which sent it one request;
/// before, each had to fail there twice.
#[test]
fn each_of_many_routers_learns_from_the_first_two() {
    const ROUTERS: u64 = 87;
    let mut routers: Vec<Evidence> = (0..ROUTERS).map(|number| Evidence::new(NameHash(number))).collect();
    routers[3].failed(UPSTREAM, UpstreamFailure::Lost, at(0), at(0));
    routers[70].failed(UPSTREAM, UpstreamFailure::Lost, at(20), at(20));
    let mut suspecting = 0;
    // All hear of both through a few in between.
    for round in 1..=3 {
        let now = at(round * 400);
        let told: Vec<Doubt> = routers
            .iter()
            .flat_map(|one| one.doubts_for(LISTENER, now).map(|(_, doubt)| doubt.clone()))
            .collect();
        for router in &mut routers {
            for doubt in &told {
                suspecting += u64::from(router.hear(UPSTREAM, doubt, SENDER, now) == Verdict::Suspect);
            }
        }
    }
    assert_eq!(suspecting, ROUTERS);
}

/// Of a doubt that stands as it stood others are told for two rounds, not in each message; that it goes on
/// is told again.
#[test]
fn a_doubt_is_told_when_it_changes() {
    let mut evidence = Evidence::new(OWN);
    let told_at = |evidence: &Evidence, millis| evidence.doubts_for(LISTENER, at(millis)).count() == 1;
    evidence.failed(UPSTREAM, UpstreamFailure::Lost, at(0), at(0));
    assert!(told_at(&evidence, 0) && told_at(&evidence, 800));
    evidence.failed(UPSTREAM, UpstreamFailure::Lost, at(500), at(500));
    assert!(!told_at(&evidence, 1_000), "the same router's next failure is no change");
    evidence.failed(UPSTREAM, UpstreamFailure::Lost, at(1_200), at(1_200));
    assert!(told_at(&evidence, 1_300), "it goes on for more than a second");
    evidence.hear(UPSTREAM, &doubt(&[witness(2, 2_200)]), SENDER, at(2_200));
    assert!(told_at(&evidence, 2_300), "a second router's");
    evidence.hear(UPSTREAM, &doubt(&[witness(2, 2_200), witness(3, 2_250)]), SENDER, at(3_000));
    assert!(!told_at(&evidence, 3_150), "a third one's proves nothing more");
    evidence.answered(UPSTREAM, at(3_200));
    assert!(told_at(&evidence, 3_300), "an answer");
}

/// Half of the upstreams fail a part of their requests and answer the others: what a router tells of them
/// stays small.
#[test]
fn upstreams_that_fail_now_and_then_are_told_of_seldom() {
    const UPSTREAMS: u64 = 120;
    let mut evidence = Evidence::new(OWN);
    let (mut told, mut rounds) = (0, 0);
    for millis in (0..4_000).step_by(10) {
        let upstream = NameHash(100 + millis / 10 % UPSTREAMS);
        evidence.answered(upstream, at(millis));
        // Each eighth request fails, at one router or another.
        if millis / 10 % 8 == 0 {
            evidence.hear(upstream, &doubt(&[witness(millis % 7, millis + 1)]), SENDER, at(millis + 1));
        }
        if millis % 400 == 0 {
            rounds += 1;
            told += evidence.doubts_for(LISTENER, at(millis + 5)).count();
        }
    }
    assert!(told < 20 * rounds, "{told} in {rounds} messages");
}

/// Nobody is told again what it told, unless this router knows better.
#[test]
fn who_told_of_a_doubt_is_told_only_what_it_does_not_know() {
    let mut evidence = Evidence::new(OWN);
    evidence.hear(UPSTREAM, &doubt(&[witness(2, 50)]), SENDER, at(100));
    assert_eq!(evidence.doubts_for(SENDER, at(100)).count(), 0);
    assert_eq!(evidence.doubts_for(LISTENER, at(100)).count(), 1);
    evidence.answered(UPSTREAM, at(150));
    assert_eq!(evidence.doubts_for(SENDER, at(150)).count(), 1);
    evidence.hear(UPSTREAM, &doubt(&[witness(3, 120)]), SENDER, at(1_100));
    assert_eq!(evidence.doubts_for(SENDER, at(1_100)).count(), 1, "it does not know of the answer");
}
