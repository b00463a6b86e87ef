//! Weighted rendezvous hashing of chats to upstreams. Every router computes the same order, and
//! adding or removing an upstream moves only the chats assigned to it.

use bendhinge_ids::{ChatKey, UpstreamName};
use xxhash_rust::xxh3::xxh3_64;

/// Number of upstreams in a shortlist. With a load limit of 1.25 times the mean, fewer than one chat in a thousand has
/// all eight at their limit at once.
pub const SHORTLIST_SIZE: usize = 8;

/// Index of an upstream in its [`Ranking`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamIndex(pub u32);

/// An upstream to be ranked.
#[derive(Clone, Debug, PartialEq)]
pub struct RankedUpstream {
    /// Name of the upstream; its hash seeds the scores.
    pub name: UpstreamName,
    /// Relative capacity within the pool; greater than zero.
    pub weight: f64,
    /// 0 in the router's own region, 1 elsewhere. All upstreams of a lower tier precede those
    /// of a higher one. Distance within a region is ignored, since a chat's order would
    /// otherwise depend on the router that receives the request.
    pub tier: u8,
    /// Whether it accepts new requests. An upstream that does not keeps its position, so that a
    /// chat's preferred upstream, whose owner stores the chat's location, stays the same.
    pub serving: bool,
}

/// Upstreams of the same tier and weight, whose scores are directly comparable.
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

/// The upstreams of a pool, indexed for ranking.
#[derive(Clone, Debug, Default)]
pub struct Ranking {
    upstreams: Vec<RankedUpstream>,
    seeds: Vec<u64>,
    groups: Vec<Group>,
    serving_count: usize,
    serving_weight: f64,
}

/// The highest-ranked upstreams for a chat, best first.
#[derive(Clone, Copy, Debug)]
pub struct Shortlist {
    indices: [UpstreamIndex; SHORTLIST_SIZE],
    length: usize,
}

impl Shortlist {
    /// Returns the upstreams, best first.
    #[must_use]
    pub fn as_slice(&self) -> &[UpstreamIndex] {
        &self.indices[..self.length]
    }

    fn push(&mut self, index: UpstreamIndex) {
        if self.length < SHORTLIST_SIZE {
            self.indices[self.length] = index;
            self.length += 1;
        }
    }
}

impl Ranking {
    /// Creates a ranking of `upstreams`, which may be in any order.
    #[must_use]
    pub fn new(mut upstreams: Vec<RankedUpstream>) -> Self {
        upstreams.sort_by(|left, right| {
            left.tier
                .cmp(&right.tier)
                .then(left.weight.total_cmp(&right.weight))
                .then_with(|| left.name.cmp(&right.name))
        });
        let seeds = upstreams.iter().map(|upstream| xxh3_64(upstream.name.as_str().as_bytes())).collect();
        let serving_weight = serving_upstreams(&upstreams).map(|upstream| upstream.weight).sum();
        let serving_count = serving_upstreams(&upstreams).count();
        let groups = group_by_weight(&upstreams);
        Self { upstreams, seeds, groups, serving_count, serving_weight }
    }

    /// Returns the number of upstreams that accept new requests.
    #[must_use]
    pub const fn serving_count(&self) -> usize {
        self.serving_count
    }

    /// Returns the total weight of the upstreams that accept new requests.
    #[must_use]
    pub const fn serving_weight(&self) -> f64 {
        self.serving_weight
    }

    /// Returns the indices of the upstreams that accept new requests.
    pub fn serving_indices(&self) -> impl Iterator<Item = UpstreamIndex> {
        (0..)
            .map(UpstreamIndex)
            .zip(&self.upstreams)
            .filter(|(_, upstream)| upstream.serving)
            .map(|(index, _)| index)
    }

    /// Returns all upstreams, in the order of [`UpstreamIndex`].
    #[must_use]
    pub fn upstreams(&self) -> &[RankedUpstream] {
        &self.upstreams
    }

    /// Returns the upstream at `index`.
    #[must_use]
    pub fn get(&self, index: UpstreamIndex) -> &RankedUpstream {
        &self.upstreams[index.0 as usize]
    }

    /// Returns the index of the upstream called `name`, if it accepts new requests.
    #[must_use]
    pub fn find_serving(&self, name: &UpstreamName) -> Option<UpstreamIndex> {
        self.serving_indices().find(|index| self.get(*index).name == *name)
    }

    /// Returns the weight of the upstream at `index` as a fraction of the total serving weight.
    #[must_use]
    pub fn weight_share(&self, index: UpstreamIndex) -> f64 {
        self.get(index).weight / self.serving_weight
    }

