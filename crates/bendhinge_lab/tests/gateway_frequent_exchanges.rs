//! Exchanges between gateways while the upstreams of a pool are close to the load limit.

mod gateway_common;

use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{Call, FleetShape, GatewayFleet, KEY, Told, until};
use gateway_common::{metric, run, send};

const SHAPE: FleetShape = FleetShape { gateways: 2, engines: 2, services: 0 };
const FREQUENT: &str = "bendhinge_gateway_frequent_exchanges_total";
const EXCHANGES: &str = "bendhinge_gateway_exchanges_total";

/// Starts a fleet of which one engine is busy and the other one warms up, so that it takes hardly any requests.
async fn start_near_limit(tasks: &Tasks, sections: &'static str) -> GatewayFleet {
    const REPORTED: u32 = 20;
    let fleet = GatewayFleet::start(tasks, SHAPE, sections).await;
    fleet.store.warm_up(&fleet.upstreams[1].name(), Duration::from_mins(5));
    fleet.upstreams[0].report_load(REPORTED);
    fleet
}

async fn send_stream(fleet: &GatewayFleet) {
    assert_eq!(send(fleet, &Call::stream("/stream/x", KEY)).await.told, Told::Whole);
}

/// Guards against loads that are exchanged at the usual interval although a pool is close to its load limit.
#[test]
fn gateways_exchange_more_often_near_the_load_limit() {
    run(|tasks| async move {
        let fleet = start_near_limit(&tasks, "[load]\nfrequent_exchanges = yes\n").await;
        until(async || {
            send_stream(&fleet).await;
            metric(&fleet, FREQUENT).await.is_some_and(|count| count > 0)
        })
        .await;
    });
}

/// Guards against additional exchanges in deployments whose settings do not call for them.
#[test]
fn gateways_keep_the_usual_interval_without_the_setting() {
    const ROUNDS: u64 = 5;
    run(|tasks| async move {
        let fleet = start_near_limit(&tasks, "").await;
        send_stream(&fleet).await;
        let before = metric(&fleet, EXCHANGES).await.unwrap_or_default();
        until(async || {
            send_stream(&fleet).await;
            metric(&fleet, EXCHANGES).await.is_some_and(|count| count >= before + ROUNDS)
        })
        .await;
        assert_eq!(metric(&fleet, FREQUENT).await, None);
    });
}
