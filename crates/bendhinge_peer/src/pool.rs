//! Connections to peers, one each, made when first needed.

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
use crate::traffic::Traffic;

/// A client of one kind of peer.
pub trait PeerConnection: Clone {
    /// Connects to the peer at `address`; each call has `time` to be answered.
    fn connect(
        address: SocketAddr,
        key: &PeerKey,
        time: Duration,
        traffic: &Arc<Traffic>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> impl Future<Output = Result<Self, CallError>>;
}

/// The times that a pool depends on.
#[derive(Clone, Copy, Debug)]
pub struct PeerPoolLimits {
    /// Time for a connection, and for each call.
    pub call: Duration,
    /// How long a peer that gave no answer is not asked again: requests must not each wait for
    /// one that is frozen or gone.
    pub pause: Duration,
}

struct Slot<C> {
    client: Option<C>,
    paused_until: Instant,
    used: Instant,
}

impl<C> Default for Slot<C> {
    fn default() -> Self {
        Self { client: None, paused_until: Instant::default(), used: Instant::default() }
    }
}

/// The connections.
pub struct PeerPool<C> {
    key: PeerKey,
    limits: PeerPoolLimits,
    traffic: Arc<Traffic>,
    executor: Rc<LocalExecutor<'static>>,
    slots: RefCell<FxHashMap<SocketAddr, Rc<Mutex<Slot<C>>>>>,
}

impl<C: PeerConnection> PeerPool<C> {
    /// A pool without connections.
    #[must_use]
    pub fn new(
        key: PeerKey,
        limits: PeerPoolLimits,
        traffic: Arc<Traffic>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        Self { key, limits, traffic, executor, slots: RefCell::default() }
    }

    /// The counters of what the connections carry.
    #[must_use]
    pub const fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Makes a call to the peer at `address`.
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
            slot.paused_until = bendhinge_clock::now() + self.limits.pause;
        }
        result
    }

    async fn client(&self, slot: &Mutex<Slot<C>>, address: SocketAddr) -> Result<C, CallError> {
        let mut slot = slot.lock().await;
        slot.used = bendhinge_clock::now();
        if let Some(client) = &slot.client {
            return Ok(client.clone());
        }
        let time = self.limits.call;
        if bendhinge_clock::now() < slot.paused_until {
            return Err(CallError::Timeout(time));
        }
        let connected = C::connect(address, &self.key, time, &self.traffic, &self.executor).await;
        match &connected {
            Ok(client) => slot.client = Some(client.clone()),
            Err(_) => slot.paused_until = bendhinge_clock::now() + self.limits.pause,
        }
        connected
    }

    /// Drops the connections to peers that are not listed any more.
    pub fn keep_only(&self, listed: impl Fn(SocketAddr) -> bool) {
        self.slots.borrow_mut().retain(|address, _| listed(*address));
    }

    /// Drops connections that were not used for `span`.
    pub fn drop_unused(&self, span: Duration) {
        let now = bendhinge_clock::now();
        let is_used = |slot: &Mutex<Slot<C>>| slot.try_lock().is_none_or(|slot| now.since(slot.used) < span);
        self.slots.borrow_mut().retain(|_, slot| is_used(slot));
    }
}
