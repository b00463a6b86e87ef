//! A long list of upstreams is fetched in pieces.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListUpdate, Revision, UpstreamEntry, UpstreamList, UpstreamState, Version};
use bendhinge_ids::NameHash;
use bendhinge_peer::{
    FleetClient, FleetDuties, Known, ObservedRead, PeerConnection, PeerKey, PeerMessage, ReadsPage, Traffic,
    serve_fleet,
};
use bytes::Bytes;
use smol::LocalExecutor;
use smol::net::TcpListener;

const DIGEST: u64 = 77;
/// Enough for several pieces, the last of them not full.
const LONG: usize = 1_000;

/// A gateway that holds one list, and may have forgotten it when it is asked for its pieces.
struct Holder {
    list: Arc<UpstreamList>,
    remembers: bool,
}

impl FleetDuties for Holder {
    fn exchange(&self, message: PeerMessage) -> PeerMessage {
        message
    }

    fn rules(&self) -> Option<(Known, Bytes)> {
        None
    }

    fn list(&self, digest: u64) -> Option<Arc<UpstreamList>> {
        (self.remembers && digest == DIGEST).then(|| Arc::clone(&self.list))
    }

    fn list_part(&self) -> Option<Arc<UpstreamList>> {
        None
    }

    fn upstreams(&self, _: Option<u64>) -> Option<(Known, ListUpdate)> {
        let version = Version { revision: Revision(1), digest: DIGEST };
        let known = Known { version, age: Duration::ZERO };
        Some((known, ListUpdate::Full(UpstreamList::clone(&self.list))))
    }

    fn reads(&self, _: ReadsPage) -> Option<Vec<ObservedRead>> {
        None
    }
}

fn list(length: usize) -> UpstreamList {
    let entry = |number| {
        let name = format!("upstream-{number:05}");
        Arc::new(UpstreamEntry {
            hash: NameHash::of(&name),
            started_ms: 0,
            software: NameHash::of("software"),
            name: name.parse().unwrap(),
            pool: "engines".parse().unwrap(),
            address: ([10, 0, 0, 1], 9_000).into(),
            data_centre: "hall-1".parse().unwrap(),
            slots: 32,
            state: UpstreamState::Ready,
            created_revision: 3,
            warm_up: None,
        })
    };
    UpstreamList { entries: (0..length).map(entry).collect(), drained: vec!["hall-2".parse().unwrap()] }
}

/// What is fetched from a gateway that holds a list of `length` entries.
fn fetched(length: usize, remembers: bool) -> Option<ListUpdate> {
    let executor = Rc::new(LocalExecutor::new());
    let running = Rc::clone(&executor);
    smol::block_on(executor.run(async move {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(any).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (key, traffic) = (PeerKey::new("a-key-for-tests-only"), Arc::new(Traffic::default()));
        let holder = Rc::new(Holder { list: Arc::new(list(length)), remembers });
        let serving = serve_fleet(listener, key.clone(), holder, Arc::clone(&traffic), Rc::clone(&running));
        running.spawn(serving).detach();
        let time = Duration::from_secs(20);
        let client = FleetClient::connect(address, &key, time, &traffic, &running).await.unwrap();
        client.upstreams(None).await.ok().flatten().map(|(_, told)| told)
    }))
}

#[test]
fn a_list_of_any_length_arrives_whole() {
    for length in [0, 3, 256, 257, LONG] {
        assert_eq!(fetched(length, true), Some(ListUpdate::Full(list(length))), "{length} entries");
    }
}

#[test]
fn a_list_whose_rest_is_forgotten_is_not_taken_for_whole() {
    assert_eq!(fetched(3, false), Some(ListUpdate::Full(list(3))));
    assert_eq!(fetched(LONG, false), None);
}
