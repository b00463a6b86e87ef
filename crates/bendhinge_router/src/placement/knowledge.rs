//! What the router knows of upstreams' loads without asking.

use std::collections::HashMap;
use std::time::Duration;

use bendhinge_ids::{Instant, PoolName};
use bendhinge_membership::{NameHash, Summary};
use bendhinge_placement::{KnownLoad, PoolLoad};

use crate::clock;
use crate::membership::{Owner, Target};
use crate::node::Node;

/// How long an upstream that refused a connection is passed over.
const AVOID_TIME: Duration = Duration::from_secs(2);
/// Failed load queries after which an upstream is taken for unreachable.
const UNREACHABLE_AFTER: u32 = 3;

#[derive(Clone, Copy, Debug)]
struct Known {
    in_progress: u32,
    measured_at: Instant,
    /// Change by this router's own requests since then.
    own_since: i64,
    /// Requests of this router's own in progress there.
    own: u32,
    /// What the router that counts says of its health.
    reachable: bool,
    /// Load queries of this router's own that failed in a row.
    failures: u32,
    avoid_until: Instant,
}

impl Default for Known {
    fn default() -> Self {
        let never = Instant::default();
        Self {
            in_progress: 0,
            measured_at: never,
            own_since: 0,
            own: 0,
            reachable: true,
            failures: 0,
            avoid_until: never,
        }
    }
}

impl Known {
    fn load(&self) -> i64 {
        (i64::from(self.in_progress) + self.own_since).max(i64::from(self.own))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Total {
    base: i64,
    own_since: i64,
}

/// Loads as last heard, and this router's own requests since.
#[derive(Debug, Default)]
pub(crate) struct Knowledge {
    upstreams: HashMap<NameHash, Known>,
    totals: HashMap<PoolName, Total>,
}

impl Knowledge {
    /// What is known of one upstream.
    pub(crate) fn known(&self, upstream: NameHash, now: Instant) -> Option<KnownLoad> {
        let known = self.upstreams.get(&upstream)?;
        let load = u32::try_from(known.load()).unwrap_or(0);
        Some(KnownLoad { in_progress: load, age: now.since(known.measured_at), own_since: 0 })
    }

    /// What is known of a pool.
    pub(crate) fn pool_load(&self, pool: &PoolName) -> PoolLoad {
        let total = self.totals.get(pool).copied().unwrap_or_default();
        PoolLoad { in_progress: u32::try_from(total.base + total.own_since).unwrap_or(0) }
    }

    /// Counts a request of this router's own in.
    pub(crate) fn sent(&mut self, upstream: NameHash, pool: &PoolName) {
        self.change(upstream, pool, 1);
    }

    /// Counts one out.
    pub(crate) fn ended(&mut self, upstream: NameHash, pool: &PoolName) {
        self.change(upstream, pool, -1);
    }

    fn change(&mut self, upstream: NameHash, pool: &PoolName, by: i32) {
        let known = self.upstreams.entry(upstream).or_default();
        known.own = known.own.saturating_add_signed(by);
        known.own_since += i64::from(by);
        if let Some(total) = self.totals.get_mut(pool) {
            total.own_since += i64::from(by);
        }
    }

    /// Passes an upstream over for a while, because it refused a connection.
    pub(crate) fn avoid(&mut self, upstream: NameHash, now: Instant) {
        self.upstreams.entry(upstream).or_default().avoid_until = now + AVOID_TIME;
    }

    /// Whether an upstream is passed over now.
    pub(crate) fn is_avoided(&self, upstream: NameHash, now: Instant) -> bool {
        self.upstreams.get(&upstream).is_some_and(|known| known.avoid_until > now)
    }

    /// Whether an upstream answers, by this router's own queries or the word of others.
    pub(crate) fn is_reachable(&self, upstream: NameHash) -> bool {
        self.upstreams.get(&upstream).is_none_or(|known| known.reachable)
    }

    /// Notes the result of a load query; gives the health if it changed.
    pub(crate) fn queried(&mut self, upstream: NameHash, answered: bool) -> Option<bool> {
        let known = self.upstreams.entry(upstream).or_default();
        known.failures = if answered { 0 } else { known.failures + 1 };
        let reachable = known.failures < UNREACHABLE_AFTER;
        let changed = reachable != known.reachable;
        known.reachable = reachable;
        changed.then_some(reachable)
    }

    /// Takes in a count that was measured at `measured_at`.
    fn learn(&mut self, upstream: NameHash, in_progress: u32, measured_at: Instant) {
        let known = self.upstreams.entry(upstream).or_default();
        if measured_at >= known.measured_at {
            known.in_progress = in_progress;
            known.measured_at = measured_at;
            known.own_since = 0;
        }
    }

    /// Takes in another router's counts; `true` if an upstream's health changed.
    fn learn_from(
        &mut self,
        summary: &Summary,
        age: Duration,
        counted_there: &HashMap<NameHash, bool>,
        now: Instant,
    ) -> bool {
        let mut changed = false;
        for count in &summary.upstreams {
            if counted_there.get(&count.upstream) != Some(&true) {
                continue;
            }
            self.learn(count.upstream, count.in_progress.into(), now - age);
            let known = self.upstreams.entry(count.upstream).or_default();
            changed |= known.reachable != count.reachable;
            known.reachable = count.reachable;
        }
        changed
    }

    fn total(&self, targets: &[std::sync::Arc<Target>]) -> i64 {
        targets.iter().filter_map(|target| self.upstreams.get(&target.hash)).map(Known::load).sum()
    }

    fn highest_over_mean(&self, targets: &[std::sync::Arc<Target>]) -> f64 {
        let loads = targets.iter().map(|target| self.upstreams.get(&target.hash).map_or(0, Known::load));
        let highest = loads.max().unwrap_or(0) as f64;
        let total = self.total(targets).max(1) as f64;
        highest * targets.len() as f64 / total
    }
}

/// Brings what is known up to date with the own counts and other routers' summaries; `true` if
/// an upstream's health changed.
pub(crate) fn refresh(node: &Node) -> bool {
    let now = clock::now();
    let fleet = node.fleet();
    let owned = fleet.owned_upstreams();
    let counts: Vec<u32> = {
        let ledger = node.ledger.lock().unwrap();
        owned.iter().map(|target| ledger.in_progress(&target.name)).collect()
    };
    let membership = node.membership.lock().unwrap();
    let mut knowledge = node.knowledge.lock().unwrap();
    for (target, count) in owned.iter().zip(counts) {
        knowledge.learn(target.hash, count, now);
    }
    let mut changed = false;
    for (summary, age) in membership.exchange.summaries(now) {
        let counted_there = fleet.upstreams.iter().map(|target| {
            let there = matches!(&target.owner, Owner::Peer(entry) if entry.name == summary.name);
            (target.hash, there)
        });
        let counted_there: HashMap<NameHash, bool> = counted_there.collect();
        changed |= knowledge.learn_from(summary, age, &counted_there, now);
    }
    changed
}

/// Adds up the pools' loads anew.
pub(crate) fn refresh_totals(node: &Node) {
    let fleet = node.fleet();
    let mut knowledge = node.knowledge.lock().unwrap();
    let totals = fleet.pools.iter().map(|(name, pool)| {
        let base = knowledge.total(&pool.targets);
        (name.clone(), Total { base, own_since: 0 })
    });
    knowledge.totals = totals.collect();
    let skews = fleet.pools.values().map(|pool| knowledge.highest_over_mean(&pool.targets));
    let worst = skews.fold(0.0, f64::max);
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a small positive ratio")]
    node.metrics.skew_percent.set((worst * 100.0) as u64);
}
