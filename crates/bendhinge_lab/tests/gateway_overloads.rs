//! Reports of overloaded upstreams between real gateways.

mod gateway_common;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListUpdate, UpstreamList};
use bendhinge_http::Tasks;
use bendhinge_ids::NameHash;
use bendhinge_lab::gateways::{Call, FleetShape, GatewayFleet, KEY, PEER_KEY, Told, until};
use bendhinge_peer::{
    CachedPartsPage, FleetClient, FleetService, HeldVersion, ObservedCachedPart, ObservedLoad,
    PeerConnection, PeerKey, PeerMessage, TrafficCounters, serve_fleet,
};
use bytes::Bytes;
use gateway_common::{message_from, run, send};
use smol::LocalExecutor;
use smol::net::TcpListener;

const SHAPE: FleetShape = FleetShape { gateways: 1, engines: 1, services: 0 };
const WITH_REPORTS: &str = "[load]\noverload_reports = yes\n";
/// Load far above the limit of a pool with one upstream.
const OVERLOAD: u32 = 500;
/// Where a peer that only asks would be reached.
const SILENT_PEER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// A message of a peer whose link is slower than the gateway's, so that it uses the gateway as its relay.
fn slow_peer(address: SocketAddr) -> PeerMessage {
    let mut message = message_from(address);
    message.sender.link_mbps = 1;
    message
}

/// A peer that records the loads that it is sent outside of the periodic exchanges.
struct RecordingPeer {
    address: SocketAddr,
    announced: RefCell<Vec<ObservedLoad>>,
    exchanges: Cell<usize>,
}

impl FleetService for RecordingPeer {
    fn exchange(&self, message: PeerMessage) -> PeerMessage {
        if message.is_announcement {
            self.announced.borrow_mut().extend(&message.loads);
        } else {
            self.exchanges.set(self.exchanges.get() + 1);
        }
        slow_peer(self.address)
    }

    fn rules(&self) -> Option<(HeldVersion, Bytes)> {
        None
    }

    fn recent_list(&self, _: u64) -> Option<Arc<UpstreamList>> {
        None
    }

    fn partial_list(&self) -> Option<Arc<UpstreamList>> {
        None
    }

    fn upstreams(&self, _: Option<u64>) -> Option<(HeldVersion, ListUpdate)> {
        None
    }

    fn cached_parts(&self, _: CachedPartsPage) -> Option<Vec<ObservedCachedPart>> {
        None
    }
}

/// A gateway with one engine, and a recording peer that it knows.
struct Scene {
    fleet: GatewayFleet,
    peer: Rc<RecordingPeer>,
    gateway: FleetClient,
}

impl Scene {
    async fn start(tasks: &Tasks, executor: &Rc<LocalExecutor<'static>>, sections: &str) -> Self {
        let fleet = GatewayFleet::start(tasks, SHAPE, sections).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer =
            Rc::new(RecordingPeer { address, announced: RefCell::default(), exchanges: Cell::default() });
        let traffic = Arc::new(TrafficCounters::default());
        let key = PeerKey::new(PEER_KEY);
        let service = Rc::clone(&peer);
        let serving = serve_fleet(listener, key.clone(), service, Arc::clone(&traffic), Rc::clone(executor));
        executor.spawn(serving).detach();
        let timeout = Duration::from_secs(20);
        let asked = fleet.settings[0].addresses["peers"];
        let gateway = FleetClient::connect(asked, &key, timeout, &traffic, executor).await.unwrap();
        gateway.exchange(&slow_peer(address)).await.unwrap();
        Self { fleet, peer, gateway }
    }

    /// Sends a request to the engine, which reports [`OVERLOAD`].
    async fn send_to_overloaded(&self) {
        self.fleet.upstreams[0].report_load(OVERLOAD);
        assert_eq!(send(&self.fleet, &Call::stream("/stream/x", KEY)).await.told, Told::Whole);
    }

    fn announced(&self) -> Vec<ObservedLoad> {
        self.peer.announced.borrow().clone()
    }

    /// Waits for further exchanges, in which the gateway would have sent what it had to.
    async fn wait_for_exchanges(&self) {
        let seen = self.peer.exchanges.get();
        until(async || {
            // The peer remains a member of the fleet.
            self.gateway.exchange(&slow_peer(self.peer.address)).await.unwrap();
            self.peer.exchanges.get() >= seen + 3
        })
        .await;
    }
}

fn run_scene(sections: &'static str, body: impl AsyncFnOnce(Scene)) {
    run(|tasks| async move {
        let executor = Rc::new(LocalExecutor::new());
        let scene = async { body(Scene::start(&tasks, &executor, sections).await).await };
        executor.run(scene).await;
    });
}

/// Guards against gateways that send to an overloaded upstream for the second that its report takes with the periodic
/// exchanges.
#[test]
fn report_of_an_overloaded_upstream_is_sent_at_once() {
    run_scene(WITH_REPORTS, async |scene| {
        scene.send_to_overloaded().await;
        until(async || !scene.announced().is_empty()).await;
        let announced = scene.announced();
        assert_eq!(announced[0].upstream, NameHash::of("engines-0"));
        assert!(u32::from(announced[0].in_progress) >= OVERLOAD, "{announced:?}");
    });
}

/// Guards against reports that end at the relay, and against reports that circulate between gateways.
#[test]
fn report_from_a_peer_is_forwarded_once_and_not_returned() {
    run_scene(WITH_REPORTS, async |scene| {
        let load = ObservedLoad { upstream: NameHash::of("engines-0"), in_progress: 40, age: Duration::ZERO };
        let announcement = PeerMessage { is_announcement: true, loads: vec![load], ..slow_peer(SILENT_PEER) };
        scene.gateway.exchange(&announcement).await.unwrap();
        until(async || !scene.announced().is_empty()).await;
        scene.gateway.exchange(&PeerMessage { ..announcement }).await.unwrap();
        scene.wait_for_exchanges().await;
        assert_eq!(scene.announced().len(), 1, "{:?}", scene.announced());

        let own = ObservedLoad { upstream: NameHash::of("engines-9"), ..load };
        let returned =
            PeerMessage { is_announcement: true, loads: vec![own], ..slow_peer(scene.peer.address) };
        scene.gateway.exchange(&returned).await.unwrap();
        scene.wait_for_exchanges().await;
        assert_eq!(scene.announced().len(), 1, "{:?}", scene.announced());
    });
}

/// Guards against messages of deployments that have not switched them on.
#[test]
fn no_report_is_sent_at_once_without_the_setting() {
    run_scene("", async |scene| {
        scene.send_to_overloaded().await;
        scene.wait_for_exchanges().await;
        assert!(scene.announced().is_empty());
    });
}
