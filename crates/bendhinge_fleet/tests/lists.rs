//! A list told as changes is the list that was meant.

use std::sync::Arc;

use bendhinge_fleet::{ListHistory, ListUpdate, UpstreamEntry, UpstreamList, UpstreamState};
use bendhinge_ids::NameHash;

fn entry(number: u32, port: u16, state: UpstreamState) -> Arc<UpstreamEntry> {
    let name = format!("upstream-{number:04}");
    Arc::new(UpstreamEntry {
        hash: NameHash::of(&name),
        born: 0,
        software: NameHash::of(""),
        name: name.parse().unwrap(),
        pool: "engines".parse().unwrap(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: "hall-1".parse().unwrap(),
        slots: 32,
        state,
        made: u64::from(number),
        warm_up: None,
    })
}

fn ready(number: u32) -> Arc<UpstreamEntry> {
    entry(number, 9_000, UpstreamState::Ready)
}

fn list(numbers: std::ops::Range<u32>) -> UpstreamList {
    UpstreamList { entries: numbers.map(ready).collect(), drained: Vec::new() }
}

/// The list that a peer which holds `held` has after it was told `told`.
fn after(held: &UpstreamList, told: &ListUpdate) -> UpstreamList {
    match told {
        ListUpdate::Full(list) => list.clone(),
        ListUpdate::Delta { base, delta } => {
            assert_eq!(*base, held.digest());
            held.apply(delta)
        }
    }
}

fn remembering(lists: &[&UpstreamList]) -> ListHistory {
    let mut history = ListHistory::default();
    for list in lists {
        history.push(list.digest(), &Arc::new((*list).clone()));
    }
    history
}

/// A release of one of 250 upstreams is told in two entries, not in 250.
#[test]
fn a_small_change_is_told_in_few_entries() {
    let before = list(0..250);
    let mut now = list(1..251);
    now.entries[6] = entry(7, 9_000, UpstreamState::Draining);
    let history = remembering(&[&before, &now]);
    let told = history.update_for(&now, Some(before.digest()));
    let ListUpdate::Delta { delta, .. } = &told else { panic!("it is told whole") };
    assert_eq!((delta.removed.len(), delta.upserted.len()), (1, 2));
    assert_eq!(after(&before, &told), now);
    assert_eq!(after(&before, &told).digest(), now.digest());
}

#[test]
fn who_holds_an_unknown_list_or_none_is_told_all() {
    let (before, now) = (list(0..5), list(1..6));
    let history = remembering(&[&now]);
    for base in [None, Some(before.digest())] {
        assert_eq!(history.update_for(&now, base), ListUpdate::Full(now.clone()));
    }
}

#[test]
fn old_lists_are_forgotten_and_those_held_again_are_not() {
    let lists: Vec<UpstreamList> = (0..40).map(|first| list(first..first + 3)).collect();
    let mut history = ListHistory::default();
    for held in &lists {
        history.push(held.digest(), &Arc::new(held.clone()));
        // It flaps back each time.
        history.push(lists[0].digest(), &Arc::new(lists[0].clone()));
    }
    let is_whole = |base: &UpstreamList| {
        matches!(history.update_for(&lists[39], Some(base.digest())), ListUpdate::Full(_))
    };
    assert!(!is_whole(&lists[0]));
    assert!(is_whole(&lists[1]));
    assert!(!is_whole(&lists[38]));
}

#[test]
fn lists_that_follow_each_other_share_what_is_equal() {
    let before = list(0..5);
    let now = list(1..6).share_entries_with(&before);
    assert_eq!(now, list(1..6));
    assert!(Arc::ptr_eq(&now.entries[0], &before.entries[1]));
}

/// Whatever comes, goes or changes.
#[test]
fn changes_lead_to_the_list_that_was_meant() {
    arbtest::arbtest(|random| {
        let mut some = || {
            let mut entries = Vec::new();
            for number in 0..12 {
                match random.int_in_range(0..=3)? {
                    0 => {}
                    1 => entries.push(ready(number)),
                    2 => entries.push(entry(number, 9_000, UpstreamState::Draining)),
                    _ => entries.push(entry(number, 9_001, UpstreamState::Ready)),
                }
            }
            Ok(UpstreamList { entries, drained: Vec::new() })
        };
        let (before, now) = (some()?, some()?);
        let history = remembering(&[&before]);
        assert_eq!(after(&before, &history.update_for(&now, Some(before.digest()))), now);
        Ok(())
    });
}

#[test]
fn a_drained_data_centre_is_told_with_the_list_and_so_is_that_it_is_given_back() {
    let usual = list(0..20);
    let drained = UpstreamList { drained: vec!["hall-1".parse().unwrap()], ..usual.clone() };
    assert_ne!(usual.digest(), drained.digest(), "who holds the one lacks the other");
    let mut history = ListHistory::default();
    for list in [&usual, &drained] {
        history.push(list.digest(), &Arc::new(list.clone()));
    }
    for (held, current) in [(&usual, &drained), (&drained, &usual)] {
        let told = history.update_for(current, Some(held.digest()));
        assert!(matches!(&told, ListUpdate::Delta { delta, .. } if delta.upserted.is_empty()));
        assert_eq!(after(held, &told), *current);
    }
}

/// What the store wrote and removed is made in the list that is held; a new life takes the place of the one before.
#[test]
fn a_list_follows_what_the_store_wrote_and_removed() {
    let before = list(0..250);
    let name = |number: u32| ready(number).name.clone();
    let again = UpstreamEntry { born: 7, hash: UpstreamEntry::life(&name(9), 7), ..(*ready(9)).clone() };
    let came = vec![(*ready(300)).clone(), again.clone()];
    let drained = vec!["hall-2".parse().unwrap()];
    let after = before.with_store_changes(came, &[name(4), name(777)], drained.clone());
    let mut expected: Vec<_> = (0..250).filter(|number| ![4, 9].contains(number)).map(ready).collect();
    expected.push(ready(300));
    expected.push(Arc::new(again));
    expected.sort_by(|left, right| left.name.cmp(&right.name));
    assert_eq!(after, UpstreamList { entries: expected, drained });
}
