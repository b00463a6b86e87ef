//! How many upstreams a crashing part of prompts costs, and which sound requests are refused for it. The pattern is
//! described in the module that plays it.

use bendhinge_lab::bench::crashing_parts::{OtherCrashes, Outcome, Scene, Way, run};

const SEEDS: u64 = 20;
const PART: Scene = Scene {
    crashing_per_second: 2.0,
    has_companion: false,
    other_crashes: OtherCrashes::None,
    sound_per_second: 26.0,
};
const MAX_LATE: usize = 3;

fn play(scene: Scene) -> Vec<Outcome> {
    (0..SEEDS).map(|seed| run(Way::Consecutive, scene, seed)).collect()
}

#[test]
fn few_requests_with_the_part_are_sent_once_it_can_be_known() {
    let scenes = [
        PART,
        Scene { has_companion: true, ..PART },
        Scene { other_crashes: OtherCrashes::Waves, ..PART },
        Scene { sound_per_second: 2.0, ..PART },
    ];
    for scene in scenes {
        let late = play(scene).iter().map(|outcome| outcome.late).max();
        assert!(late <= Some(MAX_LATE), "{late:?} in {scene:?}");
    }
}

#[test]
fn the_part_that_nearly_all_share_is_never_blamed() {
    for other_crashes in [OtherCrashes::Waves, OtherCrashes::Single] {
        for crashing_per_second in [0.0, 2.0] {
            let scene = Scene { crashing_per_second, other_crashes, ..PART };
            assert!(play(scene).iter().all(|outcome| !outcome.is_first_blamed), "{scene:?}");
        }
    }
}

#[test]
fn sound_requests_are_hardly_ever_refused() {
    for other_crashes in [OtherCrashes::None, OtherCrashes::Waves, OtherCrashes::Single] {
        let scene = Scene { other_crashes, ..PART };
        let outcomes = play(scene);
        let refused: usize = outcomes.iter().map(|outcome| outcome.refused + outcome.deferred).sum();
        let sound: usize = outcomes.iter().map(|outcome| outcome.sound).sum();
        assert!(refused * 20 < sound, "{refused} of {sound} in {scene:?}");
    }
}
