//! A rest that an upstream asked for lasts to its end, whatever is heard in the meantime.

use std::time::Duration;

use arbtest::arbtest;
use bendhinge_fleet::{LONGEST_REST, Rests};
use bendhinge_ids::{Instant, NameHash};

const UPSTREAM: NameHash = NameHash(1);
const OTHER: NameHash = NameHash(2);

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_rest_lasts_as_long_as_was_asked() {
    let mut rests = Rests::default();
    assert_eq!(rests.asked(UPSTREAM, millis(3_000), at(1_000)), at(4_000));
    assert_eq!(rests.end(UPSTREAM, at(3_999)), Some(at(4_000)));
    assert_eq!(rests.end(UPSTREAM, at(4_000)), None);
    assert_eq!(rests.end(OTHER, at(3_000)), None);
}

#[test]
fn answers_that_overtake_each_other_do_not_cut_a_rest_short() {
    let mut rests = Rests::default();
    rests.asked(UPSTREAM, millis(3_000), at(1_000));
    assert_eq!(rests.asked(UPSTREAM, millis(100), at(1_200)), at(4_000));
    assert_eq!(rests.asked(UPSTREAM, millis(3_000), at(2_000)), at(5_000));
}

#[test]
fn a_number_without_sense_spares_an_upstream_for_the_longest_rest() {
    let mut rests = Rests::default();
    assert_eq!(rests.asked(UPSTREAM, Duration::MAX, at(1_000)), at(1_000) + LONGEST_REST);
}

#[test]
fn only_rests_that_are_over_are_forgotten() {
    let mut rests = Rests::default();
    rests.asked(UPSTREAM, millis(3_000), at(1_000));
    rests.asked(OTHER, millis(1_000), at(1_000));
    rests.prune(at(2_500));
    assert_eq!(rests.end(UPSTREAM, at(2_500)), Some(at(4_000)));
    assert_eq!((rests.count(at(2_500)), rests.count(at(4_000))), (1, 0));
}

/// Against all that was asked, kept in a list.
#[test]
fn an_upstream_rests_exactly_as_long_as_anything_that_it_asked_lasts() {
    arbtest(|input| {
        let mut rests = Rests::default();
        let mut ends: Vec<(NameHash, Instant)> = Vec::new();
        let mut now = at(0);
        for _ in 0..input.int_in_range(1..=40)? {
            now = now + millis(input.int_in_range(0..=700)?);
            let upstream = NameHash(input.int_in_range(1..=3)?);
            if input.ratio(1, 3)? {
                rests.prune(now);
            } else {
                let rest = millis(input.int_in_range(1..=5_000)?);
                rests.asked(upstream, rest, now);
                ends.push((upstream, now + rest));
            }
            for upstream in (1..=3).map(NameHash) {
                let asked = ends.iter().filter(|(of, end)| *of == upstream && now < *end);
                assert_eq!(rests.end(upstream, now), asked.map(|(_, end)| *end).max());
            }
        }
        Ok(())
    });
}
