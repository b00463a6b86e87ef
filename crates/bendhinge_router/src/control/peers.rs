//! Connections to other routers, one each, made when first needed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::Instant;
use bendhinge_peer::{CallError, PeerClient};
use smol::LocalExecutor;
use smol::lock::Mutex;

use crate::node::Node;

/// How long a router that gave no answer is not asked again: requests must not each wait for
/// one that is frozen or gone.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);

#[derive(Default)]
struct Slot {
    client: Option<PeerClient>,
    paused_until: Instant,
}

/// The connections.
pub(super) struct Peers {
    node: Arc<Node>,
    executor: Rc<LocalExecutor<'static>>,
    slots: RefCell<HashMap<SocketAddr, Rc<Mutex<Slot>>>>,
}

impl Peers {
    pub(super) fn new(node: Arc<Node>, executor: Rc<LocalExecutor<'static>>) -> Self {
        Self { node, executor, slots: RefCell::default() }
    }

    /// Makes a call to the router at `address`.
    pub(super) async fn call<T>(
        &self,
        address: SocketAddr,
        call: impl AsyncFnOnce(&PeerClient) -> Result<T, CallError>,
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

    async fn client(&self, slot: &Mutex<Slot>, address: SocketAddr) -> Result<PeerClient, CallError> {
        let mut slot = slot.lock().await;
        if let Some(client) = &slot.client {
            return Ok(client.clone());
        }
        let time = self.node.settings.control.call;
        if bendhinge_clock::now() < slot.paused_until {
            return Err(CallError::Timeout(time));
        }
        let key = &self.node.settings.keys.peers;
        let connected = PeerClient::connect(address, key, time, &self.node.traffic, &self.executor).await;
        match &connected {
            Ok(client) => slot.client = Some(client.clone()),
            Err(_) => slot.paused_until = bendhinge_clock::now() + PAUSE_AFTER_FAILURE,
        }
        connected
    }

    /// Drops the connections to routers that are not listed any more.
    pub(super) fn keep_only(&self, listed: impl Fn(SocketAddr) -> bool) {
        self.slots.borrow_mut().retain(|address, _| listed(*address));
    }
}
