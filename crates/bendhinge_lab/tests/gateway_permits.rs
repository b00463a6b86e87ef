//! Permits for requests to plain upstreams, between real gateways.

mod gateway_common;

use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{FleetShape, GatewayFleet, Told, until};
use gateway_common::{PATIENCE, call, metric, run, send};
use rustix::process::Signal;
use serde_json::Value;

const WITH_PERMITS: &str = "[load]\nshared_response_times = yes\npermits = yes\n";
const WITHOUT_PERMITS: &str = "[load]\nshared_response_times = yes\n";
/// Longer than it takes to send some more requests.
const LONG_WORK: Duration = Duration::from_secs(2);
const SHORT_WORK: Duration = Duration::from_millis(3);

async fn start(tasks: &Tasks, gateways: usize, services: usize, sections: &str) -> GatewayFleet {
    GatewayFleet::start(tasks, FleetShape { gateways, engines: 0, services }, sections).await
}

/// Sends calls to a gateway without waiting for the responses.
fn send_and_leave(fleet: &GatewayFleet, gateway: usize, calls: usize) {
    for _ in 0..calls {
        let (caller, address) = (fleet.caller(), fleet.callers(gateway));
        let task = async move {
            caller.send(address, &call("/unsafe/x"), PATIENCE).await;
        };
        fleet.tasks.spawn(task).detach();
    }
}

/// Sends a call to a gateway and returns what its line says of the send.
async fn send_of(fleet: &GatewayFleet, gateway: usize) -> Value {
    let call = call("/unsafe/x");
    let answer = fleet.caller().send(fleet.callers(gateway), &call, PATIENCE).await;
    assert_eq!(answer.told, Told::Whole);
    let find = || {
        let lines = fleet.gateway(gateway).lines();
        let mut values = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        values.find(|line| line["event"] == "request" && line["request"] == call.id.as_str())
    };
    until(async || find().is_some()).await;
    find().unwrap()["sends"][0].clone()
}

/// Guards against routers that send to the same upstream because none of them knows the requests of the others.
#[test]
fn gateways_learn_the_exact_number_of_requests_at_an_upstream() {
    const EACH: usize = 4;
    run(|tasks| async move {
        let fleet = start(&tasks, 3, 1, WITH_PERMITS).await;
        // Until all gateways know the one that issues the permits, it does not count all requests.
        until(async || {
            fleet.upstreams[0].set_work(LONG_WORK);
            send_and_leave(&fleet, 0, EACH);
            send_and_leave(&fleet, 1, EACH);
            until(async || fleet.upstreams[0].working() == 2 * EACH).await;
            fleet.upstreams[0].set_work(SHORT_WORK);
            let send = send_of(&fleet, 2).await;
            until(async || fleet.upstreams[0].working() == 0).await;
            send["counted"] == 2 * EACH
        })
        .await;
        until(async || send_of(&fleet, 2).await["counted"] == 0).await;
    });
}

/// Guards against requests that fail, or wait until their deadline, while the gateway that issues permits is suspended.
#[test]
fn requests_are_sent_while_the_issuer_of_permits_is_suspended() {
    run(|tasks| async move {
        let fleet = start(&tasks, 2, 2, WITH_PERMITS).await;
        let mut uncounted = 0;
        // At least one of the two issues permits of an upstream.
        for (suspended, sender) in [(0, 1), (1, 0)] {
            until(async || !send_of(&fleet, sender).await["counted"].is_null()).await;
            fleet.gateway(suspended).signal(Signal::STOP);
            for _ in 0..20 {
                uncounted += usize::from(send_of(&fleet, sender).await["counted"].is_null());
            }
            fleet.gateway(suspended).signal(Signal::CONT);
        }
        assert!(uncounted > 0);
    });
}

/// Guards against upstreams that stay full since the gateway that sent to them was killed.
#[test]
fn permits_of_a_gateway_that_is_killed_end() {
    run(|tasks| async move {
        let mut fleet = start(&tasks, 2, 1, WITH_PERMITS).await;
        fleet.upstreams[0].set_work(LONG_WORK);
        send_and_leave(&fleet, 0, 3);
        until(async || fleet.upstreams[0].working() == 3).await;
        fleet.upstreams[0].set_work(SHORT_WORK);
        fleet.gateways[0].as_mut().unwrap().kill();
        until(async || send_of(&fleet, 1).await["counted"] == 0).await;
    });
}

/// Guards against permits in deployments whose settings do not call for them.
#[test]
fn requests_need_no_permit_without_the_setting() {
    run(|tasks| async move {
        let fleet = start(&tasks, 2, 1, WITHOUT_PERMITS).await;
        let send = send_of(&fleet, 0).await;
        assert!(send["counted"].is_null() && send["permit_ms"].is_null(), "{send}");
        assert_eq!(metric(&fleet, "bendhinge_gateway_permit_wait_seconds_count").await, None);
    });
}

/// Guards against hedge requests that are not counted, or that wait for a permit.
#[test]
fn hedge_requests_are_counted() {
    run(|tasks| async move {
        let fleet = start(&tasks, 1, 2, WITH_PERMITS).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_work(LONG_WORK));
        let sending = async {
            send(&fleet, &call("/safe/x")).await;
        };
        let hedged = async {
            until(async || fleet.upstreams.iter().all(|upstream| upstream.working() == 1)).await;
            until(async || metric(&fleet, "bendhinge_gateway_permits_issued").await == Some(2)).await;
        };
        futures_lite::future::or(sending, hedged).await;
        until(async || metric(&fleet, "bendhinge_gateway_permits_issued").await == Some(0)).await;
    });
}
