//! Estimates the number of requests in progress at each upstream.

mod highest;

use std::cmp::Reverse;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

pub use self::highest::PackedHighLoads;
use crate::directory::UpstreamList;
use crate::update_log::UpdateSource;

/// Maximum age of a report that contributes to the mean load.
const MEAN_MAX_AGE: Duration = Duration::from_secs(4);
/// Time constant of the decay of a report, as a multiple of the mean remaining request duration.
///
/// It exceeds 1 because part of an upstream's load persists: upstreams that hold much of the cached
/// content stay busier than others.
const FADE_FACTOR: f32 = 1.5;
/// Upper bound of the durations that enter the statistics, so that a hung request does not distort them.
const MAX_DURATION_SECS: f32 = 5.0;
/// Maximum age of a report that is shared with peers.
const SHARE_MAX_AGE: Duration = Duration::from_millis(2_500);
/// Resolution of the ages in [`PackedLoads`]. A byte covers the maximum age of a shared report.
const PACKED_AGE_UNIT: Duration = Duration::from_millis(10);
/// Byte in [`PackedLoads`] that marks an upstream without a report.
const NO_REPORT: u8 = u8::MAX;

#[derive(Clone, Copy, Debug)]
struct LatestReport {
    in_progress: u32,
    reported_at: Instant,
    source: UpdateSource,
}

impl LatestReport {
    /// Returns whether the report is sent to `receiver`: it is recent and did not come from there.
    fn is_shared_with(&self, receiver: UpdateSource, now: Instant) -> bool {
        self.source != receiver && now.since(self.reported_at) < SHARE_MAX_AGE
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadState {
    /// Requests of this router in progress at the upstream.
    own_requests: u32,
    /// Latest report of the upstream.
    report: Option<LatestReport>,
    /// Requests of other routers at the time of the report.
    other_requests: u32,
}

/// Load reported by an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Hash that identifies the upstream.
    pub upstream: NameHash,
    /// Requests running or queued at the upstream.
    pub in_progress: u32,
    /// Time of the report.
    pub reported_at: Instant,
}

/// What the estimate of an upstream's load is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadBasis {
    /// Requests of this router in progress at the upstream.
    pub own_requests: u32,
    /// The latest report of the upstream, if any.
    pub report: Option<AgedReport>,
}

/// The load that an upstream reported, and the time since then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgedReport {
    /// Requests running or queued at the upstream.
    pub in_progress: u32,
    /// Time since the report.
    pub age: Duration,
}

/// Summary of the recent reports of a pool's upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolReports {
    /// Mean number of requests of other routers at an upstream with a recent report.
    pub mean_other_requests: f32,
    /// Mean age of the recent reports.
    pub mean_age: Duration,
    /// Number of upstreams without a recent report.
    pub unreported: u32,
}

/// Loads of all upstreams of a list that sender and receiver both hold, in list order.
///
/// The first half has one byte for each load, capped at 254. The second half has one byte for the age of
/// each report. Two bytes an upstream are far less than an entry with the upstream's hash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PackedLoads(pub Vec<u8>);

/// Loads as sent to a peer that holds the same upstream list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListLoads {
    /// The loads of all upstreams.
    All(PackedLoads),
    /// The highest loads only, for long lists.
    Highest(PackedHighLoads),
}

/// Maximum number of upstreams whose loads are all shared. Of longer lists only the highest loads are.
const MAX_SHARED_LOADS: usize = 512;

/// Exponentially decaying statistics of request durations, in seconds.
#[derive(Clone, Copy, Debug)]
struct DurationStats {
    sum: f32,
    sum_of_squares: f32,
}

impl DurationStats {
    /// Initial statistics, equivalent to requests of two seconds each.
    const INITIAL: Self = Self { sum: 2.0, sum_of_squares: 4.0 };
    /// Decay for each request, which averages over roughly the last hundred.
    const DECAY: f32 = 0.99;

    fn add(&mut self, duration: Duration) {
        let duration = duration.as_secs_f32().min(MAX_DURATION_SECS);
        self.sum = self.sum * Self::DECAY + duration;
        self.sum_of_squares = self.sum_of_squares * Self::DECAY + duration * duration;
    }

    /// Returns the mean remaining duration of the requests in progress, in seconds. It exceeds half of
    /// the mean duration, since long requests are more likely to be in progress at any time.
    fn mean_remaining_secs(self) -> f32 {
        self.sum_of_squares / (2.0 * self.sum.max(f32::MIN_POSITIVE))
    }
}

/// Loads of all upstreams as known to this router.
#[derive(Debug)]
pub struct Loads {
    upstreams: FxHashMap<NameHash, LoadState>,
    durations: DurationStats,
}

