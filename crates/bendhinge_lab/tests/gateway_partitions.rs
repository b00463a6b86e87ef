//! Gateways that are partitioned from the upstreams while others reach them.

mod gateway_common;

use std::time::Duration;

use bendhinge_lab::gateways::{Call, FleetShape, KEY, LinkedFleet, Partition, Told};
use bendhinge_standin::gateway::UpstreamFault;
use futures_lite::future::zip;
use gateway_common::run;
use smol::Timer;

const SHAPE: FleetShape = FleetShape { gateways: 3, engines: 4, services: 3 };
/// Within this time a gateway that is partitioned has to serve its callers as the others do.
const CONTACT: Duration = Duration::from_secs(3);
const FORWARDING: &str = "[forwarding]\nenabled = yes\n";
/// The pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(50);
/// The gateway that is partitioned.
const PARTITIONED: usize = 0;

/// A request of each kind of route.
fn one_of_each() -> Vec<Call> {
    vec![
        Call::new("/safe/x", KEY),
        Call::new("/unsafe/x", KEY),
        Call::stream("/stream/x", KEY),
        Call::stream("/resumable/x", KEY),
        Call::new("/open/x", KEY),
    ]
}

/// Sends requests to a gateway for `time`, whatever becomes of them.
async fn load(fleet: &LinkedFleet, gateway: usize, time: Duration) {
    let sending = async {
        loop {
            for call in one_of_each() {
                fleet.send(gateway, &Call { deadline: CONTACT / 3, ..call }).await;
                Timer::after(PAUSE).await;
            }
        }
    };
    let timeout = async {
        Timer::after(time).await;
    };
    futures_lite::FutureExt::or(sending, timeout).await;
}

/// Asserts that the first tries of callers at a gateway are served, each by one run.
async fn assert_serves(fleet: &LinkedFleet, gateway: usize) {
    for call in std::iter::repeat_with(one_of_each).take(4).flatten() {
        let answer = fleet.send(gateway, &call).await;
        assert_eq!(answer.told, Told::Whole, "{} told {:?}", call.path, answer.code());
        assert_eq!(fleet.runs_of(&call.id), 1, "{}", call.path);
    }
}

/// Partitions a gateway under load and asserts that it serves its callers once it had time to notice.
fn assert_serves_while_partitioned(how: Partition) {
    run(|tasks| async move {
        let fleet = LinkedFleet::start(&tasks, SHAPE, FORWARDING).await;
        assert_serves(&fleet, PARTITIONED).await;
        fleet.partition(PARTITIONED, how).await;
        load(&fleet, PARTITIONED, CONTACT).await;
        assert_serves(&fleet, PARTITIONED).await;
    });
}

/// Guards against a gateway that refuses its callers since its own links to all upstreams are reset.
#[test]
fn callers_are_served_while_links_to_all_upstreams_are_reset() {
    assert_serves_while_partitioned(Partition::Reset);
}

/// Guards against a gateway that lets its callers wait and then refuses them since its own links to all upstreams are
/// silent.
#[test]
fn callers_are_served_while_links_to_all_upstreams_are_silent() {
    assert_serves_while_partitioned(Partition::Silent);
}

/// Guards against gateways that make others eject the upstreams that only they themselves do not reach.
#[test]
fn partitioned_gateways_raise_no_suspicion_of_upstreams_at_others() {
    const SHAPE: FleetShape = FleetShape { gateways: 4, engines: 4, services: 3 };
    const SUSPECTED: &str = "bendhinge_gateway_upstreams_suspected_total";
    run(|tasks| async move {
        let fleet = LinkedFleet::start(&tasks, SHAPE, FORWARDING).await;
        for gateway in [0, 1] {
            fleet.partition(gateway, Partition::Silent).await;
        }
        zip(load(&fleet, 0, CONTACT), load(&fleet, 1, CONTACT)).await;
        for gateway in [2, 3] {
            assert_eq!(fleet.metric(gateway, SUSPECTED).await, Some(0), "gateway {gateway}");
        }
    });
}

/// Guards against requests that are quarantined since the links of their gateway were reset under them.
#[test]
fn requests_under_way_at_a_partitioned_gateway_are_not_taken_for_the_cause_of_crashes() {
    const UNTIL_CUT: Duration = Duration::from_millis(500);
    run(|tasks| async move {
        let fleet = LinkedFleet::start(&tasks, SHAPE, FORWARDING).await;
        let repeated_call = || Call { body: "repeated".to_owned(), ..Call::stream("/stream/x", KEY) };
        for upstream in &fleet.upstreams {
            upstream.set_fault(UpstreamFault::Silent);
        }
        // Each gateway in turn loses its links while it waits for the response to one and the same request.
        for gateway in 0..SHAPE.gateways {
            let call = repeated_call();
            let cutting = async {
                Timer::after(UNTIL_CUT).await;
                fleet.partition(gateway, Partition::Reset).await;
            };
            let (answer, ()) = zip(fleet.send(gateway, &call), cutting).await;
            assert_ne!(answer.told, Told::Whole);
        }
        Timer::after(CONTACT).await;
        for gateway in 0..SHAPE.gateways {
            fleet.restore(gateway).await;
        }
        for upstream in &fleet.upstreams {
            upstream.set_fault(UpstreamFault::None);
        }
        Timer::after(CONTACT).await;
        for gateway in 0..SHAPE.gateways {
            let answer = fleet.send(gateway, &repeated_call()).await;
            assert_eq!(answer.told, Told::Whole, "gateway {gateway} told {:?}", answer.code());
        }
    });
}
