//! How often the load limit of the users is exceeded: an upstream may have at most twice the mean number of requests of
//! its pool plus three when another request arrives.

use std::ops::Range;

/// A request that arrives at an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When, in milliseconds.
    pub millis: u64,
    /// Whether the upstream was over the limit.
    pub is_over: bool,
}

/// Returns the highest fraction of arrivals over the limit within five seconds of `millis`, of windows with at least 20 of
/// them.
#[must_use]
pub fn worst_fraction_over(arrivals: &[Arrival], millis: Range<u64>) -> f64 {
    const WINDOW_MILLIS: u64 = 5_000;
    const STEP_MILLIS: usize = 100;
    const MIN_OVER: usize = 20;
    let starts = (millis.start..=millis.end.saturating_sub(WINDOW_MILLIS)).step_by(STEP_MILLIS);
    let fraction = |start: u64| {
        let window = start..start + WINDOW_MILLIS;
        let within = || arrivals.iter().filter(|arrival| window.contains(&arrival.millis));
        let over = within().filter(|arrival| arrival.is_over).count();
        if over < MIN_OVER { 0.0 } else { over as f64 / within().count() as f64 }
    };
    starts.map(fraction).fold(0.0, f64::max)
}
