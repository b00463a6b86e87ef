//! Which upstreams are believed to keep which parts of prompts.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::{PartId, Prompt};

/// That a part goes on being used is news after this share of the time for which it is believed to be
/// kept.
const REPEATS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Keeper {
    upstream: NameHash,
    used: Instant,
}

/// That an upstream read a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeptPart {
    /// The part.
    pub part: PartId,
    /// The upstream.
    pub upstream: NameHash,
    /// When it was last used there.
    pub used: Instant,
}

/// Which upstreams are believed to keep which parts: those that read them not long ago.
///
/// It is evidence, never truth: an upstream may have given a part up, and may have read others
/// on behalf of other routers.
#[derive(Debug)]
pub struct KeptParts {
    keepers: FxHashMap<PartId, Vec<Keeper>>,
    believed_for: Duration,
}

impl KeptParts {
    /// No belief yet; what was read is believed to be kept for `believed_for` after its last use.
    #[must_use]
    pub fn new(believed_for: Duration) -> Self {
        Self { keepers: FxHashMap::default(), believed_for }
    }

    /// Notes that an upstream read the shared parts of a prompt; gives what of it is news.
    pub fn read(&mut self, upstream: NameHash, prompt: &Prompt, now: Instant) -> Vec<KeptPart> {
        let read = prompt.shared().iter().map(|part| KeptPart { part: part.id, upstream, used: now });
        read.filter(|kept| self.learn(*kept)).collect()
    }

    /// Takes in that an upstream read a part, for this router or another; `true` if it is news.
    pub fn learn(&mut self, kept: KeptPart) -> bool {
        let KeptPart { part, upstream, used } = kept;
        // Most parts have one keeper, and a list that grows by itself begins with room for four.
        let keepers = self.keepers.entry(part).or_insert_with(|| Vec::with_capacity(1));
        let Some(keeper) = keepers.iter_mut().find(|keeper| keeper.upstream == upstream) else {
            keepers.push(Keeper { upstream, used });
            return true;
        };
        let is_news = used.since(keeper.used) > self.believed_for / REPEATS;
        keeper.used = keeper.used.max(used);
        is_news
    }

    /// All that is believed.
    pub fn all(&self) -> impl Iterator<Item = KeptPart> {
        self.keepers.iter().flat_map(move |(part, keepers)| {
            keepers.iter().map(|keeper| KeptPart {
                part: *part,
                upstream: keeper.upstream,
                used: keeper.used,
            })
        })
    }

    /// Which upstreams are believed to keep how many tokens of a prompt's shared parts: those before the first part
    /// that each lacks. It takes time for each keeper of the first part, not for each upstream.
    #[must_use]
    pub fn keepers_of(&self, prompt: &Prompt, now: Instant) -> FxHashMap<NameHash, u32> {
        let mut tokens = FxHashMap::default();
        let mut before = 0;
        for (index, part) in prompt.shared().iter().enumerate() {
            let together = before + part.tokens;
            for upstream in self.keeping(part.id, now) {
                if index == 0 {
                    tokens.insert(upstream, together);
                } else if let Some(kept) = tokens.get_mut(&upstream).filter(|kept| **kept == before) {
                    *kept = together;
                }
            }
            before = together;
        }
        tokens
    }

    fn keeping(&self, part: PartId, now: Instant) -> impl Iterator<Item = NameHash> {
        let keepers = self.keepers.get(&part).into_iter().flatten();
        let believed = keepers.filter(move |keeper| now.since(keeper.used) < self.believed_for);
        believed.map(|keeper| keeper.upstream)
    }

    /// Forgets beliefs that are too old, and upstreams that are gone.
    pub fn prune(&mut self, listed: impl Fn(NameHash) -> bool, now: Instant) {
        let believed_for = self.believed_for;
        self.keepers.retain(|_, keepers| {
            keepers.retain(|keeper| listed(keeper.upstream) && now.since(keeper.used) < believed_for);
            !keepers.is_empty()
        });
    }
}
