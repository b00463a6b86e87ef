//! History of key ownership, used to prove that no other router can have granted a key.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{BoxName, Instant};

#[derive(Clone, Debug)]
struct Epoch {
    since: Instant,
    boxes: Vec<BoxName>,
}

/// The membership lists in force on this router during the deduplication window.
///
/// A router may grant a key only if it owned the key under every list of a full window. Unreachable
/// boxes stay on the list until the platform removes them, because they may still grant keys.
#[derive(Debug)]
pub struct OwnershipHistory {
    window: Duration,
    epochs: VecDeque<Epoch>,
}

impl OwnershipHistory {
    /// Creates an empty history, which proves ownership of no key.
    #[must_use]
    pub const fn new(window: Duration) -> Self {
        Self { window, epochs: VecDeque::new() }
    }

    /// Records that `boxes` is in force from `now`.
    pub fn note(&mut self, mut boxes: Vec<BoxName>, now: Instant) {
        boxes.sort();
        if self.epochs.back().is_some_and(|epoch| epoch.boxes == boxes) {
            return;
        }
        self.epochs.push_back(Epoch { since: now, boxes });
        // An epoch is irrelevant once its successor covers the whole window.
        while self.epochs.len() > 1 && now.since(self.epochs[1].since) >= self.window {
            self.epochs.pop_front();
        }
    }

    /// The boxes on the current list.
    #[must_use]
    pub fn boxes(&self) -> &[BoxName] {
        self.epochs.back().map_or(&[], |epoch| epoch.boxes.as_slice())
    }

    /// Whether the history covers a full window and `owns` holds for every list in it.
    pub fn owned_throughout(&self, now: Instant, owns: impl Fn(&[BoxName]) -> bool) -> bool {
        let Some(first) = self.epochs.front() else { return false };
        let covered = now.since(first.since) >= self.window;
        let relevant = self.epochs.iter().enumerate().filter(|(index, _)| {
            let ended = self.epochs.get(index + 1).map(|next| next.since);
            ended.is_none_or(|ended| now.since(ended) < self.window)
        });
        covered && relevant.into_iter().all(|(_, epoch)| owns(&epoch.boxes))
    }
}
