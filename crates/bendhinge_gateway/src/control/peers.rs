//! Connections to other gateways, one each, made when first needed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::Instant;
use bendhinge_peer::{CallError, FleetClient, PeerKey, Traffic};
use rustc_hash::FxHashMap;
use smol::LocalExecutor;
use smol::lock::Mutex;

use crate::settings::FleetSettings;

/// How long one that gave no answer is not asked again.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(300);
/// How long a connection that nothing is asked on is kept.
const KEPT_UNUSED: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Slot {
    client: Option<FleetClient>,
    paused_until: Instant,
    used: Instant,
}

/// The connections.
pub(super) struct Peers {
    key: PeerKey,
    time: Duration,
    traffic: Arc<Traffic>,
    executor: Rc<LocalExecutor<'static>>,
    slots: RefCell<FxHashMap<SocketAddr, Rc<Mutex<Slot>>>>,
}

impl Peers {
    pub(super) fn new(
        settings: &FleetSettings,
        traffic: Arc<Traffic>,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Self {
        let slots = RefCell::default();
        Self { key: settings.key.clone(), time: settings.call, traffic, executor, slots }
    }

    pub(super) const fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Makes a call to the gateway at `address`.
    pub(super) async fn call<T>(
        &self,
        address: SocketAddr,
        call: impl AsyncFnOnce(&FleetClient) -> Result<T, CallError>,
    ) -> Result<T, CallError> {
        let slot = Rc::clone(self.slots.borrow_mut().entry(address).or_default());
        let client = self.client(&slot, address).await?;
        let result = call(&client).await;
        if result.is_err() {
            let mut slot = slot.lock().await;
            slot.client = None;
            slot.paused_until = bendhinge_clock::now() + PAUSE_AFTER_FAILURE;
        }
        result
    }

    async fn client(&self, slot: &Mutex<Slot>, address: SocketAddr) -> Result<FleetClient, CallError> {
        let mut slot = slot.lock().await;
        slot.used = bendhinge_clock::now();
        if let Some(client) = &slot.client {
            return Ok(client.clone());
        }
        if bendhinge_clock::now() < slot.paused_until {
            return Err(CallError::Timeout(self.time));
        }
        let connected =
            FleetClient::connect(address, &self.key, self.time, &self.traffic, &self.executor).await;
        match &connected {
            Ok(client) => slot.client = Some(client.clone()),
            Err(_) => slot.paused_until = bendhinge_clock::now() + PAUSE_AFTER_FAILURE,
        }
        connected
    }

    /// Drops connections that were not used for long.
    pub(super) fn prune(&self) {
        let now = bendhinge_clock::now();
        self.slots
            .borrow_mut()
            .retain(|_, slot| slot.try_lock().is_none_or(|slot| now.since(slot.used) < KEPT_UNUSED));
    }
}