    /// Returns the highest-ranked upstreams for `chat`.
    #[must_use]
    pub fn shortlist(&self, chat: ChatKey) -> Shortlist {
        let mut shortlist = Shortlist { indices: [UpstreamIndex(0); SHORTLIST_SIZE], length: 0 };
        let mut first = 0;
        while first < self.groups.len() && shortlist.length < SHORTLIST_SIZE {
            let tier = self.groups[first].tier;
            let end = first + self.groups[first..].iter().take_while(|group| group.tier == tier).count();
            self.append_tier(chat, &self.groups[first..end], &mut shortlist);
            first = end;
        }
        shortlist
    }

    fn append_tier(&self, chat: ChatKey, groups: &[Group], shortlist: &mut Shortlist) {
        if let [group] = groups {
            let best = self.top_of_group(chat, *group);
            for scored in best.iter() {
                shortlist.push(scored.index);
            }
            return;
        }
        // Only the best of each group can be among the best of the tier, so the logarithm
        // for weighting is computed for these few upstreams only.
        let mut candidates = Vec::with_capacity(groups.len() * SHORTLIST_SIZE);
        for group in groups {
            let best = self.top_of_group(chat, *group);
            candidates.extend(
                best.iter().map(|scored| (exponential_variate(scored.score, group.weight), scored.index)),
            );
        }
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
        for (_, index) in candidates {
            shortlist.push(index);
        }
    }

    fn top_of_group(&self, chat: ChatKey, group: Group) -> TopScores {
        let size = group.end - group.start;
        if size > LARGE_GROUP_SIZE {
            let prefiltered = self.top_scores_above(chat, group, prefilter_threshold(size));
            // In the rare case of too few matches, the whole group must be searched.
            if prefiltered.length >= SHORTLIST_SIZE {
                return prefiltered;
            }
        }
        self.top_scores_above(chat, group, 0)
    }

    fn top_scores_above(&self, chat: ChatKey, group: Group, threshold: u64) -> TopScores {
        let mut best = TopScores::new(threshold);
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

/// Larger groups are first searched with a score threshold, since maintaining the list of best
/// scores costs more than computing the scores.
const LARGE_GROUP_SIZE: usize = 64;

/// Returns a threshold that about `3 * SHORTLIST_SIZE` scores of a group of `size` upstreams
/// exceed.
const fn prefilter_threshold(size: usize) -> u64 {
    const EXPECTED_MATCHES: u64 = 3 * SHORTLIST_SIZE as u64;
    u64::MAX - u64::MAX / size as u64 * EXPECTED_MATCHES
}

/// The highest scores of a group in descending order.
struct TopScores {
    entries: [Scored; SHORTLIST_SIZE],
    length: usize,
    threshold: u64,
}

impl TopScores {
    fn new(threshold: u64) -> Self {
        Self { entries: [Scored { index: UpstreamIndex(0), score: 0 }; SHORTLIST_SIZE], length: 0, threshold }
    }

    fn iter(&self) -> impl Iterator<Item = &Scored> {
        self.entries[..self.length].iter()
    }

    fn insert(&mut self, scored: Scored) {
        let position = self.iter().take_while(|entry| entry.score >= scored.score).count();
        self.length = (self.length + 1).min(SHORTLIST_SIZE);
        self.entries[position..self.length].rotate_right(1);
        self.entries[position] = scored;
        if self.length == SHORTLIST_SIZE {
            self.threshold = self.entries[SHORTLIST_SIZE - 1].score;
        }
    }
}

fn serving_upstreams(upstreams: &[RankedUpstream]) -> impl Iterator<Item = &RankedUpstream> {
    upstreams.iter().filter(|upstream| upstream.serving)
}

fn group_by_weight(upstreams: &[RankedUpstream]) -> Vec<Group> {
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

/// Folded multiplication, as in wyhash. One round is sufficient because both inputs are hashes.
#[expect(clippy::cast_possible_truncation, reason = "the two halves are folded into one")]
const fn mix(chat: u64, seed: u64) -> u64 {
    const ODD: u64 = 0x9e37_79b9_7f4a_7c15;
    let product = ((chat ^ seed) as u128) * ((chat.rotate_left(32) ^ ODD) as u128);
    (product as u64) ^ ((product >> 64) as u64)
}

/// Converts a uniform score to an exponential variate of rate `weight`. The upstream with the
/// smallest variate is selected, with a probability proportional to its weight.
fn exponential_variate(score: u64, weight: f64) -> f64 {
    const RANGE: f64 = 18_446_744_073_709_551_616.0;
    -((score as f64 + 0.5) / RANGE).ln() / weight
}
