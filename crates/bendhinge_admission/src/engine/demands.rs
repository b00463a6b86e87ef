//! Demands of priorities and customers in work.

use std::collections::BTreeMap;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use super::EngineRequest;
use crate::{DecayingRate, Requester};

/// Time constant of demands. A burst has to show within a second; the sum over the fleet is smooth nevertheless.
const TIME_CONSTANT: Duration = Duration::from_secs(1);
/// Number of customers of all priorities that a box counts separately.
const MAX_CUSTOMERS: usize = 256;
/// Demand below which a customer is forgotten, in slot-seconds per second.
const MIN_DEMAND: f32 = 0.002;

/// Key of a demand that boxes share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct DemandKey {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Customer, or `None` for all customers together.
    pub customer: Option<NameHash>,
}

/// Demand of a priority at this box.
#[derive(Clone, Copy, Debug)]
struct PriorityDemand {
    all: DecayingRate,
    retried: DecayingRate,
    /// Shortest recent target latency.
    target_latency: Duration,
}

/// Demands at this box.
#[derive(Debug, Default)]
pub(crate) struct EngineDemands {
    priorities: BTreeMap<u8, PriorityDemand>,
    customers: FxHashMap<Requester, DecayingRate>,
}

/// Demand of a priority in the whole fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetDemand {
    pub(crate) priority: u8,
    /// Demand of all customers.
    pub(crate) all: f64,
    /// Demands of the customers that this box knows.
    pub(crate) customers: Vec<(NameHash, f64)>,
    /// Target latency of its requests.
    pub(crate) target_latency: Duration,
}

impl EngineDemands {
    /// Records a request that needs `work` slot-seconds.
    pub(crate) fn record(&mut self, request: &EngineRequest, work: f64, now: Instant) {
        #[expect(clippy::cast_possible_truncation, reason = "seconds need no more precision")]
        let work = work as f32;
        let new = DecayingRate::new(TIME_CONSTANT);
        let target_latency = request.target_latency;
        let priority = self.priorities.entry(request.requester.priority);
        let priority = priority.or_insert(PriorityDemand { all: new, retried: new, target_latency });
        priority.all.record_amount(work, now);
        priority.target_latency = recent_minimum(priority.target_latency, target_latency);
        if request.is_retry() {
            priority.retried.record_amount(work, now);
        }
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(&request.requester) {
            self.remove_lightest(now);
        }
        self.customers.entry(request.requester).or_insert(new).record_amount(work, now);
    }

    fn remove_lightest(&mut self, now: Instant) {
        let demands = self.customers.iter();
        let lightest =
            demands.min_by(|left, right| left.1.per_second(now).total_cmp(&right.1.per_second(now)));
        if let Some(requester) = lightest.map(|(requester, _)| *requester) {
            self.customers.remove(&requester);
        }
    }

    /// Returns the fraction of a priority's demand that callers retry.
    pub(crate) fn retried_fraction(&self, priority: u8, now: Instant) -> f64 {
        let Some(demand) = self.priorities.get(&priority) else { return 0.0 };
        let all = f64::from(demand.all.per_second(now));
        if all > 0.0 { (f64::from(demand.retried.per_second(now)) / all).clamp(0.0, 1.0) } else { 0.0 }
    }

    /// Returns the demands of this box, the heaviest first.
    pub(crate) fn own(&self, now: Instant) -> Vec<(DemandKey, f32)> {
        let priorities = self.priorities.iter().map(|(priority, demand)| {
            (DemandKey { priority: *priority, customer: None }, demand.all.per_second(now))
        });
        let customers = self.customers.iter().map(|(requester, demand)| {
            let key = DemandKey { priority: requester.priority, customer: Some(requester.customer) };
            (key, demand.per_second(now))
        });
        let mut figures: Vec<_> =
            priorities.chain(customers).filter(|figure| figure.1 > MIN_DEMAND).collect();
        figures.sort_by(|left, right| right.1.total_cmp(&left.1));
        figures
    }

    /// Returns the demands of the fleet, the most urgent first.
    ///
    /// Without totals, the other boxes are assumed to have the same demands as this one. A key that is missing from
    /// the totals is too light to be shared.
    pub(crate) fn of_fleet(
        &self,
        totals: &dyn Fn(DemandKey) -> Option<f32>,
        router_count: u32,
        now: Instant,
    ) -> Vec<FleetDemand> {
        let total = |key: DemandKey| totals(key).filter(|total| total.is_finite() && *total >= 0.0);
        let is_shared = self
            .priorities
            .keys()
            .any(|priority| total(DemandKey { priority: *priority, customer: None }).is_some());
        let scale = if is_shared { 1.0 } else { f64::from(router_count.max(1)) };
        let of_fleet = |key: DemandKey, own: f32| {
            total(key).map_or(f64::from(own) * scale, |total| f64::from(total.max(own)))
        };
        let mut demands: Vec<FleetDemand> = Vec::with_capacity(self.priorities.len());
        for (priority, demand) in &self.priorities {
            let key = DemandKey { priority: *priority, customer: None };
            let all = of_fleet(key, demand.all.per_second(now));
            let customers = Vec::new();
            demands.push(FleetDemand {
                priority: *priority,
                all,
                customers,
                target_latency: demand.target_latency,
            });
        }
        for (requester, demand) in &self.customers {
            let key = DemandKey { priority: requester.priority, customer: Some(requester.customer) };
            let amount = of_fleet(key, demand.per_second(now));
            if let Ok(index) = demands.binary_search_by_key(&requester.priority, |demand| demand.priority) {
                demands[index].customers.push((requester.customer, amount));
            }
        }
        demands
    }

    pub(crate) fn prune(&mut self, now: Instant) {
        self.customers.retain(|_, demand| demand.per_second(now) > MIN_DEMAND);
        self.priorities.retain(|_, demand| demand.all.per_second(now) > MIN_DEMAND);
    }
}

/// Returns a minimum that slowly approaches larger values.
fn recent_minimum(minimum: Duration, value: Duration) -> Duration {
    const APPROACH_FRACTION: f64 = 0.02;
    value.min(minimum + value.saturating_sub(minimum).mul_f64(APPROACH_FRACTION))
}
