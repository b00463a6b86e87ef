//! The duty of admission: what is let in, as the rules of the configuration in force say.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_admission::{
    Admission, Ask, ClassIndex, ClassRule, FleetUsage, PoolRule, Refusal, RetryBudget, Rules, TenantIndex,
    TenantRule, Usage,
};
use bendhinge_configuration::Configuration;
use bendhinge_ids::{ConfigRevision, NameHash, PoolName, TenantName};
use bendhinge_membership::{ClassUsage, Summary, TenantUsage};
use rand::Rng;

use crate::clock;
use crate::membership::{Fleet, FleetPool};
use crate::node::Node;

/// Retries allowed for each first attempt, and the reserve that may be saved up.
const RETRIES_PER_ATTEMPT: f64 = 0.1;
const RETRY_RESERVE: f64 = 10.0;
/// Tenants told of to other routers: those with most in progress or refused.
const CUSTOMERS_TOLD: usize = 16;

/// The state of admission, empty until a configuration is in force.
#[derive(Default)]
pub(crate) struct AdmissionState {
    admission: Option<Admission>,
    revision: ConfigRevision,
    /// What is in progress, by name, so that it can be carried over to a new configuration.
    held: HashMap<(PoolName, TenantName), u32>,
    budgets: HashMap<PoolName, RetryBudget>,
}

/// A request let in; counted out when dropped.
pub(crate) struct Admitted {
    node: Arc<Node>,
    pool: PoolName,
    tenant: TenantName,
    began: bendhinge_ids::Instant,
    whole: bool,
}

impl Admitted {
    /// Notes that the request ran to its end, so that its time counts for later deadlines.
    pub(crate) const fn ran_whole(&mut self) {
        self.whole = true;
    }
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let took = clock::now().since(self.began);
        let fleet = self.node.fleet();
        let mut state = self.node.admission.lock().unwrap();
        let key = (self.pool.clone(), self.tenant.clone());
        if let Some(held) = state.held.get_mut(&key) {
            *held -= 1;
            if *held == 0 {
                state.held.remove(&key);
            }
        }
        // After a change of configuration the pool or the tenant may be gone.
        let (Some(pool), Some(tenant)) = (fleet.pools.get(&self.pool), fleet.tenants.get(&self.tenant))
        else {
            return;
        };
        if let Some(admission) = &mut state.admission {
            admission.finish(pool.index, *tenant, self.whole.then_some(took));
        }
    }
}

/// Decides on a request, and counts it if it is let in.
pub(crate) fn admit(
    node: &Arc<Node>,
    pool: &FleetPool,
    tenant: &TenantName,
    index: TenantIndex,
    deadline: Option<Duration>,
) -> Result<Admitted, Refusal> {
    let spread = rand::rng().random::<f64>();
    let pool_in_progress = node.loads.lock().unwrap().pool_load(&pool.name).in_progress;
    let mut state = node.admission.lock().unwrap();
    if let Some(admission) = &mut state.admission {
        let ask = Ask { pool: pool.index, tenant: index, deadline, pool_in_progress };
        admission.decide(ask, spread)?;
    }
    *state.held.entry((pool.name.clone(), tenant.clone())).or_default() += 1;
    if let Some(budget) = state.budgets.get_mut(&pool.name) {
        budget.attempt();
    }
    drop(state);
    let began = clock::now();
    Ok(Admitted {
        node: Arc::clone(node),
        pool: pool.name.clone(),
        tenant: tenant.clone(),
        began,
        whole: false,
    })
}

/// Takes a retry from the pool's budget; `false` if it is spent.
pub(crate) fn may_retry(node: &Node, pool: &PoolName) -> bool {
    let mut state = node.admission.lock().unwrap();
    state.budgets.get_mut(pool).is_some_and(RetryBudget::retry)
}

/// Follows a new configuration, or new capacity under the same one.
pub(crate) fn follow(node: &Node, fleet: &Fleet) {
    let Some(configuration) = &fleet.configuration else { return };
    let rules = rules(configuration, fleet);
    let mut state = node.admission.lock().unwrap();
    let same = state.admission.as_ref().is_some_and(|admission| *admission.rules() == rules);
    if same && state.revision == configuration.revision {
        return;
    }
    let mut admission = Admission::new(rules, fleet.counting.len());
    for ((pool, tenant), count) in &state.held {
        let pool = fleet.pools.get(pool).map(|pool| pool.index);
        let tenant = fleet.tenants.get(tenant);
        if let (Some(pool), Some(tenant)) = (pool, tenant) {
            admission.carry_over(pool, *tenant, *count);
        }
    }
    state.admission = Some(admission);
    state.revision = configuration.revision;
    for pool in configuration.pools.keys() {
        let budget = || RetryBudget::new(RETRIES_PER_ATTEMPT, RETRY_RESERVE);
        state.budgets.entry(pool.clone()).or_insert_with(budget);
    }
}