impl Default for Loads {
    fn default() -> Self {
        Self { upstreams: FxHashMap::default(), durations: DurationStats::INITIAL }
    }
}

impl Loads {
    /// Counts a request sent by this router to an upstream.
    pub fn start_request(&mut self, upstream: NameHash) {
        self.upstreams.entry(upstream).or_default().own_requests += 1;
    }

    /// Counts the end of a request of this router, which took `duration`.
    pub fn end_request(&mut self, upstream: NameHash, duration: Duration) {
        if let Some(load) = self.upstreams.get_mut(&upstream) {
            load.own_requests = load.own_requests.saturating_sub(1);
            if load.report.is_some() {
                self.durations.add(duration);
            }
        }
    }

    /// Records a report that an upstream gave to this router or to another.
    pub fn record(&mut self, new_report: UpstreamLoad, source: UpdateSource) {
        let load = self.upstreams.entry(new_report.upstream).or_default();
        if load.report.is_none_or(|known| new_report.reported_at > known.reported_at) {
            load.report = Some(LatestReport {
                in_progress: new_report.in_progress,
                reported_at: new_report.reported_at,
                source,
            });
            load.other_requests = new_report.in_progress.saturating_sub(load.own_requests);
        }
    }

    /// Returns the number of requests of this router in progress at an upstream.
    #[must_use]
    pub fn own_requests(&self, upstream: NameHash) -> f32 {
        self.upstreams.get(&upstream).map_or(0.0, |load| load.own_requests as f32)
    }

    /// Returns what the estimate of an upstream's load is based on.
    #[must_use]
    pub fn basis(&self, upstream: NameHash, now: Instant) -> LoadBasis {
        let load = self.upstreams.get(&upstream).copied().unwrap_or_default();
        let aged = |report: LatestReport| AgedReport {
            in_progress: report.in_progress,
            age: now.since(report.reported_at),
        };
        LoadBasis { own_requests: load.own_requests, report: load.report.map(aged) }
    }

    /// Estimates the number of requests in progress at an upstream.
    ///
    /// The reported load of other routers decays towards `mean`, their mean load over the upstreams of
    /// the pool, at the rate at which requests end. Relying on a report for longer would make all
    /// routers send to an upstream that was idle a moment ago. See [`Loads::mean_after_idling`] for one
    /// that got no requests.
    #[must_use]
    pub fn estimate(&self, upstream: NameHash, mean: f32, now: Instant) -> f32 {
        let load = self.upstreams.get(&upstream).copied().unwrap_or_default();
        let weight = load.report.map_or(0.0, |report| self.decay(now.since(report.reported_at)));
        load.own_requests as f32 + load.other_requests as f32 * weight + mean * (1.0 - weight)
    }

    /// Returns the part of `mean` towards which the load of an upstream decays that gets hardly any
    /// requests until `idle_until`: none of it until then, and all of it once its requests have had time
    /// to accumulate. Without a report, such an upstream has fewer requests than the others.
    #[must_use]
    pub fn mean_after_idling(&self, mean: f32, idle_until: Instant, now: Instant) -> f32 {
        mean * (1.0 - self.decay(now.since(idle_until)))
    }

    /// Returns the weight of a load after `age`.
    fn decay(&self, age: Duration) -> f32 {
        let time_constant = FADE_FACTOR * self.durations.mean_remaining_secs();
        (-age.as_secs_f32() / time_constant).exp()
    }

    /// Returns the mean number of requests of other routers at an upstream, over the recent reports.
    pub fn mean_other_requests(&self, upstreams: impl Iterator<Item = NameHash>, now: Instant) -> f32 {
        self.pool_reports(upstreams, now).mean_other_requests
    }

    /// Summarizes the recent reports of `upstreams`.
    pub fn pool_reports(&self, upstreams: impl Iterator<Item = NameHash>, now: Instant) -> PoolReports {
        let (mut reported, mut unreported) = (0_u32, 0_u32);
        let (mut other_requests, mut ages) = (0_u32, Duration::ZERO);
        for upstream in upstreams {
            let recent = self.upstreams.get(&upstream).and_then(|load| {
                let age = now.since(load.report?.reported_at);
                (age < MEAN_MAX_AGE).then_some((load.other_requests, age))
            });
            let Some((requests, age)) = recent else {
                unreported += 1;
                continue;
            };
            reported += 1;
            other_requests += requests;
            ages += age;
        }
        PoolReports {
            mean_other_requests: other_requests as f32 / reported.max(1) as f32,
            mean_age: ages / reported.max(1),
            unreported,
        }
    }

