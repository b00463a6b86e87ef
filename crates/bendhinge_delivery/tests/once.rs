//! At-most-once claims, checked against a model, and proof of key ownership.

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbtest;
use bendhinge_delivery::{Claim, Claimant, OnceKey, OnceLedger, OnceLimits, OnceOutcome, OwnershipHistory};
use bendhinge_ids::{BoxName, Incarnation, Instant, RequestId, RouterInstance};

const WINDOW: Duration = Duration::from_secs(600);

fn claimant(router: u8, request: u64) -> Claimant {
    let name = format!("box-{router}").parse().unwrap();
    Claimant { life: RouterInstance { name, incarnation: Incarnation(1) }, request: RequestId(request) }
}

/// Guards against granting a key twice within the window, unless its holder reported that the request
/// did not run. Outcomes may arrive late or from claimants that do not hold the key.
#[test]
fn key_is_granted_again_only_if_the_request_did_not_run() {
    arbtest(|u| {
        let mut ledger = OnceLedger::new(OnceLimits { window: WINDOW, max_keys: 1_000 });
        let mut holders: HashMap<u8, (Claimant, bool)> = HashMap::new();
        let mut released: Vec<(u8, Claimant)> = Vec::new();
        let now = Instant::from_millis(1);
        for request in 0..u.int_in_range(0..=80)? {
            let key_number = u.int_in_range(0..=3_u8)?;
            let key = OnceKey::of("customer", &[key_number]);
            match u.int_in_range(0..=4)? {
                0..=2 => {
                    let claimant = claimant(u.int_in_range(0..=2)?, request);
                    let not_granted_elsewhere = u.arbitrary()?;
                    let claim = ledger.claim(key, &claimant, not_granted_elsewhere, now);
                    let expected = match holders.get(&key_number) {
                        Some((_, true)) => Claim::AlreadyRan,
                        Some((_, false)) => Claim::AlreadyTaken,
                        None if not_granted_elsewhere => Claim::Granted,
                        None => Claim::Unverifiable,
                    };
                    assert_eq!(claim, expected);
                    if claim == Claim::Granted {
                        holders.insert(key_number, (claimant, false));
                    }
                }
                3 => {
                    if let Some((holder, ran)) = holders.get(&key_number).cloned() {
                        let outcome =
                            *u.choose(&[OnceOutcome::Ran, OnceOutcome::NotRun, OnceOutcome::Unknown])?;
                        ledger.settle(key, &holder, outcome);
                        match outcome {
                            OnceOutcome::Ran => drop(holders.insert(key_number, (holder, true))),
                            OnceOutcome::NotRun if !ran => {
                                holders.remove(&key_number);
                                released.push((key_number, holder));
                            }
                            _ => {}
                        }
                    }
                }
                _ => {
                    // Late outcomes of released claims, and one from a claimant that never held the key.
                    for (number, claimant) in &released {
                        ledger.settle(OnceKey::of("customer", &[*number]), claimant, OnceOutcome::NotRun);
                    }
                    ledger.settle(key, &claimant(9, 9_999), OnceOutcome::NotRun);
                }
            }
        }
        Ok(())
    });
}

#[test]
fn full_ledger_refuses_claims_until_keys_expire() {
    let mut ledger = OnceLedger::new(OnceLimits { window: WINDOW, max_keys: 2 });
    let now = Instant::from_millis(1);
    for (number, expected) in
        [(1, Claim::Granted), (2, Claim::Granted), (3, Claim::Full), (1, Claim::AlreadyTaken)]
    {
        assert_eq!(
            ledger.claim(OnceKey::of("c", &[number]), &claimant(1, number.into()), true, now),
            expected,
            "{number}"
        );
    }
    let later = now + WINDOW + Duration::from_millis(1);
    assert_eq!(ledger.claim(OnceKey::of("c", &[3]), &claimant(1, 3), true, later), Claim::Granted);
    assert_eq!(ledger.len(), 1);
}

#[test]
fn keys_of_different_customers_differ() {
    assert_ne!(OnceKey::of("a", b"key"), OnceKey::of("b", b"key"));
    assert_ne!(OnceKey::of("ab", b"c"), OnceKey::of("a", b"bc"));
}

fn boxes(names: &[&str]) -> Vec<BoxName> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Guards against treating ownership as proven without a full window of membership lists.
#[test]
fn ownership_is_proven_only_over_a_full_window() {
    let owned_by_a = |boxes: &[BoxName]| boxes.first().is_some_and(|name| name.as_str() == "a");
    let at = |seconds: u64| Instant::from_millis(1_000 * seconds);

    let mut unchanged = OwnershipHistory::new(WINDOW);
    assert!(!unchanged.owned_throughout(at(10_000), owned_by_a), "no membership list is known");
    unchanged.note(boxes(&["a", "b"]), at(0));
    assert!(!unchanged.owned_throughout(at(599), owned_by_a), "the history is shorter than the window");
    assert!(unchanged.owned_throughout(at(600), owned_by_a), "the history covers the window");

    let mut interrupted = OwnershipHistory::new(WINDOW);
    interrupted.note(boxes(&["a", "b"]), at(0));
    interrupted.note(boxes(&["b"]), at(1_000));
    assert!(!interrupted.owned_throughout(at(1_001), owned_by_a), "the router no longer owns the key");
    interrupted.note(boxes(&["a", "b"]), at(1_100));
    assert!(
        !interrupted.owned_throughout(at(1_699), owned_by_a),
        "another router owned the key within the window"
    );
    assert!(
        interrupted.owned_throughout(at(1_700), owned_by_a),
        "the window has passed since the other router owned the key"
    );

    let mut unrelated_change = OwnershipHistory::new(WINDOW);
    unrelated_change.note(boxes(&["a", "b"]), at(0));
    unrelated_change.note(boxes(&["a", "b", "c"]), at(1_000));
    assert!(
        unrelated_change.owned_throughout(at(1_001), owned_by_a),
        "the membership change did not move the key"
    );
}
