//! Paces the requests of this gateway to pools of upstreams that do not report their load.

use std::sync::Mutex;
use std::time::Duration;

use bendhinge_admission::{Pacer, PacingDecision, Requester};
use bendhinge_ids::{Instant, NameHash, PoolName};
use rand::Rng;
use rustc_hash::FxHashMap;

use crate::log::Log;

/// The pacers of this gateway, one for each pool.
pub(crate) struct Pacing {
    pacers: Mutex<FxHashMap<PoolName, Pacer>>,
    log: Log,
}

impl Pacing {
    pub(crate) fn new(log: Log) -> Self {
        Self { pacers: Mutex::default(), log }
    }

    /// Admits or refuses a request before it is sent.
    pub(crate) fn decide(&self, pool: &PoolName, requester: Requester) -> PacingDecision {
        let now = bendhinge_clock::now();
        let jitter = rand::rng().random();
        self.update(pool, |pacer| pacer.decide(requester, jitter, now))
    }

    /// Records a response to a request that was received at `received_at`.
    pub(crate) fn record_response(&self, pool: &PoolName, received_at: Instant, target_latency: Duration) {
        let now = bendhinge_clock::now();
        self.update(pool, |pacer| pacer.record_response(now.since(received_at), target_latency, now));
    }

    /// Records that an upstream rejected a request. `upstream_count` is the number of upstreams of the pool
    /// that accept work.
    pub(crate) fn record_rejection(&self, pool: &PoolName, upstream: NameHash, upstream_count: usize) {
        self.update(pool, |pacer| pacer.record_rejection(upstream, upstream_count, bendhinge_clock::now()));
    }

    /// Removes customers without recent requests.
    pub(crate) fn prune(&self) {
        let now = bendhinge_clock::now();
        self.pacers.lock().unwrap().values_mut().for_each(|pacer| pacer.prune(now));
    }

    fn update<T>(&self, pool: &PoolName, operation: impl FnOnce(&mut Pacer) -> T) -> T {
        let mut pacers = self.pacers.lock().unwrap();
        let pacer = match pacers.get_mut(pool) {
            Some(pacer) => pacer,
            None => pacers.entry(pool.clone()).or_default(),
        };
        let was_limited = pacer.rate_limit().is_some();
        let result = operation(pacer);
        let rate_limit = pacer.rate_limit();
        drop(pacers);
        if rate_limit.is_some() != was_limited {
            self.log.rate_limit_changed(pool, rate_limit);
        }
        result
    }
}
