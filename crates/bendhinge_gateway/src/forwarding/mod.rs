//! Forwards requests to other gateways while this one is partitioned from the upstreams of a pool.
//!
//! A request is forwarded once: the gateway that receives it delivers it itself or refuses it. Forwarded requests are
//! sent over connections that are encrypted and authenticated with the fleet's key, so that callers cannot pose as
//! gateways.

pub(crate) mod headers;

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_fleet::{PartitionReport, PeerPartitions, UpdateSource};
use bendhinge_ids::{DataCentreName, Instant, NameHash, PoolName};
use bendhinge_peer::{CallError, PeerStream};
use rand::Rng;
use rustc_hash::FxHashMap;
use smol::channel::{Receiver, Sender, bounded};

use crate::state::address_hash;

/// Forwarded requests in progress by which a gateway in another data centre is preferred to one in the own.
const LOCAL_PREFERENCE: usize = 4;
/// How long a gateway that was not reached is avoided.
const FAILURE_TTL: Duration = Duration::from_secs(1);
/// Connections that wait to be opened.
const MAX_QUEUED_CONNECTS: usize = 256;

/// A gateway that takes forwarded requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForwardTarget {
    /// The address for peers.
    pub(crate) address: SocketAddr,
    /// The hash of its data centre.
    pub(crate) data_centre: NonZeroU32,
    /// The time of the last direct contact of any gateway with it.
    pub(crate) last_heard: Instant,
}

/// A connection to be opened to a gateway.
pub(crate) struct ConnectRequest {
    pub(crate) address: SocketAddr,
    /// Where the result is sent.
    pub(crate) reply: Sender<Result<PeerStream, CallError>>,
}

struct State {
    targets: Vec<ForwardTarget>,
    partitions: PeerPartitions,
    /// The number of own requests in progress at each gateway.
    in_progress: FxHashMap<SocketAddr, usize>,
    /// When a gateway was last not reached.
    failures: FxHashMap<SocketAddr, Instant>,
}

/// Chooses the gateways to which requests are forwarded.
pub(crate) struct Forwarding {
    is_enabled: bool,
    own_data_centre: NonZeroU32,
    own_address: SocketAddr,
    state: Mutex<State>,
    connects: Sender<ConnectRequest>,
}

/// A request that is forwarded to a gateway, until dropped.
pub(crate) struct ForwardGuard {
    forwarding: Arc<Forwarding>,
    pub(crate) address: SocketAddr,
    /// The inputs of the choice, for the log.
    pub(crate) basis: ForwardBasis,
}

/// The inputs of the choice of a gateway.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForwardBasis {
    /// The number of eligible gateways.
    pub(crate) candidates: usize,
    /// The number of other requests of this gateway that were in progress there.
    pub(crate) own_requests: usize,
    /// The time since the last direct contact of any gateway with it.
    pub(crate) heard_age: Duration,
}

impl Drop for ForwardGuard {
    fn drop(&mut self) {
        let mut state = self.forwarding.state.lock().unwrap();
        if let Some(count) = state.in_progress.get_mut(&self.address) {
            *count -= 1;
            if *count == 0 {
                state.in_progress.remove(&self.address);
            }
        }
    }
}

impl Forwarding {
    /// Creates the state of the gateway at `own_address`. The connections to open are sent to the returned receiver,
    /// since they are opened on the thread of the control plane.
    pub(crate) fn new(
        is_enabled: bool,
        own_address: SocketAddr,
        data_centre: &DataCentreName,
    ) -> (Self, Receiver<ConnectRequest>) {
        let (connects, receiver) = bounded(MAX_QUEUED_CONNECTS);
        let state = State {
            targets: Vec::new(),
            partitions: PeerPartitions::new(address_hash(own_address)),
            in_progress: FxHashMap::default(),
            failures: FxHashMap::default(),
        };
        let own_data_centre = data_centre_hash(data_centre);
        (Self { is_enabled, own_data_centre, own_address, state: Mutex::new(state), connects }, receiver)
    }

    /// Whether requests are forwarded, and forwarded ones accepted.
    pub(crate) const fn is_enabled(&self) -> bool {
        self.is_enabled
    }

    /// The address by which other gateways know this one.
    pub(crate) const fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// The hash of the own data centre.
    pub(crate) const fn own_data_centre(&self) -> NonZeroU32 {
        self.own_data_centre
    }

