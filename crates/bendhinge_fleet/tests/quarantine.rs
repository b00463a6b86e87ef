//! Requests under which upstreams crash: when one is sent no more, and which are not held back.

use std::time::Duration;

use bendhinge_fleet::{Crash, MOST_CRASHES, Permission, Quarantine, Suspicion, UnderWay, UpdateSource};
use bendhinge_ids::{Instant, NameHash, RequestDigest};

const FATAL: RequestDigest = RequestDigest(1);
const SOUND: RequestDigest = RequestDigest(2);
const OWN: NameHash = NameHash(100);
const OTHER: NameHash = NameHash(101);
const SOFTWARE: NameHash = NameHash(7);

fn at(seconds: u64) -> Instant {
    Instant::from_millis(1_000_000 + seconds * 1_000)
}

fn crash(upstream: u64, seconds: u64) -> Crash {
    Crash { upstream: NameHash(upstream), software: SOFTWARE, at: at(seconds) }
}

/// Notes a crash under a request that was sent a second before.
fn crash_under(quarantine: &mut Quarantine, request: RequestDigest, crash: Crash) -> bool {
    quarantine.crashed(request, crash, crash.at - Duration::from_secs(1), crash.at)
}

/// A router at which a request crashed these upstreams, one a second.
fn crashed(request: RequestDigest, upstreams: impl IntoIterator<Item = u64>) -> Quarantine {
    let mut quarantine = Quarantine::new(OWN);
    for (seconds, upstream) in (0..).zip(upstreams) {
        assert!(crash_under(&mut quarantine, request, crash(upstream, seconds)));
    }
    quarantine
}

/// All that a router knows, as it tells it.
fn told(by: &Quarantine) -> Vec<(RequestDigest, Suspicion)> {
    by.held().map(|(request, suspicion)| (request, suspicion.clone())).collect()
}

fn tell(from: &Quarantine, name: NameHash, to: &mut Quarantine, now: Instant) -> bool {
    let mut changes = false;
    for (request, suspicion) in &told(from) {
        changes |= to.hear(*request, suspicion, UpdateSource::Router(name), now);
    }
    changes
}

fn is_quarantined(quarantine: &Quarantine, request: RequestDigest, now: Instant) -> bool {
    matches!(quarantine.permission(request, now), Permission::Quarantined(_))
}

#[test]
fn after_three_crashes_a_request_is_sent_no_more() {
    assert_eq!(Quarantine::new(OWN).permission(FATAL, at(0)), Permission::Free);
    assert_eq!(crashed(FATAL, [1]).permission(FATAL, at(1)), Permission::Free, "that is chance");
    assert_eq!(crashed(FATAL, [1, 2]).permission(FATAL, at(2)), Permission::Watched);
    assert!(is_quarantined(&crashed(FATAL, [1, 2, 3]), FATAL, at(3)));
    assert_eq!(crashed(FATAL, [1, 2, 3]).permission(SOUND, at(3)), Permission::Free);
}

#[test]
fn an_upstream_that_is_told_of_twice_counts_once() {
    let mut quarantine = crashed(FATAL, [1, 2]);
    assert!(!crash_under(&mut quarantine, FATAL, crash(2, 1)));
    assert_eq!(quarantine.crashes_of(FATAL), 2);
}

/// It may start again under its name, and crash again before the list tells of its new life.
#[test]
fn an_upstream_that_crashes_again_counts_again() {
    let mut quarantine = crashed(FATAL, [1]);
    let again = crash(1, 6);
    assert!(quarantine.crashed(FATAL, again, at(5), at(6)));
    // Another router that knows of the first says the same of the second.
    let mut other = crashed(FATAL, [1]);
    assert!(other.crashed(FATAL, again, at(5), at(6)));
    tell(&quarantine, OWN, &mut other, at(6));
    assert_eq!(other.crashes_of(FATAL), 2);
    // One that stood still notices the first crash late: it had sent the request before.
    assert!(!other.crashed(FATAL, crash(1, 9), at(0) - Duration::from_millis(1), at(9)));
}

#[test]
fn crashes_that_three_routers_saw_one_each_count_together() {
    let mut seen = [crashed(FATAL, [1]), crashed(FATAL, [2]), crashed(FATAL, [3])];
    let [first, second, third] = &mut seen;
    assert!(tell(first, OWN, second, at(0)));
    assert!(tell(second, OTHER, third, at(1)));
    assert!(is_quarantined(third, FATAL, at(1)));
    // Heard again, it is no news.
    assert!(!tell(second, OTHER, third, at(1)));
}

#[test]
fn crashes_and_sends_under_way_are_never_more_than_three() {
    let mut quarantine = crashed(FATAL, [1, 2]);
    let mut sent = 0;
    while quarantine.permission(FATAL, at(2)) == Permission::Watched {
        quarantine.begins(FATAL, at(2));
        sent += 1;
    }
    assert_eq!(quarantine.permission(FATAL, at(2)), Permission::Later);
    assert_eq!(2 + sent, MOST_CRASHES);
    quarantine.ends(FATAL, at(2));
    assert_eq!(quarantine.permission(FATAL, at(2)), Permission::Watched);
}

