//! How many requests a second come.

use std::time::Duration;

use bendhinge_ids::Instant;

/// A rate that fades: what happened counts for so long, the less the longer ago it was.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    over: Duration,
    per_second: f32,
    at: Option<Instant>,
}

impl Rate {
    /// Nothing yet, to be counted over a time.
    #[must_use]
    pub const fn over(over: Duration) -> Self {
        Self { over, per_second: 0.0, at: None }
    }

    /// Notes one.
    pub fn note(&mut self, now: Instant) {
        self.per_second = self.per_second(now) + 1.0 / self.over.as_secs_f32();
        self.at = Some(now);
    }

    /// How many a second.
    #[must_use]
    pub fn per_second(&self, now: Instant) -> f32 {
        let faded = self.at.map_or(0.0, |at| now.since(at).as_secs_f32() / self.over.as_secs_f32());
        self.per_second * (-faded).exp()
    }
}

/// The demand for a pool at one router: the larger of its rates over a short and a long time, since who
/// divides by it sends too much where it is taken for too little.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    short: Rate,
    long: Rate,
}

impl Default for Demand {
    fn default() -> Self {
        /// Long enough to see a rate of one request in some seconds.
        const LONG: Duration = Duration::from_secs(8);
        /// Short enough to see a burst within a second of its start.
        const SHORT: Duration = Duration::from_secs(1);
        Self { short: Rate::over(SHORT), long: Rate::over(LONG) }
    }
}

impl Demand {
    /// Notes a request.
    pub fn note(&mut self, now: Instant) {
        self.short.note(now);
        self.long.note(now);
    }

    /// Requests a second.
    #[must_use]
    pub fn per_second(&self, now: Instant) -> f32 {
        self.short.per_second(now).max(self.long.per_second(now))
    }
}
