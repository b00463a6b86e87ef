//! What gateways make of what others tell them.

mod gateway_common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_ids::NameHash;
use bendhinge_lab::gateways::{FleetShape, GatewayFleet, PEER_KEY, Told, until};
use bendhinge_peer::{
    FleetClient, ObservedDoubt, ObservedFailure, ObservedLoad, PeerConnection, PeerKey, PeerMessage, Traffic,
};
use gateway_common::{call, message_from, run, send, start};
use smol::LocalExecutor;

/// Where the test's own peer would be reached: it asks, and answers nobody.
const OWN: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// A whole message that says nothing.
fn message() -> PeerMessage {
    message_from(OWN)
}

async fn peer(executor: &Rc<LocalExecutor<'static>>, address: SocketAddr) -> FleetClient {
    let traffic = Arc::new(Traffic::default());
    let time = Duration::from_secs(20);
    FleetClient::connect(address, &PeerKey::new(PEER_KEY), time, &traffic, executor).await.unwrap()
}

/// Most gateways are only ever asked by nobody and ask a few: what they see of upstreams has to go
/// up with their questions. Before, it was taken from answers alone, and in a fleet of 74 upstreams
/// with 17 requests were believed to have 3.
#[test]
fn what_an_asking_gateway_tells_of_loads_is_told_on() {
    run(|tasks| async move {
        let executor = Rc::new(LocalExecutor::new());
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 1, services: 0 }).await;
        let asked = fleet.settings[0].addresses["peers"];
        let load = ObservedLoad {
            upstream: NameHash::of("engines-0"),
            in_progress: 17,
            age: Duration::from_millis(5),
        };
        let telling = async {
            let learned_from = peer(&executor, asked).await;
            learned_from.exchange(&PeerMessage { loads: vec![load], ..message() }).await.unwrap();
            learned_from.exchange(&message()).await.unwrap().loads
        };
        let loads = executor.run(telling).await;
        assert!(
            loads.iter().any(|told| told.upstream == load.upstream && told.in_progress == 17),
            "{loads:?}"
        );
        assert!(loads.iter().all(|told| told.age >= load.age), "it ages on its way: {loads:?}");
    });
}

/// Of an upstream that two others had a failure at, and nobody an answer since, nothing is expected.
#[test]
fn an_upstream_that_answers_nobody_is_spared_by_those_that_are_told() {
    run(|tasks| async move {
        let executor = Rc::new(LocalExecutor::new());
        let shape = FleetShape { gateways: 1, engines: 0, services: 2 };
        // It is not tried again without a trial while the test lasts.
        let fleet = GatewayFleet::start(&tasks, shape, "[upstreams]\nlongest_rest_ms = 600000\n").await;
        let asked = fleet.settings[0].addresses["peers"];
        let failure = |router| ObservedFailure { router: NameHash(router), age: Duration::from_millis(20) };
        let doubt = ObservedDoubt {
            upstream: NameHash::of("services-0"),
            answered: Some(Duration::from_millis(100)),
            witnesses: vec![failure(1), failure(2)],
        };
        let telling = async {
            let peer = peer(&executor, asked).await;
            let told = PeerMessage { doubts: vec![doubt.clone()], ..message() };
            peer.exchange(&told).await.unwrap().doubts
        };
        let doubts = executor.run(telling).await;
        assert_eq!(doubts.len(), 1, "it is told on: {doubts:?}");
        assert_eq!(doubts[0].witnesses.len(), 2);
        let lines = || fleet.gateway(0).lines();
        until(async || lines().iter().any(|line| line.contains("upstream_suspected"))).await;
        // A request that must not be repeated is no trial.
        for _ in 0..4 {
            assert_eq!(send(&fleet, &call("/unsafe/x")).await.told, Told::Whole);
        }
        assert!(fleet.upstreams[0].runs().is_empty());
    });
}
