//! What a change of the configuration does to pools and classes.

use std::collections::BTreeMap;

use bendhinge_ids::{ChatKey, DataCentreName, PoolName, UpstreamName};
use bendhinge_placement::{RankedUpstream, Ranking};
use serde::{Deserialize, Serialize};

use crate::Configuration;

/// An upstream as the platform lists it, for reckoning a plan's effects.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolMember {
    /// Its name.
    pub name: UpstreamName,
    /// Its pool.
    pub pool: PoolName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its size relative to others.
    pub weight: f64,
}

/// The part of a pool's load that a data centre will carry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DataCentreLoad {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The part before, 0 to 1.
    pub before: f64,
    /// The part after.
    pub after: f64,
}

/// What a plan does to one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolEffect {
    /// The pool.
    pub pool: PoolName,
    /// Upstreams that take new work, before.
    pub upstreams_before: usize,
    /// And after.
    pub upstreams_after: usize,
    /// Requests served at once, before.
    pub slots_before: u32,
    /// And after. Beyond these, classes above their share are refused.
    pub slots_after: u32,
    /// The part of the chats whose first upstream changes, 0 to 1; their context is lost.
    pub chats_moved: f64,
    /// Load by data centre.
    pub data_centres: Vec<DataCentreLoad>,
    /// Whether engines are ordered to load something else.
    pub reloads: bool,
}

/// What a plan does to a class when a pool is full.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareEffect {
    /// The class.
    pub class: String,
    /// Its part of a full pool before, 0 to 1; beyond it the class is refused.
    pub before: f64,
    /// And after.
    pub after: f64,
}

fn serving(configuration: &Configuration, pool: &PoolName, members: &[PoolMember]) -> Vec<PoolMember> {
    let of_pool = members.iter().filter(|member| member.pool == *pool);
    of_pool.filter(|member| configuration.may_serve(&member.name, &member.data_centre)).cloned().collect()
}

pub(crate) fn pool_effects(
    before: &Configuration,
    after: &Configuration,
    members: &[PoolMember],
) -> Vec<PoolEffect> {
    let effects = after.pools.keys().map(|pool| pool_effect(pool, before, after, members));
    effects.filter(PoolEffect::changes_anything).collect()
}

impl PoolEffect {
    fn changes_anything(&self) -> bool {
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
    let old = serving(before, pool, members);
    let new = serving(after, pool, members);
    PoolEffect {
        pool: pool.clone(),
        upstreams_before: old.len(),
        upstreams_after: new.len(),
        slots_before: slots(before, pool, &old),
        slots_after: slots(after, pool, &new),
        chats_moved: chats_moved(&old, &new),
        data_centres: data_centre_loads(&old, &new),
        reloads: before.pools.get(pool).is_some_and(|previous| previous.kind != after.pools[pool].kind),
    }
}

fn slots(configuration: &Configuration, pool: &PoolName, members: &[PoolMember]) -> u32 {
    let per_weight = configuration.pools.get(pool).map_or(0, |pool| pool.slots);
    let weight: f64 = members.iter().map(|member| member.weight).sum();
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive count far below 2^32"
    )]
    let slots = (weight * f64::from(per_weight)).round() as u32;
    slots
}

fn ranking(members: &[PoolMember]) -> Ranking {
    let ranked = members.iter().map(|member| RankedUpstream {
        name: member.name.clone(),
        weight: member.weight,
        tier: 0,
        serving: true,
    });
    Ranking::new(ranked.collect())
}

/// The part of the chats whose first upstream changes, over a sample of keys.
fn chats_moved(before: &[PoolMember], after: &[PoolMember]) -> f64 {
    const SAMPLE: u64 = 4_096;
    let (before, after) = (ranking(before), ranking(after));
    if before.serving_count() == 0 || after.serving_count() == 0 {
        return if before.serving_count() == after.serving_count() { 0.0 } else { 1.0 };
    }
    let first = |ranking: &Ranking, chat| ranking.get(ranking.shortlist(chat).as_slice()[0]).name.clone();
    let chats = (0..SAMPLE).map(|number| ChatKey::of("sample", &number.to_le_bytes()));
    let moved = chats.filter(|chat| first(&before, *chat) != first(&after, *chat)).count();
    moved as f64 / SAMPLE as f64
}

fn data_centre_loads(before: &[PoolMember], after: &[PoolMember]) -> Vec<DataCentreLoad> {
    let parts = |members: &[PoolMember]| {
        let total: f64 = members.iter().map(|member| member.weight).sum();
        let mut parts = BTreeMap::new();
        for member in members {
            *parts.entry(member.data_centre.clone()).or_insert(0.0) += member.weight / total;
        }
        parts
    };
    let (before, after) = (parts(before), parts(after));
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
    let part = |configuration: &Configuration, name| {
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
            before: part(before, name),
            after: part(after, name),
        })
        .filter(|effect| (effect.before - effect.after).abs() > 1e-9)
        .collect()
}
