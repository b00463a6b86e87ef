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
