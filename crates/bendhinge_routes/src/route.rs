//! Routes: how matching requests are handled and which pools serve them.

use std::time::Duration;

use bendhinge_ids::PoolName;

use crate::RegionFilter;

/// Retry semantics and response type of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests are idempotent.
    Safe,
    /// Requests must be executed at most once.
    Unsafe,
    /// The response is an event stream.
    Stream {
        /// Whether an interrupted stream may be resumed at another upstream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request with unknown outcome may be sent to another upstream.
    #[must_use]
    pub const fn is_retryable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Returns whether responses are event streams.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A pool and its weight in a [`PoolWeights`].
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedPool {
    /// Name of the pool.
    pub pool: PoolName,
    /// Weight relative to the other pools of the split; not negative.
    pub weight: f64,
}

/// Weighted distribution of a route's traffic over pools.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolWeights(Vec<WeightedPool>);

impl PoolWeights {
    /// Sends all traffic to one pool.
    #[must_use]
    pub fn single(pool: PoolName) -> Self {
        Self(vec![WeightedPool { pool, weight: 1.0 }])
    }

    /// Splits traffic in proportion to the weights; pools with zero weight get no traffic.
    #[must_use]
    pub fn new(pools: Vec<WeightedPool>) -> Self {
        Self(pools.into_iter().filter(|entry| entry.weight > 0.0).collect())
    }

    /// Returns the pool for `fraction`, a number in `[0, 1)` that indexes into the cumulative weights.
    ///
    /// Returns `None` if no pool has a positive weight.
    #[must_use]
    pub fn pool_at(&self, fraction: f64) -> Option<&PoolName> {
        let total: f64 = self.0.iter().map(|entry| entry.weight).sum();
        let mut remaining = fraction * total;
        for entry in &self.0 {
            remaining -= entry.weight;
            if remaining < 0.0 {
                return Some(&entry.pool);
            }
        }
        self.0.last().map(|entry| &entry.pool)
    }
}

/// A route. Its requests are refused if no pool of its split has a positive weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name used in logs and metrics.
    pub name: String,
    /// Host to match, in lower case and without port.
    pub host: String,
    /// Path prefix to match.
    pub path_prefix: String,
    /// Retry semantics and response type.
    pub kind: RouteKind,
    /// Request timeout.
    pub timeout: Duration,
    /// Latency up to which a response counts as in time.
    pub target_latency: Duration,
    /// Pause between events up to which a stream counts as in time; `None` for other responses.
    pub target_gap: Option<Duration>,
    /// Request priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams that one request is sent to, including the first.
    pub max_attempts: u32,
    /// Whether requests without an API key are served.
    pub allow_anonymous: bool,
    /// Regions that may serve the requests.
    pub regions: RegionFilter,
    /// Pools that serve the requests.
    pub split: PoolWeights,
}

impl Route {
    /// Creates a route whose requests are refused. It keeps them from routes with shorter prefixes.
    #[must_use]
    pub fn left_out(name: String, host: String, path_prefix: String) -> Self {
        Self {
            name,
            host,
            path_prefix,
            kind: RouteKind::Unsafe,
            timeout: Duration::ZERO,
            target_latency: Duration::ZERO,
            target_gap: None,
            priority: 0,
            max_attempts: 1,
            allow_anonymous: false,
            regions: RegionFilter::default(),
            split: PoolWeights::new(Vec::new()),
        }
    }
}
