//! Tests that applying a list update yields the list of the sender.

use std::sync::Arc;

use bendhinge_fleet::{ListHistory, ListUpdate, UpstreamEntry, UpstreamList, UpstreamState};
use bendhinge_ids::NameHash;

fn entry(number: u32, port: u16, state: UpstreamState) -> Arc<UpstreamEntry> {
    let name = format!("upstream-{number:04}");
    Arc::new(UpstreamEntry {
        hash: NameHash::of(&name),
        started_ms: 0,
        software: NameHash::of(""),
        name: name.parse().unwrap(),
        pool: "engines".parse().unwrap(),
        address: ([10, 0, 0, 1], port).into(),
        data_centre: "hall-1".parse().unwrap(),
        slots: 32,
        state,
        created_revision: u64::from(number),
        warm_up: None,
    })
}

fn ready(number: u32) -> Arc<UpstreamEntry> {
    entry(number, 9_000, UpstreamState::Ready)
}

fn list(numbers: std::ops::Range<u32>) -> UpstreamList {
    UpstreamList { entries: numbers.map(ready).collect(), drained: Vec::new() }
}

/// Returns the list of a peer that held `held` and received `update`.
fn apply_update(held: &UpstreamList, update: &ListUpdate) -> UpstreamList {
    match update {
        ListUpdate::Full(list) => list.clone(),
        ListUpdate::Delta { base, delta } => {
            assert_eq!(*base, held.digest());
            held.apply(delta)
        }
    }
}

fn history_of(lists: &[&UpstreamList]) -> ListHistory {
    let mut history = ListHistory::default();
    for list in lists {
        history.push(list.digest(), &Arc::new((*list).clone()));
    }
    history
}

/// A change of a single upstream out of 250 must not resend the whole list.
#[test]
fn small_change_yields_a_small_delta() {
    let before = list(0..250);
    let mut now = list(1..251);
    now.entries[6] = entry(7, 9_000, UpstreamState::Draining);
    let history = history_of(&[&before, &now]);
    let update = history.update_for(&now, Some(before.digest()));
    let ListUpdate::Delta { delta, .. } = &update else { panic!("expected a delta") };
    assert_eq!((delta.removed.len(), delta.upserted.len()), (1, 2));
    assert_eq!(apply_update(&before, &update), now);
    assert_eq!(apply_update(&before, &update).digest(), now.digest());
}

#[test]
fn unknown_base_yields_the_full_list() {
    let (before, now) = (list(0..5), list(1..6));
    let history = history_of(&[&now]);
    for base in [None, Some(before.digest())] {
        assert_eq!(history.update_for(&now, base), ListUpdate::Full(now.clone()));
    }
}

#[test]
fn old_lists_are_evicted_unless_held_again() {
    let lists: Vec<UpstreamList> = (0..40).map(|first| list(first..first + 3)).collect();
    let mut history = ListHistory::default();
    for held in &lists {
        history.push(held.digest(), &Arc::new(held.clone()));
        // Alternate with the first list.
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
fn successive_lists_share_equal_entries() {
    let before = list(0..5);
    let now = list(1..6).share_entries_with(&before);
    assert_eq!(now, list(1..6));
    assert!(Arc::ptr_eq(&now.entries[0], &before.entries[1]));
}

/// Random pairs of lists.
#[test]
fn delta_yields_the_new_list() {
    arbtest::arbtest(|random| {
        let mut random_list = || {
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
        let (before, now) = (random_list()?, random_list()?);
        let history = history_of(&[&before]);
        assert_eq!(apply_update(&before, &history.update_for(&now, Some(before.digest()))), now);
        Ok(())
    });
}

#[test]
fn delta_covers_draining_and_restoring_a_data_centre() {
    let usual = list(0..20);
    let drained = UpstreamList { drained: vec!["hall-1".parse().unwrap()], ..usual.clone() };
    assert_ne!(usual.digest(), drained.digest(), "the two lists need different digests");
    let mut history = ListHistory::default();
    for list in [&usual, &drained] {
        history.push(list.digest(), &Arc::new(list.clone()));
    }
    for (held, current) in [(&usual, &drained), (&drained, &usual)] {
        let update = history.update_for(current, Some(held.digest()));
        assert!(matches!(&update, ListUpdate::Delta { delta, .. } if delta.upserted.is_empty()));
        assert_eq!(apply_update(held, &update), *current);
    }
}

/// Store changes are applied to the held list, and a new incarnation replaces the previous one.
#[test]
fn store_changes_are_applied_to_the_list() {
    let before = list(0..250);
    let name = |number: u32| ready(number).name.clone();
    let restarted = UpstreamEntry {
        started_ms: 7,
        hash: UpstreamEntry::instance_hash(&name(9), 7),
        ..(*ready(9)).clone()
    };
    let upserted = vec![(*ready(300)).clone(), restarted.clone()];
    let drained = vec!["hall-2".parse().unwrap()];
    let updated = before.with_store_changes(upserted, &[name(4), name(777)], drained.clone());
    let mut expected: Vec<_> = (0..250).filter(|number| ![4, 9].contains(number)).map(ready).collect();
    expected.push(ready(300));
    expected.push(Arc::new(restarted));
    expected.sort_by(|left, right| left.name.cmp(&right.name));
    assert_eq!(updated, UpstreamList { entries: expected, drained });
}
