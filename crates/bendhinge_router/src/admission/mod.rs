//! The duty of admission: what is let in, as the rules of the configuration in force say.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_admission::{
    AdmissionController, AdmissionRequest, AdmissionRules, ClassIndex, ClassRule, CustomerIndex,
    CustomerRule, FleetUsage, PoolRule, Refusal, RetryBudget, Usage,
};
use bendhinge_configuration::Configuration;
use bendhinge_ids::{ConfigRevision, CustomerName, NameHash, PoolName};
use bendhinge_membership::{ClassUsage, CustomerUsage, Summary};
use rand::Rng;

use crate::membership::{Fleet, FleetPool};
use crate::node::Node;

/// Retries allowed for each first attempt, and the reserve that may be saved up.
const RETRIES_PER_ATTEMPT: f64 = 0.1;
const RETRY_RESERVE: f64 = 10.0;
/// Customers told of to other routers: those with most in progress or refused.
const CUSTOMERS_TOLD: usize = 16;

/// The state of admission, empty until a configuration is in force.
#[derive(Default)]
pub(crate) struct AdmissionState {
    admission: Option<AdmissionController>,
    revision: ConfigRevision,
    /// What is in progress, by name, so that it can be carried over to a new configuration.
    held: HashMap<(PoolName, CustomerName), u32>,
    budgets: HashMap<PoolName, RetryBudget>,
}

/// A request let in; counted out when dropped.
pub(crate) struct Admitted {
    node: Arc<Node>,
    pool: PoolName,
    customer: CustomerName,
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
        let took = bendhinge_clock::now().since(self.began);
        let fleet = self.node.fleet();
        let mut state = self.node.admission.lock().unwrap();
        let key = (self.pool.clone(), self.customer.clone());
        if let Some(held) = state.held.get_mut(&key) {
            *held -= 1;
            if *held == 0 {
                state.held.remove(&key);
            }
        }
        // After a change of configuration the pool or the customer may be gone.
        let (Some(pool), Some(customer)) = (fleet.pools.get(&self.pool), fleet.customers.get(&self.customer))
        else {
            return;
        };
        if let Some(admission) = &mut state.admission {
            admission.finish(pool.index, *customer, self.whole.then_some(took));
        }
    }
}

/// Decides on a request, and counts it if it is let in.
pub(crate) fn admit(
    node: &Arc<Node>,
    pool: &FleetPool,
    customer: &CustomerName,
    index: CustomerIndex,
    deadline: Option<Duration>,
) -> Result<Admitted, Refusal> {
    let spread = rand::rng().random::<f64>();
    let pool_in_progress = node.loads.lock().unwrap().pool_load(&pool.name).in_progress;
    let mut state = node.admission.lock().unwrap();
    if let Some(admission) = &mut state.admission {
        let ask = AdmissionRequest { pool: pool.index, customer: index, deadline, pool_in_progress };
        admission.decide(ask, spread)?;
    }
    *state.held.entry((pool.name.clone(), customer.clone())).or_default() += 1;
    if let Some(budget) = state.budgets.get_mut(&pool.name) {
        budget.record_attempt();
    }
    drop(state);
    let began = bendhinge_clock::now();
    Ok(Admitted {
        node: Arc::clone(node),
        pool: pool.name.clone(),
        customer: customer.clone(),
        began,
        whole: false,
    })
}

/// Takes a retry from the pool's budget; `false` if it is spent.
pub(crate) fn may_retry(node: &Node, pool: &PoolName) -> bool {
    let mut state = node.admission.lock().unwrap();
    state.budgets.get_mut(pool).is_some_and(RetryBudget::try_retry)
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
    let mut admission = AdmissionController::new(rules, fleet.counting.len());
    for ((pool, customer), count) in &state.held {
        let pool = fleet.pools.get(pool).map(|pool| pool.index);
        let customer = fleet.customers.get(customer);
        if let (Some(pool), Some(customer)) = (pool, customer) {
            admission.carry_over(pool, *customer, *count);
        }
    }
    state.admission = Some(admission);
    state.revision = configuration.revision;
    for pool in configuration.pools.keys() {
        let budget = || RetryBudget::new(RETRIES_PER_ATTEMPT, RETRY_RESERVE);
        state.budgets.entry(pool.clone()).or_insert_with(budget);
    }
}

