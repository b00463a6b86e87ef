//! What gateways make of what others tell them.

mod gateway_common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListLoads, ListUpdate, LogPosition, PackedLoads, RouterIncarnation};
use bendhinge_ids::NameHash;
use bendhinge_lab::gateways::{FleetShape, GatewayFleet, PEER_KEY, Told, until};
use bendhinge_peer::{
    FleetClient, ObservedCachedPart, ObservedFailureEvidence, ObservedFailureReport, ObservedLoad,
    PeerConnection, PeerKey, PeerMessage, TrafficCounters,
};
use bendhinge_placement::PartId;
use gateway_common::{call, message_from, run, send, start};
use smol::LocalExecutor;

/// Where the test's own peer would be reached: it asks, and answers nobody.
const OWN: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// Where another of the test's peers would be.
const OTHER: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 10);

/// A whole message that says nothing.
fn message() -> PeerMessage {
    message_from(OWN)
}

async fn peer(executor: &Rc<LocalExecutor<'static>>, address: SocketAddr) -> FleetClient {
    let traffic = Arc::new(TrafficCounters::default());
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
        let failure =
            |router| ObservedFailureReport { router: NameHash(router), age: Duration::from_millis(20) };
        let doubt = ObservedFailureEvidence {
            upstream: NameHash::of("services-0"),
            last_response_age: Some(Duration::from_millis(100)),
            reports: vec![failure(1), failure(2)],
        };
        let telling = async {
            let peer = peer(&executor, asked).await;
            let told = PeerMessage { failure_evidence: vec![doubt.clone()], ..message() };
            let told_back = peer.exchange(&told).await.unwrap().failure_evidence;
            assert_eq!(told_back, [], "who told of it knows it");
            peer.exchange(&message_from(OTHER)).await.unwrap().failure_evidence
        };
        let doubts = executor.run(telling).await;
        assert_eq!(doubts.len(), 1, "it is told on: {doubts:?}");
        assert_eq!(doubts[0].reports.len(), 2);
        let lines = || fleet.gateway(0).lines();
        until(async || lines().iter().any(|line| line.contains("upstream_suspected"))).await;
        // A request that must not be repeated is no trial.
        for _ in 0..4 {
            assert_eq!(send(&fleet, &call("/unsafe/x")).await.told, Told::Whole);
        }
        assert!(fleet.upstreams[0].runs().is_empty());
    });
}

/// Both ends know the same members and hold the same list: a message then names neither.
#[test]
fn who_knows_the_same_is_told_states_and_an_older_gateway_everything() {
    run(|tasks| async move {
        let executor = Rc::new(LocalExecutor::new());
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 1 }).await;
        let asked = fleet.settings[0].addresses["peers"];
        let load = ObservedLoad {
            upstream: NameHash::of("engines-1"),
            in_progress: 6,
            age: Duration::from_millis(5),
        };
        let asking = async {
            let peer = peer(&executor, asked).await;
            let told = PeerMessage { loads: vec![load], ..message() };
            let in_full = peer.exchange(&told).await.unwrap();
            let same = PeerMessage {
                roster_digest: in_full.roster_digest,
                upstreams: in_full.upstreams,
                ..message()
            };
            (in_full, peer.exchange(&same).await.unwrap())
        };
        let (in_full, in_states) = executor.run(asking).await;
        // The first question says nothing of what its sender knows, as an older gateway's would.
        assert!(in_full.members.iter().any(|member| member.address == OWN));
        assert!(!in_full.loads.is_empty());
        assert_eq!((&in_full.member_states, &in_full.list_loads), (&None, &None));
        assert!(in_states.members.is_empty() && in_states.loads.is_empty());
        assert_eq!(in_states.member_states.unwrap().0.len(), 2, "itself and its peer");
        let Some(ListLoads::All(PackedLoads(loads))) = in_states.list_loads else {
            panic!("no states of loads: {:?}", in_states.list_loads);
        };
        assert_eq!(loads.len(), 2 * 3, "of three upstreams");
        assert!(
            loads[..3].iter().all(|load| *load == u8::MAX),
            "nothing that the peer told itself: {loads:?}"
        );
    });
}

/// Who holds a list that is remembered is told what changed since.
#[test]
fn a_list_is_told_as_changes_to_who_holds_one_before() {
    run(|tasks| async move {
        let executor = Rc::new(LocalExecutor::new());
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 0 }).await;
        let asked = fleet.settings[0].addresses["peers"];
        let asking = async {
            let peer = peer(&executor, asked).await;
            let (known, whole) = peer.upstreams(None).await.unwrap().unwrap();
            let (_, since) = peer.upstreams(Some(known.version.digest)).await.unwrap().unwrap();
            let (_, since_unknown) = peer.upstreams(Some(known.version.digest + 1)).await.unwrap().unwrap();
            (known, whole, since, since_unknown)
        };
        let (known, whole, since, since_unknown) = executor.run(asking).await;
        let ListUpdate::Full(list) = &whole else { panic!("{whole:?}") };
        assert_eq!((list.entries.len(), list.digest()), (2, known.version.digest));
        let ListUpdate::Delta { base, delta: changes } = since else { panic!("{since:?}") };
        assert_eq!(base, known.version.digest);
        assert!(changes.removed.is_empty() && changes.upserted.is_empty());
        assert_eq!(since_unknown, whole);
    });
}

/// What upstreams read is told once to whoever says up to where it heard.
#[test]
fn reads_are_told_once_and_again_to_a_new_life() {
    run(|tasks| async move {
        let executor = Rc::new(LocalExecutor::new());
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 1, services: 0 }).await;
        let asked = fleet.settings[0].addresses["peers"];
        let read = ObservedCachedPart {
            part: PartId(7),
            upstream: NameHash::of("engines-0"),
            age: Duration::from_millis(3),
        };
        let asking = async {
            let peer = peer(&executor, asked).await;
            let telling = PeerMessage { cached_parts: vec![read], ..message_from(OTHER) };
            peer.exchange(&telling).await.unwrap();
            let first = peer.exchange(&message()).await.unwrap();
            let heard = PeerMessage { received_position: first.sent_position, ..message() };
            let second = peer.exchange(&heard).await.unwrap();
            let other_life = first
                .sent_position
                .map(|told| LogPosition { incarnation: RouterIncarnation(told.incarnation.0 ^ 1), ..told });
            let third =
                peer.exchange(&PeerMessage { received_position: other_life, ..message() }).await.unwrap();
            [first, second, third]
                .map(|answer| answer.cached_parts.iter().map(|read| read.part).collect::<Vec<_>>())
        };
        let told = Box::pin(executor.run(asking)).await;
        assert_eq!(told, [vec![PartId(7)], vec![], vec![PartId(7)]]);
    });
}
