//! Estimation of request rates.

use std::time::Duration;

use bendhinge_ids::Instant;

/// Event rate with exponential decay: older events count less.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    time_constant: Duration,
    per_second: f32,
    updated_at: Option<Instant>,
}

impl DecayingRate {
    /// Creates a rate of zero that decays with `time_constant`.
    #[must_use]
    pub const fn new(time_constant: Duration) -> Self {
        Self { time_constant, per_second: 0.0, updated_at: None }
    }

    /// Records one event.
    pub fn record(&mut self, now: Instant) {
        self.record_amount(1.0, now);
    }

    /// Records `amount` at once, in the unit whose rate is estimated.
    pub fn record_amount(&mut self, amount: f32, now: Instant) {
        self.per_second = self.per_second(now) + amount / self.time_constant.as_secs_f32();
        self.updated_at = Some(now);
    }

    /// Returns the rate per second of events or of recorded amounts.
    #[must_use]
    pub fn per_second(&self, now: Instant) -> f32 {
        let decay_exponent =
            self.updated_at.map_or(0.0, |at| now.since(at).as_secs_f32() / self.time_constant.as_secs_f32());
        self.per_second * (-decay_exponent).exp()
    }
}

/// Demand for a pool at one router.
///
/// This is the larger of a short-term and a long-term request rate. Callers divide a permitted rate by the demand, so
/// an underestimate would make them send too many requests.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    short_term: DecayingRate,
    long_term: DecayingRate,
}

impl Default for Demand {
    fn default() -> Self {
        /// Long enough to register one request every few seconds.
        const LONG_TERM: Duration = Duration::from_secs(8);
        /// Short enough to register a burst within a second.
        const SHORT_TERM: Duration = Duration::from_secs(1);
        Self { short_term: DecayingRate::new(SHORT_TERM), long_term: DecayingRate::new(LONG_TERM) }
    }
}

impl Demand {
    /// Records a request.
    pub fn record(&mut self, now: Instant) {
        self.short_term.record(now);
        self.long_term.record(now);
    }

    /// Returns the demand in requests per second.
    #[must_use]
    pub fn per_second(&self, now: Instant) -> f32 {
        self.short_term.per_second(now).max(self.long_term.per_second(now))
    }
}
