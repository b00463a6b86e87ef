//! How many requests are believed to be at each upstream.

mod highest;

use std::cmp::Reverse;
use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

pub use self::highest::PackedHighLoads;
use crate::directory::UpstreamList;
use crate::update_log::UpdateSource;

/// After this time what an upstream said of others' requests counts for nothing in the mean.
const MEAN_MAX_AGE: Duration = Duration::from_secs(4);
/// How long what an upstream said goes on telling of it, in units of the time that its requests take to end from
/// any moment on. Requests come and go, so that a report says ever less; but some upstreams have more than
/// others for as long as they are the homes of much that is asked for.
const FADE_FACTOR: f32 = 1.5;
/// Requests that last longer are counted as this: one that hangs says nothing of the others.
const MAX_DURATION_SECS: f32 = 5.0;
/// Reports older than this are not passed on.
const SHARE_MAX_AGE: Duration = Duration::from_millis(2_500);
/// The unit of an age among [`PackedLoads`]: the oldest that is passed on takes 250 of them.
const PACKED_AGE_UNIT: Duration = Duration::from_millis(10);
/// A load among [`PackedLoads`] of which there is nothing to tell.
const NO_REPORT: u8 = u8::MAX;

#[derive(Clone, Copy, Debug)]
struct LatestReport {
    in_progress: u32,
    reported_at: Instant,
    source: UpdateSource,
}

impl LatestReport {
    /// Whether it is told to `listener`: not what it told itself, nor what is old.
    fn is_shared_with(&self, receiver: UpdateSource, now: Instant) -> bool {
        self.source != receiver && now.since(self.reported_at) < SHARE_MAX_AGE
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadState {
    /// This router's requests there.
    own: u32,
    /// All requests there as it said last.
    report: Option<LatestReport>,
    /// Others' requests there, as it said then.
    others: u32,
}

/// What an upstream said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: NameHash,
    /// Requests there, running and waiting.
    pub in_progress: u32,
    /// When it said so.
    pub reported_at: Instant,
}

/// The loads of all upstreams of a list that both ends hold, in its order: first the requests at each in a
/// byte, at most 254, then how old each is. A load takes two bytes so; with the upstream's hash it takes
/// some ten, of which hardly any can be compressed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PackedLoads(pub Vec<u8>);

/// Loads as they are told to one that holds the same list of upstreams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListLoads {
    /// That of each.
    All(PackedLoads),
    /// The highest, of a long list.
    Highest(PackedHighLoads),
}

/// Lists of more upstreams are told by their highest loads.
const MAX_SHARED_LOADS: usize = 512;

/// How long requests last, in seconds, with those of the past fading by each new one.
#[derive(Clone, Copy, Debug)]
struct DurationStats {
    sum: f32,
    sum_of_squares: f32,
}

impl DurationStats {
    /// As if requests of two seconds had been seen: one second is left of those at any moment.
    const INITIAL: Self = Self { sum: 2.0, sum_of_squares: 4.0 };
    /// What is left of the past after a request: some hundred count.
    const DECAY: f32 = 0.99;

    fn add(&mut self, duration: Duration) {
        let duration = duration.as_secs_f32().min(MAX_DURATION_SECS);
        self.sum = self.sum * Self::DECAY + duration;
        self.sum_of_squares = self.sum_of_squares * Self::DECAY + duration * duration;
    }

    /// How long those that are there at any moment go on on average, in seconds: that is more than half of the mean,
    /// since the long ones are met more often.
    fn mean_remaining_secs(self) -> f32 {
        self.sum_of_squares / (2.0 * self.sum.max(f32::MIN_POSITIVE))
    }
}

