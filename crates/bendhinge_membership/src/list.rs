//! The member list in the format that the platform publishes.

use std::net::SocketAddr;

use bendhinge_ids::{BoxName, DataCentreName, PoolName, UpstreamName};
use serde::{Deserialize, Serialize};

/// The platform's member list at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberList {
    /// Revision, incremented with every change.
    pub revision: u64,
    /// All boxes and upstreams.
    pub members: Vec<Member>,
}

/// Whether a member accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Accepts new work.
    Live,
    /// Finishes its requests in progress and then stops.
    Leaving,
}

/// Role of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "role")]
pub enum MemberRole {
    /// A router.
    Router {
        /// Name of its box.
        name: BoxName,
    },
    /// An upstream.
    Upstream {
        /// Name of the upstream.
        name: UpstreamName,
        /// Pool it belongs to.
        pool: PoolName,
        /// Capacity relative to the other upstreams of the pool.
        #[serde(default = "one")]
        weight: f64,
    },
}

fn one() -> f64 {
    1.0
}

/// One entry of the member list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Role and name.
    #[serde(flatten)]
    pub role: MemberRole,
    /// Data centre it runs in.
    pub data_centre: DataCentreName,
    /// Listening address: for peers if a router, for requests if an upstream.
    pub address: SocketAddr,
    /// Whether it accepts new work.
    pub state: MemberState,
}
