//! The platform's list, as it publishes it.

use std::net::SocketAddr;

use bendhinge_ids::{BoxName, DataCentreName, PoolName, UpstreamName};
use serde::{Deserialize, Serialize};

/// The platform's list at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// Grows with every change.
    pub revision: u64,
    /// All boxes and upstreams.
    pub members: Vec<Member>,
}

/// Whether a member takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It does.
    Live,
    /// It finishes what it has and goes.
    Leaving,
}

/// What a member is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum MemberRole {
    /// A box with a router.
    Router {
        /// The box.
        name: BoxName,
    },
    /// An upstream.
    Upstream {
        /// The upstream.
        name: UpstreamName,
        /// Its pool.
        pool: PoolName,
        /// Its size relative to others of the pool.
        #[serde(default = "one")]
        weight: f64,
    },
}

fn one() -> f64 {
    1.0
}

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// What it is, with its name.
    #[serde(flatten)]
    pub role: MemberRole,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where it listens: routers for their peers, upstreams for requests.
    pub address: SocketAddr,
    /// Whether it takes new work.
    pub state: MemberState,
}
