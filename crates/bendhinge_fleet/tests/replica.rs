//! Beliefs never go back, and never claim to be younger than they are.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Replica, Revision, UpdateOutcome, Version};
use bendhinge_ids::Instant;

fn version(revision: u64) -> Version {
    Version { revision: Revision(revision), digest: revision }
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

#[test]
fn nothing_is_believed_at_first() {
    let belief = Replica::<u64>::default();
    assert_eq!(belief.age(at(5)), None);
    assert!(!belief.is_fresh(Duration::MAX, at(5)));
    assert!(belief.needs(version(1)));
    assert!(!belief.needs(Version::default()));
}

#[test]
fn an_older_revision_is_not_taken() {
    let mut belief = Replica::default();
    assert_eq!(belief.update(version(7), at(10), || Arc::new(7)), UpdateOutcome::Updated);
    assert_eq!(belief.update(version(6), at(20), || Arc::new(6)), UpdateOutcome::Stale);
    assert_eq!(belief.value(), Some(&Arc::new(7)));
    assert_eq!(belief.age(at(30)), Some(Duration::from_millis(20)), "an old value confirms nothing");
}

#[test]
fn only_what_is_held_is_confirmed() {
    let mut belief = Replica::default();
    belief.update(version(7), at(10), || Arc::new(7));
    assert_eq!(belief.confirm(version(8), at(50)), UpdateOutcome::Stale);
    assert_eq!(belief.age(at(50)), Some(Duration::from_millis(40)));
    assert_eq!(belief.confirm(version(7), at(40)), UpdateOutcome::Confirmed);
    assert_eq!(
        belief.confirm(version(7), at(20)),
        UpdateOutcome::Stale,
        "an older word does not make it older"
    );
    assert_eq!(belief.age(at(50)), Some(Duration::from_millis(10)));
}

#[test]
fn equal_content_at_a_later_revision_is_no_new_value() {
    let mut belief = Replica::default();
    let at_revision = |revision| Version { revision: Revision(revision), digest: 1 };
    belief.update(at_revision(3), at(10), || Arc::new(1));
    assert_eq!(belief.update(at_revision(9), at(20), || Arc::new(1)), UpdateOutcome::Confirmed);
    assert!(!belief.needs(at_revision(12)));
    assert_eq!(
        belief.update(version(8), at(30), || Arc::new(8)),
        UpdateOutcome::Stale,
        "9 was current before"
    );
}

/// Routers read a changing store and each other over delays of any length, freezes included. The
/// oracle is the store's history: what a router holds was current at its `as_of`, and no router
/// goes back.
#[test]
fn what_is_held_was_current_when_it_says() {
    arbtest::arbtest(|source| {
        let routers = source.int_in_range(1..=4)?;
        let mut beliefs: Vec<Replica<u64>> = (0..routers).map(|_| Replica::default()).collect();
        // The instant from which each revision was current; revisions count from 1.
        let mut changes = vec![0_u64];
        let mut now = 1_u64;
        for _ in 0..source.int_in_range(1..=60)? {
            now += source.int_in_range(0..=400)?;
            let router = source.choose_index(routers)?;
            let before = beliefs[router].version().revision;
            match source.int_in_range(0..=3)? {
                0 => changes.push(now),
                1 => {
                    let began = now;
                    now += source.int_in_range(0..=900)?;
                    let current = changes.len() as u64;
                    beliefs[router].update(version(current), at(began), || Arc::new(current));
                }
                _ => {
                    let other = source.choose_index(routers)?;
                    let asked = now;
                    now += source.int_in_range(0..=900)?;
                    let told = beliefs[other].current().cloned();
                    let answered = now;
                    now += source.int_in_range(0..=900)?;
                    if let Some(told) = told {
                        let age = at(answered).since(told.as_of);
                        let as_of = at(asked) - age;
                        beliefs[router].confirm(told.version, as_of);
                        if beliefs[router].needs(told.version) {
                            beliefs[router].update(told.version, as_of, || told.value);
                        }
                    }
                }
            }
            assert!(beliefs[router].version().revision >= before, "it went back");
            for held in beliefs.iter().filter_map(Replica::current) {
                let index = usize::try_from(held.version.revision.0).unwrap() - 1;
                let was_replaced_by = changes.get(index + 1);
                assert!(at(changes[index]) <= at(now));
                assert!(
                    was_replaced_by.is_none_or(|replaced| held.as_of <= at(*replaced)),
                    "{held:?} was replaced at {was_replaced_by:?} ms"
                );
            }
        }
        Ok(())
    });
}
