//! Gateways that are partitioned from the upstreams while others reach them.

mod gateway_common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{
    Call, FleetShape, GatewayCaller, GatewayStart, KEY, LinkedFleet, Partition, Told, until,
};
use bendhinge_standin::gateway::{Upstream, UpstreamFault};
use futures_lite::FutureExt;
use futures_lite::future::zip;
use gateway_common::run;
use rustix::process::Signal;
use smol::{LocalExecutor, Timer};

const SHAPE: FleetShape = FleetShape { gateways: 3, engines: 4, services: 3 };
/// Within this time a gateway that is partitioned has to serve its callers as the others do.
const CONTACT: Duration = Duration::from_secs(3);
const FORWARDING: &str = "[forwarding]\nenabled = yes\n";
/// The pause between two requests of one caller.
const PAUSE: Duration = Duration::from_millis(50);
/// Requests that were forwarded to other gateways.
const FORWARDS: &str = "bendhinge_gateway_forwards_total";
/// Requests that other gateways forwarded.
const FORWARDED: &str = "bendhinge_gateway_forwarded_requests_total";
const PARTITIONS_OVER: &str = "bendhinge_gateway_partitions_total{state=\"over\"";
const CONNECT_FAILURES: &str = "bendhinge_gateway_connect_failures_total";
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

/// Sends requests to a gateway for `time`, whatever becomes of them, and waits for the last one.
async fn load(fleet: &LinkedFleet, gateway: usize, time: Duration) {
    let start = Instant::now();
    for call in std::iter::repeat_with(one_of_each).flatten() {
        if start.elapsed() >= time {
            return;
        }
        fleet.send(gateway, &Call { deadline: CONTACT / 3, ..call }).await;
        Timer::after(PAUSE).await;
    }
}

/// Sends more requests at once than the gateway has open connections.
async fn load_heavily(fleet: &LinkedFleet, gateway: usize, time: Duration) {
    const CALLERS: usize = 8;
    let executor = LocalExecutor::new();
    let callers: Vec<_> = (0..CALLERS).map(|_| executor.spawn(load(fleet, gateway, time))).collect();
    let waiting = async {
        for caller in callers {
            caller.await;
        }
    };
    executor.run(waiting).await;
}

/// Whether a slow request of a route may be sent to a second upstream.
fn is_repeatable(call: &Call) -> bool {
    !matches!(call.path, "/unsafe/x" | "/stream/x")
}

