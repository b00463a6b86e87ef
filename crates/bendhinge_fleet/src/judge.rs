//! Which upstreams answer, judged by their own answers, and by what several routers saw together.
//!
//! A health check can be good while an upstream fails its requests, and bad while it is well, so
//! it is not asked. An upstream that fails rests for a while and then gets single requests on
//! trial; its share of failures raises what it costs to choose it.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

/// The times that judging depends on.
#[derive(Clone, Copy, Debug)]
pub struct JudgeLimits {
    /// The first rest; each further rest without an answer between doubles it.
    pub rest: Duration,
    /// The longest rest.
    pub longest_rest: Duration,
    /// The time in which a failure loses half its weight in the share of failures.
    pub half_life: Duration,
}

/// How a request failed at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFailure {
    /// No connection could be made.
    NotConnected,
    /// It gave no answer in time.
    Silent,
    /// The connection was lost, or the answer was spoilt.
    Lost,
    /// It refused the request for want of room.
    Shed,
    /// It answered that it failed.
    Failed,
    /// It is not the upstream that it was taken for.
    Replaced,
}

impl UpstreamFailure {
    /// Failures in a row from which the upstream rests.
    const fn allowed(self) -> u32 {
        match self {
            Self::NotConnected | Self::Replaced => 1,
            Self::Silent => 2,
            Self::Lost | Self::Shed => 3,
            // Upstreams answer a part of all requests with failures of their own.
            Self::Failed => 6,
        }
    }

    /// What it adds to the share of failures.
    const fn weight(self) -> f32 {
        match self {
            // It is well and full, which its load says better; but one that refuses while it has room
            // is to be passed over, too.
            Self::Shed => 0.25,
            _ => 1.0,
        }
    }
}

/// Whether an upstream may be chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// It may; `failing` is the recent share of its requests that failed, from 0 to 1.
    Good {
        /// The share of failures.
        failing: f32,
    },
    /// It rested and may get one request on trial.
    OnTrial,
    /// It rests.
    Resting,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    in_a_row: u32,
    /// Rests in a row.
    rests: u32,
    rests_until: Option<Instant>,
    trial_began: Option<Instant>,
    /// Whether it rests because of what others saw alone: then their answers end the rest.
    rests_by_hearsay: bool,
    failures: f32,
    requests: f32,
    at: Instant,
}

impl Record {
    const fn new(now: Instant) -> Self {
        Self {
            in_a_row: 0,
            rests: 0,
            rests_until: None,
            trial_began: None,
            rests_by_hearsay: false,
            failures: 0.0,
            requests: 0.0,
            at: now,
        }
    }

    /// Whether its rest is not over.
    fn is_resting(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// What is left of something that was seen when the record last changed.
    fn left(&self, half_life: Duration, now: Instant) -> f32 {
        let halves = now.since(self.at).as_secs_f32() / half_life.as_secs_f32();
        0.5_f32.powf(halves)
    }

    /// The share of failures. It fades by itself: an upstream that is passed over since it failed
    /// has no answers that could outweigh its failures, however many they were.
    fn failing(&self, half_life: Duration, now: Instant) -> f32 {
        self.failures / (self.requests + BENEFIT) * self.left(half_life, now)
    }

    fn fade(&mut self, half_life: Duration, now: Instant) {
        let factor = self.left(half_life, now);
        self.failures *= factor;
        self.requests *= factor;
        self.at = now;
    }
}

/// Requests that count as good beforehand, so that one failure is no verdict.
const BENEFIT: f32 = 2.0;

/// The upstreams' records.
#[derive(Debug)]
pub struct Judge {
    limits: JudgeLimits,
    records: FxHashMap<NameHash, Record>,
}

impl Judge {
    /// A judge without any record.
    #[must_use]
    pub fn new(limits: JudgeLimits) -> Self {
        Self { limits, records: FxHashMap::default() }
    }

    fn record(&mut self, upstream: NameHash, now: Instant) -> &mut Record {
        let half_life = self.limits.half_life;
        let record = self.records.entry(upstream).or_insert_with(|| Record::new(now));
        record.fade(half_life, now);
        record
    }

    /// Notes a whole answer.
    pub fn answered(&mut self, upstream: NameHash, now: Instant) {
        let record = self.record(upstream, now);
        record.requests += 1.0;
        record.in_a_row = 0;
        record.rests = 0;
        record.rests_until = None;
        record.trial_began = None;
    }

    /// Notes a failure; `true` if the upstream rests because of it.
    pub fn failed(&mut self, upstream: NameHash, failure: UpstreamFailure, now: Instant) -> bool {
        let limits = self.limits;
        let record = self.record(upstream, now);
        record.requests += 1.0;
        record.failures += failure.weight();
        record.in_a_row = record.in_a_row.saturating_add(1);
        // What was under way when the rest began fails with it, and says nothing new.
        if record.is_resting(now) {
            return false;
        }
        let on_trial = record.trial_began.take().is_some();
        if record.in_a_row < failure.allowed() && !on_trial {
            return false;
        }
        // Room that was wanting comes back within one request's time.
        let doublings = if failure == UpstreamFailure::Shed { 0 } else { record.rests.min(8) };
        let rest = limits.rest.saturating_mul(1 << doublings).min(limits.longest_rest);
        record.rests = record.rests.saturating_add(1);
        record.rests_until = Some(now + rest);
        record.rests_by_hearsay = false;
        true
    }

    /// Others found that an upstream answers nobody; `true` if it rests because of that. Then it gets
    /// single requests on trial, as after own failures.
    pub fn suspected(&mut self, upstream: NameHash, now: Instant) -> bool {
        let rest = self.limits.rest;
        let record = self.record(upstream, now);
        if record.is_resting(now) {
            return false;
        }
        record.rests_until = Some(now + rest);
        record.rests_by_hearsay = true;
        true
    }

    /// Others had an answer of an upstream that was suspected.
    pub fn cleared(&mut self, upstream: NameHash) {
        if let Some(record) = self.records.get_mut(&upstream)
            && record.rests_by_hearsay
        {
            record.rests_until = None;
            record.trial_began = None;
        }
    }

    /// Notes that a request is sent to an upstream, which may be its trial.
    pub fn sent(&mut self, upstream: NameHash, now: Instant) {
        if let Some(record) = self.records.get_mut(&upstream)
            && record.rests_until.is_some()
        {
            record.trial_began = Some(now);
        }
    }

    /// Whether an upstream may be chosen.
    #[must_use]
    pub fn standing(&self, upstream: NameHash, now: Instant) -> Standing {
        let Some(record) = self.records.get(&upstream) else { return Standing::Good { failing: 0.0 } };
        if let Some(until) = record.rests_until {
            let trial_is_out =
                record.trial_began.is_some_and(|began| now.since(began) < self.limits.longest_rest);
            let is_forgiven = now > until + self.limits.longest_rest;
            if now < until || trial_is_out {
                return Standing::Resting;
            }
            if !is_forgiven {
                return Standing::OnTrial;
            }
        }
        Standing::Good { failing: record.failing(self.limits.half_life, now) }
    }

    /// Forgets upstreams that are gone.
    pub fn keep_only(&mut self, listed: impl Fn(NameHash) -> bool) {
        self.records.retain(|upstream, _| listed(*upstream));
    }
}
