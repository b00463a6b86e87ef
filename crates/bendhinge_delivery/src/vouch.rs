//! Whether a router can vouch that no other has granted a key.

use std::collections::VecDeque;
use std::time::Duration;

use bendhinge_ids::{BoxName, Instant};

#[derive(Clone, Debug)]
struct Epoch {
    since: Instant,
    boxes: Vec<BoxName>,
}

/// The lists of boxes that were in force on this router during the window.
///
/// A router vouches for a key if, under every one of them, it was itself the key's owner, for
/// at least a window. Boxes that cannot be reached stay on the list until the platform removes
/// them: an owner that is only out of reach may still be granting.
#[derive(Debug)]
pub struct OwnershipHistory {
    window: Duration,
    epochs: VecDeque<Epoch>,
}

impl OwnershipHistory {
    /// A history that begins at `now` with no list; it vouches for nothing yet.
    #[must_use]
    pub const fn new(window: Duration) -> Self {
        Self { window, epochs: VecDeque::new() }
    }

    /// Notes the list of boxes that is in force from `now`.
    pub fn note(&mut self, mut boxes: Vec<BoxName>, now: Instant) {
        boxes.sort();
        if self.epochs.back().is_some_and(|epoch| epoch.boxes == boxes) {
            return;
        }
        self.epochs.push_back(Epoch { since: now, boxes });
        // An epoch matters until its successor alone covers the window.
        while self.epochs.len() > 1 && now.since(self.epochs[1].since) >= self.window {
            self.epochs.pop_front();
        }
    }

    /// The boxes now on the list.
    #[must_use]
    pub fn boxes(&self) -> &[BoxName] {
        self.epochs.back().map_or(&[], |epoch| epoch.boxes.as_slice())
    }

    /// Whether `owns` held under every list of the window, and a whole window is known.
    pub fn vouches(&self, now: Instant, owns: impl Fn(&[BoxName]) -> bool) -> bool {
        let Some(first) = self.epochs.front() else { return false };
        let covered = now.since(first.since) >= self.window;
        let relevant = self.epochs.iter().enumerate().filter(|(index, _)| {
            let ended = self.epochs.get(index + 1).map(|next| next.since);
            ended.is_none_or(|ended| now.since(ended) < self.window)
        });
        covered && relevant.into_iter().all(|(_, epoch)| owns(&epoch.boxes))
    }
}
