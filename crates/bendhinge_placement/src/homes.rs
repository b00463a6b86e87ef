//! Home upstreams of affinity keys, by rendezvous hashing. Routers with the same list of upstreams
//! choose the same home without communication.
//!
//! In a small pool, any upstream can be the home of a key. In a large pool, this would make each
//! home process and cache the first part of the prompt (the prefix) for a few keys only. Large
//! pools are therefore divided into groups: keys with the same prefix have their homes in one
//! group, and in further groups while the first one is busy.
//!
//! A key with more requests than one home bears within the load limit has several: the first ones in its order, of which
//! each request draws two and takes the less loaded. Their number follows from the requests of all routers, since
//! reports of the load at a home arrive only after the next requests were sent there.
//!
//! A prompt that no upstream has cached is not sent to a home that has many prompt tokens to process
//! already, but to the next upstream in the key's order. Routers that know of the same pending tokens
//! agree on it.

use std::cmp::Reverse;

use bendhinge_ids::NameHash;
use xxhash_rust::xxh3::xxh3_64;

use crate::hash::hash_pair;
use crate::{Candidate, Distance, PartId, Prompt};

/// Maximum number of upstreams in a pool that is not divided into groups.
const MAX_SINGLE_GROUP_SIZE: usize = 512;
/// Minimum number of upstreams per group in a larger pool; groups have fewer than twice as many on
/// average. Smaller groups would concentrate popular keys on the same upstreams while their caches
/// are cold.
const MIN_GROUP_SIZE: usize = 128;
/// Number of groups that are searched for a home below the load limit.
const GROUPS_PER_PREFIX: usize = 3;
/// Number of upstreams in a key's home order that can be its home. With fewer, several busy ones in
/// sequence are likely after a start; with more, routers agree less on the home.
const HOMES_PER_KEY: usize = 4;

/// Limits above which the next home is considered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HomeLimits {
    /// Load from which the next group is considered, in requests.
    pub(crate) load: f32,
    /// Pending prompt tokens above which the next upstream in the home order is considered.
    pub(crate) pending_tokens: f32,
    /// Where the home has to be, if data centres matter.
    pub(crate) side: Option<Distance>,
}

/// How a request selects one of the homes of its affinity key.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HomeSelection {
    /// Number of homes, at least 1.
    pub(crate) homes: usize,
    /// A random number per request.
    pub(crate) tie_breaker: u64,
}

impl HomeLimits {
    /// Returns whether a candidate is within the limits. One whose work is not known always is.
    fn allow(self, candidate: &Candidate) -> bool {
        let Some(work) = candidate.work else { return true };
        candidate.load < self.load && work.pending_tokens * work.pace <= self.pending_tokens
    }
}

/// Returns the home of a prompt's affinity key among the candidates that accept requests: the one
/// in the first group of its prefix in which the home is below the load limit, or else the one in the
/// first group.
///
/// With a side, only its upstreams are considered. The groups remain those of the whole pool, so that a
/// prefix has no more copies than with one home for all data centres, and the home of the whole pool is
/// one of the homes of its sides.
pub(crate) fn home(
    prompt: &Prompt,
    candidates: &[Candidate],
    limits: HomeLimits,
    selection: HomeSelection,
) -> Option<usize> {
    let affinity_key = prompt.affinity_key()?;
    let is_on_side = |candidate: &Candidate| limits.side.is_none_or(|side| candidate.distance == side);
    let groups = group_count(candidates.len());
    if groups == 1 {
        return home_in_group(affinity_key, candidates, limits, selection, is_on_side);
    }
    let prefix = prompt.shared().first().map_or(affinity_key, |part| part.id);
    // Evaluated lazily, since each group takes a pass over the pool.
    let mut homes = groups_for_prefix(prefix, groups).into_iter().filter_map(|group| {
        let is_in_group =
            |candidate: &Candidate| is_on_side(candidate) && group_of(candidate.upstream, groups) == group;
        home_in_group(affinity_key, candidates, limits, selection, is_in_group)
    });
    let Some(first) = homes.next() else {
        // A small side may have no upstream in any of the groups.
        return limits
            .side
            .and_then(|_| home_in_group(affinity_key, candidates, limits, selection, is_on_side));
    };
    let is_below_limit = |index: &usize| candidates[*index].load < limits.load;
    if is_below_limit(&first) { Some(first) } else { homes.find(is_below_limit).or(Some(first)) }
}

/// Returns the first upstream in the key's order that is within the limit of pending tokens, among the
/// first few, or else the first one.
fn home_in_group(
    affinity_key: PartId,
    candidates: &[Candidate],
    limits: HomeLimits,
    selection: HomeSelection,
    is_in_group: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let accepting = candidates.iter().enumerate();
    let accepting = accepting.filter(|(_, candidate)| candidate.takes_work && is_in_group(candidate));
    let scores = accepting.map(|(index, candidate)| (hash_pair(affinity_key.0, candidate.upstream.0), index));
    if selection.homes > 1 {
        return selection.select(scores.collect(), candidates);
    }
    let first = scores.clone().max()?;
    let is_within_limits = |home: &(u64, usize)| limits.allow(&candidates[home.1]);
    let next = |home: &(u64, usize)| scores.clone().filter(|score| score < home).max();
    let homes = std::iter::successors(Some(first), next).take(HOMES_PER_KEY);
    homes.into_iter().find(is_within_limits).or(Some(first)).map(|(_, index)| index)
}

impl HomeSelection {
    /// Returns one of the homes, which have the highest `scores`: the less loaded of two that the request draws.
    fn select(self, mut scores: Vec<(u64, usize)>, candidates: &[Candidate]) -> Option<usize> {
        let homes = self.homes.min(scores.len());
        if homes == 0 {
            return None;
        }
        scores.select_nth_unstable_by_key(homes - 1, |score| Reverse(*score));
        scores.truncate(homes);
        scores.sort_unstable_by_key(|score| hash_pair(score.0, self.tie_breaker));
        let drawn = scores.iter().take(2).map(|(_, index)| *index);
        drawn.min_by(|left, right| candidates[*left].load.total_cmp(&candidates[*right].load))
    }
}

/// Returns a power of two, so that a growing pool splits each group in two and half of its
/// upstreams keep their group index.
fn group_count(upstreams: usize) -> usize {
    if upstreams <= MAX_SINGLE_GROUP_SIZE { 1 } else { 1 << (upstreams / MIN_GROUP_SIZE).ilog2() }
}

fn group_of(upstream: NameHash, groups: usize) -> usize {
    let hash = xxh3_64(&upstream.0.to_le_bytes());
    usize::try_from(hash % groups as u64).unwrap_or_default()
}

/// Returns the groups of a prefix in order of preference.
fn groups_for_prefix(prefix: PartId, groups: usize) -> [usize; GROUPS_PER_PREFIX] {
    let mut ranked: Vec<usize> = (0..groups).collect();
    ranked.sort_unstable_by_key(|group| Reverse(hash_pair(prefix.0, *group as u64)));
    std::array::from_fn(|rank| ranked[rank % groups])
}
