//! Reservations across tasks.

use std::net::SocketAddr;
use std::sync::Arc;

use bendhinge_buffers::{BufferBudget, BufferUsage, Owner, Reservation};
use smol::LocalExecutor;

const OWNER: Owner = Owner::Peers;

#[test]
fn a_revoked_holder_is_woken() {
    let budget = BufferBudget::new(1_000);
    let executor = LocalExecutor::new();
    let held = Arc::new(budget.open(OWNER));
    held.resize(400).unwrap();
    let holder = Arc::clone(&held);
    let waiting = executor.spawn(async move { holder.revoked().await });
    smol::block_on(executor.run(async {
        while executor.try_tick() {}
        let other = budget.open(OWNER);
        let mut bytes = 0;
        // The other one becomes the newer and smaller one of the two.
        while !waiting.is_finished() && other.resize(bytes).is_ok() {
            bytes += 10;
            smol::future::yield_now().await;
        }
        waiting.await;
        assert_eq!(budget.usage().revocations, 1);
    }));
}

/// Guards against holders that keep memory which counts as free, because they are not woken if the growth for which they
/// were revoked is refused in the end.
#[test]
fn a_revoked_holder_is_woken_if_the_growth_is_refused() {
    let budget = BufferBudget::new(1_000);
    let executor = LocalExecutor::new();
    let held = Arc::new(budget.open(OWNER));
    held.resize(400).unwrap();
    let holder = Arc::clone(&held);
    let waiting = executor.spawn(async move { holder.revoked().await });
    smol::block_on(executor.run(async {
        while executor.try_tick() {}
        smol::Timer::after(std::time::Duration::from_millis(20)).await;
        // No reservation can grow to more than half of the budget.
        assert!(budget.open(OWNER).resize(600).is_err());
        waiting.await;
        assert_eq!(budget.usage().revocations, 1);
    }));
}

#[test]
fn dropped_reservations_are_released() {
    let budget = BufferBudget::new(1_000);
    let held = budget.open(OWNER);
    held.add(300).unwrap();
    held.subtract(100);
    assert_eq!(budget.usage(), BufferUsage { bytes: 200, revocations: 0 });
    drop(held);
    assert_eq!(budget.usage().bytes, 0);
}

#[test]
fn unlimited_budgets_grant_everything() {
    let budget = BufferBudget::unlimited();
    let address = SocketAddr::from(([127, 0, 0, 1], 80));
    assert!(budget.open(Owner::Server(address)).resize(usize::MAX).is_ok());
    assert!(Reservation::unlimited().add(usize::MAX).is_ok());
    assert!(budget.could_hold(OWNER, usize::MAX));
}