/// Asserts that the first tries of callers at a gateway are served, and by one run each where a second one is not
/// allowed.
async fn assert_serves(fleet: &LinkedFleet, gateway: usize) {
    for call in std::iter::repeat_with(one_of_each).take(4).flatten() {
        let answer = fleet.send(gateway, &call).await;
        assert_eq!(answer.told, Told::Whole, "{} told {:?}", call.path, answer.code());
        let max_runs = if is_repeatable(&call) { 2 } else { 1 };
        assert!((1..=max_runs).contains(&fleet.runs_of(&call.id)), "{}", call.path);
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

/// Partitions two of four gateways under load at all of them and asserts that the others suspect no upstream.
fn assert_no_suspicion_at_others(how: Partition) {
    const SHAPE: FleetShape = FleetShape { gateways: 4, engines: 4, services: 3 };
    const SUSPECTED: &str = "bendhinge_gateway_upstreams_suspected_total";
    run(|tasks| async move {
        let fleet = LinkedFleet::start(&tasks, SHAPE, FORWARDING).await;
        for gateway in 0..SHAPE.gateways {
            assert_serves(&fleet, gateway).await;
        }
        for gateway in [0, 1] {
            fleet.partition(gateway, how).await;
        }
        zip(load_heavily(&fleet, 0, CONTACT), load_heavily(&fleet, 1, CONTACT)).await;
        for gateway in [2, 3] {
            assert_eq!(fleet.metric(gateway, SUSPECTED).await, None, "gateway {gateway}");
        }
    });
}

/// Guards against gateways that make others eject the upstreams that only they themselves do not reach.
#[test]
fn partitioned_gateways_raise_no_suspicion_of_upstreams_at_others() {
    assert_no_suspicion_at_others(Partition::Silent);
}

/// The same for gateways whose links are reset.
#[test]
fn gateways_with_reset_links_raise_no_suspicion_of_upstreams_at_others() {
    assert_no_suspicion_at_others(Partition::Reset);
}

/// Guards against failed connections that responses over open ones make look like the upstreams' failures.
#[test]
fn gateways_whose_open_links_stay_raise_no_suspicion_of_upstreams_at_others() {
    assert_no_suspicion_at_others(Partition::OpenConnectionsStay);
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

/// Guards against a gateway that serves only the requests for which it still has an open connection.
#[test]
fn callers_are_served_while_open_links_stay_and_new_ones_are_refused() {
    assert_serves_while_partitioned(Partition::OpenConnectionsStay);
}

/// Starts a fleet with one gateway that is partitioned and has noticed it.
async fn start_partitioned(tasks: &Tasks) -> LinkedFleet {
    let fleet = LinkedFleet::start(tasks, SHAPE, FORWARDING).await;
    fleet.partition(PARTITIONED, Partition::Reset).await;
    load(&fleet, PARTITIONED, CONTACT).await;
    fleet
}

/// Guards against a gateway that forwards requests whose upstreams it reaches.
#[test]
fn only_requests_of_the_partitioned_pool_are_forwarded() {
    run(|tasks| async move {
        let fleet = LinkedFleet::start(&tasks, SHAPE, FORWARDING).await;
        fleet.partition_from(PARTITIONED, "engines", Partition::Reset).await;
        load(&fleet, PARTITIONED, CONTACT).await;
        let before = fleet.metric(PARTITIONED, FORWARDS).await;
        for call in [Call::new("/safe/x", KEY), Call::new("/unsafe/x", KEY)] {
            assert_eq!(fleet.send(PARTITIONED, &call).await.told, Told::Whole);
        }
        assert_eq!(fleet.metric(PARTITIONED, FORWARDS).await, before);
        assert_eq!(fleet.send(PARTITIONED, &Call::stream("/stream/x", KEY)).await.told, Told::Whole);
        assert!(fleet.metric(PARTITIONED, FORWARDS).await > before);
    });
}

/// Guards against a gateway that stays blind for long after its links work again.
#[test]
fn a_gateway_delivers_itself_again_once_its_links_work() {
    run(|tasks| async move {
        let fleet = start_partitioned(&tasks).await;
        fleet.restore(PARTITIONED).await;
        until(async || fleet.metric(PARTITIONED, PARTITIONS_OVER).await >= Some(2)).await;
        let before = fleet.metric(PARTITIONED, FORWARDS).await;
        assert_serves(&fleet, PARTITIONED).await;
        assert_eq!(fleet.metric(PARTITIONED, FORWARDS).await, before);
    });
}

/// Guards against requests that wait, circulate or run where no gateway reaches an upstream.
#[test]
fn requests_are_refused_at_once_while_all_gateways_are_partitioned() {
    run(|tasks| async move {
        let fleet = LinkedFleet::start(&tasks, SHAPE, FORWARDING).await;
        for gateway in 0..SHAPE.gateways {
            fleet.partition(gateway, Partition::Silent).await;
        }
        let loads = zip(load(&fleet, 0, CONTACT), load(&fleet, 1, CONTACT));
        zip(loads, load(&fleet, 2, CONTACT)).await;
        let before = fleet.metric(PARTITIONED, CONNECT_FAILURES).await;
        for call in one_of_each() {
            let answer = fleet.send(PARTITIONED, &call).await;
            assert_eq!(answer.code(), Some("BH0401"));
            assert_eq!(answer.ran(), Some("no"));
            assert!(answer.headers.contains_key("retry-after-ms"));
            assert_eq!(fleet.runs_of(&call.id), 0);
        }
        // Refused without another attempt to connect.
        assert_eq!(fleet.metric(PARTITIONED, CONNECT_FAILURES).await, before);
    });
}

/// Guards against an upstream that works on for a caller who has left the gateway that forwarded the request.
#[test]
fn a_forwarded_request_is_cancelled_when_its_caller_leaves() {
    const PACE: Duration = Duration::from_secs(1);
    const UNTIL_LEAVING: Duration = Duration::from_secs(2);
    run(|tasks| async move {
        let fleet = start_partitioned(&tasks).await;
        let is_working = || fleet.upstreams.iter().any(|upstream| upstream.working() > 0);
        for upstream in &fleet.upstreams {
            upstream.set_pace(PACE);
            upstream.set_work(PACE * 60);
        }
        for call in [Call::stream("/stream/x", KEY), Call::new("/safe/x", KEY)] {
            let call = Call { deadline: PACE * 60, ..call };
            let sending = async {
                fleet.send(PARTITIONED, &call).await;
            };
            let leaving = async {
                until(async || is_working()).await;
                Timer::after(UNTIL_LEAVING).await;
            };
            sending.or(leaving).await;
            until(async || !is_working()).await;
        }
    });
}

/// Guards against a request that runs twice, or is said not to have run, since the gateway that it was forwarded to
/// ended.
#[test]
fn a_forwarded_request_runs_at_most_once_if_the_other_gateway_ends() {
    const WORK: Duration = Duration::from_secs(60);
    run(|tasks| async move {
        let mut fleet = start_partitioned(&tasks).await;
        for upstream in &fleet.upstreams {
            upstream.set_work(WORK);
        }
        let call = Call { deadline: WORK, ..Call::new("/unsafe/x", KEY) };
        let gateways = &mut fleet.gateways;
        let (upstreams, pool) = (&fleet.upstreams, &fleet.pool);
        let address = fleet.settings[PARTITIONED].addresses["callers"];
        let ending = async {
            let runs = |upstream: &Upstream| upstream.runs().iter().any(|run| run.request == call.id);
            until(async || upstreams.iter().any(runs)).await;
            for gateway in gateways.iter_mut().skip(1) {
                gateway.kill();
            }
        };
        let caller = GatewayCaller::new(Arc::clone(pool));
        let sending = caller.send(address, &call, WORK);
        let (answer, ()) = zip(sending, ending).await;
        assert_eq!(answer.told, Told::Status(502), "{:?}", answer.code());
        assert_eq!(answer.ran(), Some("unknown"));
        assert_eq!(fleet.runs_of(&call.id), 1);
    });
}

/// Guards against callers who pose as a gateway to get more attempts or time, or to evade the retry budget.
#[test]
fn headers_of_forwarded_requests_mean_nothing_from_a_caller() {
    run(|tasks| async move {
        let fleet = LinkedFleet::start(&tasks, SHAPE, FORWARDING).await;
        let mut call = Call::new("/safe/x", KEY);
        for (name, value) in [
            ("x-bendhinge-forward-from", "127.0.0.1:1"),
            ("x-bendhinge-forward-time-left-ms", "0"),
            ("x-bendhinge-forward-attempts", "0"),
            ("x-bendhinge-forward-counted", "yes"),
            ("x-bendhinge-forward-rules", "999999"),
        ] {
            call.extra_headers.push((name, value));
        }
        assert_eq!(fleet.send(PARTITIONED, &call).await.told, Told::Whole);
        assert_eq!(fleet.metric(PARTITIONED, FORWARDED).await, None);
    });
}

/// Guards against requests that are forwarded to gateways that are not set to take them.
#[test]
fn requests_are_forwarded_only_to_gateways_that_take_them() {
    run(|tasks| async move {
        let start = |number| GatewayStart::new(if number == 1 { "" } else { FORWARDING });
        let fleet = LinkedFleet::start_each(&tasks, SHAPE, start).await;
        fleet.partition(PARTITIONED, Partition::Reset).await;
        load(&fleet, PARTITIONED, CONTACT).await;
        assert_serves(&fleet, PARTITIONED).await;
        assert_eq!(fleet.metric(1, FORWARDED).await, None);
        assert!(fleet.metric(2, FORWARDED).await > Some(0));
    });
}

/// Guards against callers that are refused since all gateways of their data centre are partitioned.
#[test]
fn callers_are_served_over_another_data_centre() {
    const SHAPE: FleetShape = FleetShape { gateways: 4, engines: 4, services: 3 };
    run(|tasks| async move {
        let start = |number| GatewayStart {
            data_centre: if number < 2 { "south" } else { "north" },
            sections: FORWARDING,
        };
        let fleet = LinkedFleet::start_each(&tasks, SHAPE, start).await;
        for gateway in [0, 1] {
            fleet.partition(gateway, Partition::Silent).await;
        }
        zip(load(&fleet, 0, CONTACT), load(&fleet, 1, CONTACT)).await;
        for gateway in [0, 1] {
            assert_serves(&fleet, gateway).await;
        }
    });
}

/// Guards against a gateway in another data centre that gets forwarded requests while one in the own is idle.
#[test]
fn requests_are_forwarded_within_the_data_centre() {
    run(|tasks| async move {
        let start = |number| GatewayStart {
            data_centre: if number < 2 { "south" } else { "north" },
            sections: FORWARDING,
        };
        let fleet = LinkedFleet::start_each(&tasks, SHAPE, start).await;
        fleet.partition(PARTITIONED, Partition::Reset).await;
        load(&fleet, PARTITIONED, CONTACT).await;
        let before = fleet.metric(2, FORWARDED).await;
        // One at a time: none waits at the gateway of the same data centre when the next one comes.
        assert_serves(&fleet, PARTITIONED).await;
        assert_eq!(fleet.metric(2, FORWARDED).await, before);
        assert!(fleet.metric(1, FORWARDED).await > Some(0));
    });
}

/// Guards against requests of other pools that are refused since no gateway reaches one of them.
#[test]
fn other_pools_are_served_while_all_gateways_are_partitioned_from_one() {
    run(|tasks| async move {
        let fleet = LinkedFleet::start(&tasks, SHAPE, FORWARDING).await;
        for gateway in 0..SHAPE.gateways {
            fleet.partition_from(gateway, "engines", Partition::Reset).await;
        }
        let loads = zip(load(&fleet, 0, CONTACT), load(&fleet, 1, CONTACT));
        zip(loads, load(&fleet, 2, CONTACT)).await;
        for gateway in 0..SHAPE.gateways {
            for call in one_of_each() {
                let answer = fleet.send(gateway, &call).await;
                if call.prompt.is_some() {
                    assert_eq!(answer.code(), Some("BH0401"), "{}", call.path);
                    assert_eq!(fleet.runs_of(&call.id), 0);
                } else {
                    assert_eq!(answer.told, Told::Whole, "{}", call.path);
                }
            }
        }
    });
}

/// Guards against a partition that outlives its gateway: one that restarts while it is partitioned is served over the
/// others, and delivers itself again afterwards.
#[test]
fn a_gateway_that_restarts_during_a_partition_serves_its_callers() {
    run(|tasks| async move {
        let mut fleet = start_partitioned(&tasks).await;
        fleet.restart(PARTITIONED);
        until(async || fleet.is_ready(PARTITIONED).await).await;
        load(&fleet, PARTITIONED, CONTACT).await;
        assert_serves(&fleet, PARTITIONED).await;
    });
}

/// Guards against a request that gets no answer at all because the gateway to which it was forwarded is suspended in the
/// middle of its response.
#[test]
fn forwarded_requests_end_at_their_deadline_if_the_response_stops_midway() {
    /// More than the connections between the gateways hold.
    const PADDING: usize = 24 << 20;
    const PATIENCE: Duration = Duration::from_secs(12);
    const RESPONDED: &str = "bendhinge_gateway_forwards_total{end=\"responded\"";
    run(|tasks| async move {
        let shape = FleetShape { gateways: 2, engines: 1, services: 1 };
        let sections = "[forwarding]\nenabled = yes\n[upstreams]\nanswer_bytes = 64M\n";
        let fleet = LinkedFleet::start(&tasks, shape, sections).await;
        fleet.partition(0, Partition::Reset).await;
        until(async || {
            fleet.send(0, &Call::new("/safe/x", KEY)).await;
            fleet.metric(0, RESPONDED).await > Some(0)
        })
        .await;
        fleet.upstreams.iter().for_each(|upstream| upstream.pad_answers(PADDING));
        let forwards = fleet.metric(0, FORWARDS).await;
        let call = Call::new("/safe/x", KEY);
        let caller = GatewayCaller::new(Arc::clone(&fleet.pool));
        let address = fleet.settings[0].addresses["callers"];
        let answer = tasks.spawn(async move { caller.send(address, &call, PATIENCE).await });
        until(async || fleet.metric(0, FORWARDS).await > forwards).await;
        fleet.gateways[1].signal(Signal::STOP);
        let told = answer.await.told;
        fleet.gateways[1].signal(Signal::CONT);
        assert_ne!(told, Told::GaveUp);
    });
}
