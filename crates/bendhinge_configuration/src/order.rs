//! Orders to engines. An order is a pure function of the confirmed configuration and carries a
//! fencing token, so that any router may send it, and duplicate or late orders are harmless to
//! engines that check the token.

use bendhinge_ids::{PoolName, UpstreamName};
use serde::{Deserialize, Serialize};

use crate::{Configuration, PoolKind};

/// The model, version, adapter and role that an engine is ordered to take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token: the confirmed revision. Engines refuse orders with a lower fence than one
    /// already seen.
    pub fence: u64,
    /// Model to load.
    pub model: String,
    /// Version of the model.
    pub version: u64,
    /// Adapter to load.
    pub adapter: Option<String>,
    /// Role to take.
    pub role: String,
}

impl EngineOrder {
    /// Whether both orders are equal except for the fence, so that sending the new one is unnecessary.
    #[must_use]
    pub fn equals_ignoring_fence(&self, other: &Self) -> bool {
        Self { fence: other.fence, ..self.clone() } == *other
    }
}

/// Returns the order that `configuration` implies for an upstream of `pool`, or `None` for a service.
#[must_use]
pub fn engine_order(
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
