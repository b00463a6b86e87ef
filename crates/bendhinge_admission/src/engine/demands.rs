//! Demands of priorities and customers in work.

use std::collections::BTreeMap;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use super::{EnginePoolLoad, EngineRequest, REPORT_AGE};
use crate::{DecayingRate, Requester};

/// Time constant of demands. A burst has to show well within a second; the sum over the fleet is smooth nevertheless.
const TIME_CONSTANT: Duration = Duration::from_millis(350);
/// Time constant of the fraction of retries. Long enough to contain a request and its retry.
const RETRIES_TIME_CONSTANT: Duration = Duration::from_secs(4);
/// Time constant with which a box learns its part in the fleet's demand.
const OWN_PART_TIME_CONSTANT: Duration = Duration::from_secs(8);
/// Time constant of the arrivals by which a box notices a burst before reports show it.
const BURST_TIME_CONSTANT: Duration = Duration::from_millis(300);
/// Bound of the growth that is expected of the whole fleet.
const MAX_GROWTH: f64 = 10.0;
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

/// Demand of a customer in a priority at this box.
#[derive(Clone, Copy, Debug)]
struct CustomerDemand {
    all: DecayingRate,
    /// Numbers of requests and of those among them that are retries.
    requests: DecayingRate,
    retries: DecayingRate,
}

impl Default for CustomerDemand {
    fn default() -> Self {
        let count = DecayingRate::new(RETRIES_TIME_CONSTANT);
        Self { all: DecayingRate::new(TIME_CONSTANT), requests: count, retries: count }
    }
}

/// Part of this box in the fleet's demand, learned while all is admitted: the requests that engines then have in
/// progress are what the fleet demands.
#[derive(Debug)]
struct OwnPart {
    own: DecayingRate,
    slots_in_use: f64,
    /// Time since the first observation matters as little for the ratio as for its parts, which start at zero together.
    updated_at: Option<Instant>,
    fleet_per_own: Option<f64>,
    /// Requests per second at present and while the pool was far from its limit.
    arrivals: DecayingRate,
    calm_arrivals: DecayingRate,
}

impl Default for OwnPart {
    fn default() -> Self {
        let own = DecayingRate::new(OWN_PART_TIME_CONSTANT);
        Self {
            own,
            slots_in_use: 0.0,
            updated_at: None,
            fleet_per_own: None,
            arrivals: DecayingRate::new(BURST_TIME_CONSTANT),
            calm_arrivals: DecayingRate::new(OWN_PART_TIME_CONSTANT),
        }
    }
}

impl OwnPart {
    /// Records a request for `work` while the pool is far from its limit.
    fn record_calm(&mut self, work: f32, pool: &EnginePoolLoad, now: Instant) {
        self.own.record_amount(work, now);
        self.calm_arrivals.record(now);
        let elapsed = self.updated_at.map_or(0.0, |at| now.since(at).as_secs_f64());
        let weight = 1.0 - (-elapsed / OWN_PART_TIME_CONSTANT.as_secs_f64()).exp();
        self.slots_in_use += weight * (f64::from(pool.in_progress) - self.slots_in_use);
        self.updated_at = Some(now);
        let own = f64::from(self.own.per_second(now));
        self.fleet_per_own = (own > 0.0 && self.slots_in_use > 0.0).then(|| self.slots_in_use / own);
    }

    /// Returns the requests in progress, relative to the slots, by which reports lag behind a burst, from the burst
    /// that this box sees itself.
    fn unreported(&self, pool: &EnginePoolLoad, slot_secs: f64, now: Instant) -> f64 {
        /// Standard deviations by which arrivals have to exceed the usual.
        const SIGNIFICANCE: f64 = 2.0;
        let Some(at) = self.updated_at else { return 0.0 };
        let counted = f64::from(self.arrivals.per_second(now)) * 2.0 * BURST_TIME_CONSTANT.as_secs_f64();
        let surely = (counted - SIGNIFICANCE * counted.sqrt()) / (2.0 * BURST_TIME_CONSTANT.as_secs_f64());
        let growth = surely / f64::from(self.calm_arrivals.per_second(at)).max(f64::MIN_POSITIVE);
        if growth <= 1.0 || pool.slots == 0 {
            return 0.0;
        }
        let inflow = growth.min(MAX_GROWTH) * self.slots_in_use / f64::from(pool.slots);
        (inflow - pool.slots_in_use()).max(0.0) * REPORT_AGE.as_secs_f64() / slot_secs
    }

    /// Returns the demand of the fleet relative to that of this box.
    fn scale(&self, router_count: u32) -> f64 {
        /// Bound on the difference between boxes.
        const MAX_RATIO: f64 = 20.0;
        let router_count = f64::from(router_count.max(1));
        let learned = self.fleet_per_own.unwrap_or(router_count);
        learned.clamp((router_count / MAX_RATIO).max(1.0), router_count * MAX_RATIO)
    }
}

/// Demands at this box.
#[derive(Debug, Default)]
pub(crate) struct EngineDemands {
    own_part: OwnPart,
    priorities: BTreeMap<u8, DecayingRate>,
    customers: FxHashMap<Requester, CustomerDemand>,
}

