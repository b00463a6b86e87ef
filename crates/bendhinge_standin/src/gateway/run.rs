//! Requests that an upstream began to work on, and those under which its process ends.

use std::time::Instant;

use bytes::Bytes;

/// A request that an upstream began to work on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The request's number.
    pub request: String,
    /// Its path.
    pub path: String,
    /// The customer that it was said to be of.
    pub customer: Option<String>,
    /// Whether it carried a key.
    pub carried_key: bool,
    /// Its body.
    pub body: Bytes,
    /// The event after which it went on.
    pub resumed_after: Option<String>,
    /// The parts of its prompt.
    pub prompt: Option<String>,
    /// When it arrived.
    pub at: Instant,
}

impl Run {
    /// Whether this part of the prompt is one of those that are shared with other requests.
    #[must_use]
    pub fn shares_part(&self, part: u64) -> bool {
        let Some((shared, _)) = self.prompt.as_deref().and_then(|prompt| prompt.rsplit_once(',')) else {
            return false;
        };
        let ids = shared.split(',').filter_map(|part| part.split_once(':')?.0.trim().parse().ok());
        ids.into_iter().any(|id: u64| id == part)
    }
}

/// The requests under which the process of an upstream ends.
#[derive(Clone)]
pub(super) enum Fatal {
    /// Those with this body, before the response begins.
    Body(Bytes),
    /// Those that share this part of the prompt, after the response has begun.
    Part(u64),
}

impl Fatal {
    pub(super) fn applies_to(&self, run: &Run) -> bool {
        match self {
            Self::Body(body) => *body == run.body,
            Self::Part(part) => run.shares_part(*part),
        }
    }
}
