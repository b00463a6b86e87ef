//! The configuration as typed values.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bendhinge_ids::{
    ClassName, ConfigRevision, CustomerName, DataCentreName, Digest, ModelName, PoolName, UpstreamName,
};
use bendhinge_placement::LoadBound;
use sha2::Digest as _;

/// A checked configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Its revision.
    pub revision: ConfigRevision,
    /// The document that its plan was made from; `None` for a first one.
    pub base: Option<Digest>,
    /// The digest of its canonical text.
    pub digest: Digest,
    /// Its canonical text.
    pub text: String,
    /// Data centres.
    pub data_centres: BTreeMap<DataCentreName, DataCentre>,
    /// Priority classes.
    pub classes: BTreeMap<ClassName, Class>,
    /// Customers.
    pub customers: BTreeMap<CustomerName, Customer>,
    /// Pools.
    pub pools: BTreeMap<PoolName, Pool>,
    /// What is set for single upstreams.
    pub upstreams: BTreeMap<UpstreamName, UpstreamOverride>,
    pub(crate) customer_by_key: HashMap<KeyHash, CustomerName>,
}

impl Configuration {
    /// The customer whose bearer key this is.
    #[must_use]
    pub fn customer_of_key(&self, key: &str) -> Option<(&CustomerName, &Customer)> {
        let name = self.customer_by_key.get(&KeyHash::of(key))?;
        self.customers.get_key_value(name)
    }

    /// The pool that serves `model`.
    #[must_use]
    pub fn pool_of_model(&self, model: &str) -> Option<(&PoolName, &Pool)> {
        self.pools.iter().find(|(_, pool)| match &pool.kind {
            PoolKind::Model { model: served, .. } => served.as_str() == model,
            PoolKind::Service { .. } => false,
        })
    }

    /// The service whose path is the longest that `path` begins with.
    #[must_use]
    pub fn pool_of_path(&self, path: &str) -> Option<(&PoolName, &Pool)> {
        self.pools
            .iter()
            .filter_map(|(name, pool)| match &pool.kind {
                PoolKind::Service { path: prefix } if is_below(path, prefix) => {
                    Some((prefix.len(), name, pool))
                }
                _ => None,
            })
            .max_by_key(|(length, ..)| *length)
            .map(|(_, name, pool)| (name, pool))
    }

    /// Whether operators let `upstream`, which stands in `data_centre`, take new work.
    #[must_use]
    pub fn may_serve(&self, upstream: &UpstreamName, data_centre: &DataCentreName) -> bool {
        let data_centre_serves = self
            .data_centres
            .get(data_centre)
            .is_none_or(|data_centre| data_centre.state == ServingState::Serving);
        let itself =
            self.upstreams.get(upstream).is_none_or(|upstream| upstream.state == ServingState::Serving);
        data_centre_serves && itself
    }
}

fn is_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The SHA-256 of a customer's bearer key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// The hash of `key`.
    #[must_use]
    pub fn of(key: &str) -> Self {
        Self(sha2::Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl FromStr for KeyHash {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut hash = [0; 32];
        let decoded = hex::decode_to_slice(text, &mut hash);
        decoded.map_err(|_| "write the 64 hexadecimal digits of the key's SHA-256".to_owned())?;
        Ok(Self(hash))
    }
}

/// Whether new work may go somewhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServingState {
    /// New work may go there.
    #[default]
    Serving,
    /// No new work; what is in progress finishes.
    Drained,
}

impl FromStr for ServingState {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "serving" => Ok(Self::Serving),
            "drained" => Ok(Self::Drained),
            _ => Err("write serving or drained".to_owned()),
        }
    }
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// The region it stands in.
    pub region: String,
    /// Whether its upstreams take new work.
    pub state: ServingState,
}

/// A priority class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Its part of a full pool, relative to other classes.
    pub share: f64,
    /// The priority passed to engines, 0 to 9.
    pub engine_priority: u8,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// The class of its requests.
    pub class: ClassName,
    /// How many of its requests may be in progress in the whole fleet.
    pub in_progress: u32,
    /// Its part of its class, relative to the class's other customers.
    pub share: f64,
}

/// What the upstreams of a pool are.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines.
    Model {
        /// The model as callers name it.
        model: ModelName,
        /// The version to be loaded.
        version: u64,
        /// The adapter to be loaded.
        adapter: Option<String>,
    },
    /// A plain service.
    Service {
        /// The path under which callers reach it.
        path: String,
    },
}

/// A pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// What its upstreams are.
    pub kind: PoolKind,
    /// The bound on each upstream's load.
    pub load_bound: LoadBound,
    /// Requests that an upstream of weight 1 serves at once.
    pub slots: u32,
    /// How long a turn usually takes.
    pub turn: Duration,
}

/// What is set for one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamOverride {
    /// Whether it takes new work.
    pub state: ServingState,
    /// The role that it is ordered to take.
    pub role: String,
}