/// The loads of all upstreams.
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
    /// Notes that a request of this router goes to an upstream.
    pub fn start_request(&mut self, upstream: NameHash) {
        self.upstreams.entry(upstream).or_default().own += 1;
    }

    /// Notes that a request of this router has ended there after so long.
    pub fn end_request(&mut self, upstream: NameHash, duration: Duration) {
        if let Some(load) = self.upstreams.get_mut(&upstream) {
            load.own = load.own.saturating_sub(1);
            if load.report.is_some() {
                self.durations.add(duration);
            }
        }
    }

    /// Takes in what an upstream said, to this router or to another.
    pub fn record(&mut self, said: UpstreamLoad, source: UpdateSource) {
        let load = self.upstreams.entry(said.upstream).or_default();
        if load.report.is_none_or(|known| said.reported_at > known.reported_at) {
            load.report =
                Some(LatestReport { in_progress: said.in_progress, reported_at: said.reported_at, source });
            load.others = said.in_progress.saturating_sub(load.own);
        }
    }

    /// This router's own requests at an upstream.
    #[must_use]
    pub fn own(&self, upstream: NameHash) -> f32 {
        self.upstreams.get(&upstream).map_or(0.0, |load| load.own as f32)
    }

    /// Requests believed to be at an upstream now. What it said of others' requests fades into
    /// `mean`, what the others have at an upstream of its pool on average, as fast as requests come and go.
    /// Were it believed for longer, all routers would send to the one that had little a second ago.
    #[must_use]
    pub fn estimate(&self, upstream: NameHash, mean: f32, now: Instant) -> f32 {
        let load = self.upstreams.get(&upstream).copied().unwrap_or_default();
        let fade_secs = FADE_FACTOR * self.durations.mean_remaining_secs();
        let weight = |report: LatestReport| (-now.since(report.reported_at).as_secs_f32() / fade_secs).exp();
        let weight = load.report.map_or(0.0, weight);
        load.own as f32 + load.others as f32 * weight + mean * (1.0 - weight)
    }

    /// What the others have at an upstream on average, by what upstreams said lately.
    pub fn mean_of_others(&self, upstreams: impl Iterator<Item = NameHash>, now: Instant) -> f32 {
        let loads = upstreams.filter_map(|upstream| self.upstreams.get(&upstream));
        let recent =
            loads.filter(|load| load.report.is_some_and(|said| now.since(said.reported_at) < MEAN_MAX_AGE));
        let (count, total) =
            recent.fold((0_u32, 0_u32), |(count, total), load| (count + 1, total + load.others));
        total as f32 / count.max(1) as f32
    }

    /// What upstreams said lately, for telling others; of many the highest.
    #[must_use]
    pub fn recent_reports(&self, now: Instant) -> Vec<UpstreamLoad> {
        let said = self.upstreams.iter().filter_map(|(upstream, load)| {
            let LatestReport { in_progress, reported_at, .. } = load.report?;
            (now.since(reported_at) < SHARE_MAX_AGE).then_some(UpstreamLoad {
                upstream: *upstream,
                in_progress,
                reported_at,
            })
        });
        let mut shared: Vec<UpstreamLoad> = said.collect();
        truncate_to_highest(&mut shared, MAX_SHARED_LOADS, |said| (said.in_progress, said.reported_at));
        shared
    }

    /// What upstreams said lately, for telling `listener`, who holds the same `list` of them.
    #[must_use]
    pub fn pack_for(&self, receiver: UpdateSource, list: &UpstreamList, now: Instant) -> ListLoads {
        let upstreams = list.entries.iter().map(|entry| entry.hash);
        if upstreams.len() > MAX_SHARED_LOADS {
            ListLoads::Highest(self.pack_highest_for(receiver, upstreams, now))
        } else {
            ListLoads::All(self.pack_all_for(receiver, upstreams, now))
        }
    }

    /// Takes in what a router that holds the same `list` told, its ages counted from `as_of`.
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

    /// What upstreams said lately, for telling `listener`, who holds the same list of `upstreams`: of each
    /// but what it told itself.
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

    /// Takes in what a router that holds the same list of `upstreams` told, its ages counted from `as_of`.
    /// States of another length are of another list: nothing is taken of them.
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

    /// Forgets upstreams that are not listed and have no request of this router.
    pub fn retain_listed(&mut self, listed: impl Fn(NameHash) -> bool) {
        self.upstreams.retain(|upstream, load| load.own > 0 || listed(*upstream));
    }
}

/// Keeps the highest `most` of what was said, of equal ones the latest.
fn truncate_to_highest<T>(shared: &mut Vec<T>, limit: usize, load: impl Fn(&T) -> (u32, Instant)) {
    if shared.len() > limit {
        shared.sort_unstable_by_key(|said| Reverse(load(said)));
        shared.truncate(limit);
    }
}

fn pack_load(in_progress: u32) -> u8 {
    u8::try_from(in_progress).unwrap_or(NO_REPORT).min(NO_REPORT - 1)
}

/// An age is never stated as less than it is.
fn pack_age(age: Duration) -> u8 {
    let units = age.as_millis().div_ceil(PACKED_AGE_UNIT.as_millis());
    u8::try_from(units).unwrap_or(u8::MAX)
}
