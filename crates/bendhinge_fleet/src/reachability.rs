//! Detection of partitions between this router and the upstreams of a pool, from the results of its own connections.
//!
//! A single failed connection may be due to the upstream or to the link to it. Connections to most of a
//! pool's upstreams that fail within a short time suggest the link.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash, PoolName};
use rustc_hash::FxHashMap;

/// How long the result of a connection counts.
const RESULT_TTL: Duration = Duration::from_secs(2);
/// How long a response counts as a sign that an open connection works.
const RESPONSE_TTL: Duration = Duration::from_secs(1);
/// The number of upstreams without a connection from which a partition is suspected.
const SUSPECT_FAILURES: usize = 2;
/// The number of upstreams without a connection from which a partition is assumed, unless the pool is smaller.
const PARTITION_FAILURES: usize = 4;
/// The minimum ratio of failed to established connections while a partition begins.
const PARTITION_RATIO: usize = 3;

/// How a new result changed what is known of the links to a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// No change.
    Unchanged,
    /// A partition is suspected and has to be confirmed by further connections.
    Suspected,
    /// Connections to most upstreams fail.
    Partitioned,
    /// Connections to most upstreams are established again.
    Restored,
}

/// What is known of the link to one upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// When the last connection was established.
    connection: Option<Instant>,
    /// When the last connection failed.
    failure: Option<Instant>,
    /// When the last response arrived.
    response: Option<Instant>,
}

impl Link {
    fn has_failed(&self, now: Instant) -> bool {
        self.failure > self.connection && self.failure.is_some_and(|at| now.since(at) < RESULT_TTL)
    }

    fn is_connected(&self, now: Instant) -> bool {
        self.connection >= self.failure && self.connection.is_some_and(|at| now.since(at) < RESULT_TTL)
    }

    fn has_responded_since(&self, since: Instant) -> bool {
        self.response.is_some_and(|at| at >= since)
    }
}

/// The links to the upstreams of one pool.
#[derive(Debug, Default)]
struct PoolLinks {
    links: FxHashMap<NameHash, Link>,
    /// When the last connection to any upstream failed.
    last_failure: Option<Instant>,
    is_partitioned: bool,
}

impl PoolLinks {
    fn count(&self, holds: impl Fn(&Link) -> bool) -> usize {
        self.links.values().filter(|link| holds(link)).count()
    }

    /// The number of upstreams without a connection since any connection of the pool was established.
    fn failures_in_a_row(&self, now: Instant) -> usize {
        let last_connected = self.links.values().map(|link| link.connection).max().flatten();
        self.count(|link| link.has_failed(now) && link.failure > last_connected)
    }

    /// Updates the state after a new result. `listed` is the number of the pool's upstreams.
    fn update(&mut self, listed: usize, now: Instant) -> ReachabilityChange {
        let failed = self.count(|link| link.has_failed(now));
        let connected = self.count(|link| link.is_connected(now));
        if self.is_partitioned {
            if connected == 0 || connected < failed {
                return ReachabilityChange::Unchanged;
            }
            self.is_partitioned = false;
            return ReachabilityChange::Restored;
        }
        if failed >= PARTITION_FAILURES.min(listed).max(1) && failed >= PARTITION_RATIO * connected {
            self.is_partitioned = true;
            return ReachabilityChange::Partitioned;
        }
        if self.failures_in_a_row(now) >= SUSPECT_FAILURES.min(listed).max(1) {
            return ReachabilityChange::Suspected;
        }
        ReachabilityChange::Unchanged
    }
}

/// The links of this router to the upstreams of all pools.
#[derive(Debug, Default)]
pub struct Reachability {
    pools: FxHashMap<PoolName, PoolLinks>,
}

impl Reachability {
    fn pool(&mut self, pool: &PoolName) -> &mut PoolLinks {
        if !self.pools.contains_key(pool) {
            self.pools.insert(pool.clone(), PoolLinks::default());
        }
        self.pools.get_mut(pool).expect("inserted above")
    }

