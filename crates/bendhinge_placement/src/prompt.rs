//! Prompts as chains of parts, and which upstreams are believed to keep which parts.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

/// A part of a prompt, by the number that its callers give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Which one.
    pub id: PartId,
    /// Its length.
    pub tokens: u32,
}

/// The parts of a prompt in order. The last belongs to the request itself; those before it are
/// shared with other requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    parts: Vec<PromptPart>,
}

impl Prompt {
    /// A prompt of `parts`.
    #[must_use]
    pub const fn new(parts: Vec<PromptPart>) -> Self {
        Self { parts }
    }

    /// The parts that other requests share.
    #[must_use]
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// What the request is about: the last shared part, or else its own.
    #[must_use]
    pub fn subject(&self) -> Option<PartId> {
        self.shared().last().or(self.parts.last()).map(|part| part.id)
    }

    /// Tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Tokens of all parts.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}

/// A part that goes on being used is told of again after this share of the time for which it is
/// believed to be kept.
const TELLINGS: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Keeper {
    upstream: NameHash,
    used: Instant,
    /// When this router learned that it keeps the part.
    learned: Instant,
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

    /// Notes that an upstream read the shared parts of a prompt.
    pub fn read(&mut self, upstream: NameHash, prompt: &Prompt, now: Instant) {
        for part in prompt.shared() {
            self.learn(KeptPart { part: part.id, upstream, used: now }, now);
        }
    }

    /// Takes in that an upstream read a part, for this router or another.
    pub fn learn(&mut self, kept: KeptPart, now: Instant) {
        let KeptPart { part, upstream, used } = kept;
        let believed_for = self.believed_for;
        let keepers = self.keepers.entry(part).or_default();
        match keepers.iter_mut().find(|keeper| keeper.upstream == upstream) {
            Some(keeper) => {
                if used.since(keeper.used) > believed_for / TELLINGS {
                    keeper.learned = now;
                }
                keeper.used = keeper.used.max(used);
            }
            None => keepers.push(Keeper { upstream, used, learned: now }),
        }
    }

    /// What this router learned within the last `span`, for telling others.
    pub fn learned_within(&self, span: Duration, now: Instant) -> impl Iterator<Item = KeptPart> {
        self.keepers.iter().flat_map(move |(part, keepers)| {
            let lately = keepers.iter().filter(move |keeper| now.since(keeper.learned) < span);
            lately.map(|keeper| KeptPart { part: *part, upstream: keeper.upstream, used: keeper.used })
        })
    }

    /// How many tokens of a prompt's shared parts an upstream is believed to keep: those before
    /// the first part that it lacks.
    #[must_use]
    pub fn kept_tokens(&self, upstream: NameHash, prompt: &Prompt, now: Instant) -> u32 {
        let keeps = |part: &&PromptPart| self.keeps(upstream, part.id, now);
        prompt.shared().iter().take_while(keeps).map(|part| part.tokens).sum()
    }

    fn keeps(&self, upstream: NameHash, part: PartId, now: Instant) -> bool {
        let keepers = self.keepers.get(&part);
        keepers.is_some_and(|keepers| {
            let is_it =
                |keeper: &Keeper| keeper.upstream == upstream && now.since(keeper.used) < self.believed_for;
            keepers.iter().any(is_it)
        })
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
