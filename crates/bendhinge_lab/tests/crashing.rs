//! How many upstreams one request ends that comes again at any router, and which sound requests are refused for it.
//! The pattern is told in the module that plays it.

use bendhinge_lab::bench::crashing::{Scene, Seen, Trouble, Way, run};

const SEEDS: u64 = 40;
const TODAY: Scene = Scene { routers: 9, upstreams: 12, trouble: Trouble::None };

struct Over {
    mean: f64,
    most: usize,
    late: usize,
    refused: usize,
    sound: usize,
}

fn play(way: Way, scene: Scene, seeds: u64) -> Over {
    let seen: Vec<Seen> = (0..seeds).map(|seed| run(way, scene, seed)).collect();
    Over {
        mean: seen.iter().map(|seen| seen.crashed as f64).sum::<f64>() / seen.len() as f64,
        most: seen.iter().map(|seen| seen.crashed).max().unwrap_or(0),
        late: seen.iter().map(|seen| seen.late).max().unwrap_or(0),
        refused: seen.iter().map(|seen| seen.sound_quarantined + seen.sound_later).sum(),
        sound: seen.iter().map(|seen| seen.sound).sum(),
    }
}

#[test]
fn one_request_ends_three_upstreams_and_those_to_which_it_went_before_anybody_knew() {
    let over = play(Way::WithSends, TODAY, SEEDS);
    assert!(over.mean < 3.3, "{:.2}", over.mean);
    assert!(over.most <= 5, "{}", over.most);
    assert_eq!(over.late, 0);
}

#[test]
fn without_counting_it_ends_one_after_the_other() {
    assert!(play(Way::Uncounted, TODAY, 5).mean > 20.0);
    assert!(play(Way::Alone, TODAY, 5).mean > 15.0);
}

#[test]
fn without_word_of_sends_under_way_it_ends_more() {
    let (told, with_sends) = (play(Way::Told, TODAY, SEEDS), play(Way::WithSends, TODAY, SEEDS));
    assert!(told.mean > with_sends.mean + 0.2, "{:.2} and {:.2}", told.mean, with_sends.mean);
}

#[test]
fn sound_requests_are_hardly_ever_refused_though_many_are_lost_beside_it() {
    let over = play(Way::WithSends, TODAY, SEEDS);
    assert!(over.refused * 10_000 < over.sound, "{} of {}", over.refused, over.sound);
}

#[test]
fn after_all_routers_were_killed_no_more_than_three_sends_follow_late() {
    let scene = Scene { trouble: Trouble::Killed, ..TODAY };
    assert!(play(Way::WithSends, scene, SEEDS).late <= 3);
}

#[test]
fn routers_that_stand_still_now_and_then_keep_to_it() {
    let scene = Scene { trouble: Trouble::Frozen, ..TODAY };
    let over = play(Way::WithSends, scene, SEEDS);
    assert!(over.mean < 3.6, "{:.2}", over.mean);
    assert!(over.late <= 3, "{}", over.late);
}

/// Those that hear of nobody end three upstreams each and no more; the others do not pay for that.
#[test]
fn routers_that_are_cut_off_count_for_themselves() {
    let scene = Scene { trouble: Trouble::CutOff, ..TODAY };
    let over = play(Way::WithSends, scene, SEEDS);
    assert!(over.most <= 4 * 3 + 2, "{}", over.most);
    assert!(over.late <= 3, "{}", over.late);
}

#[test]
fn so_it_is_with_295_routers() {
    let scene = Scene { routers: 295, upstreams: 250, trouble: Trouble::None };
    let over = play(Way::WithSends, scene, 2);
    assert!(over.most <= 5, "{}", over.most);
    assert_eq!(over.late, 0);
}
