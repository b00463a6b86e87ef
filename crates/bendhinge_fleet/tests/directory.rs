//! Entries that vanish while the store is in trouble are not upstreams that left.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{
    Directory, DirectoryLimits, Revision, UpstreamEntry, UpstreamList, UpstreamState, WarmUp,
};
use bendhinge_ids::{Instant, NameHash};

const LIMITS: DirectoryLimits = DirectoryLimits {
    gap: Duration::from_millis(2_500),
    doubt: Duration::from_millis(3_000),
    remember: Duration::from_millis(3_000),
};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn list(entries: &[(&str, UpstreamState)]) -> UpstreamList {
    let entries = entries.iter().map(|(name, state)| {
        Arc::new(UpstreamEntry {
            name: name.parse().unwrap(),
            hash: NameHash::of(name),
            born: 0,
            software: NameHash::of(""),
            pool: "pool".parse().unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            data_centre: "south".parse().unwrap(),
            slots: 8,
            state: *state,
            made: 1,
            warm_up: None,
        })
    });
    UpstreamList { entries: entries.collect(), drained: Vec::new() }
}

fn working(directory: &Directory, millis: u64) -> Vec<String> {
    let working = directory.listed().iter().filter(|listed| listed.takes_work(at(millis)));
    working.map(|listed| listed.entry.name.to_string()).collect()
}

use UpstreamState::{Draining, Ready};

fn read(directory: &mut Directory, entries: &[(&str, UpstreamState)], millis: u64) {
    directory.evidence(at(millis));
    directory.take(&list(entries), at(millis));
}

