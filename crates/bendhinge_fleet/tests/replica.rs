//! Tests that a replica never returns to an older revision and never understates its age.

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
fn replica_is_empty_at_first() {
    let replica = Replica::<u64>::default();
    assert_eq!(replica.age(at(5)), None);
    assert!(!replica.is_fresh(Duration::MAX, at(5)));
    assert!(replica.needs(version(1)));
    assert!(!replica.needs(Version::default()));
}

#[test]
fn older_revision_is_rejected() {
    let mut replica = Replica::default();
    assert_eq!(replica.update(version(7), at(10), || Arc::new(7)), UpdateOutcome::Updated);
    assert_eq!(replica.update(version(6), at(20), || Arc::new(6)), UpdateOutcome::Stale);
    assert_eq!(replica.value(), Some(&Arc::new(7)));
    assert_eq!(
        replica.age(at(30)),
        Some(Duration::from_millis(20)),
        "a stale value does not refresh the replica"
    );
}

#[test]
fn only_the_held_version_is_confirmed() {
    let mut replica = Replica::default();
    replica.update(version(7), at(10), || Arc::new(7));
    assert_eq!(replica.confirm(version(8), at(50)), UpdateOutcome::Stale);
    assert_eq!(replica.age(at(50)), Some(Duration::from_millis(40)));
    assert_eq!(replica.confirm(version(7), at(40)), UpdateOutcome::Confirmed);
    assert_eq!(
        replica.confirm(version(7), at(20)),
        UpdateOutcome::Stale,
        "an earlier confirmation does not increase the age"
    );
    assert_eq!(replica.age(at(50)), Some(Duration::from_millis(10)));
}

#[test]
fn equal_content_at_a_later_revision_is_only_a_confirmation() {
    let mut replica = Replica::default();
    let at_revision = |revision| Version { revision: Revision(revision), digest: 1 };
    replica.update(at_revision(3), at(10), || Arc::new(1));
    assert_eq!(replica.update(at_revision(9), at(20), || Arc::new(1)), UpdateOutcome::Confirmed);
    assert!(!replica.needs(at_revision(12)));
    assert_eq!(
        replica.update(version(8), at(30), || Arc::new(8)),
        UpdateOutcome::Stale,
        "revision 9 has already been confirmed"
    );
}

/// Guards against a value of the store that is taken for stale because other content of its revision is held.
#[test]
fn the_store_replaces_other_content_of_its_revision() {
    let value = |digest| Version { revision: Revision(7), digest };
    let mut replica = Replica::default();
    replica.update(value(1), at(2_000), || Arc::new(1));
    assert!(replica.conflicts_with(value(2)));
    assert!(!replica.conflicts_with(value(1)));
    assert!(!replica.conflicts_with(version(8)));
    assert!(!replica.needs(value(2)), "a peer's value proves nothing");
    assert_eq!(replica.update(value(2), at(9_000), || Arc::new(2)), UpdateOutcome::Stale);
    assert_eq!(replica.update_from_store(value(2), at(2_000), || Arc::new(2)), UpdateOutcome::Stale);
    assert_eq!(replica.update_from_store(value(2), at(2_001), || Arc::new(2)), UpdateOutcome::Updated);
    assert_eq!(replica.value(), Some(&Arc::new(2)));
    assert_eq!(replica.age(at(2_001)), Some(Duration::ZERO));
    assert_eq!(replica.update_from_store(version(6), at(3_000), || Arc::new(6)), UpdateOutcome::Stale);
    assert_eq!(replica.update_from_store(value(2), at(3_000), || Arc::new(2)), UpdateOutcome::Confirmed);
    assert_eq!(replica.update_from_store(version(8), at(3_000), || Arc::new(8)), UpdateOutcome::Updated);
}

/// Model test: routers read a changing store and each other with arbitrary delays. Checks against the
/// history of the store that each held value was current at its `as_of`, and that no replica moves back
/// to an older revision.
#[test]
fn held_value_was_current_as_of_the_stated_time() {
    arbtest::arbtest(|source| {
        let routers = source.int_in_range(1..=4)?;
        let mut replicas: Vec<Replica<u64>> = (0..routers).map(|_| Replica::default()).collect();
        // Time from which each revision is current. Revisions count from 1.
        let mut changes = vec![0_u64];
        let mut now = 1_u64;
        for _ in 0..source.int_in_range(1..=60)? {
            now += source.int_in_range(0..=400)?;
            let router = source.choose_index(routers)?;
            let before = replicas[router].version().revision;
            match source.int_in_range(0..=3)? {
                0 => changes.push(now),
                1 => {
                    let read_started_at = now;
                    now += source.int_in_range(0..=900)?;
                    let current = changes.len() as u64;
                    replicas[router].update(version(current), at(read_started_at), || Arc::new(current));
                }
                _ => {
                    let other = source.choose_index(routers)?;
                    let requested_at = now;
                    now += source.int_in_range(0..=900)?;
                    let response = replicas[other].current().cloned();
                    let answered_at = now;
                    now += source.int_in_range(0..=900)?;
                    if let Some(response) = response {
                        let age = at(answered_at).since(response.as_of);
                        let as_of = at(requested_at) - age;
                        replicas[router].confirm(response.version, as_of);
                        if replicas[router].needs(response.version) {
                            replicas[router].update(response.version, as_of, || response.value);
                        }
                    }
                }
            }
            assert!(
                replicas[router].version().revision >= before,
                "the replica returned to an older revision"
            );
            for held in replicas.iter().filter_map(Replica::current) {
                let index = usize::try_from(held.version.revision.0).unwrap() - 1;
                let replaced_at = changes.get(index + 1);
                assert!(at(changes[index]) <= at(now));
                assert!(
                    replaced_at.is_none_or(|replaced| held.as_of <= at(*replaced)),
                    "{held:?} was replaced at {replaced_at:?} ms"
                );
            }
        }
        Ok(())
    });
}
