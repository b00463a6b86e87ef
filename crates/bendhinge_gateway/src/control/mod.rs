//! Control plane: the exchange of state with other gateways and the reads of the platform's store.
//!
//! It runs on a single thread, because `capnp-rpc` objects cannot move between threads.

mod apply;
mod conflict;
mod exchange;
mod fetching;
mod message;
mod overloads;
mod pages;
mod partitions;
mod permits;
mod recovery;
mod store;
mod streams;
mod totals;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Origin, PeerStates, Revision, Roster, RouterIncarnation};
use bendhinge_ids::Instant;
use bendhinge_peer::{FleetClient, PeerPool, PeerPoolTimeouts, TrafficCounters, serve_fleet_and_streams};
use rand::Rng;
use rustc_hash::FxHashMap;
use smol::channel::Receiver;
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};

use self::conflict::ListConflict;
use self::exchange::PeerRequestHandler;
use self::fetching::FetchState;
use self::store::StoreReader;
use crate::delivery::DeliveryContext;
use crate::dialect::ForeignEntry;
use crate::forwarding::ConnectRequest;
use crate::intake::Intake;
use crate::lifecycle::Lifecycle;
use crate::permits::PermitQuery;
use crate::quarantine::QuarantineChange;
use crate::settings::Settings;
use crate::streams::StreamNotifications;

/// Time during which a peer is not called again after a failed call.
const FAILED_CALL_BACKOFF: Duration = Duration::from_millis(300);
/// Time without contact after which the state of a peer is evicted. The peer is then sent the full
/// state again.
const PEER_STATE_RETENTION: Duration = Duration::from_secs(20);

/// Channels on which other modules notify the control plane.
pub(crate) struct Notifications {
    /// Changes of suspected requests.
    pub(crate) suspicions: Receiver<QuarantineChange>,
    /// New reports of overloaded upstreams.
    pub(crate) overloads: Receiver<()>,
    /// Origins of changes of the pools from which gateways are partitioned.
    pub(crate) partitions: Receiver<Origin>,
    /// Connections to be opened to other gateways.
    pub(crate) connects: Receiver<ConnectRequest>,
    /// Streams to be recorded or looked up at other gateways.
    pub(crate) streams: StreamNotifications,
    /// Requests for permits.
    pub(crate) permits: Receiver<PermitQuery>,
}

/// Control plane of this gateway.
pub(crate) struct ControlPlane {
    settings: Settings,
    context: Arc<DeliveryContext>,
    lifecycle: Arc<Lifecycle>,
    roster: RefCell<Roster>,
    list_reader: StoreReader,
    rules_reader: StoreReader,
    /// Entries of other writers found by the last read of the store.
    foreign_entries: RefCell<BTreeSet<ForeignEntry>>,
    /// Whether a combined read of list and rules has timed out since the rules were last read
    /// separately.
    has_combined_read_timed_out: Cell<bool>,
    /// Whether the store could not return the changes, so that a full read is due.
    is_history_lost: Cell<bool>,
    /// Lists of one revision with other content, as announced by peers.
    list_conflict: ListConflict,
    /// Revision of the last rules document that could not be parsed.
    refused_rules: Cell<Option<Revision>>,
    peers: PeerPool<FleetClient>,
    /// Identifies this run of the process to peers.
    incarnation: RouterIncarnation,
    peer_states: RefCell<PeerStates>,
    rules_fetch: FetchState,
    list_fetch: FetchState,
    partial_list_fetch: FetchState,
    executor: Rc<LocalExecutor<'static>>,
    /// Whether enough is known of the upstreams' caches to serve peers that recover.
    is_recovery_done: Cell<bool>,
    /// When gateways last did not answer a request for a permit.
    silent_issuers: RefCell<FxHashMap<SocketAddr, Instant>>,
}

