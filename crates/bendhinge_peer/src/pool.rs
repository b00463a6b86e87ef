//! Pool with one connection per peer, opened on first use.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::Instant;
use rustc_hash::FxHashMap;
use smol::LocalExecutor;
use smol::lock::Mutex;

use crate::client::CallError;
use crate::secure::PeerKey;
use crate::traffic::TrafficCounters;

/// A client that calls a peer over one connection.
pub trait PeerConnection: Clone {
    /// Connects to the peer at `address`. `timeout` limits the connection attempt and each later call.
    fn connect(
        address: SocketAddr,
        key: &PeerKey,
        timeout: Duration,
        traffic: &Arc<TrafficCounters>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> impl Future<Output = Result<Self, CallError>>;
}

/// Timeouts of a [`PeerPool`].
#[derive(Clone, Copy, Debug)]
pub struct PeerPoolTimeouts {
    /// Timeout of a connection attempt and of each call.
    pub call: Duration,
    /// How long calls fail immediately after an error, so that requests do not wait one by one for a
    /// peer that hangs or is down.
    pub backoff: Duration,
}

struct Slot<C> {
    client: Option<C>,
    retry_at: Instant,
    last_used: Instant,
}

impl<C> Default for Slot<C> {
    fn default() -> Self {
        Self { client: None, retry_at: Instant::default(), last_used: Instant::default() }
    }
}

/// Connections to peers, by address.
pub struct PeerPool<C> {
    key: PeerKey,
    timeouts: PeerPoolTimeouts,
    traffic: Arc<TrafficCounters>,
    executor: Rc<LocalExecutor<'static>>,
    slots: RefCell<FxHashMap<SocketAddr, Rc<Mutex<Slot<C>>>>>,
}

impl<C: PeerConnection> PeerPool<C> {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(
        key: PeerKey,
        timeouts: PeerPoolTimeouts,
        traffic: Arc<TrafficCounters>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        Self { key, timeouts, traffic, executor, slots: RefCell::default() }
    }

    /// Returns the traffic counters of the connections.
    #[must_use]
    pub const fn traffic(&self) -> &Arc<TrafficCounters> {
        &self.traffic
    }

    /// Calls the peer at `address`. Any error closes the connection.
    pub async fn call<T>(
        &self,
        address: SocketAddr,
        call: impl AsyncFnOnce(&C) -> Result<T, CallError>,
    ) -> Result<T, CallError> {
        let slot = Rc::clone(self.slots.borrow_mut().entry(address).or_default());
        let client = self.client(&slot, address).await?;
        let result = call(&client).await;
        if result.is_err() {
            let mut slot = slot.lock().await;
            slot.client = None;
            slot.retry_at = bendhinge_clock::now() + self.timeouts.backoff;
        }
        result
    }

    async fn client(&self, slot: &Mutex<Slot<C>>, address: SocketAddr) -> Result<C, CallError> {
        let mut slot = slot.lock().await;
        slot.last_used = bendhinge_clock::now();
        if let Some(client) = &slot.client {
            return Ok(client.clone());
        }
        let timeout = self.timeouts.call;
        if bendhinge_clock::now() < slot.retry_at {
            return Err(CallError::Timeout(timeout));
        }
        let connected = C::connect(address, &self.key, timeout, &self.traffic, &self.executor).await;
        match &connected {
            Ok(client) => slot.client = Some(client.clone()),
            Err(_) => slot.retry_at = bendhinge_clock::now() + self.timeouts.backoff,
        }
        connected
    }

    /// Removes the connections to all peers for which `is_listed` returns `false`.
    pub fn retain(&self, is_listed: impl Fn(SocketAddr) -> bool) {
        self.slots.borrow_mut().retain(|address, _| is_listed(*address));
    }

    /// Removes connections that have been idle for `max_idle`.
    pub fn close_idle(&self, max_idle: Duration) {
        let now = bendhinge_clock::now();
        let is_active =
            |slot: &Mutex<Slot<C>>| slot.try_lock().is_none_or(|slot| now.since(slot.last_used) < max_idle);
        self.slots.borrow_mut().retain(|_, slot| is_active(slot));
    }
}
