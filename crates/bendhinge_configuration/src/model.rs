//! Typed model of the configuration.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bendhinge_ids::{
    ClassName, ConfigRevision, CustomerName, DataCentreName, Digest, ModelName, PoolName, UpstreamName,
};
use bendhinge_placement::LoadBound;
use sha2::Digest as _;

/// A validated configuration.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Revision number.
    pub revision: ConfigRevision,
    /// Digest of the document that it was planned from; `None` for the initial one.
    pub base: Option<Digest>,
    /// Digest of the canonical text.
    pub digest: Digest,
    /// Canonical text.
    pub text: String,
    /// Data centres by name.
    pub data_centres: BTreeMap<DataCentreName, DataCentre>,
    /// Priority classes by name.
    pub classes: BTreeMap<ClassName, Class>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerName, Customer>,
    /// Pools by name.
    pub pools: BTreeMap<PoolName, Pool>,
    /// Overrides for individual upstreams.
    pub upstreams: BTreeMap<UpstreamName, UpstreamOverride>,
    pub(crate) customer_by_key: HashMap<KeyHash, CustomerName>,
}

impl Configuration {
    /// Returns the customer with the bearer key `key`.
    #[must_use]
    pub fn find_customer_by_key(&self, key: &str) -> Option<(&CustomerName, &Customer)> {
        let name = self.customer_by_key.get(&KeyHash::of(key))?;
        self.customers.get_key_value(name)
    }

    /// Returns the pool that serves `model`.
    #[must_use]
    pub fn pool_for_model(&self, model: &str) -> Option<(&PoolName, &Pool)> {
        self.pools.iter().find(|(_, pool)| match &pool.kind {
            PoolKind::Model { model: served, .. } => served.as_str() == model,
            PoolKind::Service { .. } => false,
        })
    }

    /// Returns the service pool with the longest path that is a prefix of `path`.
    #[must_use]
    pub fn pool_for_path(&self, path: &str) -> Option<(&PoolName, &Pool)> {
        self.pools
            .iter()
            .filter_map(|(name, pool)| match &pool.kind {
                PoolKind::Service { path: prefix } if has_path_prefix(path, prefix) => {
                    Some((prefix.len(), name, pool))
                }
                _ => None,
            })
            .max_by_key(|(length, ..)| *length)
            .map(|(_, name, pool)| (name, pool))
    }

    /// Whether `upstream` in `data_centre` accepts new work: neither of them is drained.
    #[must_use]
    pub fn accepts_new_work(&self, upstream: &UpstreamName, data_centre: &DataCentreName) -> bool {
        let data_centre_serves = self
            .data_centres
            .get(data_centre)
            .is_none_or(|data_centre| data_centre.state == ServingState::Serving);
        let upstream_serves =
            self.upstreams.get(upstream).is_none_or(|upstream| upstream.state == ServingState::Serving);
        data_centre_serves && upstream_serves
    }
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The SHA-256 of a customer's bearer key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Hashes `key`.
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
        decoded.map_err(|_| "expected the SHA-256 of the key as 64 hexadecimal digits".to_owned())?;
        Ok(Self(hash))
    }
}

/// Whether an upstream or a data centre accepts new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServingState {
    /// Accepts new work.
    #[default]
    Serving,
    /// Accepts no new work; requests in progress finish.
    Drained,
}

impl FromStr for ServingState {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "serving" => Ok(Self::Serving),
            "drained" => Ok(Self::Drained),
            _ => Err("expected serving or drained".to_owned()),
        }
    }
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DataCentre {
    /// Region of the data centre.
    pub region: String,
    /// Whether its upstreams accept new work.
    pub state: ServingState,
}

/// A priority class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Class {
    /// Weight of the class when a pool is full, relative to other classes.
    pub share: f64,
    /// Priority passed to engines, 0 to 9.
    pub engine_priority: u8,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Priority class of its requests.
    pub class: ClassName,
    /// Maximum number of its requests in progress across the fleet.
    pub max_in_progress: u32,
    /// Weight within its class, relative to the other customers of the class.
    pub share: f64,
}

/// Kind of the upstreams of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PoolKind {
    /// Model engines.
    Model {
        /// Model name used by callers.
        model: ModelName,
        /// Model version to load.
        version: u64,
        /// Adapter to load.
        adapter: Option<String>,
    },
    /// A service other than a model engine.
    Service {
        /// Path prefix of its requests.
        path: String,
    },
}

/// A pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Kind of its upstreams.
    pub kind: PoolKind,
    /// Upper bound on the load of each upstream.
    pub load_bound: LoadBound,
    /// Number of concurrent requests that an upstream of weight 1 serves.
    pub slots: u32,
    /// Typical duration of a turn.
    pub typical_turn: Duration,
}

/// Operator settings for one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamOverride {
    /// Whether it accepts new work.
    pub state: ServingState,
    /// Role that the engine is ordered to take.
    pub role: String,
}
