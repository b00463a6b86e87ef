//! The load that upstreams which warm up get from a whole fleet. The pattern is told in the module that plays it.
//!
//! An upstream bears 9.6 requests a second while it warms up, and a second with more than 19.4 is too many.

use bendhinge_lab::bench::warming::{ROUTERS, Seen, UPSTREAMS, Way, candidates, run};
use bendhinge_placement::WarmupLimit;

const WARMING: usize = 30;
const TOO_MANY: usize = 20;

fn assert_borne(seen: Seen) {
    assert!(seen.most < TOO_MANY, "{} in one second", seen.most);
}

#[test]
fn an_upstream_that_warms_up_gets_what_it_bears_from_all_routers_together() {
    let seen = run(Way::Drawn, WARMING, |_| Some(ROUTERS), 1);
    assert_borne(seen);
    assert!(seen.usual_mean > 2.5, "{:.1} a second, of the 5 that each upstream gets", seen.usual_mean);
}

#[test]
fn it_would_not_if_it_were_not_spared() {
    assert!(run(Way::Unspared, WARMING, |_| Some(ROUTERS), 1).most >= TOO_MANY);
}

#[test]
fn so_it_does_when_a_third_of_the_routers_is_not_known() {
    assert_borne(run(Way::Drawn, WARMING, |_| Some(ROUTERS * 2 / 3), 2));
}

#[test]
fn so_it_does_when_some_routers_are_cut_off_and_others_have_just_started() {
    assert_borne(run(Way::Drawn, WARMING, some_know_little, 3));
}

fn some_know_little(router: usize) -> Option<usize> {
    match router % 4 {
        0 => None,
        1 => Some(3),
        _ => Some(ROUTERS),
    }
}

#[test]
fn a_pool_that_warms_up_as_a_whole_gets_what_it_bears_and_no_more() {
    let seen = run(Way::Drawn, UPSTREAMS, |_| Some(ROUTERS), 4);
    assert_borne(seen);
    assert!(seen.usual_mean > 2.5, "{:.1} a second", seen.usual_mean);
}

#[test]
fn a_request_draws_one_upstream_at_most_and_no_other_when_that_was_tried() {
    let share = WarmupLimit { requests_per_second: 1_000.0, demand_per_second: 1.0, router_count: Some(2) };
    let open = |number: u64, tried: Option<usize>| -> Vec<usize> {
        let mut candidates = candidates(WARMING);
        if let Some(tried) = tried {
            candidates[tried].takes_work = false;
        }
        share.exclude_warming(&mut candidates, number);
        let open = (0..WARMING).filter(|at| candidates[*at].takes_work);
        open.collect()
    };
    let drawn: Vec<(u64, usize)> = (0..300)
        .flat_map(|number| {
            let open = open(number, None);
            assert!(open.len() <= 1);
            open.into_iter().map(move |drawn| (number, drawn))
        })
        .collect();
    assert!((70..130).contains(&drawn.len()), "a third of the draws, and not {}", drawn.len());
    assert!(drawn.iter().all(|(number, drawn)| !open(*number, Some(*drawn)).contains(drawn)));
}

#[test]
fn where_nothing_warms_up_nothing_changes() {
    let share = WarmupLimit { requests_per_second: 9.6, demand_per_second: 100.0, router_count: None };
    let mut candidates = candidates(0);
    share.exclude_warming(&mut candidates, 7);
    assert!(candidates.iter().all(|candidate| candidate.takes_work));
}
