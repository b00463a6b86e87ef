//! Long upstream lists are fetched in chunks.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListUpdate, Revision, UpstreamEntry, UpstreamList, UpstreamState, Version};
use bendhinge_ids::NameHash;
use bendhinge_peer::{
    CachedPartsPage, FleetClient, FleetService, HeldVersion, ObservedCachedPart, PeerConnection, PeerKey,
    PeerMessage, TrafficCounters, serve_fleet,
};
use bytes::Bytes;
use smol::LocalExecutor;
use smol::net::TcpListener;

const DIGEST: u64 = 77;
/// Several chunks, the last of which is partly filled.
const LONG_LIST_ENTRIES: usize = 1_000;

/// A gateway that holds one list. Unless `retains_list`, the list is gone when further chunks are requested.
struct ListServer {
    list: Arc<UpstreamList>,
    retains_list: bool,
}

impl FleetService for ListServer {
    fn exchange(&self, message: PeerMessage) -> PeerMessage {
        message
    }

    fn rules(&self) -> Option<(HeldVersion, Bytes)> {
        None
    }

    fn recent_list(&self, digest: u64) -> Option<Arc<UpstreamList>> {
        (self.retains_list && digest == DIGEST).then(|| Arc::clone(&self.list))
    }

    fn partial_list(&self) -> Option<Arc<UpstreamList>> {
        None
    }

    fn upstreams(&self, _: Option<u64>) -> Option<(HeldVersion, ListUpdate)> {
        let version = Version { revision: Revision(1), digest: DIGEST };
        let held = HeldVersion { version, age: Duration::ZERO };
        Some((held, ListUpdate::Full(UpstreamList::clone(&self.list))))
    }

    fn cached_parts(&self, _: CachedPartsPage) -> Option<Vec<ObservedCachedPart>> {
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

/// Fetches the list from a gateway that holds one of `length` entries; returns `None` if that fails.
fn fetch_list(length: usize, retains_list: bool) -> Option<ListUpdate> {
    let executor = Rc::new(LocalExecutor::new());
    let local_executor = Rc::clone(&executor);
    smol::block_on(executor.run(async move {
        let bind_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = TcpListener::bind(bind_address).await.unwrap();
        let address = listener.local_addr().unwrap();
        let (key, traffic) = (PeerKey::new("a-key-for-tests-only"), Arc::new(TrafficCounters::default()));
        let service = Rc::new(ListServer { list: Arc::new(list(length)), retains_list });
        let serving =
            serve_fleet(listener, key.clone(), service, Arc::clone(&traffic), Rc::clone(&local_executor));
        local_executor.spawn(serving).detach();
        let timeout = Duration::from_secs(20);
        let client = FleetClient::connect(address, &key, timeout, &traffic, &local_executor).await.unwrap();
        client.upstreams(None).await.ok().flatten().map(|(_, update)| update)
    }))
}

#[test]
fn lists_of_any_length_are_fetched_completely() {
    for length in [0, 3, 256, 257, LONG_LIST_ENTRIES] {
        assert_eq!(fetch_list(length, true), Some(ListUpdate::Full(list(length))), "{length} entries");
    }
}

#[test]
fn fetching_fails_if_the_peer_drops_the_list_between_chunks() {
    assert_eq!(fetch_list(3, false), Some(ListUpdate::Full(list(3))));
    assert_eq!(fetch_list(LONG_LIST_ENTRIES, false), None);
}
