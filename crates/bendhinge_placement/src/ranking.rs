//! Weighted rendezvous hashing: the same chat finds the same upstreams in the same order
//! through every router, and an upstream that comes or goes moves only its own chats.

use bendhinge_ids::{ChatKey, UpstreamName};
use xxhash_rust::xxh3::xxh3_64;

/// How many upstreams a shortlist holds. With a bound of 1.25 times the mean fewer than one
/// chat in a thousand has its first eight upstreams all at their bound.
pub const SHORTLIST: usize = 8;

/// The position of an upstream in its [`Ranking`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamIndex(pub u32);

/// One listed upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Ranked {
    /// Its name, whose hash is its seed.
    pub name: UpstreamName,
    /// Its size relative to others of the pool; above zero.
    pub weight: f64,
    /// 0 in the router's own region, 1 elsewhere. A nearer tier comes first whole: distance
    /// within a region does not count, or a chat would move with the router it arrives through.
    pub tier: u8,
    /// Whether it may take new work. One that may not keeps its place in the order, so that a
    /// chat's first upstream stays the same while upstreams come and go, and with it the router
    /// that remembers where the chat is.
    pub serving: bool,
}

/// Upstreams of one tier and weight, which can be compared by their raw scores.
#[derive(Clone, Copy, Debug)]
struct Group {
    start: usize,
    end: usize,
    weight: f64,
    tier: u8,
}

#[derive(Clone, Copy, Debug)]
struct Scored {
    index: UpstreamIndex,
    score: u64,
}

/// The listed upstreams of one pool, ready to be ordered for a chat.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    upstreams: Vec<Ranked>,
    seeds: Vec<u64>,
    groups: Vec<Group>,
    serving: usize,
    serving_weight: f64,
}

/// The first upstreams of a chat, best first.
#[derive(Clone, Copy, Debug)]
pub struct Shortlist {
    indices: [UpstreamIndex; SHORTLIST],
    length: usize,
}

impl Shortlist {
    /// The upstreams, best first.
    #[must_use]
    pub fn as_slice(&self) -> &[UpstreamIndex] {
        &self.indices[..self.length]
    }

    fn push(&mut self, index: UpstreamIndex) {
        if self.length < SHORTLIST {
            self.indices[self.length] = index;
            self.length += 1;
        }
    }
}

impl Ranking {
    /// A ranking of `upstreams`, whatever their order.
    #[must_use]
    pub fn new(mut upstreams: Vec<Ranked>) -> Self {
        upstreams.sort_by(|left, right| {
            left.tier
                .cmp(&right.tier)
                .then(left.weight.total_cmp(&right.weight))
                .then_with(|| left.name.cmp(&right.name))
        });
        let seeds = upstreams.iter().map(|upstream| xxh3_64(upstream.name.as_str().as_bytes())).collect();
        let serving_weight = serving(&upstreams).map(|upstream| upstream.weight).sum();
        let serving = serving(&upstreams).count();
        let groups = group(&upstreams);
        Self { upstreams, seeds, groups, serving, serving_weight }
    }

    /// How many upstreams may take new work.
    #[must_use]
    pub const fn serving(&self) -> usize {
        self.serving
    }

    /// The weight of those that may take new work.
    #[must_use]
    pub const fn serving_weight(&self) -> f64 {
        self.serving_weight
    }

    /// The positions of those that may take new work.
    pub fn serving_indices(&self) -> impl Iterator<Item = UpstreamIndex> {
        (0..)
            .map(UpstreamIndex)
            .zip(&self.upstreams)
            .filter(|(_, upstream)| upstream.serving)
            .map(|(index, _)| index)
    }

    /// All upstreams; positions are [`UpstreamIndex`]es.
    #[must_use]
    pub fn upstreams(&self) -> &[Ranked] {
        &self.upstreams
    }

    /// The upstream at `index`.
    #[must_use]
    pub fn get(&self, index: UpstreamIndex) -> &Ranked {
        &self.upstreams[index.0 as usize]
    }

    /// The upstream called `name`, if it may take new work.
    #[must_use]
    pub fn find(&self, name: &UpstreamName) -> Option<UpstreamIndex> {
        self.serving_indices().find(|index| self.get(*index).name == *name)
    }

    /// The part that the upstream at `index` has of the weight that may take new work.
    #[must_use]
    pub fn share(&self, index: UpstreamIndex) -> f64 {
        self.get(index).weight / self.serving_weight
    }

