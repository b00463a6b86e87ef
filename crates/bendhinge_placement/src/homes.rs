//! Where a subject is at home: the same at all routers that hold the same list, without a message.
//!
//! In a pool of a few hundred upstreams each soon keeps the heads of all prompts, and any may be a subject's home. In one
//! of thousands each home of a subject would read its head again for that subject alone. There the subjects of
//! one head have their homes in one group of upstreams, and in a further group while the first has too much to do.

use std::cmp::Reverse;

use bendhinge_ids::NameHash;
use xxhash_rust::xxh3::xxh3_64;

use crate::draw::draw;
use crate::{Candidate, PartId, Prompt};

/// Pools of up to so many upstreams are one group.
const LARGEST_GROUP: usize = 512;
/// Upstreams in a group of a larger pool: at least so many, and less than twice that. In smaller groups the subjects that are
/// asked for most meet at the same upstreams while all are read for the first time.
const GROUP: usize = 128;
/// Groups in which a home is looked for.
const GROUPS_TRIED: usize = 3;

/// The home of a prompt's subject among the candidates that take work: that of its head's first group in which it has
/// less than `limit`, or else that of the first group.
pub(crate) fn home(prompt: &Prompt, candidates: &[Candidate], limit: f32) -> Option<usize> {
    let subject = prompt.subject()?;
    let groups = group_count(candidates.len());
    if groups == 1 {
        return home_among(subject, candidates, |_| true);
    }
    let head = prompt.shared().first().map_or(subject, |part| part.id);
    // Further groups are looked through only if they are needed: each is a pass over the pool.
    let mut homes = groups_of(head, groups).into_iter().filter_map(|group| {
        home_among(subject, candidates, |candidate| group_of(candidate.upstream, groups) == group)
    });
    let first = homes.next()?;
    let is_free = |index: &usize| candidates[*index].load < limit;
    if is_free(&first) { Some(first) } else { homes.find(is_free).or(Some(first)) }
}

fn home_among(
    subject: PartId,
    candidates: &[Candidate],
    is_in_group: impl Fn(&Candidate) -> bool,
) -> Option<usize> {
    let working = candidates.iter().enumerate();
    let working = working.filter(|(_, candidate)| candidate.takes_work && is_in_group(candidate));
    working.max_by_key(|(_, candidate)| draw(subject.0, candidate.upstream.0)).map(|(index, _)| index)
}

/// A power of two, so that a pool that grows splits groups and leaves half of each in place.
fn group_count(upstreams: usize) -> usize {
    if upstreams <= LARGEST_GROUP { 1 } else { 1 << (upstreams / GROUP).ilog2() }
}

fn group_of(upstream: NameHash, groups: usize) -> usize {
    let hash = xxh3_64(&upstream.0.to_le_bytes());
    usize::try_from(hash % groups as u64).unwrap_or_default()
}

/// The groups of a head, in the order in which they are used.
fn groups_of(head: PartId, groups: usize) -> [usize; GROUPS_TRIED] {
    let mut ranked: Vec<usize> = (0..groups).collect();
    ranked.sort_unstable_by_key(|group| Reverse(draw(head.0, *group as u64)));
    std::array::from_fn(|rank| ranked[rank % groups])
}
