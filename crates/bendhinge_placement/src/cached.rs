//! Index of the prompt parts that upstreams have cached.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::{PartId, Prompt};

/// A repeated use of a part is announced again if the TTL divided by this has passed since the last
/// use.
const REFRESH_DIVISOR: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct CacheEntry {
    upstream: NameHash,
    last_used: Instant,
}

/// A prompt part that an upstream has processed and probably cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CachedPart {
    /// The cached part.
    pub part: PartId,
    /// The upstream that has cached it.
    pub upstream: NameHash,
    /// Time of the last use on this upstream.
    pub last_used: Instant,
}

/// Index of the upstreams that probably have each prompt part in their cache, by recent use.
///
/// The index is an estimate: an upstream may have evicted a part, or cached parts on behalf of
/// routers that have not reported it yet.
#[derive(Debug)]
pub struct CachedParts {
    entries: FxHashMap<PartId, Vec<CacheEntry>>,
    ttl: Duration,
}

impl CachedParts {
    /// Creates an empty index whose entries expire `ttl` after their last use.
    #[must_use]
    pub fn new(ttl: Duration) -> Self {
        Self { entries: FxHashMap::default(), ttl }
    }

    /// Records that an upstream processed the shared parts of a prompt, and returns the entries
    /// to be announced to other routers.
    pub fn record_prompt(&mut self, upstream: NameHash, prompt: &Prompt, now: Instant) -> Vec<CachedPart> {
        let parts = prompt.shared().iter().map(|part| CachedPart { part: part.id, upstream, last_used: now });
        parts.filter(|cached| self.record(*cached)).collect()
    }

    /// Records the use of a part, whether observed by this router or reported by another.
    /// Returns `true` if the entry is new or was not refreshed recently.
    pub fn record(&mut self, cached: CachedPart) -> bool {
        let CachedPart { part, upstream, last_used } = cached;
        // Most parts have one entry; `Vec` would otherwise allocate room for four.
        let entries = self.entries.entry(part).or_insert_with(|| Vec::with_capacity(1));
        let Some(entry) = entries.iter_mut().find(|entry| entry.upstream == upstream) else {
            entries.push(CacheEntry { upstream, last_used });
            return true;
        };
        let is_significant = last_used.since(entry.last_used) > self.ttl / REFRESH_DIVISOR;
        entry.last_used = entry.last_used.max(last_used);
        is_significant
    }

    /// Returns all entries, including expired ones that have not been pruned yet.
    pub fn iter_entries(&self) -> impl Iterator<Item = CachedPart> {
        self.entries.iter().flat_map(move |(part, entries)| {
            entries.iter().map(|entry| CachedPart {
                part: *part,
                upstream: entry.upstream,
                last_used: entry.last_used,
            })
        })
    }

    /// Returns the number of leading shared tokens of `prompt` that each upstream has cached,
    /// up to the first missing part. Upstreams without the first part are omitted.
    ///
    /// The running time depends on the number of upstreams that have the first part, not on the
    /// size of the pool.
    #[must_use]
    pub fn cached_tokens_by_upstream(&self, prompt: &Prompt, now: Instant) -> FxHashMap<NameHash, u32> {
        let mut tokens = FxHashMap::default();
        let mut before = 0_u32;
        for (index, part) in prompt.shared().iter().enumerate() {
            let through_part = before.saturating_add(part.tokens);
            for upstream in self.upstreams_caching(part.id, now) {
                if index == 0 {
                    tokens.insert(upstream, through_part);
                } else if let Some(cached) = tokens.get_mut(&upstream).filter(|cached| **cached == before) {
                    *cached = through_part;
                }
            }
            before = through_part;
        }
        tokens
    }

    fn upstreams_caching(&self, part: PartId, now: Instant) -> impl Iterator<Item = NameHash> {
        let entries = self.entries.get(&part).into_iter().flatten();
        let live = entries.filter(move |entry| now.since(entry.last_used) < self.ttl);
        live.map(|entry| entry.upstream)
    }

    /// Removes expired entries and entries of upstreams that are no longer listed.
    pub fn prune(&mut self, is_listed: impl Fn(NameHash) -> bool, now: Instant) {
        let ttl = self.ttl;
        self.entries.retain(|_, entries| {
            entries.retain(|entry| is_listed(entry.upstream) && now.since(entry.last_used) < ttl);
            !entries.is_empty()
        });
    }
}
