//! The upstream directory: lists, grace periods, warm-ups, drains and leave notices.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{
    Directory, DirectoryLimits, Revision, UpstreamEntry, UpstreamList, UpstreamState, WarmUp,
};
use bendhinge_ids::{Instant, NameHash};

const LIMITS: DirectoryLimits = DirectoryLimits {
    max_staleness: Duration::from_millis(2_500),
    removal_grace: Duration::from_millis(3_000),
    retention: Duration::from_millis(3_000),
};

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn list(entries: &[(&str, UpstreamState)]) -> UpstreamList {
    let entries = entries.iter().map(|(name, state)| {
        Arc::new(UpstreamEntry {
            name: name.parse().unwrap(),
            hash: NameHash::of(name),
            started_ms: 0,
            software: NameHash::of(""),
            pool: "pool".parse().unwrap(),
            address: "10.0.0.1:80".parse().unwrap(),
            data_centre: "south".parse().unwrap(),
            slots: 8,
            state: *state,
            created_revision: 1,
            warm_up: None,
        })
    });
    UpstreamList { entries: entries.collect(), drained: Vec::new() }
}

fn names_accepting_work(directory: &Directory, millis: u64) -> Vec<String> {
    let accepting = directory.upstreams().iter().filter(|listed| listed.accepts_work(at(millis)));
    accepting.map(|listed| listed.entry.name.to_string()).collect()
}

use UpstreamState::{Draining, Ready};

fn apply_list(directory: &mut Directory, entries: &[(&str, UpstreamState)], millis: u64) {
    directory.confirm_current(at(millis));
    directory.apply(&list(entries), at(millis));
}

