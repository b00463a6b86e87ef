//! When a document is in force.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use arbtest::arbtest;
use bendhinge_configuration::{Adoption, Configuration, Delta, Offer, SETTLE_TIME, parse};
use bendhinge_ids::Instant;

const BASE: &str = include_str!("../../../examples/boyaca/configuration.ini");

fn document(revision: u64, variant: u32) -> Arc<Configuration> {
    let text = BASE
        .replace("revision = 1", &format!("revision = {revision}"))
        .replace("share = 10\n", &format!("share = {}\n", 10 + variant));
    Arc::new(parse("test", &text).unwrap())
}

/// Routers that hear the same documents in any order, each within the settle time, have the same
/// one in force; and a revision in force never goes down.
#[test]
fn any_order_gives_the_same_document() {
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
            adoption.settle(Instant::from_millis(1_000) + SETTLE_TIME).unwrap();
            in_force.push(adoption.current().unwrap().digest);
        }
        assert!(in_force.iter().all(|digest| *digest == in_force[0]));
        Ok(())
    });
}

#[test]
fn a_sibling_of_what_is_in_force_is_superseded() {
    let mut adoption = Adoption::default();
    let at = Instant::from_millis;
    let (first, second) = (document(2, 0), document(2, 1));
    assert_eq!(adoption.offer(Arc::clone(&first), at(0)), Offer::Accepted);
    assert!(adoption.settle(at(100)).is_none(), "it settles first");
    assert!(adoption.settle(at(0) + SETTLE_TIME).is_some());
    assert_eq!(adoption.offer(Arc::clone(&second), at(5_000)), Offer::Superseded);
    assert_eq!(adoption.superseded(), Some((second.revision, second.digest)), "its operator can be told");
    assert_eq!(adoption.offer(first, at(5_000)), Offer::Known);
    assert_eq!(adoption.offer(document(1, 0), at(5_000)), Offer::Stale);
    assert_eq!(adoption.offer(document(3, 0), at(5_000)), Offer::Accepted);
}

/// A sibling that keeps coming must not put off what is about to be in force.
#[test]
fn a_sibling_does_not_start_the_time_anew() {
    let mut adoption = Adoption::default();
    let at = Instant::from_millis;
    for (variant, time) in [(0, 0), (1, 500), (2, 1_000), (3, 1_400)] {
        adoption.offer(document(2, variant), at(time));
    }
    assert!(adoption.settle(at(0) + SETTLE_TIME).is_some());
}

/// What one delta takes from a document to another, for any changes between two.
#[test]
fn deltas_lead_from_one_document_to_another() {
    arbtest(|u| {
        let change =
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
        let (from, to) = (change(u)?, change(u)?);
        let delta = Delta::between(&from, &to);
        assert_eq!(delta.apply(&from).unwrap(), to);
        if from != to {
            assert!(delta.apply(&to).is_err(), "a delta applies to its base alone");
        }
        Ok(())
    });
}

/// What is sent for one small change of a large document is small.
#[test]
fn a_small_change_has_a_small_delta() {
    let mut large = BASE.to_owned();
    for number in 0..4_500 {
        write!(large, "\n[customer.c{number}]\nkey_sha256 = {number:064x}\nclass = reader\n").unwrap();
    }
    let from = parse("test", &large).unwrap().text;
    let to = parse("test", &large.replace("share = 60", "share = 61")).unwrap().text;
    assert!(from.len() < 1 << 20, "{} bytes fit the platform's value", from.len());
    let delta = Delta::between(&from, &to);
    assert!(delta.size() < 200, "{}", delta.size());
}

#[test]
fn settle_time_is_a_quarter_of_what_is_allowed() {
    assert_eq!(SETTLE_TIME * 4, Duration::from_secs(6));
}
