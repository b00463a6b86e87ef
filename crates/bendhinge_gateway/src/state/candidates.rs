//! Candidates for a request: the upstreams of a pool with their health and estimated load.

use bendhinge_fleet::{ListedUpstream, PoolReports, UpstreamHealth};
use bendhinge_ids::{Instant, PoolName};
use bendhinge_placement::{Candidate, WarmupLimit};
use bendhinge_routes::RegionFilter;

use super::choice::PlacementRequest;
use super::software::SoftwareRule;
use super::upstreams::State;
use crate::settings::{Location, RegionMap};

/// The failure rate assumed for an upstream that is ejected or may only be probed.
const UNHEALTHY_FAILURE_RATE: f32 = 0.5;

/// The upstreams of a pool that are considered for a request.
pub(super) struct PoolSnapshot<'a> {
    pub(super) listed: Vec<&'a ListedUpstream>,
    /// The candidate of each listed upstream, in the same order.
    pub(super) candidates: Vec<Candidate>,
    /// The recent load reports of the upstreams.
    pub(super) pool_reports: PoolReports,
}

impl State {
    /// Whether requests may be sent to an upstream: it accepts work and has no active backoff.
    pub(super) fn is_available(&self, listed: &ListedUpstream, now: Instant) -> bool {
        listed.accepts_work(now) && self.backoffs.ends_at(listed.entry.hash, now).is_none()
    }

    /// Returns the pool's upstreams in regions that both `allowed` lists permit.
    pub(super) fn upstreams_in_regions(
        &self,
        pool: &PoolName,
        allowed: [&RegionFilter; 2],
        regions: &RegionMap,
    ) -> Vec<&ListedUpstream> {
        let is_allowed = |listed: &&ListedUpstream| {
            let region = regions.get(&listed.entry.data_centre);
            allowed.iter().all(|allowed| allowed.allows(region))
        };
        let in_pool = self.directory.upstreams().iter().filter(|listed| listed.entry.pool == *pool);
        in_pool.filter(is_allowed).collect()
    }

    /// Returns the pool's upstreams in the allowed regions and the matching candidates, which also serve as sources of
    /// cached prompt parts. Ejected upstreams take work only if no other candidate does. Upstreams in a requested
    /// backoff never take work, since sending to them would defeat the backoff when the whole pool is overloaded.
    pub(super) fn candidates(
        &self,
        request: &PlacementRequest<'_>,
        location: &Location,
        uses_work: bool,
        now: Instant,
    ) -> PoolSnapshot<'_> {
        let listed = self.upstreams_in_regions(request.pool, request.regions, &location.regions);
        let pool_reports = self.loads.pool_reports(listed.iter().map(|listed| listed.entry.hash), now);
        let mean_load = pool_reports.mean_other_requests;
        let mut candidates: Vec<Candidate> =
            listed.iter().map(|listed| self.candidate(listed, request, location, mean_load, now)).collect();
        if uses_work && request.prompt.is_some() {
            for candidate in &mut candidates {
                candidate.work = self.candidate_work(request.pool, candidate.upstream, candidate.load, now);
            }
        }
        if !candidates.iter().any(|candidate| candidate.takes_work) {
            // Without any healthy candidate, ejected upstreams are better than none.
            for (candidate, listed) in candidates.iter_mut().zip(&listed) {
                candidate.takes_work = self.is_available(listed, now)
                    && !request.tried.contains(&candidate.upstream)
                    && request.software.allows(listed, candidate.load);
            }
        }
        if let Some(rate) = request.rule.and_then(|rule| rule.warmup_requests_per_second) {
            let demand = self.demand.get(request.pool).map_or(0.0, |demand| demand.per_second(now));
            let warmup_limit = WarmupLimit {
                requests_per_second: rate,
                demand_per_second: demand,
                router_count: self.gateway_count,
            };
            warmup_limit.exclude_warming(&mut candidates, request.tie_breaker);
        }
        if request.software == SoftwareRule::Settled {
            self.exclude_new_software(request.pool, &listed, &mut candidates, now);
        }
        PoolSnapshot { listed, candidates, pool_reports }
    }

    /// Estimates the number of requests at an upstream of a pool in which others have `mean_load` requests of other
    /// gateways on average.
    pub(super) fn estimated_load(&self, listed: &ListedUpstream, mean_load: f32, now: Instant) -> f32 {
        let mean_load = match listed.few_requests_until(now) {
            Some(until) => self.loads.mean_after_idling(mean_load, until, now),
            None => mean_load,
        };
        self.loads.estimate(listed.entry.hash, mean_load, now)
    }

    /// Whether the load of an upstream counts in the mean of its pool, as that of a drained one does.
    pub(super) fn counts_in_mean(
        &self,
        listed: &ListedUpstream,
        health: UpstreamHealth,
        now: Instant,
    ) -> bool {
        listed.stops_at.is_none_or(|stops_at| now < stops_at)
            && self.backoffs.ends_at(listed.entry.hash, now).is_none()
            && health != UpstreamHealth::Ejected
    }

    pub(super) fn record_demand(&mut self, pool: &PoolName, now: Instant) {
        match self.demand.get_mut(pool) {
            Some(demand) => demand.record(now),
            None => self.demand.entry(pool.clone()).or_default().record(now),
        }
    }

    fn candidate(
        &self,
        listed: &ListedUpstream,
        request: &PlacementRequest<'_>,
        location: &Location,
        mean_load: f32,
        now: Instant,
    ) -> Candidate {
        let upstream = listed.entry.hash;
        let health = self.outlier_detector.health(upstream, now);
        let expected_failure_rate = match health {
            UpstreamHealth::Healthy { failure_rate } => failure_rate,
            UpstreamHealth::ProbeAllowed if request.may_probe => 0.0,
            UpstreamHealth::ProbeAllowed | UpstreamHealth::Ejected => UNHEALTHY_FAILURE_RATE,
        };
        let load = self.estimated_load(listed, mean_load, now);
        let is_eligible = self.is_available(listed, now)
            && !request.tried.contains(&upstream)
            && request.software.allows(listed, load);
        Candidate {
            upstream,
            load,
            failure_rate: expected_failure_rate,
            takes_work: is_eligible && health != UpstreamHealth::Ejected,
            is_warming: is_eligible && listed.is_warming_up(now),
            counts_in_mean: self.counts_in_mean(listed, health, now),
            distance: location.distance_to(&listed.entry.data_centre),
            work: None,
        }
    }
}
