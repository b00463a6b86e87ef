//! What a router tells of itself.

use std::time::Duration;

use bendhinge_ids::{BoxName, ConfigRevision, Digest, Incarnation, NameHash};

/// Which of two summaries of one box is later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SummaryVersion {
    /// The router's life.
    pub incarnation: Incarnation,
    /// Grows with every summary of that life.
    pub sequence: u64,
}

/// An upstream's load and health, from the router that counts for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamCount {
    /// The upstream.
    pub upstream: NameHash,
    /// Requests in progress.
    pub in_progress: u16,
    /// Whether it answered its last load queries.
    pub reachable: bool,
}

/// Requests of one class in one pool at one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassUsage {
    /// The pool.
    pub pool: NameHash,
    /// The class.
    pub class: NameHash,
    /// In progress.
    pub in_progress: u16,
    /// Refused in the last round.
    pub refused: u16,
}

/// Requests of one customer in one pool at one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerUsage {
    /// The pool.
    pub pool: NameHash,
    /// The customer.
    pub customer: NameHash,
    /// In progress.
    pub in_progress: u16,
    /// Refused in the last round.
    pub refused: u16,
}

/// What one router tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Its box.
    pub name: BoxName,
    /// Its version.
    pub version: SummaryVersion,
    /// How long ago it was made, by the clocks of those who passed it on.
    pub age: Duration,
    /// Whether the router is stopping: it counts for nothing any more.
    pub leaving: bool,
    /// Whether its reads of the platform fail, so that others should read in its place.
    pub platform_fails: bool,
    /// The revision of the platform's list that it knows.
    pub list_revision: u64,
    /// The latest configuration that it knows, in force or settling.
    pub config_revision: ConfigRevision,
    /// Its digest.
    pub config_digest: Digest,
    /// The upstreams that it counts for.
    pub upstreams: Vec<UpstreamCount>,
    /// Usage by class.
    pub classes: Vec<ClassUsage>,
    /// Usage by its busiest customers.
    pub customers: Vec<CustomerUsage>,
}

impl Summary {
    /// About how many bytes it takes to send.
    #[must_use]
    pub fn size(&self) -> usize {
        const HEAD: usize = 96;
        const UPSTREAM: usize = 16;
        const CLASS: usize = 24;
        const CUSTOMER: usize = 24;
        HEAD + UPSTREAM * self.upstreams.len() + CLASS * self.classes.len() + CUSTOMER * self.customers.len()
    }
}
