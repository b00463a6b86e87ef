//! The load that an upstream may carry.

/// The multiple of the mean load that no upstream of a pool exceeds; above 1.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct LoadBound(pub f64);

/// What a pool carries, as known where the bound is applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolLoad {
    /// Requests in progress on all upstreams of the pool that may take new work.
    pub in_progress: u32,
}

/// By how many square roots of a pool's load the load that a router adds up may be too high.
///
/// It adds up counts of different moments, and about as many requests began and ended since as
/// the square root of the load. Without this a promise of 12 was passed by 13 at one admission
/// in 10,000 (nine routers before forty engines); with it, at none in 85,000, for 0.6 % of the
/// reuse. `docs/design/PLACEMENT.md` has the figures.
const DOUBT: f64 = 0.2;

impl PoolLoad {
    /// The load that the pool surely had of late, for reckoning a bound that is to be kept.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive count far below 2^32"
    )]
    pub fn surely(self) -> Self {
        let doubt = f64::from(self.in_progress).sqrt() * DOUBT;
        Self { in_progress: (f64::from(self.in_progress) - doubt).max(0.0) as u32 }
    }
}

impl LoadBound {
    /// The most requests that an upstream with `share` of the pool's weight may have in
    /// progress, counting the one that is being admitted.
    ///
    /// The promise is `ceil(multiple × (pool load + 1) × share)`. The one more is the request
    /// itself; the rounding is upwards, so that every upstream may carry at least one.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a positive count far below 2^32"
    )]
    pub fn limit(self, pool: PoolLoad, share: f64) -> u32 {
        let mean = f64::from(pool.in_progress + 1) * share;
        // The small number keeps a product such as 1.25 × 0.8 from rounding up past an exact 1.
        (self.0 * mean - 1e-9).ceil() as u32
    }
}
