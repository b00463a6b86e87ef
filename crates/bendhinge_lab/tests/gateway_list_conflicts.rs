//! Lists of upstreams that differ between gateways though they are of one revision of the store.

mod gateway_common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListUpdate, Revision, UpstreamList, Version};
use bendhinge_lab::gateways::{FleetShape, GatewayFleet, PEER_KEY, Told, until};
use bendhinge_peer::{
    CachedPartsPage, FleetClient, FleetService, HeldVersion, ObservedCachedPart, PeerConnection, PeerKey,
    PeerMessage, TrafficCounters, serve_fleet,
};
use bytes::Bytes;
use gateway_common::{call, message_from, metric, run, send, start};
use smol::LocalExecutor;
use smol::net::TcpListener;

const SHAPE: FleetShape = FleetShape { gateways: 1, engines: 0, services: 1 };
/// A list that is read as changes has more than 200 upstreams.
const SPARES: u32 = 201;

/// A gateway that holds an empty list, which it read wrongly.
struct WrongGateway {
    address: SocketAddr,
    revision: Revision,
}

impl WrongGateway {
    fn held(&self, digest: u64) -> HeldVersion {
        HeldVersion { version: Version { revision: self.revision, digest }, age: Duration::ZERO }
    }

    /// An announcement of a list with this digest.
    fn message(&self, digest: u64) -> PeerMessage {
        let mut message = message_from(self.address);
        message.sender.is_store_failing = true;
        PeerMessage { is_announcement: true, upstreams: Some(self.held(digest)), ..message }
    }
}

impl FleetService for WrongGateway {
    fn exchange(&self, _: PeerMessage) -> PeerMessage {
        let mut message = message_from(self.address);
        message.sender.is_store_failing = true;
        message
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
        let list = UpstreamList::default();
        Some((self.held(list.digest()), ListUpdate::Full(list)))
    }

    fn cached_parts(&self, _: CachedPartsPage) -> Option<Vec<ObservedCachedPart>> {
        None
    }
}

/// Waits until the gateway logs that it holds a list of `revision` for the `count`th time.
async fn until_lists(fleet: &GatewayFleet, revision: u64, count: usize) {
    let belief = format!(r#""event":"belief","what":"upstreams","revision":{revision},"#);
    until(async || fleet.gateway(0).lines().iter().filter(|line| line.contains(&belief)).count() >= count)
        .await;
}

/// A gateway before `spares` idle upstreams takes a wrong list of the next revision from a peer. The store reaches
/// that revision, and `announce_other` says whether the peer then holds another list of it.
fn holds_the_content_of_the_store(spares: u32, announce_other: bool) {
    run(|tasks| async move {
        let executor = Rc::new(LocalExecutor::new());
        let fleet = start(&tasks, SHAPE).await;
        for number in 0..spares {
            fleet.store.add(&format!("spare-{number:03}"), "spares", ([127, 0, 0, 1], 9).into());
        }
        until_lists(&fleet, fleet.store.revision(), 1).await;
        let revision = fleet.store.revision() + 1;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let wrong = Rc::new(WrongGateway { address, revision: Revision(revision) });
        let (messages, key) = (Rc::clone(&wrong), || PeerKey::new(PEER_KEY));
        let traffic = Arc::new(TrafficCounters::default());
        let serving = serve_fleet(listener, key(), wrong, Arc::clone(&traffic), Rc::clone(&executor));
        executor.spawn(serving).detach();
        let announcing = async {
            let time = Duration::from_secs(20);
            let gateway = fleet.settings[0].addresses["peers"];
            let client = FleetClient::connect(gateway, &key(), time, &traffic, &executor).await.unwrap();
            let digest = UpstreamList::default().digest();
            client.exchange(&messages.message(digest)).await.unwrap();
            until_lists(&fleet, revision, 1).await;
            assert_ne!(send(&fleet, &call("/safe/x")).await.told, Told::Whole, "the list is empty");
            fleet.store.add("other", "spares", ([127, 0, 0, 1], 9).into());
            if announce_other {
                client.exchange(&messages.message(digest + 1)).await.unwrap();
                assert_eq!(metric(&fleet, "bendhinge_gateway_list_conflicts_total").await, Some(1));
            }
            until_lists(&fleet, revision, 2).await;
            assert_eq!(send(&fleet, &call("/safe/x")).await.told, Told::Whole);
        };
        executor.run(announcing).await;
    });
}

/// Guards against a list of the store that is taken for stale because other content of its revision is held.
#[test]
fn list_of_the_store_replaces_other_content_of_its_revision() {
    holds_the_content_of_the_store(0, false);
}

/// Guards against an error in a long list that is kept because only changes are read.
#[test]
fn long_list_is_read_in_full_after_a_conflict() {
    holds_the_content_of_the_store(SPARES, true);
}