#[test]
fn an_entry_that_vanishes_in_calm_takes_no_more_work() {
    let mut directory = Directory::new(LIMITS);
    read(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    read(&mut directory, &[("a", Ready)], 1_700);
    assert_eq!(working(&directory, 1_700), ["a"]);
    assert_eq!(directory.listed().len(), 2, "it is remembered for what it keeps");
    assert!(directory.lists(NameHash::of("b")));
    assert!(directory.prune(at(5_000)));
    assert_eq!(directory.listed().len(), 1);
    assert!(directory.lists(NameHash::of("a")));
    assert!(!directory.lists(NameHash::of("b")));
}

#[test]
fn entries_that_vanish_after_a_gap_are_kept_for_a_while() {
    let mut directory = Directory::new(LIMITS);
    read(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    read(&mut directory, &[], 8_000);
    assert_eq!(working(&directory, 8_000), ["a", "b"]);
    read(&mut directory, &[("a", Ready)], 9_000);
    assert_eq!(working(&directory, 9_000), ["a", "b"], "b may still come back");
    directory.prune(at(10_900));
    assert_eq!(working(&directory, 10_900), ["a", "b"], "the store's return is not three seconds ago");
    directory.prune(at(11_100));
    assert_eq!(working(&directory, 11_100), ["a"], "the doubt is over");
}

/// A router that stood still for four seconds while the store was well, and heard of the list as of the end of that. An
/// upstream that leaves without a word 1.4 s later is given up with the doubt, and not three seconds after it vanished:
/// by then a request that reached it counted as two seconds late.
#[test]
fn what_vanishes_late_in_a_doubt_is_given_up_when_the_doubt_ends() {
    let mut directory = Directory::new(LIMITS);
    read(&mut directory, &[("a", Ready), ("b", Ready)], 17_900);
    directory.evidence(at(21_950));
    read(&mut directory, &[("a", Ready)], 23_350);
    assert_eq!(working(&directory, 24_900), ["a", "b"]);
    assert_eq!(working(&directory, 24_950), ["a"]);
}

#[test]
fn an_entry_that_comes_back_is_the_same_as_before() {
    let mut directory = Directory::new(LIMITS);
    read(&mut directory, &[("a", Ready)], 1_000);
    read(&mut directory, &[], 8_000);
    read(&mut directory, &[("a", Ready)], 9_000);
    directory.prune(at(20_000));
    assert_eq!(working(&directory, 20_000), ["a"]);
    assert_eq!(directory.listed()[0].since, at(1_000));
}

#[test]
fn leaving_wins_over_joining() {
    let mut directory = Directory::new(LIMITS);
    read(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    read(&mut directory, &[("a", Draining), ("b", Ready)], 1_700);
    assert_eq!(working(&directory, 1_700), ["b"]);
    read(&mut directory, &[("a", Ready), ("b", Ready)], 2_400);
    assert_eq!(working(&directory, 2_400), ["b"]);
}

/// A list of one upstream that says that it warms up.
fn warming(left_millis: u64, said: u64) -> UpstreamList {
    let mut warming = list(&[("a", Ready)]);
    let entry = Arc::make_mut(&mut warming.entries[0]);
    entry.warm_up = WarmUp::of(Duration::from_millis(left_millis), Revision(said));
    warming
}

fn is_warming(directory: &Directory, millis: u64) -> bool {
    directory.listed()[0].is_warming(at(millis))
}

#[test]
fn a_warm_up_ends_when_what_was_left_of_it_is_over_however_often_it_is_read() {
    let mut directory = Directory::new(LIMITS);
    directory.take(&warming(3_000, 7), at(1_000));
    directory.take(&warming(3_000, 7), at(2_500));
    assert!(is_warming(&directory, 3_900));
    assert!(!is_warming(&directory, 4_000));
}

#[test]
fn an_upstream_may_warm_up_again_under_the_same_name() {
    let mut directory = Directory::new(LIMITS);
    directory.take(&warming(3_000, 7), at(1_000));
    directory.take(&warming(1_200, 9), at(2_500));
    assert!(!is_warming(&directory, 3_700), "what is said last counts");
    directory.take(&list(&[("a", Ready)]), at(5_000));
    assert!(!is_warming(&directory, 5_000));
    directory.take(&warming(3_000, 30), at(6_000));
    assert!(is_warming(&directory, 8_900));
}

/// The upstreams "a" and "b", with their data centre drained or not.
fn drained(is_drained: bool) -> UpstreamList {
    let mut list = list(&[("a", Ready), ("b", Ready)]);
    list.drained = if is_drained { vec!["south".parse().unwrap()] } else { Vec::new() };
    list
}

#[test]
fn an_upstream_of_a_drained_data_centre_takes_no_work_until_that_is_taken_back() {
    let mut directory = Directory::new(LIMITS);
    for begin in [1_000, 20_000] {
        directory.take(&drained(false), at(begin));
        assert_eq!(working(&directory, begin), ["a", "b"]);
        directory.take(&drained(true), at(begin + 1_000));
        assert_eq!(working(&directory, begin + 1_000), [""; 0]);
        directory.prune(at(begin + 9_000));
        assert_eq!(directory.listed().len(), 2, "they are still there, for what they keep");
        directory.take(&drained(false), at(begin + 9_500));
        assert_eq!(working(&directory, begin + 9_500), ["a", "b"]);
    }
}

#[test]
fn upstreams_come_back_from_a_drained_data_centre_as_if_they_were_warming_up() {
    let mut directory = Directory::new(LIMITS);
    directory.take(&drained(true), at(1_000));
    assert!(!is_warming(&directory, 1_000), "who starts amid it knows no more than that");
    directory.take(&drained(false), at(9_000));
    assert!(is_warming(&directory, 11_400));
    assert!(!is_warming(&directory, 11_500));
}

#[test]
fn an_entry_that_lapses_while_its_data_centre_is_drained_takes_no_work_either() {
    let mut directory = Directory::new(LIMITS);
    directory.evidence(at(1_000));
    directory.take(&drained(true), at(1_000));
    let mut lapsed = drained(true);
    lapsed.entries.remove(0);
    directory.evidence(at(5_000));
    directory.take(&lapsed, at(5_000));
    assert_eq!(working(&directory, 5_000), [""; 0]);
}

fn in_life(list: &UpstreamList, name: &str, born: u64) -> UpstreamList {
    let entries = list.entries.iter().map(|entry| {
        let mut entry = UpstreamEntry::clone(entry);
        if entry.name.as_str() == name {
            entry.born = born;
            entry.hash = UpstreamEntry::life(&entry.name, born);
        }
        Arc::new(entry)
    });
    UpstreamList { entries: entries.collect(), drained: Vec::new() }
}

/// What was believed of the life before goes by its hash, which is listed no more.
#[test]
fn an_upstream_that_starts_again_under_its_name_is_another_one() {
    let both = list(&[("a", Ready), ("b", Draining)]);
    let mut directory = Directory::new(LIMITS);
    let take = |directory: &mut Directory, list: &UpstreamList, millis| {
        directory.evidence(at(millis));
        directory.take(list, at(millis));
    };
    take(&mut directory, &in_life(&both, "a", 1_000), 1_000);
    let before = directory.listed()[0].entry.hash;
    take(&mut directory, &in_life(&both, "a", 2_000), 2_000);
    let names: Vec<_> = directory.listed().iter().map(|listed| listed.entry.name.as_str()).collect();
    assert_eq!(names, ["a", "b"], "the life before holds nothing any more");
    assert!(!directory.lists(before));
    assert_eq!(directory.listed()[0].since, at(2_000));
    // One that said that it leaves and starts again takes work: that was the other's word.
    let returned = in_life(&list(&[("a", Ready), ("b", Ready)]), "b", 3_000);
    take(&mut directory, &returned, 3_000);
    assert!(working(&directory, 3_000).contains(&"b".to_owned()));
}

/// Its clock may have been set back: any other start is another life.
#[test]
fn a_life_with_an_earlier_start_is_another_one_too() {
    let name = "a".parse().unwrap();
    assert_ne!(UpstreamEntry::life(&name, 2_000), UpstreamEntry::life(&name, 1_000));
    assert_eq!(
        UpstreamEntry::life(&name, 0),
        NameHash::of("a"),
        "of one that does not say it, the name must do"
    );
}

#[test]
fn an_upstream_that_said_itself_that_it_leaves_takes_no_work_whatever_lists_say() {
    let mut directory = Directory::new(LIMITS);
    read(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    assert!(directory.leaves(NameHash::of("a"), at(1_500)));
    assert!(!directory.leaves(NameHash::of("a"), at(1_600)), "it is no news any more");
    assert_eq!(working(&directory, 1_500), ["b"]);
    read(&mut directory, &[("a", Ready), ("b", Ready)], 1_700);
    assert_eq!(working(&directory, 1_700), ["b"]);
    // Its entry goes, is forgotten, and is on a page that was read late.
    read(&mut directory, &[("b", Ready)], 2_000);
    directory.prune(at(9_000));
    assert!(!directory.lists(NameHash::of("a")));
    read(&mut directory, &[("a", Ready), ("b", Ready)], 9_100);
    assert_eq!(working(&directory, 9_100), ["b"]);
}

/// Nor where the store lost the entry in trouble, so that it is kept for a while.
#[test]
fn an_upstream_that_said_that_it_leaves_is_not_kept_in_doubt() {
    let mut directory = Directory::new(LIMITS);
    read(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    directory.leaves(NameHash::of("a"), at(2_000));
    read(&mut directory, &[], 6_000);
    assert_eq!(working(&directory, 6_000), ["b"]);
}

#[test]
fn an_upstream_may_say_that_it_leaves_before_it_is_listed() {
    let mut directory = Directory::new(LIMITS);
    directory.leaves(NameHash::of("a"), at(500));
    read(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    assert_eq!(working(&directory, 1_000), ["b"]);
}

#[test]
fn another_life_of_an_upstream_that_left_takes_work() {
    let mut directory = Directory::new(LIMITS);
    read(&mut directory, &[("a", Ready)], 1_000);
    directory.leaves(NameHash::of("a"), at(1_500));
    let mut list = list(&[("a", Ready)]);
    let entry = Arc::make_mut(&mut list.entries[0]);
    entry.born = 7;
    entry.hash = UpstreamEntry::life(&entry.name, 7);
    directory.evidence(at(2_000));
    directory.take(&list, at(2_000));
    assert_eq!(working(&directory, 2_000), ["a"]);
}
