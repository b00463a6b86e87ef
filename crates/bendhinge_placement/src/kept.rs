//! Which upstreams are believed to keep which parts of prompts.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::{PartId, Prompt, PromptPart};

/// A part that goes on being used is told of again after this share of the time for which it is
/// believed to be kept.
const REPEATS: u32 = 3;

/// From whom a router learned something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LearnedFrom {
    /// By its own requests.
    Itself,
    /// From another router, named by a hash of its address.
    Router(NameHash),
}

/// When a router learned something, and from whom.
#[derive(Clone, Copy, Debug)]
pub struct Learned {
    /// When.
    pub at: Instant,
    /// From whom.
    pub from: LearnedFrom,
}

#[derive(Clone, Copy, Debug)]
struct Keeper {
    upstream: NameHash,
    used: Instant,
    learned: Learned,
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
            let learned = Learned { at: now, from: LearnedFrom::Itself };
            self.learn(KeptPart { part: part.id, upstream, used: now }, learned);
        }
    }

    /// Takes in that an upstream read a part, for this router or another.
    pub fn learn(&mut self, kept: KeptPart, learned: Learned) {
        let KeptPart { part, upstream, used } = kept;
        let believed_for = self.believed_for;
        // Most parts have one keeper, and a list that grows by itself begins with room for four.
        let keepers = self.keepers.entry(part).or_insert_with(|| Vec::with_capacity(1));
        match keepers.iter_mut().find(|keeper| keeper.upstream == upstream) {
            Some(keeper) => {
                if used.since(keeper.used) > believed_for / REPEATS {
                    keeper.learned = learned;
                }
                keeper.used = keeper.used.max(used);
            }
            None => keepers.push(Keeper { upstream, used, learned }),
        }
    }

    /// All that is believed.
    pub fn all(&self) -> impl Iterator<Item = KeptPart> {
        self.matching(|_| true)
    }

    /// What this router learned within the last `span` from anybody but `listener`, to tell it.
    pub fn news_for(
        &self,
        listener: LearnedFrom,
        span: Duration,
        now: Instant,
    ) -> impl Iterator<Item = KeptPart> {
        self.matching(move |learned| learned.from != listener && now.since(learned.at) < span)
    }

    fn matching(&self, is_wanted: impl Fn(&Learned) -> bool + Copy) -> impl Iterator<Item = KeptPart> {
        self.keepers.iter().flat_map(move |(part, keepers)| {
            let wanted = keepers.iter().filter(move |keeper| is_wanted(&keeper.learned));
            wanted.map(|keeper| KeptPart { part: *part, upstream: keeper.upstream, used: keeper.used })
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
