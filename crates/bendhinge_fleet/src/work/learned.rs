//! Statistics that a router learns of a pool from its own requests.

use std::time::Duration;

use bendhinge_ids::Instant;

/// Weight of past samples of the read speed for each new one; averages over roughly the last 50.
const SPEED_DECAY: f32 = 0.98;
/// Minimum weight of the samples from which a speed is derived.
const MIN_SAMPLES: f32 = 6.0;
/// Minimum standard deviation of the samples' tokens; less does not show their effect on the time.
const MIN_TOKENS_DEVIATION: f32 = 256.0;
/// Upper bound of a sample's time: callers expect the first event much sooner.
const MAX_FIRST_EVENT: Duration = Duration::from_secs(4);
/// Range of plausible read speeds, in tokens per second.
const SPEED_RANGE: std::ops::RangeInclusive<f32> = 500.0..=10_000_000.0;

/// Typical age of the loads that routers exchange, over which the trend is extrapolated.
const LOAD_AGE_SECS: f32 = 0.5;
/// Minimum time between two samples of the load, so that their difference is more than noise.
const TREND_PERIOD: Duration = Duration::from_millis(200);
/// Time without samples after which the trend is unknown.
const TREND_MAX_GAP: Duration = Duration::from_secs(2);

/// Exponentially decaying mean.
#[derive(Clone, Copy, Debug)]
pub(super) struct RecentMean {
    sum: f32,
    weight: f32,
    decay: f32,
}

impl RecentMean {
    /// Creates a mean without samples. `decay` is the weight of past samples for each new one.
    pub(super) const fn new(decay: f32) -> Self {
        Self { sum: 0.0, weight: 0.0, decay }
    }

    pub(super) fn add(&mut self, sample: f32) {
        self.sum = self.sum * self.decay + sample;
        self.weight = self.weight * self.decay + 1.0;
    }

    /// Returns the mean, or `None` without samples.
    pub(super) fn get(&self) -> Option<f32> {
        (self.weight > 0.0).then(|| self.sum / self.weight)
    }
}

/// Decaying linear regression of the time to the first event on the tokens to process before it.
///
/// Requests of other routers that this one does not know of lengthen the times independently of its own
/// tokens, so they raise the base and leave the slope.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReadSpeed {
    weight: f32,
    mean_tokens: f32,
    mean_secs: f32,
    tokens_variance: f32,
    covariance: f32,
}

impl ReadSpeed {
    /// Adds a sample by an incremental update of means and variances, which does not lose precision when
    /// the mean is large relative to the deviation.
    pub(super) fn add(&mut self, tokens: f32, time: Duration) {
        let secs = time.min(MAX_FIRST_EVENT).as_secs_f32();
        self.weight = self.weight * SPEED_DECAY + 1.0;
        let share = 1.0 / self.weight;
        let (tokens_change, secs_change) = (tokens - self.mean_tokens, secs - self.mean_secs);
        self.mean_tokens += share * tokens_change;
        self.mean_secs += share * secs_change;
        let keep = 1.0 - share;
        self.tokens_variance = keep * (self.tokens_variance + share * tokens_change * tokens_change);
        self.covariance = keep * (self.covariance + share * tokens_change * secs_change);
    }

    /// Returns the tokens that an upstream processes per second at its usual pace, once learned.
    pub(super) fn tokens_per_sec(&self) -> Option<f32> {
        let is_known = self.weight >= MIN_SAMPLES
            && self.tokens_variance >= MIN_TOKENS_DEVIATION * MIN_TOKENS_DEVIATION
            && self.covariance > 0.0;
        let speed = self.tokens_variance / self.covariance;
        is_known.then(|| speed.clamp(*SPEED_RANGE.start(), *SPEED_RANGE.end()))
    }

    /// Returns the time to the first event of a request without tokens to process, once learned.
    pub(super) fn base_secs(&self) -> Option<f32> {
        let speed = self.tokens_per_sec()?;
        Some((self.mean_secs - self.mean_tokens / speed).max(0.0))
    }
}

/// Change of a pool's load over time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadTrend {
    latest: Option<(Instant, f32)>,
    per_sec: f32,
}

impl LoadTrend {
    /// Records the load as known at `now`, and returns by how much it has changed since it was current if
    /// it changes as before.
    pub(super) fn change(&mut self, load: f32, now: Instant) -> f32 {
        match self.latest {
            Some((at, _)) if now.since(at) < TREND_PERIOD => {}
            Some((at, before)) if now.since(at) < TREND_MAX_GAP => {
                let per_sec = (load - before) / now.since(at).as_secs_f32();
                self.per_sec = f32::midpoint(self.per_sec, per_sec);
                self.latest = Some((now, load));
            }
            _ => *self = Self { latest: Some((now, load)), per_sec: 0.0 },
        }
        self.per_sec * LOAD_AGE_SECS
    }
}
