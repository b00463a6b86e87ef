//! Admission of requests to pools of engines that are nearly full.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_admission::engine::{
    AdmissionRefusal, DemandKey, EngineAdmission, EngineDecision, EnginePoolLoad, EngineRequest, RequestKind,
};
use bendhinge_fleet::{Figure, TotalKey};
use bendhinge_ids::{Instant, NameHash, PoolName};
use rand::Rng;
use rustc_hash::FxHashMap;

use crate::log::Log;
use crate::totals::SharedTotals;

/// Time without refusals after which a pool counts as having room again.
const RECOVERY: Duration = Duration::from_secs(3);

/// Admission to the engine pools of this gateway.
pub(crate) struct Admission {
    pools: Mutex<FxHashMap<PoolName, PoolAdmission>>,
    totals: Arc<SharedTotals>,
    log: Log,
}

#[derive(Default)]
struct PoolAdmission {
    engine: EngineAdmission,
    refusals: Option<Refusals>,
}

/// Refusals since the pool was last known to have room.
struct Refusals {
    last_at: Instant,
    counts: RefusalCounts,
}

/// Numbers of refusals by reason.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RefusalCounts {
    pub(crate) no_room: u32,
    pub(crate) over_share: u32,
    pub(crate) deadline: u32,
}

impl RefusalCounts {
    const fn add(&mut self, reason: AdmissionRefusal) {
        match reason {
            AdmissionRefusal::NoRoom => self.no_room += 1,
            AdmissionRefusal::CustomerOverShare => self.over_share += 1,
            AdmissionRefusal::DeadlineUnreachable => self.deadline += 1,
        }
    }
}

impl Admission {
    pub(crate) fn new(totals: Arc<SharedTotals>, log: Log) -> Self {
        Self { pools: Mutex::default(), totals, log }
    }

    /// Admits or refuses a request before it is sent.
    pub(crate) fn decide(
        &self,
        pool: &PoolName,
        request: &EngineRequest,
        load: &EnginePoolLoad,
    ) -> EngineDecision {
        let now = bendhinge_clock::now();
        let jitter = rand::rng().random();
        let total =
            |key: DemandKey| self.totals.get(demand_total_key(pool, key), now).map(|total| total.value);
        let (decision, has_begun) = self.update(pool, |admission| {
            let decision = admission.engine.decide(request, load, &total, jitter, now);
            (decision, admission.record_decision(decision, now))
        });
        if has_begun {
            self.log.admission_limited(pool, load);
        }
        decision
    }

    /// Records that an engine rejected a request.
    pub(crate) fn record_rejection(&self, pool: &PoolName) {
        let now = bendhinge_clock::now();
        self.update(pool, |admission| admission.engine.record_rejection(now));
    }

    /// Records the first event of a request, `wait` after it was sent.
    pub(crate) fn record_first_event(&self, pool: &PoolName, kind: RequestKind, wait: Duration) {
        let now = bendhinge_clock::now();
        self.update(pool, |admission| admission.engine.record_first_event(kind, wait, now));
    }

    /// Records the end of a complete response `duration` after the request was sent.
    pub(crate) fn record_end(
        &self,
        pool: &PoolName,
        kind: RequestKind,
        first_event: Duration,
        duration: Duration,
    ) {
        self.update(pool, |admission| admission.engine.record_end(kind, first_event, duration));
    }

    /// Returns the demands of this gateway for the totals of the fleet.
    pub(crate) fn own_figures(&self, now: Instant) -> Vec<Figure> {
        let pools = self.pools.lock().unwrap();
        let figures = pools.iter().flat_map(|(pool, admission)| {
            let demands = admission.engine.own_figures(now).into_iter();
            demands.map(move |(key, value)| Figure { key: demand_total_key(pool, key), value })
        });
        figures.collect()
    }

    /// Removes customers without recent requests, and logs the pools that have room again.
    pub(crate) fn prune(&self) {
        let now = bendhinge_clock::now();
        let mut pools = self.pools.lock().unwrap();
        for (pool, admission) in pools.iter_mut() {
            admission.engine.prune(now);
            if let Some(ended) = admission.refusals.take_if(|refusals| now.since(refusals.last_at) > RECOVERY)
            {
                self.log.admission_unlimited(pool, ended.counts);
            }
        }
    }

    fn update<T>(&self, pool: &PoolName, operation: impl FnOnce(&mut PoolAdmission) -> T) -> T {
        let mut pools = self.pools.lock().unwrap();
        match pools.get_mut(pool) {
            Some(admission) => operation(admission),
            None => operation(pools.entry(pool.clone()).or_default()),
        }
    }
}

impl PoolAdmission {
    /// Counts a refusal; returns `true` if it is the first one since the pool had room.
    fn record_decision(&mut self, decision: EngineDecision, now: Instant) -> bool {
        let EngineDecision::Refused { reason, .. } = decision else { return false };
        let has_begun = self.refusals.is_none();
        let refusals =
            self.refusals.get_or_insert(Refusals { last_at: now, counts: RefusalCounts::default() });
        refusals.last_at = now;
        refusals.counts.add(reason);
        has_begun
    }
}

/// Returns the key of a demand in the totals of the fleet.
fn demand_total_key(pool: &PoolName, key: DemandKey) -> TotalKey {
    let customer = key.customer.unwrap_or(NameHash(0));
    TotalKey::of(&[NameHash::of(pool.as_str()), NameHash(u64::from(key.priority)), customer])
}
