//! Computes the effects of a configuration change on pools and classes.

use std::collections::BTreeMap;

use bendhinge_ids::{ChatKey, DataCentreName, PoolName, UpstreamName};
use bendhinge_placement::{RankedUpstream, Ranking};
use serde::{Deserialize, Serialize};

use crate::Configuration;

/// A listed upstream, as input for computing a plan's effects.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMember {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Pool it belongs to.
    pub pool: PoolName,
    /// Data centre it runs in.
    pub data_centre: DataCentreName,
    /// Capacity relative to other upstreams.
    pub weight: f64,
}

/// Fraction of a pool's load carried by one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DataCentreLoad {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// Fraction before the change, 0 to 1.
    pub before: f64,
    /// Fraction after the change, 0 to 1.
    pub after: f64,
}

/// Effects of a plan on one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolEffect {
    /// The pool.
    pub pool: PoolName,
    /// Number of upstreams that accept new work before the change.
    pub upstreams_before: usize,
    /// Number of upstreams that accept new work after the change.
    pub upstreams_after: usize,
    /// Number of concurrent requests served before the change.
    pub slots_before: u32,
    /// Number of concurrent requests served after the change. Above it, requests of classes over
    /// their share are refused.
    pub slots_after: u32,
    /// Fraction of chats whose preferred upstream changes, 0 to 1; their cached context is lost.
    pub chats_moved: f64,
    /// Load of each data centre.
    pub data_centres: Vec<DataCentreLoad>,
    /// Whether engines are ordered to load a different model, version or adapter.
    pub reloads: bool,
}

/// Effect of a plan on the share of a class in a full pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareEffect {
    /// Name of the class.
    pub class: String,
    /// Fraction of a full pool before the change, 0 to 1; requests above it are refused.
    pub before: f64,
    /// Fraction of a full pool after the change.
    pub after: f64,
}

fn serving_members(
    configuration: &Configuration,
    pool: &PoolName,
    members: &[PoolMember],
) -> Vec<PoolMember> {
    let of_pool = members.iter().filter(|member| member.pool == *pool);
    of_pool
        .filter(|member| configuration.accepts_new_work(&member.name, &member.data_centre))
        .cloned()
        .collect()
}

pub(crate) fn pool_effects(
    before: &Configuration,
    after: &Configuration,
    members: &[PoolMember],
) -> Vec<PoolEffect> {
    let effects = after.pools.keys().map(|pool| pool_effect(pool, before, after, members));
    effects.filter(PoolEffect::has_changes).collect()
}

impl PoolEffect {
    fn has_changes(&self) -> bool {
        let upstreams = self.upstreams_before != self.upstreams_after;
        let slots = self.slots_before != self.slots_after;
        upstreams || slots || self.reloads || self.chats_moved > 0.0
    }
}

fn pool_effect(
    pool: &PoolName,
    before: &Configuration,
    after: &Configuration,
    members: &[PoolMember],
) -> PoolEffect {
    let old = serving_members(before, pool, members);
    let new = serving_members(after, pool, members);
    PoolEffect {
        pool: pool.clone(),
        upstreams_before: old.len(),
        upstreams_after: new.len(),
        slots_before: slot_count(before, pool, &old),
        slots_after: slot_count(after, pool, &new),
        chats_moved: moved_chat_fraction(&old, &new),
        data_centres: data_centre_loads(&old, &new),
        reloads: before.pools.get(pool).is_some_and(|previous| previous.kind != after.pools[pool].kind),
    }
}

fn slot_count(configuration: &Configuration, pool: &PoolName, members: &[PoolMember]) -> u32 {
    let slots_per_weight = configuration.pools.get(pool).map_or(0, |pool| pool.slots);
    let weight: f64 = members.iter().map(|member| member.weight).sum();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive count far below 2^32"
    )]
    let slots = (weight * f64::from(slots_per_weight)).round() as u32;
    slots
}

fn rank_members(members: &[PoolMember]) -> Ranking {
    let ranked = members.iter().map(|member| RankedUpstream {
        name: member.name.clone(),
        weight: member.weight,
        tier: 0,
        serving: true,
    });
    Ranking::new(ranked.collect())
}

/// Estimates the fraction of chats whose preferred upstream changes, using a sample of chat keys.
fn moved_chat_fraction(before: &[PoolMember], after: &[PoolMember]) -> f64 {
    const SAMPLE_SIZE: u64 = 4_096;
    let (before, after) = (rank_members(before), rank_members(after));
    if before.serving_count() == 0 || after.serving_count() == 0 {
        return if before.serving_count() == after.serving_count() { 0.0 } else { 1.0 };
    }
    let preferred = |ranking: &Ranking, chat| ranking.get(ranking.shortlist(chat).as_slice()[0]).name.clone();
    let chats = (0..SAMPLE_SIZE).map(|number| ChatKey::of("sample", &number.to_le_bytes()));
    let moved = chats.filter(|chat| preferred(&before, *chat) != preferred(&after, *chat)).count();
    moved as f64 / SAMPLE_SIZE as f64
}

fn data_centre_loads(before: &[PoolMember], after: &[PoolMember]) -> Vec<DataCentreLoad> {
    let load_fractions = |members: &[PoolMember]| {
        let total: f64 = members.iter().map(|member| member.weight).sum();
        let mut fractions = BTreeMap::new();
        for member in members {
            *fractions.entry(member.data_centre.clone()).or_insert(0.0) += member.weight / total;
        }
        fractions
    };
    let (before, after) = (load_fractions(before), load_fractions(after));
    let mut data_centres: Vec<DataCentreName> = before.keys().chain(after.keys()).cloned().collect();
    data_centres.sort();
    data_centres.dedup();
    data_centres
        .into_iter()
        .map(|data_centre| DataCentreLoad {
            before: before.get(&data_centre).copied().unwrap_or(0.0),
            after: after.get(&data_centre).copied().unwrap_or(0.0),
            data_centre,
        })
        .collect()
}

pub(crate) fn share_effects(before: &Configuration, after: &Configuration) -> Vec<ShareEffect> {
    let class_fraction = |configuration: &Configuration, name| {
        let total: f64 = configuration.classes.values().map(|class| class.share).sum();
        configuration.classes.get(name).map_or(0.0, |class| class.share / total)
    };
    let mut names: Vec<_> = before.classes.keys().chain(after.classes.keys()).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .map(|name| ShareEffect {
            class: name.to_string(),
            before: class_fraction(before, name),
            after: class_fraction(after, name),
        })
        .filter(|effect| (effect.before - effect.after).abs() > 1e-9)
        .collect()
}
