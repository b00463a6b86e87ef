//! Admission of requests to a pool of engines, which report their load and queue requests by priority.
//!
//! Load: a burst of one customer or request class, or the loss of many engines at once. Without admission control the
//! engines' queues fill, requests wait until their callers give up, and full engines reject urgent requests as well.
//!
//! Demands and capacity are amounts of work: slot-seconds per second, so that a pool's capacity is its number of slots
//! whatever the requests are. How long a request holds a slot is learned by priority and prompt size. Each box divides
//! the capacity among the demands of the whole fleet, and admits the same fraction of a customer's requests as all
//! other boxes do. Old reports therefore cannot make all boxes admit and refuse together: the fraction depends
//! mainly on demands, which do not react to it, and only gradually on the length of the queues.
//!
//! `docs/design/ENGINE-ADMISSION.md` compares this with the alternatives.

mod capacity;
mod demands;
mod refusal;
mod request;
mod shares;
mod slot_times;

use std::time::Duration;

use bendhinge_ids::Instant;

use capacity::CapacityEstimate;
pub use demands::DemandKey;
use demands::EngineDemands;
use refusal::{RefusalContext, retry_delay};
pub use request::{AdmissionRefusal, EngineDecision, EnginePoolLoad, EngineRequest, RequestKind};
use shares::PoolShares;
use slot_times::SlotTimes;

/// Typical age of load reports.
const REPORT_AGE: Duration = Duration::from_millis(600);
/// Fraction of the slots in use below which every request is admitted. The remainder covers requests that other boxes
/// have sent since the last reports.
const CALM_FRACTION: f64 = 0.8;
/// Fraction of the slots in use from which shares keep applying while the demand exceeds the capacity. Otherwise all
/// requests that were told to retry would be admitted together.
const RELEASE_FRACTION: f64 = 0.6;
/// Fraction of the slots in use below which nothing is refused, whatever is predicted. A caller must not be refused
/// while most slots are known to be free.
const FREE_FRACTION: f64 = 0.5;
/// Fraction of the slots in use from which demands are shared, so that totals are known when they are needed.
const SHARING_FRACTION: f64 = 0.7;
/// Time for which demands are still shared after the last decision above [`SHARING_FRACTION`].
const SHARING_DURATION: Duration = Duration::from_secs(3);
/// Time from when a box shares its demands until it knows those of all others, which begin at about the same time.
const TOTALS_DELAY: Duration = Duration::from_millis(2_200);
/// Time for which shares apply after the last decision above [`CALM_FRACTION`]. The age of the
/// oldest reports: they may show free slots that others have filled since.
const RESTRICTION_DURATION: Duration = Duration::from_millis(800);
/// Time for which calculated shares are used. Short compared to the age of the loads and totals that go into them.
const SHARES_VALIDITY: Duration = Duration::from_millis(50);

/// Admission control of one box for one pool of engines.
#[derive(Debug)]
pub struct EngineAdmission {
    demands: EngineDemands,
    slot_times: SlotTimes,
    capacity: CapacityEstimate,
    shares: Option<PoolShares>,
    /// Time of the last decision with too few free slots.
    restricted_at: Option<Instant>,
    /// Time of the last decision for which the pool was near its limit.
    near_limit_at: Option<Instant>,
    /// Time of the last decision for which reports alone showed that.
    reported_near_limit_at: Option<Instant>,
    /// Since when demands have been shared, if they are now.
    sharing_since: Instant,
}

impl Default for EngineAdmission {
    fn default() -> Self {
        Self {
            demands: EngineDemands::default(),
            slot_times: SlotTimes::default(),
            capacity: CapacityEstimate::default(),
            shares: None,
            restricted_at: None,
            near_limit_at: None,
            reported_near_limit_at: None,
            sharing_since: Instant(0),
        }
    }
}