#[test]
fn sends_of_another_router_count_until_it_says_that_they_ended_or_is_silent_for_long() {
    let mut other = crashed(FATAL, [1, 2]);
    let mut quarantine = Quarantine::new(OTHER);
    other.begins(FATAL, at(2));
    tell(&other, OWN, &mut quarantine, at(2));
    assert_eq!(quarantine.permission(FATAL, at(2)), Permission::Later);
    assert_eq!(quarantine.permission(FATAL, at(13)), Permission::Watched);
    other.ends(FATAL, at(3));
    tell(&other, OWN, &mut quarantine, at(3));
    assert_eq!(quarantine.permission(FATAL, at(3)), Permission::Watched);
}

/// Whatever others say of its own sends, a router knows better.
#[test]
fn what_others_tell_of_own_sends_is_not_taken() {
    let mut own = crashed(FATAL, [1, 2]);
    own.begins(FATAL, at(2));
    let mut other = Quarantine::new(OTHER);
    tell(&own, OWN, &mut other, at(2));
    own.ends(FATAL, at(3));
    tell(&other, OTHER, &mut own, at(4));
    assert_eq!(own.permission(FATAL, at(4)), Permission::Watched);
}

#[test]
fn a_whole_answer_ends_a_suspicion_everywhere() {
    let mut quarantine = crashed(SOUND, [1, 2]);
    let mut other = Quarantine::new(OTHER);
    tell(&quarantine, OWN, &mut other, at(2));
    assert!(quarantine.answered(SOUND, at(3)));
    assert_eq!(quarantine.permission(SOUND, at(3)), Permission::Free);
    let news: Vec<_> = quarantine.changes(UpdateSource::Router(OTHER), at(2), false).collect();
    let [(request, suspicion)] = news[..] else { panic!("its end is news: {news:?}") };
    assert!(other.hear(request, suspicion, UpdateSource::Router(OWN), at(3)));
    assert_eq!(other.permission(SOUND, at(3)), Permission::Free);
    // A third router that still tells of the crashes changes nothing.
    let late = crashed(SOUND, [1, 2]);
    tell(&late, NameHash(102), &mut other, at(4));
    assert_eq!(other.permission(SOUND, at(4)), Permission::Free);
}

#[test]
fn what_ran_beside_a_request_under_quarantine_is_not_held_back_for_that() {
    let mut quarantine = crashed(FATAL, [1, 2, 3]);
    crash_under(&mut quarantine, SOUND, crash(1, 0));
    crash_under(&mut quarantine, SOUND, crash(2, 1));
    assert_eq!(quarantine.permission(SOUND, at(3)), Permission::Free);
    // A crash of its own counts.
    crash_under(&mut quarantine, SOUND, crash(9, 3));
    assert_eq!(quarantine.crashes_of(SOUND), 3, "as many as the other: neither explains the other's");
}

#[test]
fn a_quarantine_ends_after_its_time_with_one_try_at_a_time_and_doubles_with_the_next_crash() {
    let mut quarantine = crashed(FATAL, [1, 2, 3]);
    let minute = 60;
    assert!(is_quarantined(&quarantine, FATAL, at(10 * minute)));
    quarantine.prune(at(11 * minute));
    assert_eq!(quarantine.permission(FATAL, at(11 * minute)), Permission::Watched);
    quarantine.begins(FATAL, at(11 * minute));
    assert_eq!(quarantine.permission(FATAL, at(11 * minute)), Permission::Later);
    quarantine.ends(FATAL, at(11 * minute));
    crash_under(&mut quarantine, FATAL, crash(4, 11 * minute));
    assert!(is_quarantined(&quarantine, FATAL, at(30 * minute)));
    assert_eq!(quarantine.permission(FATAL, at(32 * minute)), Permission::Watched);
}

#[test]
fn a_suspicion_of_a_request_that_does_not_come_again_is_forgotten() {
    let mut quarantine = crashed(SOUND, [1, 2]);
    quarantine.prune(at(60));
    assert!(quarantine.may_know(SOUND.hint()));
    quarantine.prune(at(700));
    assert!(!quarantine.may_know(SOUND.hint()));
    assert!(quarantine.is_empty());
}

#[test]
fn what_crashed_software_that_nobody_runs_any_more_is_tried_on_the_other() {
    let mut quarantine = crashed(FATAL, [1, 2, 3]);
    quarantine.follow_software([SOFTWARE]);
    assert!(is_quarantined(&quarantine, FATAL, at(3)));
    quarantine.follow_software([NameHash(8)]);
    assert_eq!(quarantine.permission(FATAL, at(3)), Permission::Free);
    // Rolled back, it counts again.
    quarantine.follow_software([SOFTWARE]);
    assert!(is_quarantined(&quarantine, FATAL, at(3)));
}