fn rules(configuration: &Configuration, fleet: &Fleet) -> AdmissionRules {
    let numbered = configuration.classes.keys().enumerate();
    let class_indices: HashMap<_, _> = numbered.map(|(index, name)| (name, index)).collect();
    let classes = configuration.classes.values().map(|class| ClassRule { share: class.share });
    let customers = configuration.customers.values().map(|customer| CustomerRule {
        class: ClassIndex(class_indices[&customer.class]),
        limit: customer.max_in_progress,
        share: customer.share,
    });
    let pools = configuration.pools.iter().map(|(name, rule)| {
        let weight = fleet.pools[name].ranking.serving_weight();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive count far below 2^32"
        )]
        let slots = (weight * f64::from(rule.slots)).round() as u32;
        PoolRule { slots, initial_service_time: rule.typical_turn }
    });
    AdmissionRules { classes: classes.collect(), customers: customers.collect(), pools: pools.collect() }
}

/// Starts a round of dividing free capacity, with what other routers last told.
pub(crate) fn begin_round(node: &Node) {
    let fleet = node.fleet();
    let now = bendhinge_clock::now();
    let summaries: Vec<Summary> = {
        let membership = node.membership.lock().unwrap();
        let counting =
            membership.exchange.summaries(now).filter(|(summary, _)| fleet.counting.contains(&summary.name));
        counting.map(|(summary, _)| summary.clone()).collect()
    };
    let mut state = node.admission.lock().unwrap();
    let Some(admission) = &mut state.admission else { return };
    let mut others = FleetUsage::empty(admission.rules());
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
            others.add_class_usage(*pool, ClassIndex(*class), spoken(usage.in_progress, usage.refused));
        }
    }
    for usage in &summary.customers {
        let pool = fleet.names.pools.get(&usage.pool);
        let customer = fleet.names.customers.get(&usage.customer);
        if let (Some(pool), Some(customer)) = (pool, customer) {
            others.add_customer_usage(*pool, *customer, spoken(usage.in_progress, usage.refused));
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
    pub(crate) customers: Vec<CustomerUsage>,
}

/// This router's usage: all classes, and the busiest customers.
pub(crate) fn usage_to_tell(node: &Node) -> UsageToTell {
    let fleet = node.fleet();
    let Some(configuration) = &fleet.configuration else { return UsageToTell::default() };
    let state = node.admission.lock().unwrap();
    let Some(admission) = &state.admission else { return UsageToTell::default() };
    let mut told = UsageToTell::default();
    for (pool, usage) in configuration.pools.keys().zip(&admission.own_usage().pools) {
        let pool = NameHash::of(pool.as_str());
        let classes =
            configuration.classes.keys().zip(&usage.classes).filter(|(_, usage)| usage.demand() > 0);
        told.classes.extend(classes.map(|(class, usage)| ClassUsage {
            pool,
            class: NameHash::of(class.as_str()),
            in_progress: short(usage.in_progress),
            refused: short(usage.refused),
        }));
        let customers = usage.customers.iter().filter(|(_, usage)| usage.demand() > 0);
        told.customers.extend(customers.filter_map(|(index, usage)| {
            let customer = *fleet.names.customer_hashes.get(index.0)?;
            Some(CustomerUsage {
                pool,
                customer,
                in_progress: short(usage.in_progress),
                refused: short(usage.refused),
            })
        }));
    }
    drop(state);
    told.customers.sort_by_key(|usage| std::cmp::Reverse(usage.in_progress.saturating_add(usage.refused)));
    told.customers.truncate(CUSTOMERS_TOLD);
    told
}

fn short(count: u32) -> u16 {
    u16::try_from(count).unwrap_or(u16::MAX)
}
