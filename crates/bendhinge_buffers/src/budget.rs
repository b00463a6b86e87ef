//! Handles to the ledger of a process.

use std::fmt;
use std::future::poll_fn;
use std::sync::{Arc, Mutex};
use std::task::{Poll, Waker};

use rustc_hash::FxHashMap;

use crate::ledger::{BudgetExceeded, Ledger, Owner, ReservationId};

struct State {
    ledger: Ledger,
    /// Wakers of the tasks that hold the reservations.
    wakers: FxHashMap<ReservationId, Waker>,
    revocations: u64,
}

/// The memory that a process may use for buffers; cheap to clone.
#[derive(Clone)]
pub struct BufferBudget(Option<Arc<Mutex<State>>>);

/// What is known of the use of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BufferUsage {
    /// The bytes that are reserved.
    pub bytes: usize,
    /// The number of reservations that were revoked since the start.
    pub revocations: u64,
}

impl BufferBudget {
    /// Creates a budget with a limit in bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let state = State { ledger: Ledger::new(limit), wakers: FxHashMap::default(), revocations: 0 };
        Self(Some(Arc::new(Mutex::new(state))))
    }

    /// Creates a budget without a limit, which grants all reservations and does not count them.
    #[must_use]
    pub const fn unlimited() -> Self {
        Self(None)
    }

    /// Whether there is a limit.
    #[must_use]
    pub const fn is_limited(&self) -> bool {
        self.0.is_some()
    }

    /// Opens an empty reservation.
    #[must_use]
    pub fn open(&self, owner: Owner) -> Reservation {
        let handle = self.0.as_ref().map(|state| {
            let id = state.lock().unwrap().ledger.open(owner, bendhinge_clock::now());
            Handle { state: Arc::clone(state), id }
        });
        Reservation { handle }
    }

    /// Whether a reservation of an owner can grow to this many bytes now.
    #[must_use]
    pub fn could_hold(&self, owner: Owner, bytes: usize) -> bool {
        self.0.as_ref().is_none_or(|state| state.lock().unwrap().ledger.could_hold(owner, bytes))
    }

    /// The bytes that a single reservation can hold at most.
    #[must_use]
    pub fn max_reservation(&self) -> usize {
        self.0.as_ref().map_or(usize::MAX, |state| state.lock().unwrap().ledger.max_reservation())
    }

    /// How much of the budget is used.
    #[must_use]
    pub fn usage(&self) -> BufferUsage {
        self.0.as_ref().map_or_else(BufferUsage::default, |state| {
            let state = state.lock().unwrap();
            BufferUsage { bytes: state.ledger.total(), revocations: state.revocations }
        })
    }
}

struct Handle {
    state: Arc<Mutex<State>>,
    id: ReservationId,
}

/// Bytes that are buffered on behalf of an owner, until dropped.
///
/// A reservation may be revoked at any time, unless it is pinned. Its holder then drops the bytes.
pub struct Reservation {
    /// `None` if the budget has no limit.
    handle: Option<Handle>,
}

impl Reservation {
    /// Creates a reservation that is not limited and not counted.
    #[must_use]
    pub const fn unlimited() -> Self {
        Self { handle: None }
    }

    /// The reserved bytes; 0 if the budget has no limit.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let handle = self.handle.as_ref();
        handle.map_or(0, |Handle { state, id }| state.lock().unwrap().ledger.bytes(*id))
    }

    /// Changes the size of the reservation, in bytes.
    pub fn resize(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        self.update(|_| bytes)
    }

    /// Adds bytes to the reservation.
    pub fn add(&self, bytes: usize) -> Result<(), BudgetExceeded> {
        self.update(|reserved| reserved + bytes)
    }

    /// Takes bytes off the reservation.
    pub fn subtract(&self, bytes: usize) {
        // A smaller size is refused only after a revocation, which has freed all bytes.
        let _ = self.update(|reserved| reserved.saturating_sub(bytes));
    }

    fn update(&self, size: impl FnOnce(usize) -> usize) -> Result<(), BudgetExceeded> {
        let Some(Handle { state, id }) = &self.handle else { return Ok(()) };
        let mut state = state.lock().unwrap();
        let size = size(state.ledger.bytes(*id));
        let mut revoked = Vec::new();
        let result = state.ledger.resize(*id, size, bendhinge_clock::now, &mut revoked);
        if revoked.is_empty() {
            return result;
        }
        state.revocations += revoked.len() as u64;
        let wakers: Vec<_> = revoked.iter().filter_map(|id| state.wakers.remove(id)).collect();
        // Wakers run code of the executor, so the lock is not held.
        drop(state);
        wakers.into_iter().for_each(Waker::wake);
        result
    }

    /// Excludes the reservation from revocation, because its bytes are in use.
    pub fn pin(&self) {
        if let Some(Handle { state, id }) = &self.handle {
            state.lock().unwrap().ledger.pin(*id);
        }
    }

    /// Waits until the reservation is revoked. An empty reservation is not revoked before it has grown and the future is
    /// polled again.
    pub async fn revoked(&self) {
        poll_fn(|context| {
            let Some(Handle { state, id }) = &self.handle else { return Poll::Pending };
            let mut state = state.lock().unwrap();
            if state.ledger.is_revoked(*id) {
                return Poll::Ready(());
            }
            if state.ledger.bytes(*id) > 0 {
                state.wakers.insert(*id, context.waker().clone());
            }
            Poll::Pending
        })
        .await;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if let Some(Handle { state, id }) = &self.handle {
            let mut state = state.lock().unwrap();
            state.ledger.close(*id);
            state.wakers.remove(id);
        }
    }
}

impl fmt::Debug for Reservation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("Reservation").field("bytes", &self.bytes()).finish_non_exhaustive()
    }
}