fn rules(configuration: &Configuration, fleet: &Fleet) -> Rules {
    let numbered = configuration.classes.keys().enumerate();
    let class_indices: HashMap<_, _> = numbered.map(|(index, name)| (name, index)).collect();
    let classes = configuration.classes.values().map(|class| ClassRule { share: class.share });
    let tenants = configuration.tenants.values().map(|tenant| TenantRule {
        class: ClassIndex(class_indices[&tenant.class]),
        limit: tenant.in_progress,
        share: tenant.share,
    });
    let pools = configuration.pools.iter().map(|(name, rule)| {
        let weight = fleet.pools[name].ranking.serving_weight();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive count far below 2^32"
        )]
        let slots = (weight * f64::from(rule.slots)).round() as u32;
        PoolRule { slots, turn: rule.turn }
    });
    Rules { classes: classes.collect(), tenants: tenants.collect(), pools: pools.collect() }
}

/// Starts a round of dividing free capacity, with what other routers last told.
pub(crate) fn begin_round(node: &Node) {
    let fleet = node.fleet();
    let now = clock::now();
    let summaries: Vec<Summary> = {
        let membership = node.membership.lock().unwrap();
        let counting =
            membership.exchange.summaries(now).filter(|(summary, _)| fleet.counting.contains(&summary.name));
        counting.map(|(summary, _)| summary.clone()).collect()
    };
    let mut state = node.admission.lock().unwrap();
    let Some(admission) = &mut state.admission else { return };
    let mut others = FleetUsage::none(admission.rules());
    for summary in &summaries {
        add_usage(&mut others, summary, &fleet);
    }
    admission.begin_round(&others, fleet.counting.len());
}

fn add_usage(others: &mut FleetUsage, summary: &Summary, fleet: &Fleet) {
    for usage in &summary.classes {
        let pool = fleet.names.pools.get(&usage.pool);
        let class = fleet.names.classes.get(&usage.class);
        if let (Some(pool), Some(class)) = (pool, class) {
            others.add_class(*pool, ClassIndex(*class), spoken(usage.in_progress, usage.refused));
        }
    }
    for usage in &summary.tenants {
        let pool = fleet.names.pools.get(&usage.pool);
        let tenant = fleet.names.tenants.get(&usage.tenant);
        if let (Some(pool), Some(tenant)) = (pool, tenant) {
            others.add_tenant(*pool, *tenant, spoken(usage.in_progress, usage.refused));
        }
    }
}

const fn spoken(in_progress: u16, refused: u16) -> Usage {
    Usage { in_progress: in_progress as u32, refused: refused as u32 }
}

/// What other routers are told of this one's usage.
#[derive(Debug, Default)]
pub(crate) struct UsageToTell {
    pub(crate) classes: Vec<ClassUsage>,
    pub(crate) tenants: Vec<TenantUsage>,
}

/// This router's usage: all classes, and the busiest tenants.
pub(crate) fn usage_to_tell(node: &Node) -> UsageToTell {
    let fleet = node.fleet();
    let Some(configuration) = &fleet.configuration else { return UsageToTell::default() };
    let state = node.admission.lock().unwrap();
    let Some(admission) = &state.admission else { return UsageToTell::default() };
    let mut told = UsageToTell::default();
    for (pool, usage) in configuration.pools.keys().zip(&admission.own().pools) {
        let pool = NameHash::of(pool.as_str());
        let classes =
            configuration.classes.keys().zip(&usage.classes).filter(|(_, usage)| usage.wanted() > 0);
        told.classes.extend(classes.map(|(class, usage)| ClassUsage {
            pool,
            class: NameHash::of(class.as_str()),
            in_progress: short(usage.in_progress),
            refused: short(usage.refused),
        }));
        let tenants = usage.tenants.iter().filter(|(_, usage)| usage.wanted() > 0);
        told.tenants.extend(tenants.filter_map(|(index, usage)| {
            let tenant = *fleet.names.tenant_hashes.get(index.0)?;
            Some(TenantUsage {
                pool,
                tenant,
                in_progress: short(usage.in_progress),
                refused: short(usage.refused),
            })
        }));
    }
    drop(state);
    told.tenants.sort_by_key(|usage| std::cmp::Reverse(usage.in_progress.saturating_add(usage.refused)));
    told.tenants.truncate(CUSTOMERS_TOLD);
    told
}

fn short(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
