//! The fleet as one router knows it at one moment: never changed, only replaced.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use bendhinge_admission::{CustomerIndex, PoolIndex};
use bendhinge_configuration::{Configuration, Pool};
use bendhinge_ids::{BoxName, CustomerName, NameHash, PoolName, UpstreamName};

use bendhinge_placement::{Ranking, UpstreamIndex};

/// Which router counts for an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Owner {
    /// This one.
    Own,
    /// Another.
    Peer(RouterEntry),
    /// None: no router is known to be live.
    Nobody,
}

/// A router and where its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RouterEntry {
    pub(crate) name: BoxName,
    pub(crate) address: SocketAddr,
}

/// An upstream.
#[derive(Clone, Debug)]
pub(crate) struct Target {
    pub(crate) name: UpstreamName,
    pub(crate) hash: NameHash,
    pub(crate) pool: PoolName,
    pub(crate) address: SocketAddr,
    pub(crate) owner: Owner,
}

/// A pool with its listed upstreams.
#[derive(Debug)]
pub(crate) struct FleetPool {
    pub(crate) name: PoolName,
    pub(crate) index: PoolIndex,
    pub(crate) rule: Pool,
    pub(crate) ranking: Ranking,
    /// In the order of the ranking.
    pub(crate) targets: Vec<Arc<Target>>,
    /// The targets' hashes, in the same order.
    pub(crate) hashes: Vec<NameHash>,
}

impl FleetPool {
    /// The hashes of the upstreams that take new work.
    pub(crate) fn serving_hashes(&self) -> impl Iterator<Item = NameHash> {
        self.ranking.serving_indices().map(|index| self.hashes[index.0 as usize])
    }

    pub(crate) fn target(&self, index: UpstreamIndex) -> &Arc<Target> {
        &self.targets[index.0 as usize]
    }
}

/// The fleet.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) configuration: Option<Arc<Configuration>>,
    /// All listed routers, for idempotency keys and exchanges.
    pub(crate) routers: Vec<RouterEntry>,
    /// Those that count for upstreams.
    pub(crate) counting: Vec<BoxName>,
    pub(crate) pools: BTreeMap<PoolName, Arc<FleetPool>>,
    /// All listed upstreams, also those that take no new work.
    pub(crate) upstreams: Vec<Arc<Target>>,
    pub(crate) customers: HashMap<CustomerName, CustomerIndex>,
    pub(crate) names: Names,
}

/// Positions in the rules, by the hashes that routers send.
#[derive(Debug, Default)]
pub(crate) struct Names {
    pub(crate) pools: HashMap<NameHash, PoolIndex>,
    pub(crate) classes: HashMap<NameHash, usize>,
    pub(crate) customers: HashMap<NameHash, CustomerIndex>,
    /// Customers' hashes in the order of the rules.
    pub(crate) customer_hashes: Vec<NameHash>,
}

impl Fleet {
    /// The upstreams that this router counts for.
    pub(crate) fn owned_upstreams(&self) -> Vec<Arc<Target>> {
        self.upstreams.iter().filter(|target| target.owner == Owner::Own).cloned().collect()
    }

    pub(crate) fn router(&self, name: &BoxName) -> Option<&RouterEntry> {
        self.routers.iter().find(|router| router.name == *name)
    }
}
