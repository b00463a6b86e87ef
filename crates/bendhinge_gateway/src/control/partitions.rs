//! Tells other gateways from which pools this one is partitioned, and opens the connections on which requests are
//! forwarded.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_buffers::Owner;
use bendhinge_fleet::Origin;
use bendhinge_http::{ServeLimits, serve_stream};
use bendhinge_peer::{ObservedPartition, PeerMessage, PeerStream, StreamHandler};
use smol::Timer;
use smol::channel::Receiver;

use super::ControlPlane;
use super::exchange::exchange_with;
use super::message::MessageContent;
use crate::delivery::DeliveryContext;
use crate::forwarding::{ConnectRequest, ForwardTarget, pool_hash};
use crate::intake::{Intake, handle_forwarded};
use crate::state::update_source;

/// Minimum time between two messages to the same gateway. Changes within it are sent together.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// The same in a fleet in which changes are forwarded, where hundreds of gateways may be partitioned at once.
const MIN_INTERVAL_IN_LARGE_FLEET: Duration = Duration::from_millis(300);

/// Sends changes of partitions to peers at once. Returns when the channel is closed.
pub(super) async fn push_partitions(control: Rc<ControlPlane>, changes: Receiver<Origin>) {
    while let Ok(first) = changes.recv().await {
        let mut is_own = first == Origin::Store;
        while let Ok(origin) = changes.try_recv() {
            is_own |= origin == Origin::Store;
        }
        control.refresh_own_partitions();
        control.spawn_partition_push(if is_own { Origin::Store } else { Origin::Peer });
        let is_small = control.roster.borrow().is_small();
        Timer::after(if is_small { MIN_INTERVAL } else { MIN_INTERVAL_IN_LARGE_FLEET }).await;
    }
}

/// Opens connections to other gateways. Returns when the channel is closed.
pub(super) async fn open_streams(control: Rc<ControlPlane>, requests: Receiver<ConnectRequest>) {
    while let Ok(ConnectRequest { address, reply }) = requests.recv().await {
        let task_control = Rc::clone(&control);
        let task = async move {
            let ControlPlane { settings, peers, executor, .. } = &*task_control;
            let timeout = settings.upstreams.connect_timeout;
            let key = &settings.fleet.shared_key;
            let stream = PeerStream::connect(address, key, timeout, peers.traffic(), executor).await;
            // The request may have been cancelled.
            let _ = reply.send(stream).await;
        };
        control.executor.spawn(task).detach();
    }
}

impl ControlPlane {
    /// Sets the pools that are reported to peers. A pool without upstreams is no longer reported.
    pub(super) fn refresh_own_partitions(&self) {
        let DeliveryContext { upstreams, forwarding, .. } = &*self.context;
        let pools = upstreams.partitioned_pools();
        forwarding.set_own_partitions(pools.iter().map(pool_hash).collect(), bendhinge_clock::now());
    }

    /// Sends the known partitions to the gateways that learn them from this one.
    fn spawn_partition_push(self: &Rc<Self>, origin: Origin) {
        let store_failing = self.is_store_failing();
        let now = bendhinge_clock::now();
        let targets = self.roster.borrow().suspicion_push_targets(origin, store_failing, now);
        for address in targets {
            let control = Rc::clone(self);
            let task = async move { exchange_with(&control, address, MessageContent::Partitions).await };
            self.executor.spawn(task).detach();
        }
    }

    /// Adds the known partitions to a message.
    pub(super) fn add_partitions(&self, message: &mut PeerMessage, receiver: SocketAddr) {
        let now = bendhinge_clock::now();
        let reports = self.context.forwarding.partitions_for(update_source(receiver), now);
        message.partitions = reports.into_iter().map(|report| ObservedPartition::new(report, now)).collect();
    }

    /// Merges the partitions in a message.
    pub(super) fn merge_partitions(self: &Rc<Self>, message: &PeerMessage) {
        let forwarding = &self.context.forwarding;
        if !forwarding.is_enabled() {
            return;
        }
        let now = bendhinge_clock::now();
        let sender = message.sender.address;
        let mut is_changed = false;
        for observed in &message.partitions {
            if forwarding.merge_partition(observed.to_report(now), update_source(sender), now) {
                is_changed = true;
                self.context.log.peer_partition_changed(observed.pools.len(), observed.age, sender);
            }
        }
        if is_changed {
            // A notification that is still queued stands for this change too.
            let _ = self.context.partition_notifier.try_send(Origin::Peer);
            self.publish_forward_targets();
        }
    }

    /// Publishes the live members that take forwarded requests.
    pub(super) fn publish_forward_targets(&self) {
        let forwarding = &self.context.forwarding;
        if !forwarding.is_enabled() {
            return;
        }
        let roster = self.roster.borrow();
        let targets = roster.live(bendhinge_clock::now()).filter_map(|(address, member)| {
            let data_centre = member.forwarding_from?;
            Some(ForwardTarget { address, data_centre, last_heard: member.last_heard })
        });
        forwarding.set_targets(targets.collect());
    }
}

/// Serves the requests that other gateways forward over a stream.
pub(super) fn stream_handler(control: &Rc<ControlPlane>, intake: Arc<Intake>) -> StreamHandler {
    let tasks = Arc::clone(&control.context.tasks);
    let buffers = control.context.buffers.clone();
    Rc::new(move |stream: PeerStream| {
        let intake = Arc::clone(&intake);
        let handler = move |request| handle_forwarded(Arc::clone(&intake), request);
        let limits = ServeLimits::default();
        let reservation = buffers.open(Owner::Peers);
        tasks.spawn(serve_stream(stream, limits, reservation, handler)).detach();
    })
}