/// Demand of a priority in the whole fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetDemand {
    pub(crate) priority: u8,
    /// Demand of all customers.
    pub(crate) all: f64,
    /// Demands of the customers that this box knows.
    pub(crate) customers: Vec<(NameHash, f64)>,
}

impl EngineDemands {
    /// Records a request that needs `work` slot-seconds.
    pub(crate) fn record(&mut self, request: &EngineRequest, work: f64, now: Instant) {
        #[expect(clippy::cast_possible_truncation, reason = "seconds need no more precision")]
        let work = work as f32;
        self.own_part.arrivals.record(now);
        let priority = self.priorities.entry(request.requester.priority);
        priority.or_insert(DecayingRate::new(TIME_CONSTANT)).record_amount(work, now);
        if self.customers.len() >= MAX_CUSTOMERS && !self.customers.contains_key(&request.requester) {
            self.remove_lightest(now);
        }
        let customer = self.customers.entry(request.requester).or_default();
        customer.all.record_amount(work, now);
        customer.requests.record(now);
        if request.is_retry() {
            customer.retries.record(now);
        }
    }

    /// Records a request for `work` while the pool is far from its limit.
    pub(crate) fn record_calm(&mut self, work: f64, pool: &EnginePoolLoad, now: Instant) {
        #[expect(clippy::cast_possible_truncation, reason = "seconds need no more precision")]
        self.own_part.record_calm(work as f32, pool, now);
    }

    /// Returns the requests in progress, relative to the slots, by which reports probably lag behind.
    pub(crate) fn unreported(&self, pool: &EnginePoolLoad, slot_secs: f64, now: Instant) -> f64 {
        self.own_part.unreported(pool, slot_secs, now)
    }

    fn remove_lightest(&mut self, now: Instant) {
        let demands = self.customers.iter();
        let lightest =
            demands.min_by(|left, right| left.1.all.per_second(now).total_cmp(&right.1.all.per_second(now)));
        if let Some(requester) = lightest.map(|(requester, _)| *requester) {
            self.customers.remove(&requester);
        }
    }

    /// Returns the fraction of a customer's requests that are retries.
    ///
    /// This is counted by customer: one whose callers retry at once must not change how those of others are treated.
    pub(crate) fn retried_fraction(&self, requester: Requester, now: Instant) -> f64 {
        let Some(demand) = self.customers.get(&requester) else { return 0.0 };
        let requests = f64::from(demand.requests.per_second(now));
        if requests > 0.0 {
            (f64::from(demand.retries.per_second(now)) / requests).clamp(0.0, 1.0)
        } else {
            0.0
        }
    }

    /// Returns the demands of this box, the heaviest first.
    pub(crate) fn own(&self, now: Instant) -> Vec<(DemandKey, f32)> {
        let priorities = self.priorities.iter().map(|(priority, demand)| {
            (DemandKey { priority: *priority, customer: None }, demand.per_second(now))
        });
        let customers = self.customers.iter().map(|(requester, demand)| {
            let key = DemandKey { priority: requester.priority, customer: Some(requester.customer) };
            (key, demand.all.per_second(now))
        });
        let mut figures: Vec<_> =
            priorities.chain(customers).filter(|figure| figure.1 > MIN_DEMAND).collect();
        figures.sort_by(|left, right| right.1.total_cmp(&left.1));
        figures
    }

    /// Returns the demands of the fleet, the most urgent first.
    ///
    /// Without totals, the demands of this box are extrapolated, also as long as totals may lack those of other boxes.
    /// A key that is missing from complete totals is too light to be shared.
    pub(crate) fn of_fleet(
        &self,
        totals: &dyn Fn(DemandKey) -> Option<f32>,
        are_complete: bool,
        router_count: u32,
        now: Instant,
    ) -> Vec<FleetDemand> {
        let total = |key: DemandKey| totals(key).filter(|total| total.is_finite() && *total >= 0.0);
        let is_shared = self
            .priorities
            .keys()
            .any(|priority| total(DemandKey { priority: *priority, customer: None }).is_some());
        let scale = if is_shared && are_complete { 1.0 } else { self.own_part.scale(router_count) };
        let of_fleet =
            |key: DemandKey, own: f32| (f64::from(own) * scale).max(f64::from(total(key).unwrap_or(0.0)));
        let mut demands: Vec<FleetDemand> = Vec::with_capacity(self.priorities.len());
        for (priority, demand) in &self.priorities {
            let key = DemandKey { priority: *priority, customer: None };
            let all = of_fleet(key, demand.per_second(now));
            demands.push(FleetDemand { priority: *priority, all, customers: Vec::new() });
        }
        for (requester, demand) in &self.customers {
            let key = DemandKey { priority: requester.priority, customer: Some(requester.customer) };
            let amount = of_fleet(key, demand.all.per_second(now));
            if let Ok(index) = demands.binary_search_by_key(&requester.priority, |demand| demand.priority) {
                demands[index].customers.push((requester.customer, amount));
            }
        }
        demands
    }

    pub(crate) fn prune(&mut self, now: Instant) {
        self.customers.retain(|_, demand| demand.all.per_second(now) > MIN_DEMAND);
        self.priorities.retain(|_, demand| demand.per_second(now) > MIN_DEMAND);
    }
}
