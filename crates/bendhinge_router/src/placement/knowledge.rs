//! Keeping the view of loads up to date, and which upstreams answer.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use bendhinge_ids::{BoxName, NameHash};
use bendhinge_placement::LoadKey;

use crate::membership::{Fleet, Owner, Target};
use crate::node::Node;

/// Failed load queries after which an upstream is taken for unreachable.
const UNREACHABLE_AFTER: u32 = 3;

/// Which upstreams do not answer, by this router's own queries or the word of those that count.
#[derive(Debug, Default)]
pub(crate) struct Health {
    failures: HashMap<NameHash, u32>,
    unreachable: HashSet<NameHash>,
}

impl Health {
    pub(crate) fn is_reachable(&self, upstream: NameHash) -> bool {
        !self.unreachable.contains(&upstream)
    }

    /// Notes the result of a load query; gives the health if it changed.
    pub(crate) fn queried(&mut self, upstream: NameHash, answered: bool) -> Option<bool> {
        let failures = self.failures.entry(upstream).or_default();
        *failures = if answered { 0 } else { *failures + 1 };
        let reachable = *failures < UNREACHABLE_AFTER;
        self.set(upstream, reachable).then_some(reachable)
    }

    /// Sets the health; `true` if it changed.
    fn set(&mut self, upstream: NameHash, reachable: bool) -> bool {
        if reachable { self.unreachable.remove(&upstream) } else { self.unreachable.insert(upstream) }
    }
}

/// How the view of loads names an upstream.
pub(crate) fn view_key(target: &Target) -> LoadKey<'_> {
    LoadKey { upstream: target.hash, pool: &target.pool }
}

/// Brings the view up to date with the own counts and other routers' summaries; `true` if an
/// upstream's health changed.
pub(crate) fn refresh(node: &Node) -> bool {
    let fleet = node.fleet();
    learn_own_counts(node, &fleet);
    learn_from_others(node, &fleet)
}

/// The upstreams that this router counts for, with their counts.
pub(crate) fn own_counts(node: &Node, fleet: &Fleet) -> Vec<(Arc<Target>, u32)> {
    let owned = fleet.owned_upstreams();
    let ledger = node.ledger.lock().unwrap();
    let counted = owned.into_iter().map(|target| {
        let count = ledger.in_progress(&target.name);
        (target, count)
    });
    counted.collect()
}

fn learn_own_counts(node: &Node, fleet: &Fleet) {
    let now = bendhinge_clock::now();
    let counts = own_counts(node, fleet);
    let mut loads = node.loads.lock().unwrap();
    for (target, count) in &counts {
        loads.record_count(view_key(target), *count, now);
    }
}

/// Only the word of the router that counts for an upstream is taken.
fn learn_from_others(node: &Node, fleet: &Fleet) -> bool {
    let now = bendhinge_clock::now();
    let counted: HashMap<(&BoxName, NameHash), &Target> = fleet
        .upstreams
        .iter()
        .filter_map(|target| match &target.owner {
            Owner::Peer(owner) => Some(((&owner.name, target.hash), target.as_ref())),
            Owner::Own | Owner::Nobody => None,
        })
        .collect();
    let membership = node.membership.lock().unwrap();
    let mut loads = node.loads.lock().unwrap();
    let mut health = node.health.lock().unwrap();
    let mut changed = false;
    for (summary, age) in membership.exchange.summaries(now) {
        for count in &summary.upstreams {
            let Some(target) = counted.get(&(&summary.name, count.upstream)) else { continue };
            loads.record_count(view_key(target), count.in_progress.into(), now - age);
            changed |= health.set(count.upstream, count.reachable);
        }
    }
    changed
}

/// Adds up the pools' loads anew after the fleet changed.
pub(crate) fn refresh_totals(node: &Node) {
    let fleet = node.fleet();
    let listed: HashSet<NameHash> = fleet.upstreams.iter().map(|target| target.hash).collect();
    let mut loads = node.loads.lock().unwrap();
    loads.retain(|pool| fleet.pools.contains_key(pool), |upstream| listed.contains(&upstream));
    for (name, pool) in &fleet.pools {
        loads.set_pool(name, pool.serving_hashes());
    }
    let skews = fleet.pools.values().map(|pool| {
        let highest = pool.serving_hashes().map(|hash| loads.load(hash)).max().unwrap_or(0);
        let total = loads.pool_load(&pool.name).in_progress.max(1);
        f64::from(highest) * pool.ranking.serving_count() as f64 / f64::from(total)
    });
    let worst = skews.fold(0.0, f64::max);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small positive ratio")]
    node.metrics.skew_percent.set((worst * 100.0) as u64);
}
