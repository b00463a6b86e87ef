//! Passive outlier detection for upstreams, based on request results and the reports of other routers.
//!
//! Active health checks are not used, since they can pass while requests fail and fail while requests
//! succeed. An upstream that fails repeatedly is ejected for a period and then gets single probe requests.
//! The recent failure rate of the others raises their cost when an upstream is chosen.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

/// The time parameters of the [`OutlierDetector`].
#[derive(Clone, Copy, Debug)]
pub struct OutlierLimits {
    /// The first ejection period. Each further ejection without a success in between doubles it.
    pub base_ejection: Duration,
    /// The upper bound of the ejection period.
    pub max_ejection: Duration,
    /// The time in which the weight of a failure in the failure rate halves.
    pub half_life: Duration,
}

/// The kind of failure of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamFailure {
    /// The connection was refused or failed.
    ConnectFailed,
    /// The connection was not established in time.
    ConnectTimedOut,
    /// The upstream did not respond in time.
    TimedOut,
    /// The connection was lost, or the response was malformed.
    ConnectionLost,
    /// The upstream rejected the request for lack of capacity.
    Rejected,
    /// The upstream responded with an error.
    ErrorResponse,
    /// A different upstream instance responded.
    WrongInstance,
}

impl UpstreamFailure {
    /// Returns the number of consecutive failures after which the upstream is ejected.
    const fn ejection_threshold(self) -> u32 {
        match self {
            Self::ConnectFailed | Self::ConnectTimedOut | Self::WrongInstance => 1,
            Self::TimedOut => 2,
            Self::ConnectionLost | Self::Rejected => 3,
            // Some error responses are expected in normal operation.
            Self::ErrorResponse => 6,
        }
    }

    /// Returns the weight of the failure in the failure rate.
    const fn weight(self) -> f32 {
        match self {
            // A rejection mostly reflects load, which is accounted for separately. It has some weight so
            // that an upstream that rejects requests despite free capacity is avoided.
            Self::Rejected => 0.25,
            _ => 1.0,
        }
    }
}

/// The health of an upstream as observed by this router.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum UpstreamHealth {
    /// The upstream may be chosen.
    Healthy {
        /// The recent share of failed requests, from 0 to 1.
        failure_rate: f32,
    },
    /// The ejection period is over; one probe request may be sent.
    ProbeAllowed,
    /// The upstream is ejected, or a probe is in flight.
    Ejected,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    consecutive_failures: u32,
    /// The number of ejections since the last success.
    consecutive_ejections: u32,
    ejected_until: Option<Instant>,
    probe_started: Option<Instant>,
    /// Whether the ejection is based on reports of other routers alone; their successes then end it.
    is_ejected_by_peers: bool,
    failures: f32,
    requests: f32,
    updated_at: Instant,
}

impl Record {
    const fn new(now: Instant) -> Self {
        Self {
            consecutive_failures: 0,
            consecutive_ejections: 0,
            ejected_until: None,
            probe_started: None,
            is_ejected_by_peers: false,
            failures: 0.0,
            requests: 0.0,
            updated_at: now,
        }
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|end| now < end)
    }

    /// Returns the factor by which counts decayed since the last update.
    fn decay_factor(&self, half_life: Duration, now: Instant) -> f32 {
        let half_lives = now.since(self.updated_at).as_secs_f32() / half_life.as_secs_f32();
        0.5_f32.powf(half_lives)
    }

    /// Returns the failure rate. It decays without new requests, since an upstream that is avoided gets no
    /// successes that would lower it.
    fn failure_rate(&self, half_life: Duration, now: Instant) -> f32 {
        self.failures / (self.requests + PRIOR_SUCCESSES) * self.decay_factor(half_life, now)
    }

    fn decay(&mut self, half_life: Duration, now: Instant) {
        let factor = self.decay_factor(half_life, now);
        self.failures *= factor;
        self.requests *= factor;
        self.updated_at = now;
    }
}

/// The number of successes that the failure rate assumes in advance, so that one failure has a limited
/// effect.
const PRIOR_SUCCESSES: f32 = 2.0;

/// Tracks request results per upstream and ejects those that fail.
#[derive(Debug)]
pub struct OutlierDetector {
    limits: OutlierLimits,
    records: FxHashMap<NameHash, Record>,
}

