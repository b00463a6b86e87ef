//! Remembers the prompt parts of requests that were lost with an upstream, so that the log shows which of them were in a
//! complete response later.

use std::sync::Mutex;

use bendhinge_ids::PartDigest;
use rustc_hash::FxHashSet;

/// Maximum number of remembered parts. When it is reached, all are dropped.
const MAX_PARTS: usize = 1_024;

/// The prompt parts of lost requests.
#[derive(Default)]
pub(crate) struct LostParts(Mutex<FxHashSet<PartDigest>>);

impl LostParts {
    /// Records the parts of a lost request.
    pub(crate) fn record(&self, parts: &[PartDigest]) {
        let mut lost = self.0.lock().unwrap();
        if lost.len() + parts.len() > MAX_PARTS {
            lost.clear();
        }
        lost.extend(parts);
    }

    /// Whether no part is remembered.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.lock().unwrap().is_empty()
    }

    /// Whether any of the parts was in a lost request.
    pub(crate) fn contains_any(&self, parts: &[PartDigest]) -> bool {
        let lost = self.0.lock().unwrap();
        parts.iter().any(|part| lost.contains(part))
    }
}
