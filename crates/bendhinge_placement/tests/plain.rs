//! Tests the selection of an upstream of a plain pool.

use std::time::Duration;

use bendhinge_ids::NameHash;
use bendhinge_placement::{Distance, PlainCandidate, PlainChoice, choose_plain};

const DRAWS: u64 = 20_000;

fn candidates(response_ms: &[u64]) -> Vec<PlainCandidate> {
    let candidate = |(number, millis): (usize, &u64)| PlainCandidate {
        upstream: NameHash(number as u64 * 7_919 + 1),
        in_progress: 1.0,
        own_in_progress: 0.0,
        response_time: Duration::from_millis(*millis),
        failure_rate: 0.0,
        takes_work: true,
        is_at_limit: false,
        counts_in_mean: true,
        distance: Distance::Local,
    };
    response_ms.iter().enumerate().map(candidate).collect()
}

/// Returns the index of the chosen candidate.
fn choose(candidates: &[PlainCandidate], tie_breaker: u64) -> Option<usize> {
    choose_plain(candidates, tie_breaker).map(|choice| choice.candidate)
}

/// Returns the share of requests that each candidate gets.
fn shares(candidates: &[PlainCandidate]) -> Vec<f64> {
    let mut counts = vec![0_u32; candidates.len()];
    for draw in 0..DRAWS {
        if let Some(chosen) = choose(candidates, draw.wrapping_mul(0x9e37_79b9_7f4a_7c15)) {
            counts[chosen] += 1;
        }
    }
    counts.into_iter().map(|count| f64::from(count) / DRAWS as f64).collect()
}

#[test]
fn equal_upstreams_get_equal_shares() {
    for share in shares(&candidates(&[40, 40, 40])) {
        assert!((share - 1.0 / 3.0).abs() < 0.02, "{share:.3}");
    }
}

/// Guards against herding: the faster upstream must not get everything, nor the slower one nothing.
#[test]
fn shares_fall_with_the_expected_response_time() {
    let shares = shares(&candidates(&[36, 36, 90]));
    assert!((0.4..0.5).contains(&shares[0]) && (0.4..0.5).contains(&shares[1]), "{shares:.3?}");
    assert!((0.04..0.12).contains(&shares[2]), "{shares:.3?}");
}

/// Guards against a drop-out that moves requests between the other upstreams.
#[test]
fn requests_of_the_other_upstreams_stay() {
    let all = candidates(&[40, 50, 60, 70]);
    let mut reduced = all.clone();
    reduced[2].takes_work = false;
    for draw in 0..2_000 {
        let (before, after) = (choose(&all, draw), choose(&reduced, draw));
        assert!(before == after || before == Some(2), "{before:?} became {after:?}");
    }
}

#[test]
fn an_upstream_above_the_load_bound_is_chosen_only_if_all_are() {
    let mut candidates = candidates(&[20, 40, 40]);
    candidates[0].in_progress = 20.0;
    assert!(shares(&candidates)[0].abs() < f64::EPSILON);
    candidates[1].takes_work = false;
    candidates[2].takes_work = false;
    assert_eq!(choose(&candidates, 1), Some(0));
    candidates[0].takes_work = false;
    assert_eq!(choose(&candidates, 1), None);
    assert_eq!(choose(&[], 1), None);
}

#[test]
fn failures_own_requests_and_distance_reduce_the_share() {
    let mut failing = candidates(&[40, 40]);
    failing[0].failure_rate = 0.5;
    assert!(shares(&failing)[0] < 0.01);
    let mut busy = candidates(&[40, 40]);
    busy[0].own_in_progress = 1.0;
    assert!((0.2..0.4).contains(&shares(&busy)[0]));
    let mut remote = candidates(&[40, 40]);
    remote[0].distance = Distance::Remote;
    assert!((0.1..0.3).contains(&shares(&remote)[0]));
    // A data centre whose own upstream is slow uses the others.
    let mut slow = candidates(&[40, 200]);
    slow[0].distance = Distance::Remote;
    assert!(shares(&slow)[0] > 0.8);
}

/// Guards against values that are no number, negative or infinite.
#[test]
fn an_upstream_that_takes_work_is_chosen_whatever_its_values() {
    arbtest::arbtest(|source| {
        let mut candidates = candidates(&vec![40; source.int_in_range(1..=6)?]);
        for candidate in &mut candidates {
            candidate.in_progress = f32::from_bits(source.arbitrary()?);
            candidate.own_in_progress = f32::from_bits(source.arbitrary()?);
            candidate.failure_rate = f32::from_bits(source.arbitrary()?);
            candidate.response_time = Duration::from_millis(source.arbitrary()?);
            candidate.takes_work = source.arbitrary()?;
        }
        let chosen = choose(&candidates, source.arbitrary()?);
        let takes_work = |candidate: &PlainCandidate| candidate.takes_work;
        assert_eq!(
            chosen.map(|index| takes_work(&candidates[index])),
            candidates.iter().any(takes_work).then_some(true)
        );
        Ok(())
    });
}

/// Guards against a request that is refused a permit and asks for one of the same upstream again.
#[test]
fn candidates_at_their_limit_are_passed_over() {
    let mut candidates = candidates(&[40, 40, 40]);
    candidates[0].is_at_limit = true;
    candidates[2].is_at_limit = true;
    for draw in 0..200 {
        assert_eq!(choose(&candidates, draw), Some(1));
    }
}

/// Guards against a pool that serves nothing while all of its upstreams are at a limit that is too low.
#[test]
fn if_all_are_at_their_limit_the_least_loaded_is_chosen_without_one() {
    let mut candidates = candidates(&[40, 40, 40]);
    for (candidate, in_progress) in candidates.iter_mut().zip([9.0, 7.0, 8.0]) {
        candidate.is_at_limit = true;
        candidate.in_progress = in_progress;
    }
    for draw in 0..200 {
        assert_eq!(choose_plain(&candidates, draw), Some(PlainChoice { candidate: 1, limit: u32::MAX }));
    }
}

/// Guards against permits by a limit that allows for counts that are not exact, which those of permits are.
#[test]
fn permits_are_limited_to_the_mean_of_the_upstreams_that_accept_requests() {
    let mut candidates = candidates(&[40, 40, 40]);
    for candidate in &mut candidates {
        candidate.in_progress = 8.0;
    }
    let limit = |candidates: &[PlainCandidate]| choose_plain(candidates, 1).map(|choice| choice.limit);
    assert_eq!(limit(&candidates), Some(11));
    // A drained upstream lowers the mean that the users' limit refers to.
    candidates[2].in_progress = 0.0;
    candidates[2].takes_work = false;
    assert_eq!(limit(&candidates), Some(10));
}
