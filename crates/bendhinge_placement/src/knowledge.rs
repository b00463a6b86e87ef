//! What a router can tell from lagged knowledge without asking.

use std::time::Duration;

use crate::{LoadBound, PoolLoad};

/// An upstream's load as a router last heard it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KnownLoad {
    /// Requests in progress when it was measured, and the change by the router's own since.
    pub in_progress: u32,
    /// How long ago that was.
    pub age: Duration,
}

/// Whether the router that counts for an upstream must be asked before work is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// So far below the bound that the count cannot have reached it: no message is needed.
    Clear,
    /// Near enough to the bound that only the exact count can tell.
    Ask,
    /// So far above the bound that asking would be in vain.
    Full,
}

/// Standard deviations of room that make an upstream [`Assessment::Clear`].
const CLEAR_DEVIATIONS: f64 = 2.0;
/// Standard deviations above the bound that make an upstream [`Assessment::Full`].
const FULL_DEVIATIONS: f64 = 3.0;
/// Knowledge older than this is none.
const OLDEST: Duration = Duration::from_secs(5);

/// Judges an upstream with `share` of its pool from lagged knowledge.
///
/// Arrivals between two reports are about Poisson, so the unseen change is about as large as
/// the square root of the load. With a handful of requests in progress that is as much as the
/// room under the bound, and the answer is [`Assessment::Ask`]; with a hundred it is far less,
/// and most turns need no message. One rule serves both sizes.
#[must_use]
pub fn assess(known: Option<KnownLoad>, bound: LoadBound, pool: PoolLoad, share: f64) -> Assessment {
    let Some(known) = known.filter(|known| known.age <= OLDEST) else {
        return Assessment::Ask;
    };
    let load = f64::from(known.in_progress);
    let limit = f64::from(bound.limit(pool, share));
    let deviation = load.max(1.0).sqrt();
    if load + 1.0 + CLEAR_DEVIATIONS * deviation <= limit {
        Assessment::Clear
    } else if load >= limit + FULL_DEVIATIONS * deviation {
        Assessment::Full
    } else {
        Assessment::Ask
    }
}