    /// The first upstreams for `chat`, best first.
    #[must_use]
    pub fn shortlist(&self, chat: ChatKey) -> Shortlist {
        let mut list = Shortlist { indices: [UpstreamIndex(0); SHORTLIST], length: 0 };
        let mut first = 0;
        while first < self.groups.len() && list.length < SHORTLIST {
            let tier = self.groups[first].tier;
            let end = first + self.groups[first..].iter().take_while(|group| group.tier == tier).count();
            self.append_tier(chat, &self.groups[first..end], &mut list);
            first = end;
        }
        list
    }

    fn append_tier(&self, chat: ChatKey, groups: &[Group], list: &mut Shortlist) {
        if let [only] = groups {
            let best = self.best_of_group(chat, *only);
            for scored in best.iter() {
                list.push(scored.index);
            }
            return;
        }
        // Only the best of each group can be among the best of the tier, so the logarithm that
        // weights need is taken for a few upstreams and not for all.
        let mut candidates = Vec::with_capacity(groups.len() * SHORTLIST);
        for group in groups {
            let best = self.best_of_group(chat, *group);
            candidates.extend(best.iter().map(|scored| (cost(scored.score, group.weight), scored.index)));
        }
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
        for (_, index) in candidates {
            list.push(index);
        }
    }

    fn best_of_group(&self, chat: ChatKey, group: Group) -> Best {
        let size = group.end - group.start;
        if size > LARGE_GROUP {
            let high = self.scored_above(chat, group, high_score(size));
            // Too few by a rare chance: all must be looked at.
            if high.length >= SHORTLIST {
                return high;
            }
        }
        self.scored_above(chat, group, 0)
    }

    fn scored_above(&self, chat: ChatKey, group: Group, threshold: u64) -> Best {
        let mut best = Best::new(threshold);
        for (offset, seed) in self.seeds[group.start..group.end].iter().enumerate() {
            let score = mix(chat.0, *seed);
            if score > best.threshold {
                #[expect(
                    clippy::cast_possible_truncation,
                    reason = "a pool has far fewer than 2^32 upstreams"
                )]
                best.insert(Scored { index: UpstreamIndex((group.start + offset) as u32), score });
            }
        }
        best
    }
}

/// Groups above this size are first searched for high scores alone: keeping the best of all
/// seen so far costs more than the scores.
const LARGE_GROUP: usize = 64;

/// A score that about three times as many upstreams of a group of `size` pass as are wanted.
const fn high_score(size: usize) -> u64 {
    const WANTED: u64 = 3 * SHORTLIST as u64;
    u64::MAX - u64::MAX / size as u64 * WANTED
}

/// The best scored upstreams of a group, best first.
struct Best {
    entries: [Scored; SHORTLIST],
    length: usize,
    threshold: u64,
}

impl Best {
    fn new(threshold: u64) -> Self {
        Self { entries: [Scored { index: UpstreamIndex(0), score: 0 }; SHORTLIST], length: 0, threshold }
    }

    fn iter(&self) -> impl Iterator<Item = &Scored> {
        self.entries[..self.length].iter()
    }

    fn insert(&mut self, scored: Scored) {
        let place = self.iter().take_while(|entry| entry.score >= scored.score).count();
        self.length = (self.length + 1).min(SHORTLIST);
        self.entries[place..self.length].rotate_right(1);
        self.entries[place] = scored;
        if self.length == SHORTLIST {
            self.threshold = self.entries[SHORTLIST - 1].score;
        }
    }
}

fn serving(upstreams: &[Ranked]) -> impl Iterator<Item = &Ranked> {
    upstreams.iter().filter(|upstream| upstream.serving)
}

fn group(upstreams: &[Ranked]) -> Vec<Group> {
    let mut groups: Vec<Group> = Vec::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        match groups.last_mut() {
            Some(last) if last.tier == upstream.tier && last.weight.total_cmp(&upstream.weight).is_eq() => {
                last.end = index + 1;
            }
            _ => groups.push(Group {
                start: index,
                end: index + 1,
                weight: upstream.weight,
                tier: upstream.tier,
            }),
        }
    }
    groups
}

/// A folded multiplication, the core of hashes such as wyhash: both inputs are hashes already,
/// so one round is enough, and it costs a third of a full finalizer.
#[expect(clippy::cast_possible_truncation, reason = "the two halves are folded into one")]
const fn mix(chat: u64, seed: u64) -> u64 {
    const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
    let wide = ((chat ^ seed) as u128) * ((chat.rotate_left(32) ^ ODD) as u128);
    (wide as u64) ^ ((wide >> 64) as u64)
}

/// An exponential variate of rate `weight`: the upstream with the smallest has the chat, with
/// a probability proportional to its weight.
fn cost(score: u64, weight: f64) -> f64 {
    const RANGE: f64 = 18_446_744_073_709_551_616.0;
    -((score as f64 + 0.5) / RANGE).ln() / weight
}