#[test]
fn a_router_that_knows_something_else_is_told_all_that_matters_however_old() {
    let mut quarantine = crashed(FATAL, [1, 2, 3]);
    crash_under(&mut quarantine, SOUND, crash(9, 1));
    let mut started = Quarantine::new(OTHER);
    let later = at(120);
    assert_ne!(quarantine.digest(), started.digest());
    for (request, suspicion) in quarantine.that_matters() {
        assert_eq!(request, FATAL, "one crash alone is not worth telling twice");
        started.hear(request, suspicion, UpdateSource::Router(OWN), later);
    }
    assert_eq!(quarantine.digest(), started.digest());
    assert!(is_quarantined(&started, FATAL, later));
}

#[test]
fn news_is_told_once_and_not_to_whom_it_came_from() {
    let mut quarantine = crashed(FATAL, [1]);
    let mut other = Quarantine::new(OTHER);
    tell(&quarantine, OWN, &mut other, at(1));
    let (own, third) = (UpdateSource::Router(OWN), UpdateSource::Router(NameHash(102)));
    assert_eq!(other.changes(own, at(0), true).count(), 0);
    assert_eq!(other.changes(third, at(0), true).count(), 1);
    assert_eq!(other.changes(third, at(0), false).count(), 0);
    assert_eq!(other.changes(third, at(1), true).count(), 0);
    crash_under(&mut quarantine, FATAL, crash(2, 5));
    assert_eq!(quarantine.changes(third, at(1), false).count(), 1);
}

#[test]
fn sends_that_count_no_more_are_not_told_on_for_ever() {
    let mut quarantine = crashed(FATAL, [1, 2]);
    for router in 0..300 {
        let said = UnderWay { router: NameHash(1_000 + router), sends: 1, at: at(3 + router) };
        let heard = Suspicion { under_way: vec![said], ..Suspicion::default() };
        quarantine.hear(FATAL, &heard, UpdateSource::Router(NameHash(1_000 + router)), at(3 + router));
    }
    let (_, suspicion) = &told(&quarantine)[0];
    assert!(suspicion.under_way.len() <= 10, "{}", suspicion.under_way.len());
}

#[test]
fn the_digest_follows_whatever_happens() {
    let empty = Quarantine::new(OWN).digest();
    let mut quarantine = crashed(FATAL, [1, 2]);
    assert_ne!(quarantine.digest(), empty);
    quarantine.answered(FATAL, at(5));
    assert_eq!(quarantine.digest(), empty);
    let mut quarantine = crashed(FATAL, [1, 2]);
    quarantine.prune(at(700));
    assert_eq!(quarantine.digest(), empty);
}

/// What was seen: when a pool was overloaded and seven upstreams crashed with a hundred requests each, routers forgot
/// suspicions for want of room, heard of them again as of news, told them on, and served a tenth less for it.
#[test]
fn a_wave_of_crashes_takes_bounded_room_and_ends_as_news() {
    let mut routers = [crashed(FATAL, [1, 2, 3]), Quarantine::new(OTHER)];
    for request in 0..4_000 {
        crash_under(&mut routers[request % 2], RequestDigest(1_000 + request as u128), crash(50, 10));
    }
    let mut rounds = 0;
    loop {
        let [first, second] = &mut routers;
        let changes = tell(first, OWN, second, at(11)) | tell(second, OTHER, first, at(11));
        if !changes {
            break;
        }
        rounds += 1;
    }
    assert!(rounds <= 2, "{rounds}");
    for router in &routers {
        assert!(is_quarantined(router, FATAL, at(11)), "the weakest give way");
        assert!(router.held().count() <= 1_024);
    }
}

/// Whatever routers do and in whichever order they hear of it: none sends a request of which it knows three
/// crashes, and once all have told each other all, all know the same.
#[test]
fn routers_that_told_each_other_everything_agree() {
    const ROUTERS: usize = 4;
    arbtest::arbtest(|choices| {
        let names: [NameHash; ROUTERS] = std::array::from_fn(|number| NameHash(100 + number as u64));
        let mut routers = names.map(Quarantine::new);
        let mut second = 0;
        for step in 0..choices.int_in_range(0..=40_u64)? {
            let router = choices.choose_index(ROUTERS)?;
            let now = at(second);
            match choices.int_in_range(0..=5_u8)? {
                0 | 1
                    if routers[router].permission(FATAL, now) != Permission::Later
                        && !is_quarantined(&routers[router], FATAL, now) =>
                {
                    crash_under(&mut routers[router], FATAL, crash(step, second));
                }
                2 => drop(routers[router].answered(FATAL, now)),
                _ => {
                    let to = choices.choose_index(ROUTERS)?;
                    for (request, suspicion) in told(&routers[router]) {
                        routers[to].hear(request, &suspicion, UpdateSource::Router(names[router]), now);
                    }
                }
            }
            second += u64::from(choices.ratio(1, 2)?);
        }
        let now = at(second);
        for _ in 0..2 {
            for from in 0..ROUTERS {
                for to in 0..ROUTERS {
                    for (request, suspicion) in told(&routers[from]) {
                        routers[to].hear(request, &suspicion, UpdateSource::Router(names[from]), now);
                    }
                }
            }
        }
        let crashes: Vec<usize> = routers.iter().map(|router| router.crashes_of(FATAL)).collect();
        assert!(crashes.iter().all(|known| *known == crashes[0]), "{crashes:?}");
        Ok(())
    });
}
