//! Choice among the upstreams of plain pools, by response times that all gateways share.

use std::time::Duration;

use bendhinge_fleet::{ExpectedResponse, Figure, FleetTotals, ResponseTimes};
use bendhinge_ids::{Instant, NameHash, PoolName};
use bendhinge_placement::{Candidate, Choice, ChoiceReason, Distance, PlainCandidate, choose_plain};
use rustc_hash::FxHashMap;

use super::upstreams::UpstreamView;
use crate::totals::SharedTotals;

/// An upstream whose issuer of permits refused one for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedPermit {
    pub(crate) upstream: NameHash,
    /// The number of requests there.
    pub(crate) in_progress: u32,
}

/// An upstream of a plain pool chosen for a request.
pub(super) struct ChosenPlain {
    pub(super) choice: Choice,
    /// The number of requests there at which no permit is issued.
    pub(super) permit_limit: u32,
    /// The estimated number of requests of all gateways in progress at the upstream.
    pub(super) in_progress: f32,
    /// The age of the fleet totals that the estimate is based on.
    pub(super) totals_age: Duration,
    /// The number of gateways that the totals contain.
    pub(super) totals_gateways: u32,
}

/// Response times of the plain pools.
#[derive(Default)]
pub(super) struct PlainPools(FxHashMap<PoolName, ResponseTimes>);

impl PlainPools {
    fn pool(&mut self, pool: &PoolName) -> &mut ResponseTimes {
        self.0.entry(pool.clone()).or_insert_with(|| ResponseTimes::new(NameHash::of(pool.as_str())))
    }

    /// Chooses an upstream by its expected response time. Distances count if `prefers_local`.
    pub(super) fn choose(
        &mut self,
        pool: &PoolName,
        candidates: &[Candidate],
        prefers_local: bool,
        refused: &[RefusedPermit],
        totals: &SharedTotals,
        tie_breaker: u64,
    ) -> Option<ChosenPlain> {
        let now = bendhinge_clock::now();
        let times = self.pool(pool);
        let (expected, totals_gateways): (Vec<ExpectedResponse>, u32) = totals.with(|totals| {
            let expected = |candidate: &Candidate| times.expected(candidate.upstream, totals, now);
            (candidates.iter().map(expected).collect(), totals.router_count(now))
        });
        let plain = candidates.iter().zip(&expected).map(|(candidate, expected)| {
            let refusal = refused.iter().find(|refused| refused.upstream == candidate.upstream);
            PlainCandidate {
                upstream: candidate.upstream,
                in_progress: refusal.map_or(expected.in_progress, |refused| refused.in_progress as f32),
                own_in_progress: expected.own_in_progress,
                response_time: expected.response_time,
                failure_rate: candidate.failure_rate,
                takes_work: candidate.takes_work,
                is_at_limit: refusal.is_some(),
                counts_in_mean: candidate.counts_in_mean,
                distance: if prefers_local { candidate.distance } else { Distance::Local },
            }
        });
        let plain: Vec<PlainCandidate> = plain.collect();
        let chosen = choose_plain(&plain, tie_breaker)?;
        let counted = plain.iter().filter(|candidate| candidate.counts_in_mean);
        let (count, total) = counted.fold((0.0_f32, 0.0_f32), |(count, total), candidate| {
            (count + 1.0, total + candidate.in_progress)
        });
        let choice = Choice {
            candidate: chosen.candidate,
            fetch_source: None,
            reason: ChoiceReason::LeastCost,
            cost: 0.0,
            missing_tokens: 0,
            mean_load: total / count.max(1.0),
            homes: 1,
        };
        let ExpectedResponse { in_progress, totals_age, .. } = expected[chosen.candidate];
        let permit_limit = chosen.limit;
        Some(ChosenPlain { choice, permit_limit, in_progress, totals_age, totals_gateways })
    }

    pub(super) fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.0.keys()
    }

    /// Estimates the number of requests of all gateways in progress at an upstream.
    pub(super) fn in_progress(
        &self,
        pool: &PoolName,
        upstream: NameHash,
        totals: &FleetTotals,
        now: Instant,
    ) -> Option<f32> {
        Some(self.0.get(pool)?.expected(upstream, totals, now).in_progress)
    }

    pub(super) fn start(&mut self, pool: &PoolName, upstream: NameHash, now: Instant) {
        self.pool(pool).start(upstream, now);
    }

    pub(super) fn record_exact_count(
        &mut self,
        pool: &PoolName,
        upstream: NameHash,
        in_progress: u32,
        now: Instant,
    ) {
        self.pool(pool).record_exact_count(upstream, in_progress, now);
    }

    /// Records the end of a send; `response_time` is `None` if there was no response.
    pub(super) fn end(
        &mut self,
        pool: &PoolName,
        upstream: NameHash,
        response_time: Option<Duration>,
        now: Instant,
    ) {
        if let Some(times) = self.0.get_mut(pool) {
            times.end(upstream, response_time, now);
        }
    }

    pub(super) fn retain_listed(&mut self, listed: impl Fn(NameHash) -> bool) {
        self.0.values_mut().for_each(|times| times.retain_listed(&listed));
    }
}

impl UpstreamView {
    /// Returns this gateway's part of the response times of all plain pools.
    pub(crate) fn response_time_figures(&self, now: Instant) -> Vec<Figure> {
        let plain = self.plain.lock().unwrap();
        plain.0.values().flat_map(|times| times.own_figures(now)).collect()
    }

    /// Records the number of requests of all gateways in progress at an upstream, as the issuer of its permits counts them.
    pub(crate) fn record_exact_count(&self, pool: &PoolName, upstream: NameHash, in_progress: u32) {
        let now = bendhinge_clock::now();
        self.plain.lock().unwrap().record_exact_count(pool, upstream, in_progress, now);
    }

    /// Returns how long to wait for a response of a plain pool before a hedge is sent; `None` if a hedge is not expected
    /// to be in time.
    pub(crate) fn plain_hedge_delay(&self, pool: &PoolName, target_latency: Duration) -> Option<Duration> {
        let now = bendhinge_clock::now();
        let plain = self.plain.lock().unwrap();
        let times = plain.0.get(pool)?;
        self.totals.with(|totals| times.hedge_delay(target_latency, totals, now))
    }
}