impl EngineAdmission {
    /// Admits or refuses a request, and counts it as demand. To be called once for each request.
    ///
    /// `totals` returns the demand of the whole fleet in work for a key, including that of this box, or `None` for all
    /// keys if no other box shares its demands. `jitter` is uniform in `[0, 1)`.
    pub fn decide(
        &mut self,
        request: &EngineRequest,
        pool: &EnginePoolLoad,
        totals: &dyn Fn(DemandKey) -> Option<f32>,
        jitter: f64,
        now: Instant,
    ) -> EngineDecision {
        let work = self.slot_times.expected(request.kind());
        self.demands.record(request, work, now);
        if pool.slots_in_use() >= SHARING_FRACTION {
            self.reported_near_limit_at = Some(now);
        }
        let load = self.current_load(pool, now);
        if load >= SHARING_FRACTION {
            self.record_near_limit(now);
        } else if !self.is_sharing(now) {
            self.demands.record_calm(work, pool, now);
        }
        if load >= CALM_FRACTION {
            self.restricted_at = Some(now);
        }
        let is_restricted = self.restricted_at.is_some_and(|at| now.since(at) <= RESTRICTION_DURATION);
        if !is_restricted || pool.slots == 0 || pool.slots_in_use() < FREE_FRACTION {
            self.capacity.record_calm(now);
            self.shares = None;
            return EngineDecision::Admitted;
        }
        let is_current = |shares: &PoolShares| shares.is_current(pool, now, SHARES_VALIDITY);
        if !self.shares.as_ref().is_some_and(is_current) {
            let shares = self.calculate_shares(pool, totals, now);
            if shares.is_short && load >= RELEASE_FRACTION {
                self.restricted_at = Some(now);
            }
            self.shares = Some(shares);
        }
        self.decide_by_share(request, pool, jitter, now)
    }

    /// Returns the requests in progress relative to the slots. After a calm time, a burst counts before reports show
    /// it; later, reports decide when the burst is over, since refused requests come back for some time.
    fn current_load(&self, pool: &EnginePoolLoad, now: Instant) -> f64 {
        if self.is_reported(now) {
            pool.slots_in_use()
        } else {
            pool.slots_in_use() + self.demands.unreported(pool, self.slot_times.mean(), now)
        }
    }

    fn is_reported(&self, now: Instant) -> bool {
        self.reported_near_limit_at.is_some_and(|at| now.since(at) < SHARING_DURATION)
    }

    fn record_near_limit(&mut self, now: Instant) {
        if !self.is_sharing(now) {
            self.sharing_since = now;
        }
        self.near_limit_at = Some(now);
    }

    fn is_sharing(&self, now: Instant) -> bool {
        self.near_limit_at.is_some_and(|at| now.since(at) < SHARING_DURATION)
    }

    fn calculate_shares(
        &mut self,
        pool: &EnginePoolLoad,
        totals: &dyn Fn(DemandKey) -> Option<f32>,
        now: Instant,
    ) -> PoolShares {
        let are_complete = now.since(self.sharing_since) >= TOTALS_DELAY;
        let demands = self.demands.of_fleet(totals, are_complete, pool.router_count, now);
        let demand = demands.iter().map(|demand| demand.all).sum();
        let capacity = self.capacity.update(pool, demand, self.slot_times.mean(), now);
        PoolShares::new(pool, demands, capacity, now)
    }

    fn decide_by_share(
        &self,
        request: &EngineRequest,
        pool: &EnginePoolLoad,
        jitter: f64,
        now: Instant,
    ) -> EngineDecision {
        let Some(shares) = &self.shares else { return EngineDecision::Admitted };
        let share = shares.share_of(request.requester);
        let retried = self.demands.retried_fraction(request.requester, now);
        let probability = refusal::admission_probability(share.fraction, retried, request.is_retry());
        let jitter = if jitter.is_nan() { 0.5 } else { jitter.clamp(0.0, 1.0) };
        let wait = shares.expected_wait(request.requester.priority, pool);
        let reason = if wait > request.patience.min(request.time_left) {
            AdmissionRefusal::DeadlineUnreachable
        } else if jitter < probability {
            return EngineDecision::Admitted;
        } else if share.is_over_fair_share {
            AdmissionRefusal::CustomerOverShare
        } else {
            AdmissionRefusal::NoRoom
        };
        let context = RefusalContext { probability, wait, time_left: request.time_left };
        EngineDecision::Refused { retry_after: retry_delay(&context, jitter), reason }
    }

    /// Records that an engine rejected a request for lack of room.
    pub fn record_rejection(&mut self, now: Instant) {
        self.capacity.record_rejection(now);
    }

    /// Records the time from sending a request to its first event.
    pub fn record_first_event(&mut self, kind: RequestKind, wait: Duration, now: Instant) {
        self.slot_times.record_first_event(kind, wait, !self.is_sharing(now));
    }

    /// Records the end of a complete response `duration` after the request was sent; its first event came after
    /// `first_event`.
    pub fn record_end(&mut self, kind: RequestKind, first_event: Duration, duration: Duration) {
        self.slot_times.record_end(kind, first_event, duration);
    }

    /// Returns the demands of this box in work, the heaviest first, or nothing while the pool is far from its limit.
    #[must_use]
    pub fn own_figures(&self, now: Instant) -> Vec<(DemandKey, f32)> {
        if self.is_sharing(now) { self.demands.own(now) } else { Vec::new() }
    }

    /// Removes customers whose demand has decayed to nearly zero.
    pub fn prune(&mut self, now: Instant) {
        self.demands.prune(now);
    }
}
