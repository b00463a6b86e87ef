//! What a run of the fleet measured.

use std::ops::Range;

use super::scenario::{MILLIS, WARM_MILLIS};
use crate::bench::load_limit::{Arrival, worst_fraction_over};

/// The mean load of the pool as a router estimated it, and as it was.
#[derive(Clone, Copy, Debug)]
pub struct MeanEstimate {
    /// Time in milliseconds.
    pub millis: u64,
    /// Requests per engine according to the router.
    pub estimated: f64,
    /// Requests per engine.
    pub actual: f64,
}

/// What a run measured after [`WARM_MILLIS`].
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Arrivals at engines.
    pub arrivals: Vec<Arrival>,
    /// Mean loads as estimated by the router of each arrival.
    pub mean_estimates: Vec<MeanEstimate>,
    /// Requests whose shared parts were processed again.
    pub processed: usize,
    /// Requests whose shared parts were fetched from another engine.
    pub fetched: usize,
    /// Messages with reports of overloaded engines, from all routers.
    pub overload_messages: usize,
    /// Engines that processed or fetched the popular prompt.
    pub copies: usize,
    /// Time to first event of the popular requests, in milliseconds, sorted.
    pub first_event_millis: Vec<u64>,
}

impl Measured {
    /// Returns the mean of the estimated mean loads within `millis`, as a multiple of the actual one.
    #[must_use]
    pub fn mean_estimate_ratio(&self, millis: Range<u64>) -> f64 {
        let within = self.mean_estimates.iter().filter(|estimate| millis.contains(&estimate.millis));
        let (estimated, actual) = within.fold((0.0, 0.0), |(estimated, actual), estimate| {
            (estimated + estimate.estimated, actual + estimate.actual)
        });
        estimated / actual
    }

    /// Returns the highest fraction of arrivals over the limit within five seconds, of windows with at least 20 of
    /// them.
    #[must_use]
    pub fn worst_fraction_over_limit(&self) -> f64 {
        worst_fraction_over(&self.arrivals, WARM_MILLIS..MILLIS)
    }
}
