//! The prompt parts that were in complete responses.

use bendhinge_ids::{Instant, PartDigest};
use rustc_hash::FxHashMap;

/// The number of parts after which a new generation begins. Two generations are kept, of 16 bytes a part.
const GENERATION_SIZE: usize = 4_096;

/// The prompt parts that were in complete responses, without those that were in none for longest.
#[derive(Debug, Default)]
pub(super) struct AnsweredParts {
    current: FxHashMap<PartDigest, Instant>,
    previous: FxHashMap<PartDigest, Instant>,
}

impl AnsweredParts {
    /// Records a complete response to a request with `parts`.
    pub(super) fn record(&mut self, parts: &[PartDigest], now: Instant) {
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.extend(parts.iter().map(|part| (*part, now)));
    }

    /// Returns when a request with the part was last answered completely, if that is known.
    pub(super) fn last_response(&self, part: PartDigest) -> Option<Instant> {
        self.current.get(&part).or_else(|| self.previous.get(&part)).copied()
    }
}