    /// The hash of the own data centre, if forwarded requests are accepted.
    pub(crate) fn accepts_from(&self) -> Option<NonZeroU32> {
        self.is_enabled.then_some(self.own_data_centre)
    }

    /// Sets the live gateways that take forwarded requests.
    pub(crate) fn set_targets(&self, targets: Vec<ForwardTarget>) {
        self.state.lock().unwrap().targets = targets;
    }

    /// Sets the pools from which this gateway is partitioned.
    pub(crate) fn set_own_partitions(&self, pools: Vec<NameHash>, now: Instant) {
        self.state.lock().unwrap().partitions.set_own(pools, now);
    }

    /// Merges what the gateway that `source` stands for reports. Returns `true` if it is new.
    pub(crate) fn merge_partition(
        &self,
        report: PartitionReport,
        source: UpdateSource,
        now: Instant,
    ) -> bool {
        self.state.lock().unwrap().partitions.merge(report, source, now)
    }

    /// Returns the reports to send to `recipient`.
    pub(crate) fn partitions_for(&self, recipient: UpdateSource, now: Instant) -> Vec<PartitionReport> {
        let mut state = self.state.lock().unwrap();
        state.partitions.refresh(now);
        state.partitions.reports_for(recipient, now)
    }

    /// Records that a gateway was not reached.
    pub(crate) fn record_failure(&self, address: SocketAddr) {
        let now = bendhinge_clock::now();
        let mut state = self.state.lock().unwrap();
        state.failures.retain(|_, failed_at| now.since(*failed_at) < FAILURE_TTL);
        state.failures.insert(address, now);
    }

    /// Chooses a gateway that is not known to be partitioned from the pool and not in `tried`: the one with the fewest
    /// requests of this gateway, preferably in the own data centre. One that was not reached recently comes last.
    pub(crate) fn choose(self: &Arc<Self>, pool: &PoolName, tried: &[SocketAddr]) -> Option<ForwardGuard> {
        let now = bendhinge_clock::now();
        let pool = pool_hash(pool);
        let mut state = self.state.lock().unwrap();
        let State { targets, partitions, in_progress, failures } = &mut *state;
        let is_eligible = |target: &&ForwardTarget| {
            !tried.contains(&target.address)
                && !partitions.is_partitioned(address_hash(target.address), pool, now)
        };
        let cost = |target: &&ForwardTarget| {
            let preference = if target.data_centre == self.own_data_centre { 0 } else { LOCAL_PREFERENCE };
            let requests = in_progress.get(&target.address).copied().unwrap_or(0);
            let has_failed = failures.get(&target.address).is_some_and(|at| now.since(*at) < FAILURE_TTL);
            (has_failed, requests + preference, rand::rng().random::<u32>())
        };
        let candidates = targets.iter().filter(is_eligible).count();
        let &ForwardTarget { address, last_heard, .. } =
            targets.iter().filter(is_eligible).min_by_key(cost)?;
        let requests = in_progress.entry(address).or_default();
        let basis = ForwardBasis { candidates, own_requests: *requests, heard_age: now.since(last_heard) };
        *requests += 1;
        drop(state);
        Some(ForwardGuard { forwarding: Arc::clone(self), address, basis })
    }

    /// Whether there is a gateway that is not known to be partitioned from the pool.
    pub(crate) fn has_target(&self, pool: &PoolName) -> bool {
        let now = bendhinge_clock::now();
        let pool = pool_hash(pool);
        let state = self.state.lock().unwrap();
        let is_partitioned =
            |target: &ForwardTarget| state.partitions.is_partitioned(address_hash(target.address), pool, now);
        state.targets.iter().any(|target| !is_partitioned(target))
    }

    /// Connects to the gateway at `address`.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Option<PeerStream> {
        let (reply, result) = bounded(1);
        self.connects.send(ConnectRequest { address, reply }).await.ok()?;
        result.recv().await.ok()?.ok()
    }
}

/// Returns the hash that stands for a data centre in messages.
pub(crate) fn data_centre_hash(data_centre: &DataCentreName) -> NonZeroU32 {
    #[expect(
        clippy::cast_possible_truncation,
        reason = "half of the bits suffice to tell data centres apart"
    )]
    let hash = NameHash::of(data_centre.as_str()).0 as u32;
    NonZeroU32::new(hash).unwrap_or(NonZeroU32::MIN)
}

/// Returns the hash that stands for a pool in messages.
pub(crate) fn pool_hash(pool: &PoolName) -> NameHash {
    NameHash::of(pool.as_str())
}
