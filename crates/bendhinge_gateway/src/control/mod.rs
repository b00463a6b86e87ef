//! Everything between gateways and towards the platform's store, on one thread: the objects of
//! `capnp-rpc` stay on theirs.

mod exchange;
mod fetching;
mod message;
mod pages;
mod recovery;
mod store;

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Origin, PeerStates, Roster, RouterIncarnation};
use bendhinge_peer::{FleetClient, PeerPool, PeerPoolTimeouts, TrafficCounters, serve_fleet};
use rand::Rng;
use smol::channel::Receiver;
use smol::net::TcpListener;
use smol::{LocalExecutor, Timer};

use self::exchange::Duties;
use self::fetching::Fetching;
use self::store::Reading;
use crate::delivery::Delivering;
use crate::dialect::ForeignEntry;
use crate::lifecycle::Lifecycle;
use crate::quarantine::SuspicionChange;
use crate::settings::Settings;

/// How long a gateway that gave no answer is not asked again.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(300);
/// How long what a gateway said of itself is remembered, after which it is told everything again.
const PEERS_KEPT: Duration = Duration::from_secs(20);

/// What runs between gateways and towards the store.
pub(crate) struct Control {
    settings: Settings,
    delivering: Arc<Delivering>,
    lifecycle: Arc<Lifecycle>,
    roster: RefCell<Roster>,
    upstreams_reading: Reading,
    rules_reading: Reading,
    /// Entries of other writers that the store held last.
    foreign: RefCell<BTreeSet<ForeignEntry>>,
    /// Whether a read of everything took too long, and the rules were not read by themselves since.
    is_read_along_slow: Cell<bool>,
    /// Whether the store could not tell what changed, so that it is read whole.
    lost_track: Cell<bool>,
    peers: PeerPool<FleetClient>,
    /// This life of the gateway, as others tell it from the one before.
    life: RouterIncarnation,
    peer_states: RefCell<PeerStates>,
    fetching_rules: Fetching,
    fetching_upstreams: Fetching,
    fetching_part: Fetching,
    executor: Rc<LocalExecutor<'static>>,
    /// Whether enough is known of what upstreams keep to tell others who have just started.
    is_informed: Cell<bool>,
}

impl Control {
    pub(crate) fn new(
        settings: Settings,
        delivering: Arc<Delivering>,
        lifecycle: Arc<Lifecycle>,
        traffic: Arc<TrafficCounters>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let roster =
            Roster::new(settings.peers, settings.link.mbps(), &settings.fleet.seeds, settings.fleet.roster);
        let limits = PeerPoolTimeouts { call: settings.fleet.call, backoff: PAUSE_AFTER_FAILURE };
        let peers = PeerPool::new(settings.fleet.key.clone(), limits, traffic, Rc::clone(executor));
        Rc::new(Self {
            roster: RefCell::new(roster),
            upstreams_reading: Reading::new("store", settings.list_reading()),
            rules_reading: Reading::new("store_rules", settings.store.reading),
            foreign: RefCell::default(),
            is_read_along_slow: Cell::new(false),
            lost_track: Cell::new(false),
            peers,
            life: RouterIncarnation(rand::rng().random_range(1..=u64::MAX)),
            peer_states: RefCell::new(PeerStates::new(PEERS_KEPT)),
            fetching_rules: Fetching::default(),
            fetching_upstreams: Fetching::default(),
            fetching_part: Fetching::default(),
            executor: Rc::clone(executor),
            is_informed: Cell::new(false),
            settings,
            delivering,
            lifecycle,
        })
    }

    /// Starts everything on the executor.
    pub(crate) fn start(self: &Rc<Self>, listener: TcpListener, suspicions: Receiver<SuspicionChange>) {
        let serving = serve_fleet(
            listener,
            self.settings.fleet.key.clone(),
            Rc::new(Duties(Rc::clone(self))),
            Arc::clone(self.peers.traffic()),
            Rc::clone(&self.executor),
        );
        self.executor.spawn(serving).detach();
        self.executor.spawn(store::read_upstreams(Rc::clone(self))).detach();
        self.executor.spawn(store::read_rules(Rc::clone(self))).detach();
        self.executor.spawn(exchange::run(Rc::clone(self))).detach();
        self.executor.spawn(exchange::tell_suspicions(Rc::clone(self), suspicions)).detach();
        self.executor.spawn(recovery::run(Rc::clone(self))).detach();
        self.executor.spawn(housekeeping(Rc::clone(self))).detach();
    }

    /// Takes settings that were read anew.
    pub(crate) fn follow(&self, settings: &Settings) {
        self.roster.borrow_mut().set_seeds(&settings.fleet.seeds);
        self.delivering.quarantine.release(&settings.released);
    }

    /// Takes this gateway's part of what all share, by how many are known.
    fn divide(&self) {
        let gateways = self.roster.borrow().known_count();
        self.delivering.retries.divide_among(gateways);
        self.delivering.upstreams.divide_among(gateways);
    }

    /// Tells the others at once that this gateway leaves.
    pub(crate) async fn say_goodbye(self: &Rc<Self>) {
        exchange::tell_news(self, Origin::Store).await;
    }
}

fn draw(below: usize) -> usize {
    rand::rng().random_range(0..below)
}

/// Gives up what is too old.
async fn housekeeping(control: Rc<Control>) {
    const PERIOD: Duration = Duration::from_secs(1);
    loop {
        Timer::after(PERIOD).await;
        let now = bendhinge_clock::now();
        control.roster.borrow_mut().remove_expired(now);
        control.divide();
        control.peer_states.borrow_mut().evict_idle(now);
        control.delivering.upstreams.prune();
        control.delivering.quarantine.prune();
        control.delivering.crash_looks.keep_only(|upstream| control.delivering.upstreams.lists(upstream));
        control.delivering.pacing.prune();
        control.delivering.pool.prune();
    }
}
