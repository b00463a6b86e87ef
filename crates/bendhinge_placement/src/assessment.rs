//! Classification of upstreams by possibly stale load data.

use std::time::Duration;

use crate::{LoadBound, PoolLoad};

/// The last reported load of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownLoad {
    /// Requests in progress at the time of measurement, adjusted by the router's own requests
    /// since.
    pub in_progress: u32,
    /// Age of the measurement.
    pub age: Duration,
}

/// Whether a permit must be requested from the owner of an upstream before a request is sent to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// The load is far enough below the limit that no permit is needed.
    BelowLimit,
    /// The load is so close to the limit that only the owner's exact count can decide.
    Uncertain,
    /// The load is so far above the limit that a permit would almost certainly be denied.
    AboveLimit,
}

/// Minimum distance below the limit, in standard deviations, for [`Assessment::BelowLimit`].
const BELOW_LIMIT_DEVIATIONS: f64 = 2.0;
/// Minimum distance above the limit, in standard deviations, for [`Assessment::AboveLimit`].
const ABOVE_LIMIT_DEVIATIONS: f64 = 3.0;
/// Maximum age of load data; older data is ignored.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Classifies an upstream that has `share` of its pool's weight by its last known load.
///
/// Arrivals between two reports are modelled as a Poisson process, so the standard deviation of the
/// unseen change is the square root of the load. Under low load, this is as large as the distance
/// to the limit, and the result is mostly [`Assessment::Uncertain`]; under high load, most requests
/// need no permit.
#[must_use]
pub fn assess(known: Option<KnownLoad>, bound: LoadBound, pool: PoolLoad, share: f64) -> Assessment {
    let Some(known) = known.filter(|known| known.age <= MAX_AGE) else {
        return Assessment::Uncertain;
    };
    let load = f64::from(known.in_progress);
    let limit = f64::from(bound.limit(pool, share));
    let deviation = load.max(1.0).sqrt();
    if load + 1.0 + BELOW_LIMIT_DEVIATIONS * deviation <= limit {
        Assessment::BelowLimit
    } else if load >= limit + ABOVE_LIMIT_DEVIATIONS * deviation {
        Assessment::AboveLimit
    } else {
        Assessment::Uncertain
    }
}
