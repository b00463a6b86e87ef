//! Rests that upstreams ask for.
//!
//! An upstream that turns a request away may say for how long it wants no other from this router. Unlike the judge's rests
//! that is no conclusion from failures but the upstream's own word, with an end: answers to what it had before, reports of
//! other routers and lists that are taken in anew say nothing about it, and none of them ends it. Another life of the
//! upstream has another hash, and so asked for nothing.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

/// The longest rest that is kept: more than a restart or loading a model takes. An upstream that wants nothing for longer
/// should leave; of one that says a nonsensical number, each router finds out with one request in this time.
pub const LONGEST_REST: Duration = Duration::from_mins(10);

/// The rests that upstreams asked this router for.
#[derive(Debug, Default)]
pub struct Rests(FxHashMap<NameHash, Instant>);

impl Rests {
    /// Notes that an upstream asked for a rest from `now` on; gives its end. A rest that was asked for before is not cut
    /// short: answers overtake each other.
    pub fn asked(&mut self, upstream: NameHash, rest: Duration, now: Instant) -> Instant {
        let asked = now + rest.min(LONGEST_REST);
        let end = self.0.entry(upstream).or_insert(asked);
        *end = asked.max(*end);
        *end
    }

    /// When the upstream's rest ends, if it rests.
    #[must_use]
    pub fn end(&self, upstream: NameHash, now: Instant) -> Option<Instant> {
        self.0.get(&upstream).copied().filter(|end| now < *end)
    }

    /// Forgets rests that are over. Those of upstreams that are not listed stay: they may be listed again.
    pub fn prune(&mut self, now: Instant) {
        self.0.retain(|_, end| now < *end);
    }

    /// How many upstreams rest.
    #[must_use]
    pub fn count(&self, now: Instant) -> usize {
        self.0.values().filter(|end| now < **end).count()
    }
}
