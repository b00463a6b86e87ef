//! The summary of its own state that a router sends to its peers.

use std::time::Duration;

use bendhinge_ids::{BoxName, ConfigRevision, Digest, Incarnation, NameHash};

/// Orders the summaries of one box by age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SummaryVersion {
    /// Incarnation of the router process.
    pub incarnation: Incarnation,
    /// Incremented with every summary of that incarnation.
    pub sequence: u64,
}

/// Load and health of an upstream, reported by the router that tracks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// The upstream.
    pub upstream: NameHash,
    /// Requests in progress.
    pub in_progress: u16,
    /// Whether it answered the latest load queries.
    pub reachable: bool,
}

/// Reports upstreams as reachable if the router that tracks them reaches hardly any: its own links are then more likely
/// to have failed than all of them, and other routers find out by themselves if not.
pub fn distrust_own_links(tracked: &mut [UpstreamLoad]) {
    /// With a single upstream, a failed upstream and a failed link look the same.
    const MIN_TRACKED: usize = 2;
    /// The minimum share of unreachable upstreams, as a numerator and a denominator.
    const UNREACHABLE_SHARE: (usize, usize) = (3, 4);
    let unreachable = tracked.iter().filter(|load| !load.reachable).count();
    let (numerator, denominator) = UNREACHABLE_SHARE;
    if tracked.len() >= MIN_TRACKED && unreachable * denominator >= tracked.len() * numerator {
        for load in tracked {
            load.reachable = true;
        }
    }
}

/// Requests of one class in one pool on one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassUsage {
    /// The pool.
    pub pool: NameHash,
    /// The class.
    pub class: NameHash,
    /// Requests in progress.
    pub in_progress: u16,
    /// Requests refused in the last round.
    pub refused: u16,
}

/// Requests of one customer in one pool on one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerUsage {
    /// The pool.
    pub pool: NameHash,
    /// The customer.
    pub customer: NameHash,
    /// Requests in progress.
    pub in_progress: u16,
    /// Requests refused in the last round.
    pub refused: u16,
}

/// State that a router reports to its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Box that the router runs on.
    pub name: BoxName,
    /// Version of the summary.
    pub version: SummaryVersion,
    /// Time since it was created, accumulated on the clocks of the routers that forwarded it.
    pub age: Duration,
    /// Whether the router is shutting down and no longer tracks upstream load.
    pub leaving: bool,
    /// Whether its reads from the platform fail, so that other routers should read instead.
    pub platform_fails: bool,
    /// Revision of the member list that it holds.
    pub list_revision: u64,
    /// Latest configuration that it holds, active or pending.
    pub config_revision: ConfigRevision,
    /// Digest of that configuration.
    pub config_digest: Digest,
    /// Upstreams whose load it tracks.
    pub upstreams: Vec<UpstreamLoad>,
    /// Usage by class.
    pub classes: Vec<ClassUsage>,
    /// Usage by the customers with the most requests.
    pub customers: Vec<CustomerUsage>,
}

impl Summary {
    /// Estimated encoded size in bytes.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        const HEADER_BYTES: usize = 96;
        const UPSTREAM_BYTES: usize = 16;
        const CLASS_BYTES: usize = 24;
        const CUSTOMER_BYTES: usize = 24;
        HEADER_BYTES
            + UPSTREAM_BYTES * self.upstreams.len()
            + CLASS_BYTES * self.classes.len()
            + CUSTOMER_BYTES * self.customers.len()
    }
}
