//! Decides which reservations are granted and which are revoked.

use std::cmp::Reverse;
use std::net::{IpAddr, SocketAddr};

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

/// The side on whose behalf bytes are buffered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Owner {
    /// A host that connects to this process.
    Client(IpAddr),
    /// Another gateway that forwards requests to this one.
    Peers,
    /// A customer, or requests without one.
    Customer(Option<NameHash>),
    /// A server to which this process connects, such as an upstream or the store.
    Server(SocketAddr),
}

/// Identifies a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReservationId(u64);

/// A reservation was not granted, or was revoked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "no memory for {requested} bytes: {owned} bytes of this owner and {total} bytes in all are buffered, of {limit}"
)]
pub struct BudgetExceeded {
    /// The size that was requested for the reservation, in bytes.
    pub requested: usize,
    /// The bytes of all reservations of its owner.
    pub owned: usize,
    /// The bytes of all reservations.
    pub total: usize,
    /// The limit of the process, in bytes.
    pub limit: usize,
}

#[derive(Debug)]
struct Entry {
    owner: Owner,
    bytes: usize,
    /// When it last became non-empty.
    filled_at: Instant,
    is_revocable: bool,
    is_revoked: bool,
}

impl Entry {
    /// How much memory it has held for how long, in byte-microseconds.
    fn weight(&self, bytes: usize, now: Instant) -> u128 {
        // At least a microsecond, so that of several new reservations the largest weighs most.
        bytes as u128 * now.since(self.filled_at).as_micros().max(1)
    }
}

/// Accounts for all reservations of a process.
///
/// An owner may hold as many bytes as remain free, so that those of one owner never leave another one without memory.
/// If it needs more, the reservation of the owner is revoked that has held the most memory for the longest time: an
/// endless message or an unread response weighs more than a large message that has just begun.
#[derive(Debug)]
pub struct Ledger {
    limit: usize,
    total: usize,
    owned: FxHashMap<Owner, usize>,
    entries: FxHashMap<ReservationId, Entry>,
    next_id: u64,
}

impl Ledger {
    /// Creates an empty ledger with a limit in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self { limit, total: 0, owned: FxHashMap::default(), entries: FxHashMap::default(), next_id: 0 }
    }

    /// The bytes of all reservations.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.total
    }

    /// The bytes that a single reservation can hold at most.
    #[must_use]
    pub const fn max_reservation(&self) -> usize {
        self.limit / 2
    }

    /// Adds an empty reservation.
    pub fn open(&mut self, owner: Owner, now: Instant) -> ReservationId {
        let id = ReservationId(self.next_id);
        self.next_id += 1;
        let entry = Entry { owner, bytes: 0, filled_at: now, is_revocable: true, is_revoked: false };
        self.entries.insert(id, entry);
        id
    }

    /// Removes a reservation.
    pub fn close(&mut self, id: ReservationId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.release(entry.owner, entry.bytes);
        }
    }

    /// Excludes a reservation from revocation, because its bytes are in use.
    pub fn pin(&mut self, id: ReservationId) {
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_revocable = false;
        }
    }

    /// Whether the reservation was revoked. Its bytes count as free; its holder must drop them.
    #[must_use]
    pub fn is_revoked(&self, id: ReservationId) -> bool {
        self.entries.get(&id).is_none_or(|entry| entry.is_revoked)
    }

    /// Whether an owner can reserve this many bytes more without a revocation.
    fn check(&self, owner: Owner, bytes: usize) -> Result<(), BudgetExceeded> {
        let owned = self.owned.get(&owner).copied().unwrap_or(0);
        let (new_owned, new_total) = (owned + bytes, self.total + bytes);
        if new_owned + new_total <= self.limit {
            return Ok(());
        }
        Err(BudgetExceeded { requested: bytes, owned, total: self.total, limit: self.limit })
    }

    /// The bytes of a reservation.
    #[must_use]
    pub fn bytes(&self, id: ReservationId) -> usize {
        self.entries.get(&id).map_or(0, |entry| entry.bytes)
    }

    /// Whether a reservation of an owner can grow to this many bytes, if all others that may be revoked are.
    #[must_use]
    pub fn could_hold(&self, owner: Owner, bytes: usize) -> bool {
        if self.check(owner, bytes).is_ok() {
            return true;
        }
        let pinned = self.entries.values().filter(|entry| !entry.is_revocable && entry.owner == owner);
        let pinned: usize = pinned.map(|entry| entry.bytes).sum();
        let of_others = self.total - self.owned.get(&owner).copied().unwrap_or(0);
        2 * (pinned + bytes) + of_others <= self.limit
    }

    /// Changes the size of a reservation. Adds the reservations that are revoked for it to `revoked`, also if the size is
    /// refused in the end.
    pub fn resize(
        &mut self,
        id: ReservationId,
        bytes: usize,
        now: impl Fn() -> Instant,
        revoked: &mut Vec<ReservationId>,
    ) -> Result<(), BudgetExceeded> {
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| !entry.is_revoked) else {
            return Err(self.exceeded(0, bytes));
        };
        let (owner, previous) = (entry.owner, entry.bytes);
        if previous == 0 && bytes > 0 {
            entry.filled_at = now();
        }
        if bytes <= previous {
            entry.bytes = bytes;
            self.release(owner, previous - bytes);
            return Ok(());
        }
        let growth = bytes - previous;
        while let Err(exceeded) = self.check(owner, growth) {
            let Some(victim) = self.victim(id, bytes, now()) else {
                return Err(BudgetExceeded { requested: bytes, ..exceeded });
            };
            self.revoke(victim);
            revoked.push(victim);
        }
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.bytes = bytes;
        }
        *self.owned.entry(owner).or_default() += growth;
        self.total += growth;
        Ok(())
    }

    /// Returns the reservation to revoke so that `id` can grow to `bytes`; `None` if that is itself.
    fn victim(&self, id: ReservationId, bytes: usize, now: Instant) -> Option<ReservationId> {
        let growing = self.entries.get(&id)?;
        let weight = |other: ReservationId, entry: &Entry| {
            entry.weight(if other == id { bytes } else { entry.bytes }, now)
        };
        let candidates = self.entries.iter().filter(|(other, entry)| {
            entry.owner == growing.owner && entry.is_revocable && (**other == id || entry.bytes > 0)
        });
        let heaviest = candidates.max_by_key(|(other, entry)| (weight(**other, entry), Reverse(**other)));
        heaviest.map(|(other, _)| *other).filter(|other| *other != id)
    }

    fn revoke(&mut self, id: ReservationId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        entry.is_revoked = true;
        let (owner, bytes) = (entry.owner, std::mem::take(&mut entry.bytes));
        self.release(owner, bytes);
    }

    fn release(&mut self, owner: Owner, bytes: usize) {
        self.total -= bytes;
        if let Some(owned) = self.owned.get_mut(&owner) {
            *owned -= bytes;
            if *owned == 0 {
                self.owned.remove(&owner);
            }
        }
    }

    fn exceeded(&self, owned: usize, requested: usize) -> BudgetExceeded {
        BudgetExceeded { requested, owned, total: self.total, limit: self.limit }
    }
}