#[test]
fn removed_upstream_accepts_no_work() {
    let mut directory = Directory::new(LIMITS);
    apply_list(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    apply_list(&mut directory, &[("a", Ready)], 1_700);
    assert_eq!(names_accepting_work(&directory, 1_700), ["a"]);
    assert_eq!(directory.upstreams().len(), 2, "kept for the state that it holds");
    assert!(directory.contains(NameHash::of("b")));
    assert!(directory.prune(at(5_000)));
    assert_eq!(directory.upstreams().len(), 1);
    assert!(directory.contains(NameHash::of("a")));
    assert!(!directory.contains(NameHash::of("b")));
}

#[test]
fn upstreams_removed_after_stale_period_are_kept_for_grace_period() {
    let mut directory = Directory::new(LIMITS);
    apply_list(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    apply_list(&mut directory, &[], 8_000);
    assert_eq!(names_accepting_work(&directory, 8_000), ["a", "b"]);
    apply_list(&mut directory, &[("a", Ready)], 9_000);
    assert_eq!(names_accepting_work(&directory, 9_000), ["a", "b"], "b is in its grace period");
    directory.prune(at(10_900));
    assert_eq!(names_accepting_work(&directory, 10_900), ["a", "b"], "the grace period is not over");
    directory.prune(at(11_100));
    assert_eq!(names_accepting_work(&directory, 11_100), ["a"], "the grace period is over");
}

/// A router is paused while the store is healthy and then receives an outdated confirmation. Guards against
/// a grace period that starts at the removal and so sends requests to a departed upstream.
#[test]
fn late_removal_does_not_extend_the_grace_period() {
    let mut directory = Directory::new(LIMITS);
    apply_list(&mut directory, &[("a", Ready), ("b", Ready)], 17_900);
    directory.confirm_current(at(21_950));
    apply_list(&mut directory, &[("a", Ready)], 23_350);
    assert_eq!(names_accepting_work(&directory, 24_900), ["a", "b"]);
    assert_eq!(names_accepting_work(&directory, 24_950), ["a"]);
}

#[test]
fn relisted_upstream_keeps_first_seen() {
    let mut directory = Directory::new(LIMITS);
    apply_list(&mut directory, &[("a", Ready)], 1_000);
    apply_list(&mut directory, &[], 8_000);
    apply_list(&mut directory, &[("a", Ready)], 9_000);
    directory.prune(at(20_000));
    assert_eq!(names_accepting_work(&directory, 20_000), ["a"]);
    assert_eq!(directory.upstreams()[0].first_seen, at(1_000));
}

#[test]
fn draining_upstream_does_not_become_ready_again() {
    let mut directory = Directory::new(LIMITS);
    apply_list(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    apply_list(&mut directory, &[("a", Draining), ("b", Ready)], 1_700);
    assert_eq!(names_accepting_work(&directory, 1_700), ["b"]);
    apply_list(&mut directory, &[("a", Ready), ("b", Ready)], 2_400);
    assert_eq!(names_accepting_work(&directory, 2_400), ["b"]);
}

/// Returns a list with one upstream that is warming up.
fn warming_list(remaining_ms: u64, revision: u64) -> UpstreamList {
    let mut list = list(&[("a", Ready)]);
    let entry = Arc::make_mut(&mut list.entries[0]);
    entry.warm_up = WarmUp::new(Duration::from_millis(remaining_ms), Revision(revision));
    list
}

fn is_warming_up(directory: &Directory, millis: u64) -> bool {
    directory.upstreams()[0].is_warming_up(at(millis))
}

/// Guards against an upstream that is expected to have as many requests as the others although it gets few.
#[test]
fn drained_and_warming_upstreams_get_few_requests() {
    let mut directory = Directory::new(LIMITS);
    let mut drained = list(&[("a", Ready)]);
    drained.drained = vec!["south".parse().unwrap()];
    let few_until = |directory: &Directory, millis| {
        let listed = &directory.upstreams()[0];
        (listed.gets_few_requests(at(millis)), listed.few_requests_until(at(millis)))
    };
    directory.apply(&list(&[("a", Ready)]), at(1_000));
    assert_eq!(few_until(&directory, 1_000), (false, None));
    directory.apply(&drained, at(2_000));
    assert_eq!(few_until(&directory, 2_000), (true, Some(at(2_000))));
    assert_eq!(few_until(&directory, 9_000), (true, Some(at(9_000))));
    directory.apply(&list(&[("a", Ready)]), at(10_000));
    let (gets_few, Some(until)) = few_until(&directory, 10_000) else { panic!("it warms up after a drain") };
    assert!(gets_few && until > at(10_000));
    assert_eq!(few_until(&directory, 60_000), (false, Some(until)));
}

#[test]
fn repeated_report_does_not_extend_a_warm_up() {
    let mut directory = Directory::new(LIMITS);
    directory.apply(&warming_list(3_000, 7), at(1_000));
    directory.apply(&warming_list(3_000, 7), at(2_500));
    assert!(is_warming_up(&directory, 3_900));
    assert!(!is_warming_up(&directory, 4_000));
}

#[test]
fn upstream_may_warm_up_again() {
    let mut directory = Directory::new(LIMITS);
    directory.apply(&warming_list(3_000, 7), at(1_000));
    directory.apply(&warming_list(1_200, 9), at(2_500));
    assert!(!is_warming_up(&directory, 3_700), "the latest report counts");
    directory.apply(&list(&[("a", Ready)]), at(5_000));
    assert!(!is_warming_up(&directory, 5_000));
    directory.apply(&warming_list(3_000, 30), at(6_000));
    assert!(is_warming_up(&directory, 8_900));
}

/// Returns a list of the upstreams "a" and "b", with their data centre drained or not.
fn list_with_drain(is_drained: bool) -> UpstreamList {
    let mut list = list(&[("a", Ready), ("b", Ready)]);
    list.drained = if is_drained { vec!["south".parse().unwrap()] } else { Vec::new() };
    list
}

#[test]
fn upstreams_accept_no_work_while_their_data_centre_is_drained() {
    let mut directory = Directory::new(LIMITS);
    for start in [1_000, 20_000] {
        directory.apply(&list_with_drain(false), at(start));
        assert_eq!(names_accepting_work(&directory, start), ["a", "b"]);
        directory.apply(&list_with_drain(true), at(start + 1_000));
        assert_eq!(names_accepting_work(&directory, start + 1_000), [""; 0]);
        directory.prune(at(start + 9_000));
        assert_eq!(directory.upstreams().len(), 2, "kept for the state that they hold");
        directory.apply(&list_with_drain(false), at(start + 9_500));
        assert_eq!(names_accepting_work(&directory, start + 9_500), ["a", "b"]);
    }
}

#[test]
fn upstreams_count_as_warming_up_after_a_drain() {
    let mut directory = Directory::new(LIMITS);
    directory.apply(&list_with_drain(true), at(1_000));
    assert!(!is_warming_up(&directory, 1_000), "the router has seen no end of a drain");
    directory.apply(&list_with_drain(false), at(9_000));
    assert!(is_warming_up(&directory, 11_400));
    assert!(!is_warming_up(&directory, 11_500));
}

#[test]
fn entry_that_expires_during_a_drain_accepts_no_work() {
    let mut directory = Directory::new(LIMITS);
    directory.confirm_current(at(1_000));
    directory.apply(&list_with_drain(true), at(1_000));
    let mut expired = list_with_drain(true);
    expired.entries.remove(0);
    directory.confirm_current(at(5_000));
    directory.apply(&expired, at(5_000));
    assert_eq!(names_accepting_work(&directory, 5_000), [""; 0]);
}

fn with_start_time(list: &UpstreamList, name: &str, started_ms: u64) -> UpstreamList {
    let entries = list.entries.iter().map(|entry| {
        let mut entry = UpstreamEntry::clone(entry);
        if entry.name.as_str() == name {
            entry.started_ms = started_ms;
            entry.hash = UpstreamEntry::instance_hash(&entry.name, started_ms);
        }
        Arc::new(entry)
    });
    UpstreamList { entries: entries.collect(), drained: Vec::new() }
}

/// State is keyed by the instance hash, so nothing carries over from the previous instance.
#[test]
fn restarted_upstream_replaces_the_previous_instance() {
    let both = list(&[("a", Ready), ("b", Draining)]);
    let mut directory = Directory::new(LIMITS);
    let apply = |directory: &mut Directory, list: &UpstreamList, millis| {
        directory.confirm_current(at(millis));
        directory.apply(list, at(millis));
    };
    apply(&mut directory, &with_start_time(&both, "a", 1_000), 1_000);
    let previous = directory.upstreams()[0].entry.hash;
    apply(&mut directory, &with_start_time(&both, "a", 2_000), 2_000);
    let names: Vec<_> = directory.upstreams().iter().map(|listed| listed.entry.name.as_str()).collect();
    assert_eq!(names, ["a", "b"], "the previous instance is dropped");
    assert!(!directory.contains(previous));
    assert_eq!(directory.upstreams()[0].first_seen, at(2_000));
    // A draining upstream that restarts accepts work.
    let restarted = with_start_time(&list(&[("a", Ready), ("b", Ready)]), "b", 3_000);
    apply(&mut directory, &restarted, 3_000);
    assert!(names_accepting_work(&directory, 3_000).contains(&"b".to_owned()));
}

/// The upstream's clock may have been set back: any other start time means another instance.
#[test]
fn earlier_start_time_identifies_another_instance() {
    let name = "a".parse().unwrap();
    assert_ne!(UpstreamEntry::instance_hash(&name, 2_000), UpstreamEntry::instance_hash(&name, 1_000));
    assert_eq!(
        UpstreamEntry::instance_hash(&name, 0),
        NameHash::of("a"),
        "without a start time the name alone is hashed"
    );
}

#[test]
fn leave_notice_overrides_lists() {
    let mut directory = Directory::new(LIMITS);
    apply_list(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    assert!(directory.record_leaving(NameHash::of("a"), at(1_500)));
    assert!(!directory.record_leaving(NameHash::of("a"), at(1_600)), "the notice is already recorded");
    assert_eq!(names_accepting_work(&directory, 1_500), ["b"]);
    apply_list(&mut directory, &[("a", Ready), ("b", Ready)], 1_700);
    assert_eq!(names_accepting_work(&directory, 1_700), ["b"]);
    // The entry is removed and pruned, then listed again by a delayed read.
    apply_list(&mut directory, &[("b", Ready)], 2_000);
    directory.prune(at(9_000));
    assert!(!directory.contains(NameHash::of("a")));
    apply_list(&mut directory, &[("a", Ready), ("b", Ready)], 9_100);
    assert_eq!(names_accepting_work(&directory, 9_100), ["b"]);
}

/// The store loses the entry while it is impaired, so the grace period would apply.
#[test]
fn leave_notice_overrides_the_grace_period() {
    let mut directory = Directory::new(LIMITS);
    apply_list(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    directory.record_leaving(NameHash::of("a"), at(2_000));
    apply_list(&mut directory, &[], 6_000);
    assert_eq!(names_accepting_work(&directory, 6_000), ["b"]);
}

#[test]
fn leave_notice_may_precede_the_list() {
    let mut directory = Directory::new(LIMITS);
    directory.record_leaving(NameHash::of("a"), at(500));
    apply_list(&mut directory, &[("a", Ready), ("b", Ready)], 1_000);
    assert_eq!(names_accepting_work(&directory, 1_000), ["b"]);
}

#[test]
fn restarted_upstream_accepts_work_after_leave_notice() {
    let mut directory = Directory::new(LIMITS);
    apply_list(&mut directory, &[("a", Ready)], 1_000);
    directory.record_leaving(NameHash::of("a"), at(1_500));
    let mut list = list(&[("a", Ready)]);
    let entry = Arc::make_mut(&mut list.entries[0]);
    entry.started_ms = 7;
    entry.hash = UpstreamEntry::instance_hash(&entry.name, 7);
    directory.confirm_current(at(2_000));
    directory.apply(&list, at(2_000));
    assert_eq!(names_accepting_work(&directory, 2_000), ["a"]);
}
