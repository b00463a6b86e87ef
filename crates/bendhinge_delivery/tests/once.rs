//! Keys of requests that run at most once, against a simple oracle.

use std::collections::HashMap;
use std::time::Duration;

use arbtest::arbtest;
use bendhinge_delivery::{Claim, Claimant, OnceKey, OnceLedger, OnceLimits, OnceOutcome, OwnershipHistory};
use bendhinge_ids::{BoxName, Incarnation, Instant, RequestId, RouterLife};

const WINDOW: Duration = Duration::from_secs(600);

fn claimant(router: u8, request: u64) -> Claimant {
    let name = format!("box-{router}").parse().unwrap();
    Claimant { life: RouterLife { name, incarnation: Incarnation(1) }, request: RequestId(request) }
}

/// Whatever is claimed, settled, settled late or by others: within the window a key is granted
/// again only after its holder said that it did not run.
#[test]
fn a_key_is_granted_once() {
    arbtest(|u| {
        let mut ledger = OnceLedger::new(OnceLimits { window: WINDOW, keys: 1_000 });
        let mut held: HashMap<u8, (Claimant, bool)> = HashMap::new();
        let mut earlier: Vec<(u8, Claimant)> = Vec::new();
        let now = Instant::from_millis(1);
        for request in 0..u.int_in_range(0..=80)? {
            let key_number = u.int_in_range(0..=3_u8)?;
            let key = OnceKey::of("customer", &[key_number]);
            match u.int_in_range(0..=4)? {
                0..=2 => {
                    let claimant = claimant(u.int_in_range(0..=2)?, request);
                    let vouched = u.arbitrary()?;
                    let claim = ledger.claim(key, &claimant, vouched, now);
                    let expected = match held.get(&key_number) {
                        Some((_, true)) => Claim::AlreadyRan,
                        Some((_, false)) => Claim::AlreadyTaken,
                        None if vouched => Claim::Granted,
                        None => Claim::CannotVouch,
                    };
                    assert_eq!(claim, expected);
                    if claim == Claim::Granted {
                        held.insert(key_number, (claimant, false));
                    }
                }
                3 => {
                    if let Some((holder, ran)) = held.get(&key_number).cloned() {
                        let outcome =
                            *u.choose(&[OnceOutcome::Ran, OnceOutcome::NotRun, OnceOutcome::Unknown])?;
                        ledger.settle(key, &holder, outcome);
                        match outcome {
                            OnceOutcome::Ran => drop(held.insert(key_number, (holder, true))),
                            OnceOutcome::NotRun if !ran => {
                                held.remove(&key_number);
                                earlier.push((key_number, holder));
                            }
                            _ => {}
                        }
                    }
                }
                _ => {
                    // A word of an earlier claimant that comes late, or of somebody else.
                    for (number, claimant) in &earlier {
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
fn a_full_ledger_refuses_rather_than_forget() {
    let mut ledger = OnceLedger::new(OnceLimits { window: WINDOW, keys: 2 });
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
fn customers_do_not_share_keys() {
    assert_ne!(OnceKey::of("a", b"key"), OnceKey::of("b", b"key"));
    assert_ne!(OnceKey::of("ab", b"c"), OnceKey::of("a", b"bc"));
}

fn boxes(names: &[&str]) -> Vec<BoxName> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// A table of histories: who may vouch, and when.
#[test]
fn vouching() {
    let first = |boxes: &[BoxName]| boxes.first().is_some_and(|name| name.as_str() == "a");
    let at = |seconds: u64| Instant::from_millis(1_000 * seconds);

    let mut young = OwnershipHistory::new(WINDOW);
    assert!(!young.owned_throughout(at(10_000), first), "no list is known");
    young.note(boxes(&["a", "b"]), at(0));
    assert!(!young.owned_throughout(at(599), first), "a young router cannot vouch");
    assert!(young.owned_throughout(at(600), first), "after a whole window it can");

    let mut changed = OwnershipHistory::new(WINDOW);
    changed.note(boxes(&["a", "b"]), at(0));
    changed.note(boxes(&["b"]), at(1_000));
    assert!(!changed.owned_throughout(at(1_001), first), "no more its own");
    changed.note(boxes(&["a", "b"]), at(1_100));
    assert!(!changed.owned_throughout(at(1_699), first), "another owned it in the window");
    assert!(changed.owned_throughout(at(1_700), first), "the window has passed");

    let mut others = OwnershipHistory::new(WINDOW);
    others.note(boxes(&["a", "b"]), at(0));
    others.note(boxes(&["a", "b", "c"]), at(1_000));
    assert!(
        others.owned_throughout(at(1_001), first),
        "a change that leaves the key where it was does not matter"
    );
}
