//! What upstreams get that ask for rest, and what callers get meanwhile. The pattern is told in the module that plays it.

use bendhinge_lab::bench::resting::{Scene, Seen, Trouble, Way, run};

const SEEDS: u64 = 4;

fn play(way: Way, trouble: Trouble) -> Vec<Seen> {
    let scene = Scene { routers: 9, upstreams: 12, trouble };
    (0..SEEDS).map(|seed| run(way, scene, seed)).collect()
}

fn sum(seen: &[Seen], of: fn(&Seen) -> usize) -> usize {
    seen.iter().map(of).sum()
}

#[test]
fn a_rest_that_is_heeded_is_never_broken_also_where_all_upstreams_ask_for_it() {
    for trouble in [Trouble::Odd, Trouble::AllOdd, Trouble::Full] {
        for way in [Way::Own, Way::ToldAll, Way::ToldAsHint] {
            assert_eq!(sum(&play(way, trouble), |seen| seen.broken), 0, "{way:?}, {trouble:?}");
        }
        assert!(sum(&play(Way::Unread, trouble), |seen| seen.broken) > 0, "{trouble:?}");
    }
}

#[test]
fn callers_are_served_as_well_as_before_where_a_third_of_a_pool_asks_for_rest() {
    let (unread, own) = (play(Way::Unread, Trouble::Odd), play(Way::Own, Trouble::Odd));
    let share =
        |seen: &[Seen]| sum(seen, |seen| seen.answered) as f64 / sum(seen, |seen| seen.requests) as f64;
    assert!(share(&own) >= share(&unread), "{:.4} and {:.4}", share(&own), share(&unread));
    assert!(sum(&own, |seen| seen.turned_away) * 2 < sum(&unread, |seen| seen.turned_away));
}
