//! One route: what its requests are and where they go.

use std::time::Duration;

use bendhinge_ids::PoolName;

use crate::Regions;

/// What may be done with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Running a request twice does no harm.
    Safe,
    /// A request may run at most once.
    Unsafe,
    /// The answer is a stream of events.
    Stream {
        /// Whether a stream that broke off may go on at another upstream.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request whose fate is not known may be sent to another upstream.
    #[must_use]
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether answers are streams of events.
    #[must_use]
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One part of a route's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitPart {
    /// The pool that gets it.
    pub pool: PoolName,
    /// Its weight among the parts; not negative.
    pub weight: f64,
}

/// How a route's traffic is divided between pools.
#[derive(Clone, Debug, PartialEq)]
pub struct Split(Vec<SplitPart>);

impl Split {
    /// All traffic to one pool.
    #[must_use]
    pub fn whole(pool: PoolName) -> Self {
        Self(vec![SplitPart { pool, weight: 1.0 }])
    }

    /// Traffic divided by weight; parts without weight get none.
    #[must_use]
    pub fn new(parts: Vec<SplitPart>) -> Self {
        Self(parts.into_iter().filter(|part| part.weight > 0.0).collect())
    }

    /// The pool at `point`, from 0 up to but not including 1, of the weights laid end to end;
    /// `None` if no part has weight.
    #[must_use]
    pub fn pool_at(&self, point: f64) -> Option<&PoolName> {
        let total: f64 = self.0.iter().map(|part| part.weight).sum();
        let mut left = point * total;
        for part in &self.0 {
            left -= part.weight;
            if left < 0.0 {
                return Some(&part.pool);
            }
        }
        self.0.last().map(|part| &part.pool)
    }
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name, for logs and counters.
    pub name: String,
    /// The host that it answers to, in lower case and without port.
    pub host: String,
    /// What paths begin with.
    pub path_prefix: String,
    /// What may be done with its requests.
    pub kind: RouteKind,
    /// The longest time for which a request is held.
    pub timeout: Duration,
    /// The time within which an answer is on time.
    pub target: Duration,
    /// The longest pause within a stream that is on time; `None` for other answers.
    pub target_gap: Option<Duration>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// To how many upstreams one request may be sent, the first among them.
    pub attempts: u32,
    /// Whether requests without a key are served.
    pub is_open: bool,
    /// Where its requests may run.
    pub regions: Regions,
    /// Where its traffic goes.
    pub split: Split,
}