    /// Returns the recent reports to share with peers, limited to the highest loads.
    #[must_use]
    pub fn recent_reports(&self, now: Instant) -> Vec<UpstreamLoad> {
        let reports = self.upstreams.iter().filter_map(|(upstream, load)| {
            let LatestReport { in_progress, reported_at, .. } = load.report?;
            (now.since(reported_at) < SHARE_MAX_AGE).then_some(UpstreamLoad {
                upstream: *upstream,
                in_progress,
                reported_at,
            })
        });
        let mut shared: Vec<UpstreamLoad> = reports.collect();
        truncate_to_highest(&mut shared, MAX_SHARED_LOADS, |load| (load.in_progress, load.reported_at));
        shared
    }

    /// Encodes the recent reports for `receiver`, which holds the same `list`.
    #[must_use]
    pub fn pack_for(&self, receiver: UpdateSource, list: &UpstreamList, now: Instant) -> ListLoads {
        let upstreams = list.entries.iter().map(|entry| entry.hash);
        if upstreams.len() > MAX_SHARED_LOADS {
            ListLoads::Highest(self.pack_highest_for(receiver, upstreams, now))
        } else {
            ListLoads::All(self.pack_all_for(receiver, upstreams, now))
        }
    }

    /// Records the loads received from a peer that holds the same `list`. Their ages count from `as_of`.
    pub fn apply(&mut self, shared: &ListLoads, list: &UpstreamList, source: UpdateSource, as_of: Instant) {
        match shared {
            ListLoads::All(states) => {
                self.apply_all(states, list.entries.iter().map(|entry| entry.hash), source, as_of);
            }
            ListLoads::Highest(loads) => {
                self.apply_highest(
                    loads,
                    |index| list.entries.get(index).map(|entry| entry.hash),
                    source,
                    as_of,
                );
            }
        }
    }

    /// Encodes the recent reports for `receiver`, which holds the same list of `upstreams`. Reports that
    /// came from `receiver` are left out.
    pub fn pack_all_for(
        &self,
        receiver: UpdateSource,
        upstreams: impl Iterator<Item = NameHash>,
        now: Instant,
    ) -> PackedLoads {
        let reports = upstreams.map(|upstream| {
            self.upstreams.get(&upstream)?.report.filter(|report| report.is_shared_with(receiver, now))
        });
        let (mut loads, mut ages) = (Vec::new(), Vec::new());
        for report in reports {
            loads.push(report.map_or(NO_REPORT, |report| pack_load(report.in_progress)));
            ages.push(report.map_or(NO_REPORT, |report| pack_age(now.since(report.reported_at))));
        }
        loads.append(&mut ages);
        PackedLoads(loads)
    }

    /// Records the loads received from a peer that holds the same list of `upstreams`. Their ages count
    /// from `as_of`. Data of another length belongs to another list and is ignored.
    pub fn apply_all(
        &mut self,
        states: &PackedLoads,
        upstreams: impl ExactSizeIterator<Item = NameHash>,
        source: UpdateSource,
        as_of: Instant,
    ) {
        let (loads, ages) = states.0.split_at(states.0.len() / 2);
        if loads.len() != upstreams.len() || ages.len() != upstreams.len() {
            return;
        }
        let shared = upstreams.zip(loads.iter().zip(ages)).filter(|(_, (load, _))| **load != NO_REPORT);
        for (upstream, (load, age)) in shared {
            let reported_at = as_of - PACKED_AGE_UNIT * u32::from(*age);
            self.record(UpstreamLoad { upstream, in_progress: u32::from(*load), reported_at }, source);
        }
    }

    /// Removes the upstreams that are not listed and have no request of this router in progress.
    pub fn retain_listed(&mut self, listed: impl Fn(NameHash) -> bool) {
        self.upstreams.retain(|upstream, load| load.own_requests > 0 || listed(*upstream));
    }
}

/// Truncates `shared` to the `limit` highest loads, preferring later reports among equal ones.
fn truncate_to_highest<T>(shared: &mut Vec<T>, limit: usize, load: impl Fn(&T) -> (u32, Instant)) {
    if shared.len() > limit {
        shared.sort_unstable_by_key(|entry| Reverse(load(entry)));
        shared.truncate(limit);
    }
}

fn pack_load(in_progress: u32) -> u8 {
    u8::try_from(in_progress).unwrap_or(NO_REPORT).min(NO_REPORT - 1)
}

/// Encodes an age, rounding up so that a report never looks more recent than it is.
fn pack_age(age: Duration) -> u8 {
    let units = age.as_millis().div_ceil(PACKED_AGE_UNIT.as_millis());
    u8::try_from(units).unwrap_or(u8::MAX)
}
