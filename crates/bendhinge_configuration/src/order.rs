//! Orders to engines: a pure function of the confirmed configuration, so that any router may
//! send one, twice or late, without harm where the engine checks the fence.

use bendhinge_ids::{PoolName, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{Configuration, PoolKind};

/// What an engine is ordered to be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// The confirmed revision; an engine refuses an order whose fence is below one it has seen.
    pub fence: u64,
    /// The model to load.
    pub model: String,
    /// Its version.
    pub version: u64,
    /// The adapter to load.
    pub adapter: Option<String>,
    /// The role to take.
    pub role: String,
}

impl EngineOrder {
    /// Whether the two differ at most in their fence, so that the engine need not be told.
    #[must_use]
    pub fn same_but_fence(&self, other: &Self) -> bool {
        Self { fence: other.fence, ..self.clone() } == *other
    }
}

/// The order that `configuration` implies for an upstream of `pool`; `None` for plain services.
#[must_use]
pub fn order_for(
    configuration: &Configuration,
    pool: &PoolName,
    upstream: &UpstreamName,
) -> Option<EngineOrder> {
    const DEFAULT_ROLE: &str = "generate";
    let PoolKind::Model { model, version, adapter } = &configuration.pools.get(pool)?.kind else {
        return None;
    };
    let role = configuration.upstreams.get(upstream).map_or(DEFAULT_ROLE, |upstream| upstream.role.as_str());
    Some(EngineOrder {
        fence: configuration.revision.0,
        model: model.to_string(),
        version: *version,
        adapter: adapter.clone(),
        role: role.to_owned(),
    })
}
