//! Slots of the batch, given to the waiting request of the highest priority.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use smol::channel::{Sender, bounded};

/// The order in which waiting requests are served: higher priority first, then by arrival.
type Turn = (Reverse<u8>, u64);

#[derive(Debug)]
struct State {
    free: usize,
    waiting: BTreeMap<Turn, Sender<()>>,
    next: u64,
}

/// The slots of one engine.
#[derive(Clone, Debug)]
pub(super) struct Slots(Arc<Mutex<State>>);

/// A slot in use; free again when dropped.
#[derive(Debug)]
pub(super) struct Slot(Slots);

impl Slots {
    pub(super) fn new(count: usize) -> Self {
        Self(Arc::new(Mutex::new(State { free: count, waiting: BTreeMap::new(), next: 0 })))
    }

    /// Waits for a slot.
    pub(super) async fn take(&self, priority: u8) -> Slot {
        let (sender, receiver) = bounded(1);
        {
            let mut state = self.0.lock().unwrap();
            if state.free > 0 {
                state.free -= 1;
                return Slot(self.clone());
            }
            let turn = (Reverse(priority), state.next);
            state.next += 1;
            state.waiting.insert(turn, sender);
        }
        let _ = receiver.recv().await;
        Slot(self.clone())
    }

    fn give_back(&self) {
        let mut state = self.0.lock().unwrap();
        // A waiting request whose caller went away no longer listens; the next one is asked.
        while let Some((_, sender)) = state.waiting.pop_first() {
            if sender.try_send(()).is_ok() {
                return;
            }
        }
        state.free += 1;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.give_back();
    }
}