    /// Whether connections to the pool failed recently or it is partitioned. If not, established connections change
    /// nothing.
    #[must_use]
    pub fn has_recent_failure(&self, pool: &PoolName, now: Instant) -> bool {
        self.pools.get(pool).is_some_and(|links| {
            links.is_partitioned || links.last_failure.is_some_and(|at| now.since(at) < RESULT_TTL)
        })
    }

    /// Records that a new connection to an upstream was established. `listed` is the number of upstreams of the pool.
    pub fn record_connected(
        &mut self,
        pool: &PoolName,
        upstream: NameHash,
        listed: usize,
        now: Instant,
    ) -> ReachabilityChange {
        let links = self.pool(pool);
        links.links.entry(upstream).or_default().connection = Some(now);
        links.update(listed, now)
    }

    /// Records that a new connection to an upstream failed. `listed` is the number of upstreams of the pool.
    pub fn record_connect_failure(
        &mut self,
        pool: &PoolName,
        upstream: NameHash,
        listed: usize,
        now: Instant,
    ) -> ReachabilityChange {
        let links = self.pool(pool);
        links.links.entry(upstream).or_default().failure = Some(now);
        links.last_failure = Some(now);
        links.update(listed, now)
    }

    /// Records a response of an upstream, on any connection.
    pub fn record_response(&mut self, pool: &PoolName, upstream: NameHash, now: Instant) {
        self.pool(pool).links.entry(upstream).or_default().response = Some(now);
    }

    /// Whether connections to most upstreams of the pool fail.
    #[must_use]
    pub fn is_partitioned(&self, pool: &PoolName) -> bool {
        self.pools.get(pool).is_some_and(|links| links.is_partitioned)
    }

    /// Whether a partition from the pool is suspected or assumed.
    #[must_use]
    pub fn is_suspect(&self, pool: &PoolName, listed: usize, now: Instant) -> bool {
        self.pools.get(pool).is_some_and(|links| {
            links.is_partitioned || links.failures_in_a_row(now) >= SUSPECT_FAILURES.min(listed).max(1)
        })
    }

    /// Whether any upstream of the pool was reached recently, over a new connection or an open one.
    #[must_use]
    pub fn is_any_reached(&self, pool: &PoolName, now: Instant) -> bool {
        let since = now - RESPONSE_TTL;
        self.pools.get(pool).is_some_and(|links| {
            links.links.values().any(|link| link.is_connected(now) || link.has_responded_since(since))
        })
    }

    /// Whether an upstream of the pool other than `upstream` has responded since `since`, which shows that the links of
    /// this router worked then.
    #[must_use]
    pub fn has_other_responded(&self, pool: &PoolName, upstream: NameHash, since: Instant) -> bool {
        self.pools.get(pool).is_some_and(|links| {
            links.links.iter().any(|(other, link)| *other != upstream && link.has_responded_since(since))
        })
    }

    /// Returns when the result of the last connection to an upstream arrived.
    #[must_use]
    pub fn last_result(&self, pool: &PoolName, upstream: NameHash) -> Option<Instant> {
        let link = self.pools.get(pool)?.links.get(&upstream)?;
        link.connection.max(link.failure)
    }

    /// Returns the pools that this router is partitioned from.
    pub fn partitioned_pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.iter().filter(|(_, links)| links.is_partitioned).map(|(pool, _)| pool)
    }

    /// Drops the links to upstreams of the pool that accept no work. Their failures say nothing about the others.
    pub fn retain_accepting(&mut self, pool: &PoolName, accepts_work: impl Fn(NameHash) -> bool) {
        if let Some(links) = self.pools.get_mut(pool) {
            links.links.retain(|upstream, _| accepts_work(*upstream));
        }
    }

    /// Drops the links to upstreams that are not listed, and pools without upstreams.
    pub fn retain_listed(&mut self, is_listed: impl Fn(NameHash) -> bool) {
        self.pools.retain(|_, links| {
            links.links.retain(|upstream, _| is_listed(*upstream));
            !links.links.is_empty()
        });
    }
}