impl ControlPlane {
    pub(crate) fn new(
        settings: Settings,
        context: Arc<DeliveryContext>,
        lifecycle: Arc<Lifecycle>,
        traffic: Arc<TrafficCounters>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let roster = Roster::new(
            settings.peer_address,
            settings.link.mbps(),
            &settings.fleet.seeds,
            settings.fleet.roster_timeouts,
        );
        let limits = PeerPoolTimeouts { call: settings.fleet.call_timeout, backoff: FAILED_CALL_BACKOFF };
        let peers = PeerPool::new(settings.fleet.shared_key.clone(), limits, traffic, Rc::clone(executor));
        Rc::new(Self {
            roster: RefCell::new(roster),
            list_reader: StoreReader::new("store", settings.list_read_timings()),
            rules_reader: StoreReader::new("store_rules", settings.store.read_timings),
            foreign_entries: RefCell::default(),
            has_combined_read_timed_out: Cell::new(false),
            is_history_lost: Cell::new(false),
            list_conflict: ListConflict::default(),
            refused_rules: Cell::new(None),
            peers,
            incarnation: RouterIncarnation(rand::rng().random_range(1..=u64::MAX)),
            peer_states: RefCell::new(PeerStates::new(PEER_STATE_RETENTION)),
            rules_fetch: FetchState::default(),
            list_fetch: FetchState::default(),
            partial_list_fetch: FetchState::default(),
            executor: Rc::clone(executor),
            is_recovery_done: Cell::new(false),
            silent_issuers: RefCell::default(),
            settings,
            context,
            lifecycle,
        })
    }

    /// Starts all tasks on the executor.
    pub(crate) fn start(
        self: &Rc<Self>,
        listener: TcpListener,
        intake: Arc<Intake>,
        notifications: Notifications,
    ) {
        let Notifications { suspicions, overloads, partitions, connects, streams, permits } = notifications;
        let stream_handler = partitions::stream_handler(self, intake);
        let accepts_streams = self.context.forwarding.is_enabled();
        let serving = serve_fleet_and_streams(
            listener,
            self.settings.fleet.shared_key.clone(),
            Rc::new(PeerRequestHandler(Rc::clone(self))),
            Arc::clone(self.peers.traffic()),
            Rc::clone(&self.executor),
            accepts_streams.then_some(stream_handler),
        );
        self.executor.spawn(serving).detach();
        self.executor.spawn(store::run_list_reads(Rc::clone(self))).detach();
        self.executor.spawn(store::run_rules_reads(Rc::clone(self))).detach();
        self.executor.spawn(exchange::run(Rc::clone(self))).detach();
        self.executor.spawn(exchange::push_suspicions(Rc::clone(self), suspicions)).detach();
        self.executor.spawn(overloads::push_overloads(Rc::clone(self), overloads)).detach();
        self.executor.spawn(partitions::push_partitions(Rc::clone(self), partitions)).detach();
        self.executor.spawn(partitions::open_streams(Rc::clone(self), connects)).detach();
        streams::start(self, streams);
        self.executor.spawn(permits::serve_queries(Rc::clone(self), permits)).detach();
        self.executor.spawn(recovery::run(Rc::clone(self))).detach();
        self.executor.spawn(housekeeping(Rc::clone(self))).detach();
    }

    /// Applies the reloadable part of changed settings.
    pub(crate) fn apply_settings(&self, settings: &Settings) {
        self.roster.borrow_mut().set_seeds(&settings.fleet.seeds);
        self.context.quarantine.release(&settings.quarantine.released_requests);
        self.context.quarantine.release_parts(&settings.quarantine.released_parts);
    }

    /// Divides the fleet-wide limits among the known gateways.
    fn divide_shared_limits(&self) {
        let roster = self.roster.borrow();
        self.context.retry_budgets.set_gateway_count(roster.expected_count());
        let gateways = roster.known_count();
        self.context.upstreams.set_gateway_count(gateways);
        self.context.totals.set_gateway_count(gateways);
    }

    /// Notifies peers that this gateway is shutting down.
    pub(crate) async fn announce_shutdown(self: &Rc<Self>) {
        exchange::push_update(self, Origin::Store).await;
    }
}

fn random_below(bound: usize) -> usize {
    rand::rng().random_range(0..bound)
}

/// Evicts expired state periodically.
async fn housekeeping(control: Rc<ControlPlane>) {
    const PERIOD: Duration = Duration::from_secs(1);
    loop {
        Timer::after(PERIOD).await;
        let now = bendhinge_clock::now();
        control.roster.borrow_mut().remove_expired(now);
        control.divide_shared_limits();
        control.refresh_own_partitions();
        control.publish_forward_targets();
        control.peer_states.borrow_mut().evict_idle(now);
        control.context.upstreams.prune();
        control.context.quarantine.prune();
        for probes in [&control.context.crash_probes, &control.context.close_probes] {
            probes.retain(|upstream| control.context.upstreams.contains(upstream));
        }
        control.context.pacing.prune();
        control.context.admission.prune();
        control.context.connection_pool.prune();
        control.context.streams.prune();
        let permits = control.context.permits.prune(now);
        control.context.metrics.set_issued_permits(permits);
    }
}
