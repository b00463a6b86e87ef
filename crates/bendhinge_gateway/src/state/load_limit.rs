//! Whether the upstreams of a pool are close to the load limit.

use bendhinge_fleet::{ListedUpstream, UpstreamHealth};
use bendhinge_ids::{Instant, NameHash, PoolName};
use bendhinge_placement::UpstreamUsage;

use super::upstreams::{State, UpstreamView};

impl UpstreamView {
    /// Whether the upstreams that take requests are close to the load limit on average, in any pool whose load is known.
    pub(crate) fn is_any_pool_near_load_limit(&self, now: Instant) -> bool {
        let state = self.state.lock().unwrap();
        let plain = self.plain.lock().unwrap();
        let is_engine_pool_near = |pool| {
            let usage = state.usage(pool, now, |_| None);
            self.costs.is_near_load_limit(usage.into_iter())
        };
        let is_plain_pool_near = |pool| {
            let usage = self.totals.with(|totals| {
                state.usage(pool, now, |upstream| plain.in_progress(pool, upstream, totals, now))
            });
            self.costs.is_near_load_limit(usage.into_iter())
        };
        state.engines.work.keys().any(is_engine_pool_near) || plain.pools().any(is_plain_pool_near)
    }
}

impl State {
    /// Returns the usage of the upstreams that count in the mean load of a pool. `shared_count` takes precedence over
    /// reported loads.
    fn usage(
        &self,
        pool: &PoolName,
        now: Instant,
        shared_count: impl Fn(NameHash) -> Option<f32>,
    ) -> Vec<UpstreamUsage> {
        let listed = || self.directory.upstreams().iter().filter(|listed| listed.entry.pool == *pool);
        let mean_load = self.loads.mean_other_requests(listed().map(|listed| listed.entry.hash), now);
        let usage = |listed: &ListedUpstream| {
            let health = self.outlier_detector.health(listed.entry.hash, now);
            let is_healthy = matches!(health, UpstreamHealth::Healthy { .. });
            self.counts_in_mean(listed, health, now).then(|| UpstreamUsage {
                load: shared_count(listed.entry.hash)
                    .unwrap_or_else(|| self.estimated_load(listed, mean_load, now)),
                takes_requests: is_healthy
                    && self.is_available(listed, now)
                    && !listed.gets_few_requests(now),
            })
        };
        listed().filter_map(usage).collect()
    }
}
