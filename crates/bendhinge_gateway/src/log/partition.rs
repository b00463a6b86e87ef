//! Log lines of partitions between gateways and upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_ids::PoolName;
use serde::Serialize;

use super::{Log, whole_millis};

impl Log {
    /// Logs that a partition from the upstreams of a pool begins or is over.
    pub(crate) fn partition_changed(&self, pool: &PoolName, is_partitioned: bool) {
        #[derive(Serialize)]
        struct Fields<'a> {
            pool: &'a str,
            partitioned: bool,
        }
        self.log_event("partition", Fields { pool: pool.as_str(), partitioned: is_partitioned });
    }

    /// Logs that a gateway reported other pools than before from which it is partitioned.
    pub(crate) fn peer_partition_changed(&self, pools: usize, age: Duration, from: SocketAddr) {
        #[derive(Serialize)]
        struct Fields {
            pools: usize,
            age_ms: u64,
            told_by: SocketAddr,
        }
        self.log_event("peer_partition", Fields { pools, age_ms: whole_millis(age), told_by: from });
    }
}
