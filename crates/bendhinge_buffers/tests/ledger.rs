//! Which reservations are granted, and which are revoked for others.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bendhinge_buffers::{BudgetExceeded, Ledger, Owner, ReservationId};
use bendhinge_ids::Instant;

const LIMIT: usize = 1_000;

fn server(number: u8) -> Owner {
    Owner::Server(SocketAddr::from(([127, 0, 0, number], 80)))
}

fn at(millis: u64) -> impl Fn() -> Instant {
    move || Instant::from_millis(millis)
}

fn resize(
    ledger: &mut Ledger,
    id: ReservationId,
    bytes: usize,
    now: impl Fn() -> Instant,
) -> Result<Vec<ReservationId>, BudgetExceeded> {
    let mut revoked = Vec::new();
    ledger.resize(id, bytes, now, &mut revoked).map(|()| revoked)
}

fn open(ledger: &mut Ledger, owner: Owner, bytes: usize, millis: u64) -> ReservationId {
    let id = ledger.open(owner, at(millis)());
    assert_eq!(resize(ledger, id, bytes, at(millis)), Ok(Vec::new()));
    id
}

#[test]
fn an_owner_holds_no_more_than_remains_free() {
    let mut ledger = Ledger::new(LIMIT);
    let first = ledger.open(server(1), at(0)());
    assert!(resize(&mut ledger, first, 500, at(0)).is_ok());
    assert!(resize(&mut ledger, first, 501, at(0)).is_err());
    let second = ledger.open(server(2), at(0)());
    assert!(resize(&mut ledger, second, 250, at(0)).is_ok());
    assert!(resize(&mut ledger, second, 251, at(0)).is_err());
    assert_eq!(ledger.total(), 750);
}

/// Guards against an endless message that grows until those beside it have no memory.
#[test]
fn what_held_the_most_memory_for_the_longest_time_is_revoked() {
    let mut ledger = Ledger::new(LIMIT);
    let old_and_large = open(&mut ledger, server(1), 200, 0);
    let old_and_small = open(&mut ledger, server(1), 10, 0);
    let new_and_large = open(&mut ledger, server(1), 220, 900);
    let growing = ledger.open(server(1), at(1_000)());
    assert_eq!(resize(&mut ledger, growing, 80, at(1_000)), Ok(vec![old_and_large]));
    assert!(ledger.is_revoked(old_and_large));
    assert!(![old_and_small, new_and_large, growing].iter().any(|id| ledger.is_revoked(*id)));
    assert!(resize(&mut ledger, old_and_large, 1, at(1_000)).is_err());
}

#[test]
fn a_reservation_that_outweighs_the_others_is_refused() {
    let mut ledger = Ledger::new(LIMIT);
    let other = open(&mut ledger, server(1), 100, 900);
    let growing = open(&mut ledger, server(1), 300, 0);
    assert!(resize(&mut ledger, growing, 450, at(1_000)).is_err());
    assert!(!ledger.is_revoked(other));
    assert_eq!(ledger.bytes(growing), 300);
}

/// Guards against requests in progress that lose their bodies.
#[test]
fn pinned_reservations_are_not_revoked() {
    let mut ledger = Ledger::new(LIMIT);
    let pinned = open(&mut ledger, server(1), 400, 0);
    ledger.pin(pinned);
    let reading = open(&mut ledger, server(1), 100, 0);
    let growing = ledger.open(server(1), at(1_000)());
    assert!(ledger.could_hold(server(1), 100));
    assert!(!ledger.could_hold(server(1), 101));
    assert_eq!(resize(&mut ledger, growing, 100, at(1_000)), Ok(vec![reading]));
    assert!(resize(&mut ledger, growing, 101, at(1_000)).is_err());
    assert!(!ledger.is_revoked(pinned));
    ledger.close(pinned);
    assert!(ledger.could_hold(server(1), 500));
}

/// No sequence of changes exceeds the limit, or revokes reservations of another owner or pinned ones.
#[test]
fn the_limit_holds_for_any_changes() {
    arbtest::arbtest(|source| {
        let mut ledger = Ledger::new(LIMIT);
        let mut open: BTreeMap<ReservationId, (Owner, bool)> = BTreeMap::new();
        let mut now = 0;
        for _ in 0..source.int_in_range(1..=60_usize)? {
            now += source.int_in_range(0..=50_u64)?;
            let ids: Vec<_> = open.keys().copied().collect();
            let action = source.int_in_range(0..=9_u8)?;
            if ids.is_empty() || action < 3 {
                let owner = server(source.int_in_range(1..=3)?);
                open.insert(ledger.open(owner, at(now)()), (owner, false));
                continue;
            }
            let id = *source.choose(&ids)?;
            match action {
                3 => {
                    ledger.close(id);
                    open.remove(&id);
                }
                4 => {
                    ledger.pin(id);
                    open.entry(id).and_modify(|entry| entry.1 = true);
                }
                _ => {
                    let bytes = source.int_in_range(0..=LIMIT)?;
                    let was_revoked = ledger.is_revoked(id);
                    let before = ledger.bytes(id);
                    match resize(&mut ledger, id, bytes, at(now)) {
                        Ok(revoked) => {
                            assert!(!was_revoked);
                            assert!(revoked.iter().all(|other| open[other] == (open[&id].0, false)));
                            assert_eq!(ledger.bytes(id), bytes);
                        }
                        Err(_) => assert!(was_revoked || bytes > before),
                    }
                }
            }
            let sum: usize = open.keys().map(|id| ledger.bytes(*id)).sum();
            assert_eq!(ledger.total(), sum);
            assert!(sum <= LIMIT);
        }
        for id in open.keys() {
            ledger.close(*id);
        }
        assert_eq!(ledger.total(), 0);
        Ok(())
    });
}
