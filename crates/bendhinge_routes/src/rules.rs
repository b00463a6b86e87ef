//! Serving rules as one versioned value.

use std::time::Duration;

use bendhinge_ids::PoolName;
use rustc_hash::FxHashMap;

use crate::{CustomerTable, RouteTable};

/// Settings of a pool that apply to each of its upstreams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolRule {
    /// Maximum number of connections to one upstream from all callers together.
    pub max_connections: Option<u32>,
    /// Number of requests that one upstream processes concurrently, if known.
    pub slots: Option<u32>,
    /// Whether upstreams cache the prompts that they have processed.
    pub caches_prompts: bool,
    /// Whether an upstream can fetch cached prompts from another.
    pub transfers_cached_prompts: bool,
    /// Capacity of an upstream's prompt cache, in tokens.
    pub prompt_cache_tokens: u64,
    /// Maximum requests per second to an upstream that is warming up; `None` for no limit.
    pub warmup_requests_per_second: Option<f32>,
}

/// Limits on client requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a complete request.
    pub receive_timeout: Duration,
    /// Timeout for idle connections.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            receive_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// An entry of the rules that cannot be used.
///
/// The other entries are in force: one invalid entry must not keep removed keys and routes in use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeftOutEntry {
    /// What the entry describes.
    pub kind: EntryKind,
    /// Its name, as far as it can be read.
    pub name: String,
    /// Why it cannot be used.
    pub reason: String,
}

/// Kinds of entries of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryKind {
    /// A route.
    Route,
    /// A pool.
    Pool,
    /// A customer.
    Customer,
    /// The limits on client requests and connections.
    Limits,
}

impl EntryKind {
    /// Returns the name of the kind in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Pool => "pool",
            Self::Customer => "customer",
            Self::Limits => "limits",
        }
    }
}

/// One version of the serving rules.
#[derive(Clone, Debug, Default)]
pub struct ServingRules {
    /// Version number; newer versions have higher numbers.
    pub version: u64,
    /// Routes by host and path.
    pub routes: RouteTable,
    /// Settings of the pools.
    pub pools: FxHashMap<PoolName, PoolRule>,
    /// Customers and their API keys.
    pub customers: CustomerTable,
    /// Limits on client requests and connections.
    pub limits: CallerLimits,
    /// Entries that cannot be used.
    pub left_out: Vec<LeftOutEntry>,
}
