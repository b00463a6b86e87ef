//! This gateway's pace towards pools of plain upstreams, which say nothing of their load.

use std::sync::Mutex;
use std::time::Duration;

use bendhinge_admission::{Pacer, PacingDecision, Requester};
use bendhinge_ids::{Instant, NameHash, PoolName};
use rand::Rng;
use rustc_hash::FxHashMap;

use crate::log::Log;

/// The pace towards each pool.
pub(crate) struct Pacing {
    pacers: Mutex<FxHashMap<PoolName, Pacer>>,
    log: Log,
}

impl Pacing {
    pub(crate) fn new(log: Log) -> Self {
        Self { pacers: Mutex::default(), log }
    }

    /// Decides on a request before it is sent anywhere.
    pub(crate) fn decide(&self, pool: &PoolName, asker: Requester) -> PacingDecision {
        let now = bendhinge_clock::now();
        let spread = rand::rng().random();
        self.with(pool, |pacer| pacer.decide(asker, spread, now))
    }

    /// Notes an answer to a request that came at `began`.
    pub(crate) fn answered(&self, pool: &PoolName, began: Instant, target: Duration) {
        let now = bendhinge_clock::now();
        self.with(pool, |pacer| pacer.record_response(now.since(began), target, now));
    }

    /// Notes that one of the pool's `upstreams` that take work turned a request away.
    pub(crate) fn turned_away(&self, pool: &PoolName, by: NameHash, upstreams: usize) {
        self.with(pool, |pacer| pacer.record_rejection(by, upstreams, bendhinge_clock::now()));
    }

    /// Forgets customers that ask for nothing.
    pub(crate) fn prune(&self) {
        let now = bendhinge_clock::now();
        self.pacers.lock().unwrap().values_mut().for_each(|pacer| pacer.prune(now));
    }

    fn with<T>(&self, pool: &PoolName, act: impl FnOnce(&mut Pacer) -> T) -> T {
        let mut pacers = self.pacers.lock().unwrap();
        let pacer = match pacers.get_mut(pool) {
            Some(pacer) => pacer,
            None => pacers.entry(pool.clone()).or_default(),
        };
        let was_paced = pacer.rate_limit().is_some();
        let result = act(pacer);
        let pace = pacer.rate_limit();
        drop(pacers);
        if pace.is_some() != was_paced {
            self.log.rate_limit_changed(pool, pace);
        }
        result
    }
}
