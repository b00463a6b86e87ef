//! Tests of the adoption of documents and of deltas.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use arbtest::arbtest;
use bendhinge_configuration::{Adoption, Configuration, Delta, OfferOutcome, SETTLE_TIME, parse};
use bendhinge_ids::Instant;

const BASE: &str = include_str!("../../../examples/boyaca/configuration.ini");

fn document(revision: u64, variant: u32) -> Arc<Configuration> {
    let text = BASE
        .replace("revision = 1", &format!("revision = {revision}"))
        .replace("share = 10\n", &format!("share = {}\n", 10 + variant));
    Arc::new(parse("test", &text).unwrap())
}

/// Routers that receive the same documents in any order within the settle time put the same one
/// in force, and the revision in force never decreases.
#[test]
fn adoption_is_independent_of_arrival_order() {
    let documents: Vec<_> = [(2, 0), (2, 1), (2, 2), (3, 0), (3, 1)]
        .map(|(revision, variant)| document(revision, variant))
        .to_vec();
    arbtest(|u| {
        let mut in_force = Vec::new();
        for _ in 0..3 {
            let mut adoption = Adoption::default();
            let mut highest = 0;
            let mut order: Vec<usize> = (0..documents.len()).collect();
            for index in 0..order.len() {
                order.swap(index, u.choose_index(documents.len())?);
            }
            for index in order {
                adoption
                    .offer(Arc::clone(&documents[index]), Instant::from_millis(u.int_in_range(0..=1_000)?));
                let current = adoption.current().map_or(0, |current| current.revision.0);
                assert!(current >= highest);
                highest = current;
            }
            adoption.activate_settled(Instant::from_millis(1_000) + SETTLE_TIME).unwrap();
            in_force.push(adoption.current().unwrap().digest);
        }
        assert!(in_force.iter().all(|digest| *digest == in_force[0]));
        Ok(())
    });
}

#[test]
fn conflicting_document_is_superseded_by_the_one_in_force() {
    let mut adoption = Adoption::default();
    let at = Instant::from_millis;
    let (first, second) = (document(2, 0), document(2, 1));
    assert_eq!(adoption.offer(Arc::clone(&first), at(0)), OfferOutcome::Accepted);
    assert!(adoption.activate_settled(at(100)).is_none(), "the settle time has not passed");
    assert!(adoption.activate_settled(at(0) + SETTLE_TIME).is_some());
    assert_eq!(adoption.offer(Arc::clone(&second), at(5_000)), OfferOutcome::Superseded);
    assert_eq!(
        adoption.superseded(),
        Some((second.revision, second.digest)),
        "the superseded document is reported"
    );
    assert_eq!(adoption.offer(first, at(5_000)), OfferOutcome::Known);
    assert_eq!(adoption.offer(document(1, 0), at(5_000)), OfferOutcome::Stale);
    assert_eq!(adoption.offer(document(3, 0), at(5_000)), OfferOutcome::Accepted);
}

/// Repeated conflicting documents must not delay activation.
#[test]
fn conflicting_document_does_not_restart_settle_time() {
    let mut adoption = Adoption::default();
    let at = Instant::from_millis;
    for (variant, time) in [(0, 0), (1, 500), (2, 1_000), (3, 1_400)] {
        adoption.offer(document(2, variant), at(time));
    }
    assert!(adoption.activate_settled(at(0) + SETTLE_TIME).is_some());
}

/// Applying a delta to its base gives its target for arbitrary changes.
#[test]
fn delta_transforms_base_into_target() {
    arbtest(|u| {
        let random_document =
            |u: &mut arbtest::arbitrary::Unstructured<'_>| -> Result<String, arbtest::arbitrary::Error> {
                let mut text = BASE.to_owned();
                for share in ["share = 60", "share = 30", "share = 10"] {
                    text = text
                        .replace(&format!("{share}\n"), &format!("share = {}\n", u.int_in_range(1..=99)?));
                }
                if u.arbitrary()? {
                    let key = "ab".repeat(32);
                    write!(text, "\n[customer.added]\nkey_sha256 = {key}\nclass = reader\n").unwrap();
                }
                if u.arbitrary()? {
                    let start = text.find("[customer.archive]").unwrap();
                    let end = text[start + 1..].find("\n[").map(|end| start + 1 + end).unwrap();
                    text.replace_range(start..=end, "");
                }
                Ok(parse("test", &text).unwrap().text)
            };
        let (from, to) = (random_document(u)?, random_document(u)?);
        let delta = Delta::between(&from, &to);
        assert_eq!(delta.apply(&from).unwrap(), to);
        if from != to {
            assert!(delta.apply(&to).is_err(), "a delta applies only to its base");
        }
        Ok(())
    });
}

/// The size of a delta depends on the change and not on the document.
#[test]
fn small_change_has_small_delta() {
    let mut large = BASE.to_owned();
    for number in 0..4_500 {
        write!(large, "\n[customer.c{number}]\nkey_sha256 = {number:064x}\nclass = reader\n").unwrap();
    }
    let from = parse("test", &large).unwrap().text;
    let to = parse("test", &large.replace("share = 60", "share = 61")).unwrap().text;
    assert!(from.len() < 1 << 20, "{} bytes exceed the platform's limit", from.len());
    let delta = Delta::between(&from, &to);
    assert!(delta.estimated_bytes() < 200, "{}", delta.estimated_bytes());
}

#[test]
fn settle_time_is_a_quarter_of_the_propagation_limit() {
    assert_eq!(SETTLE_TIME * 4, Duration::from_secs(6));
}
