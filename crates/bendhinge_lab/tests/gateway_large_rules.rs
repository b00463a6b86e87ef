//! A configuration as large as the store holds, on links that take longer for it than one call may.
//!
//! Seen: requests still reached an upstream more than three seconds after it had said that it leaves,
//! on a calm fleet, while upstreams were replaced one after the other and the configuration was
//! changed. How: the configuration was nearly a megabyte, and most boxes have a link of 10 Mbit/s.
//! Cause: news of the list of upstreams travelled behind the rules. A gateway that lacked both asked
//! another for the rules first; that call ended too late for its limit, the other gateway was then not
//! asked for a while, and the list, which is small, was not fetched at all. Each reading of the store
//! carried the rules too, and was given up as a whole. Proof: of the fetches that failed on such a
//! day those of rules had used up their time and those of lists none; the same day with the usual
//! configuration has no list older than a second and a half.

mod gateway_common;

use std::cell::Cell;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListUpdate, Revision, UpstreamList, Version};
use bendhinge_lab::gateways::{FleetShape, GatewayFleet, Harm, PEER_KEY, Proxy, RULES, until};
use bendhinge_peer::{
    CachedPartsPage, FleetClient, FleetService, HeldVersion, ObservedCachedPart, PeerConnection, PeerKey,
    PeerMessage, TrafficCounters, serve_fleet,
};
use bytes::Bytes;
use gateway_common::{message_from, run, start};
use smol::LocalExecutor;
use smol::net::TcpListener;

/// For each 16 KiB: large rules take some two and a half seconds, a list takes this.
const NARROW: Harm = Harm::Delay(Duration::from_millis(20));
const ONE_GATEWAY: FleetShape = FleetShape { gateways: 1, engines: 0, services: 2 };

/// Some two megabytes that do not compress.
fn large_rules() -> String {
    const LINES: usize = 32_000;
    let mut rules = RULES.to_owned();
    for _ in 0..LINES {
        // Writing to a string does not fail.
        let _ = writeln!(rules, "; {:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>());
    }
    rules
}

/// Waits until the gateway says that it holds `what` of `revision`.
async fn until_believed(fleet: &GatewayFleet, what: &str, revision: u64) {
    let what = format!(r#""event":"belief","what":"{what}","revision":{revision},"#);
    until(async || fleet.gateway(0).lines().iter().any(|line| line.contains(&what))).await;
}

/// The revision of all that the other gateway holds: above any of the store in a test.
const NEWER: u64 = 1_000;

/// How often the other gateway tells of the same news.
const TELLINGS: u32 = 20;

/// A gateway behind a narrow link that holds newer rules and a newer list.
struct OtherGateway {
    address: SocketAddr,
    rules: Bytes,
    /// How often it was asked for the rules.
    rules_asked: Cell<u32>,
}

impl OtherGateway {
    fn known() -> HeldVersion {
        let version = Version { revision: Revision(NEWER), digest: NEWER };
        HeldVersion { version, age: Duration::ZERO }
    }

    fn message(&self) -> PeerMessage {
        PeerMessage {
            is_announcement: true,
            rules: Some(Self::known()),
            upstreams: Some(Self::known()),
            ..message_from(self.address)
        }
    }
}

impl FleetService for OtherGateway {
    fn exchange(&self, _: PeerMessage) -> PeerMessage {
        self.message()
    }

    fn rules(&self) -> Option<(HeldVersion, Bytes)> {
        self.rules_asked.set(self.rules_asked.get() + 1);
        Some((Self::known(), self.rules.clone()))
    }

    fn recent_list(&self, _: u64) -> Option<Arc<UpstreamList>> {
        None
    }

    fn partial_list(&self) -> Option<Arc<UpstreamList>> {
        None
    }

    fn upstreams(&self, _: Option<u64>) -> Option<(HeldVersion, ListUpdate)> {
        Some((Self::known(), ListUpdate::Full(UpstreamList::default())))
    }

    fn cached_parts(&self, _: CachedPartsPage) -> Option<Vec<ObservedCachedPart>> {
        None
    }
}

/// Starts one gateway that does not reach the store any more, and another that tells it of news;
/// waits until it believes `what` of the other's. Gives how often the other was asked for the rules.
fn hears_of(what: &'static str) -> u32 {
    let rules_asked = Rc::new(Cell::new(0));
    let counted = Rc::clone(&rules_asked);
    run(|tasks| async move {
        let executor = Rc::new(LocalExecutor::new());
        let fleet = start(&tasks, ONE_GATEWAY).await;
        fleet.store_proxy.set(Harm::Silence);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let link = Proxy::start(&tasks, listener.local_addr().unwrap()).unwrap();
        link.set(NARROW);
        let rules = large_rules().into();
        let other = Rc::new(OtherGateway { address: link.address, rules, rules_asked: Cell::new(0) });
        let asked_for = Rc::clone(&other);
        let message = other.message();
        let key = || PeerKey::new(PEER_KEY);
        let traffic = Arc::new(TrafficCounters::default());
        let serving = serve_fleet(listener, key(), other, Arc::clone(&traffic), Rc::clone(&executor));
        executor.spawn(serving).detach();
        let telling = async {
            let time = Duration::from_secs(20);
            let asked = fleet.settings[0].addresses["peers"];
            let gateway = FleetClient::connect(asked, &key(), time, &traffic, &executor).await.unwrap();
            for _ in 0..TELLINGS {
                gateway.exchange(&message).await.unwrap();
            }
            until_believed(&fleet, what, NEWER).await;
        };
        executor.run(telling).await;
        counted.set(asked_for.rules_asked.get());
    });
    rules_asked.get()
}

#[test]
fn a_list_is_heard_of_though_the_rules_beside_it_take_longer_than_a_call() {
    hears_of("upstreams");
}

#[test]
fn rules_are_heard_of_that_take_longer_than_a_call_and_are_fetched_one_copy_at_a_time() {
    // More than once only if a loaded box was too slow for a call.
    let copies = hears_of("rules");
    assert!(copies < TELLINGS / 2, "{copies} copies for {TELLINGS} tellings");
}

#[test]
fn a_list_is_read_before_rules_that_take_longer_than_a_call_and_so_are_they() {
    run(|tasks| async move {
        let fleet = start(&tasks, ONE_GATEWAY).await;
        fleet.store_proxy.set(NARROW);
        fleet.store.put_rules(&large_rules());
        let rules = fleet.store.revision();
        fleet.store.drain("services-0");
        until_believed(&fleet, "upstreams", fleet.store.revision()).await;
        until_believed(&fleet, "rules", rules).await;
    });
}