impl OutlierDetector {
    /// Creates a detector without any records.
    #[must_use]
    pub fn new(limits: OutlierLimits) -> Self {
        Self { limits, records: FxHashMap::default() }
    }

    fn record(&mut self, upstream: NameHash, now: Instant) -> &mut Record {
        let half_life = self.limits.half_life;
        let record = self.records.entry(upstream).or_insert_with(|| Record::new(now));
        record.decay(half_life, now);
        record
    }

    /// Records a complete response, which ends an ejection.
    pub fn record_success(&mut self, upstream: NameHash, now: Instant) {
        let record = self.record(upstream, now);
        record.requests += 1.0;
        record.consecutive_failures = 0;
        record.consecutive_ejections = 0;
        record.ejected_until = None;
        record.probe_started = None;
    }

    /// Records a failure; returns `true` if the upstream is ejected because of it.
    pub fn record_failure(&mut self, upstream: NameHash, failure: UpstreamFailure, now: Instant) -> bool {
        let limits = self.limits;
        let record = self.record(upstream, now);
        record.requests += 1.0;
        record.failures += failure.weight();
        record.consecutive_failures = record.consecutive_failures.saturating_add(1);
        // Requests that were in flight when the ejection began do not extend it.
        if record.is_ejected(now) {
            return false;
        }
        let was_probing = record.probe_started.take().is_some();
        if record.consecutive_failures < failure.ejection_threshold() && !was_probing {
            return false;
        }
        // Capacity usually becomes free within the duration of one request, so the period is not doubled.
        let doublings =
            if failure == UpstreamFailure::Rejected { 0 } else { record.consecutive_ejections.min(8) };
        let ejection = limits.base_ejection.saturating_mul(1 << doublings).min(limits.max_ejection);
        record.consecutive_ejections = record.consecutive_ejections.saturating_add(1);
        record.ejected_until = Some(now + ejection);
        record.is_ejected_by_peers = false;
        true
    }

    /// Ejects an upstream that other routers found unresponsive; returns `true` unless it was ejected
    /// already. Afterwards it gets probe requests as after failures seen by this router.
    pub fn eject_suspect(&mut self, upstream: NameHash, now: Instant) -> bool {
        let ejection = self.limits.base_ejection;
        let record = self.record(upstream, now);
        if record.is_ejected(now) {
            return false;
        }
        record.ejected_until = Some(now + ejection);
        record.is_ejected_by_peers = true;
        true
    }

    /// Ends an ejection that is based on reports of other routers alone, after one of them got a response.
    pub fn clear_suspect(&mut self, upstream: NameHash) {
        if let Some(record) = self.records.get_mut(&upstream)
            && record.is_ejected_by_peers
        {
            record.ejected_until = None;
            record.probe_started = None;
        }
    }

    /// Ends the ejection of an upstream whose failures were caused by the links of this router.
    pub fn forgive(&mut self, upstream: NameHash) {
        self.records.remove(&upstream);
    }

    /// Records that a request is sent to an upstream, which is a probe if the upstream was ejected.
    pub fn record_send(&mut self, upstream: NameHash, now: Instant) {
        if let Some(record) = self.records.get_mut(&upstream)
            && record.ejected_until.is_some()
        {
            record.probe_started = Some(now);
        }
    }

    /// Returns the health of an upstream.
    #[must_use]
    pub fn health(&self, upstream: NameHash, now: Instant) -> UpstreamHealth {
        let Some(record) = self.records.get(&upstream) else {
            return UpstreamHealth::Healthy { failure_rate: 0.0 };
        };
        if let Some(end) = record.ejected_until {
            let is_probing =
                record.probe_started.is_some_and(|started| now.since(started) < self.limits.max_ejection);
            let is_expired = now > end + self.limits.max_ejection;
            if now < end || is_probing {
                return UpstreamHealth::Ejected;
            }
            if !is_expired {
                return UpstreamHealth::ProbeAllowed;
            }
        }
        UpstreamHealth::Healthy { failure_rate: record.failure_rate(self.limits.half_life, now) }
    }

    /// Removes the records of upstreams that are not listed.
    pub fn retain_listed(&mut self, is_listed: impl Fn(NameHash) -> bool) {
        self.records.retain(|upstream, _| is_listed(*upstream));
    }
}
