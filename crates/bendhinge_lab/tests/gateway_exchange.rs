//! What gateways make of what others tell them.

mod gateway_common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::Heard;
use bendhinge_ids::NameHash;
use bendhinge_lab::gateways::{FleetShape, PEER_KEY};
use bendhinge_peer::{FleetClient, ObservedLoad, PeerConnection, PeerKey, PeerMessage, Traffic};
use gateway_common::{run, start};
use smol::LocalExecutor;

/// Where the test's own peer would be reached: it asks, and answers nobody.
const OWN: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// A whole message that says nothing.
fn message() -> PeerMessage {
    let sender = Heard { address: OWN, age: Duration::ZERO, is_leaving: false, is_store_failing: false };
    PeerMessage {
        sender,
        is_brief: false,
        rules: None,
        upstreams: None,
        members: Vec::new(),
        loads: Vec::new(),
        reads: Vec::new(),
    }
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
