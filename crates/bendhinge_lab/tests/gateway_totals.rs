//! Totals of the fleet between real gateways: who is sent them, and what becomes of invalid ones.

mod gateway_common;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{Figure, FleetTotals, PackedTotals, TotalKey, UpdateSource};
use bendhinge_ids::{Instant, NameHash};
use bendhinge_lab::gateways::{FleetShape, GatewayFleet, PEER_KEY};
use bendhinge_peer::{FleetClient, PeerConnection, PeerKey, PeerMessage, TrafficCounters};
use gateway_common::{message_from, run};
use smol::LocalExecutor;

const OWN: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);
const RELAY: UpdateSource = UpdateSource::Router(NameHash(1));
const KEY: TotalKey = TotalKey(7);
const NOW: Instant = Instant::from_millis(1_000);
const WITH_ADMISSION: &str = "[load]\nadmission = yes\n";

/// Sends `totals` to a gateway with these settings and returns the totals in its response.
async fn exchange(fleet: &GatewayFleet, totals: Option<PackedTotals>) -> Option<PackedTotals> {
    let executor = Rc::new(LocalExecutor::new());
    let (traffic, timeout) = (Arc::new(TrafficCounters::default()), Duration::from_secs(20));
    let address = fleet.settings[0].addresses["peers"];
    let exchanging = async {
        let key = PeerKey::new(PEER_KEY);
        let peer = FleetClient::connect(address, &key, timeout, &traffic, &executor).await.unwrap();
        peer.exchange(&PeerMessage { totals, ..message_from(OWN) }).await.unwrap().totals
    };
    executor.run(exchanging).await
}

fn start(tasks: &bendhinge_http::Tasks, sections: &'static str) -> impl Future<Output = GatewayFleet> {
    GatewayFleet::start(tasks, FleetShape { gateways: 1, engines: 1, services: 1 }, sections)
}

/// Guards against a member that does not learn of the gateways behind its relay.
#[test]
fn a_subtotal_is_answered_with_totals() {
    run(|tasks| async move {
        let fleet = start(&tasks, WITH_ADMISSION).await;
        let mut own = FleetTotals::default();
        own.set_own(vec![Figure { key: KEY, value: 3.0 }], NOW);
        let subtotal = own.subtotal_for(RELAY, NOW);
        let totals = exchange(&fleet, Some(subtotal)).await.unwrap();
        own.record_totals(RELAY, &totals, NOW);
        assert_eq!(own.router_count(NOW), 2);
        assert!((own.get(KEY, NOW).unwrap().value - 3.0).abs() < 0.01);
    });
}

/// Guards against popular prompts with one home, because their requests are not counted across the fleet unless another
/// decision uses totals.
#[test]
fn totals_are_shared_for_popular_prompts_alone() {
    run(|tasks| async move {
        let fleet = start(&tasks, "[load]\npopular_prompts = yes\n").await;
        let mut own = FleetTotals::default();
        own.set_own(vec![Figure { key: KEY, value: 3.0 }], NOW);
        let totals = exchange(&fleet, Some(own.subtotal_for(RELAY, NOW))).await.unwrap();
        own.record_totals(RELAY, &totals, NOW);
        assert_eq!(own.router_count(NOW), 2);
    });
}

/// Guards against bytes for gateways of an older version, and for fleets that do not share totals.
#[test]
fn no_totals_are_sent_without_a_subtotal_or_without_the_settings() {
    run(|tasks| async move {
        let fleet = start(&tasks, WITH_ADMISSION).await;
        assert_eq!(exchange(&fleet, None).await, None);
        let fleet = start(&tasks, "").await;
        let subtotal = FleetTotals::default().subtotal_for(RELAY, NOW);
        assert_eq!(exchange(&fleet, Some(subtotal)).await, None);
    });
}

/// Guards against a gateway that stops answering because of what a peer sends.
#[test]
fn invalid_subtotals_are_ignored() {
    run(|tasks| async move {
        let fleet = start(&tasks, WITH_ADMISSION).await;
        for bytes in [vec![], vec![0; 3], vec![255; 9], vec![255; 4 + 6 * 1_000]] {
            let totals = exchange(&fleet, Some(PackedTotals(bytes))).await.unwrap();
            let mut own = FleetTotals::default();
            own.set_own(Vec::new(), NOW);
            own.subtotal_for(RELAY, NOW);
            own.record_totals(RELAY, &totals, NOW);
            assert!(own.router_count(NOW) <= 2, "{totals:?}");
        }
    });
}
