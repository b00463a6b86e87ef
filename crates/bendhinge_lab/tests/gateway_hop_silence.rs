//! Requests that a partitioned gateway forwards, while upstreams, links and the other gateways are silent for a second or
//! so, and while the other gateways change or end.

mod gateway_common;

use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{
    Answer, Call, FleetShape, GatewayCaller, KEY, LinkedFleet, Partition, RULES, Told, until,
};
use bendhinge_standin::gateway::Silence;
use gateway_common::{PATIENCE, run};
use rustix::process::Signal;
use serde_json::Value;
use smol::{Task, Timer};

/// On a loaded machine, opening many connections to another gateway at once takes longer than the usual time limit.
const FORWARDING: &str = "[forwarding]\nenabled = yes\n[upstreams]\nconnect_ms = 4000\n";
/// The gateway that is partitioned.
const PARTITIONED: usize = 0;
const PARTITIONS_BEGUN: &str = "bendhinge_gateway_partitions_total{state=\"begun\"";
/// Requests that other gateways forwarded.
const FORWARDED: &str = "bendhinge_gateway_forwarded_requests_total";
/// Several times as long as a gateway waits for the next event of a stream that may be resumed.
const PAUSE: Duration = Duration::from_millis(1_200);
/// The time between events, so that streams are in progress when something happens.
const PACE: Duration = Duration::from_millis(30);
/// The time that plain requests take, for the same reason.
const WORK: Duration = Duration::from_millis(200);
/// Each kind of route.
const PATHS: [&str; 4] = ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"];

fn call(path: &'static str) -> Call {
    let is_plain = matches!(path, "/safe/x" | "/unsafe/x");
    let call = if is_plain { Call::new(path, KEY) } else { Call::stream(path, KEY) };
    Call { deadline: PATIENCE, ..call }
}

/// Calls of each kind.
fn calls(of_each: usize) -> Vec<Call> {
    PATHS.iter().flat_map(|path| (0..of_each).map(|_| call(path))).collect()
}

/// Rules whose time limits no request reaches on a loaded machine.
fn patient_rules(version: u32) -> String {
    RULES
        .replace("version = 1", &format!("version = {version}"))
        .replace("timeout_ms = 3000", "timeout_ms = 30000")
        .replace("timeout_ms = 5000", "timeout_ms = 30000")
}

/// Changes the rules at all stores and waits until all gateways have them.
async fn set_rules(fleet: &LinkedFleet, rules: &str) {
    fleet.stores.iter().for_each(|store| store.put_rules(rules));
    let revision = fleet.stores[0].revision();
    let is_update = |line: &String| {
        let Ok(line) = serde_json::from_str::<Value>(line) else { return false };
        line["event"] == "belief" && line["what"] == "rules" && line["revision"] == revision
    };
    until(async || fleet.gateways.iter().all(|gateway| gateway.lines().iter().any(is_update))).await;
}

/// Starts a fleet whose first gateway is partitioned from all upstreams and has noticed it.
async fn start(tasks: &Tasks, gateways: usize, engines: usize, sections: &str) -> LinkedFleet {
    let shape = FleetShape { gateways, engines, services: engines };
    let fleet =
        LinkedFleet::start_with_rules(tasks, shape, &format!("{FORWARDING}{sections}"), &patient_rules(1))
            .await;
    fleet.partition(PARTITIONED, Partition::Reset).await;
    until(async || {
        let mut are_served = true;
        for path in ["/safe/x", "/resumable/x"] {
            are_served &= fleet.send(PARTITIONED, &call(path)).await.told == Told::Whole;
        }
        are_served && fleet.metric(PARTITIONED, PARTITIONS_BEGUN).await >= Some(2)
    })
    .await;
    for upstream in &fleet.upstreams {
        upstream.set_pace(PACE);
        upstream.set_work(WORK);
    }
    fleet
}

/// Sends calls to the partitioned gateway at the same time.
fn send_all(tasks: &Tasks, fleet: &LinkedFleet, calls: &[Call]) -> Vec<Task<Answer>> {
    let caller = GatewayCaller::new(fleet.pool.clone());
    let address = fleet.callers(PARTITIONED);
    let sending = calls.iter().map(|call| {
        let (caller, call) = (caller.clone(), call.clone());
        tasks.spawn(async move { caller.send(address, &call, PATIENCE).await })
    });
    sending.collect()
}

/// Waits until all calls are at an upstream.
async fn until_run(fleet: &LinkedFleet, calls: &[Call]) {
    until(async || calls.iter().all(|call| fleet.runs_of(&call.id) > 0)).await;
}

fn silence_all(fleet: &LinkedFleet, silence: Silence) {
    fleet.upstreams.iter().for_each(|upstream| upstream.set_silence(silence));
}

/// Asserts that every call gets its whole answer and, where it may run only once, ran once.
async fn assert_whole(fleet: &LinkedFleet, calls: &[Call], sending: Vec<Task<Answer>>) {
    let mut not_whole = Vec::new();
    for (call, sent) in calls.iter().zip(sending) {
        let answer = sent.await;
        if answer.told != Told::Whole {
            not_whole.push((call.path, answer.told.clone(), answer.code().map(str::to_owned)));
        }
        let max_runs = if matches!(call.path, "/unsafe/x" | "/stream/x") { 1 } else { 2 };
        assert!(fleet.runs_of(&call.id) <= max_runs, "{} ran {} times", call.path, fleet.runs_of(&call.id));
    }
    assert!(not_whole.is_empty(), "{} of {} calls: {not_whole:?}", not_whole.len(), calls.len());
    assert!(is_forwarding(fleet).await, "nothing was forwarded");
}

async fn is_forwarding(fleet: &LinkedFleet) -> bool {
    fleet.metric(1, FORWARDED).await > Some(0) || fleet.metric(2, FORWARDED).await > Some(0)
}

/// Silences all upstreams for a while in the middle of forwarded calls.
fn assert_whole_beside_silence(engines: usize, calls: Vec<Call>) {
    run(|tasks| async move {
        let fleet = start(&tasks, 3, engines, "").await;
        let sending = send_all(&tasks, &fleet, &calls);
        until_run(&fleet, &calls).await;
        silence_all(&fleet, Silence::Events);
        Timer::after(PAUSE).await;
        silence_all(&fleet, Silence::None);
        assert_whole(&fleet, &calls, sending).await;
    });
}

/// Guards against a forwarded stream that the other gateway cuts when its upstream is silent for a second and no other one
/// can go on with it.
#[test]
fn forwarded_streams_of_an_upstream_that_pauses_are_not_cut() {
    assert_whole_beside_silence(1, calls(4));
}

/// Guards against forwarded streams that are cut when all upstreams are silent and the retry budget of the other gateway
/// is exhausted.
#[test]
fn forwarded_streams_of_a_pool_that_pauses_are_not_cut() {
    assert_whole_beside_silence(4, (0..24).map(|_| call("/resumable/x")).collect());
}

/// Guards against forwarded requests that fail when an upstream is silent before the heads of its responses.
#[test]
fn forwarded_requests_outlast_an_upstream_that_pauses_before_its_answers() {
    run(|tasks| async move {
        let fleet = start(&tasks, 3, 1, "").await;
        silence_all(&fleet, Silence::Answers);
        let calls = calls(3);
        let sending = send_all(&tasks, &fleet, &calls);
        Timer::after(PAUSE).await;
        silence_all(&fleet, Silence::None);
        assert_whole(&fleet, &calls, sending).await;
    });
}

/// Guards against a forwarded stream that is cut when its upstream is silent between the head and the first event.
#[test]
fn forwarded_streams_that_pause_after_their_heads_are_not_cut() {
    run(|tasks| async move {
        let fleet = start(&tasks, 3, 1, "").await;
        silence_all(&fleet, Silence::Events);
        let calls: Vec<_> = calls(3).into_iter().filter(|call| call.prompt.is_some()).collect();
        let sending = send_all(&tasks, &fleet, &calls);
        Timer::after(PAUSE).await;
        silence_all(&fleet, Silence::None);
        assert_whole(&fleet, &calls, sending).await;
    });
}

/// Guards against forwarded requests that are given up while the other gateway is silent itself.
#[test]
fn forwarded_requests_outlast_a_pause_of_the_other_gateways() {
    run(|tasks| async move {
        let fleet = start(&tasks, 3, 2, "").await;
        let calls = calls(4);
        let sending = send_all(&tasks, &fleet, &calls);
        until_run(&fleet, &calls).await;
        for gateway in [1, 2] {
            fleet.gateways[gateway].signal(Signal::STOP);
        }
        Timer::after(PAUSE).await;
        for gateway in [1, 2] {
            fleet.gateways[gateway].signal(Signal::CONT);
        }
        assert_whole(&fleet, &calls, sending).await;
    });
}

/// Guards against forwarded requests that end with a gateway that stops regularly, although it waits for its upstreams.
#[test]
fn forwarded_requests_are_served_by_a_gateway_that_stops() {
    run(|tasks| async move {
        let fleet = start(&tasks, 3, 2, "[stop]\naccept_ms = 100\n").await;
        let calls = calls(4);
        let sending = send_all(&tasks, &fleet, &calls);
        until_run(&fleet, &calls).await;
        silence_all(&fleet, Silence::Answers);
        for gateway in [1, 2] {
            fleet.gateways[gateway].signal(Signal::TERM);
        }
        Timer::after(PAUSE).await;
        silence_all(&fleet, Silence::None);
        assert_whole(&fleet, &calls, sending).await;
    });
}

/// Changes the rules at all gateways between the hop and the responses.
fn assert_whole_beside_changes(change: impl Fn(&str) -> String) {
    run(|tasks| async move {
        let fleet = start(&tasks, 3, 2, "").await;
        silence_all(&fleet, Silence::Answers);
        let calls = calls(4);
        let sending = send_all(&tasks, &fleet, &calls);
        until_run(&fleet, &calls).await;
        set_rules(&fleet, &change(&patient_rules(2))).await;
        Timer::after(PAUSE).await;
        silence_all(&fleet, Silence::None);
        assert_whole(&fleet, &calls, sending).await;
    });
}

/// Guards against forwarded requests that are ended by rules with other limits, which come into force between the hop and
/// the response.
#[test]
fn forwarded_requests_outlast_changes_of_their_routes() {
    assert_whole_beside_changes(|rules| {
        rules.replace("attempts = 2", "attempts = 1").replace("timeout_ms = 30000", "timeout_ms = 100")
    });
}

/// The same for a key that is revoked: requests that were sent before go on.
#[test]
fn forwarded_requests_outlast_the_end_of_their_keys() {
    assert_whole_beside_changes(|rules| rules.replace("keys = key-one, key-two", "keys = key-two"));
}

/// Kills two of the three gateways to which calls were forwarded.
fn kill_others(fleet: &LinkedFleet) {
    for gateway in [1, 2] {
        fleet.gateways[gateway].signal(Signal::KILL);
    }
}

/// Guards against a request without an answer or a coded refusal since the gateway to which it was forwarded was killed
/// before the response.
#[test]
fn forwarded_requests_whose_gateway_is_killed_before_the_head_are_answered() {
    run(|tasks| async move {
        let fleet = start(&tasks, 4, 2, "").await;
        silence_all(&fleet, Silence::Answers);
        let calls = calls(3);
        let sending = send_all(&tasks, &fleet, &calls);
        until_run(&fleet, &calls).await;
        kill_others(&fleet);
        silence_all(&fleet, Silence::None);
        for (call, sent) in calls.iter().zip(sending) {
            let answer = sent.await;
            let is_refused = answer.told == Told::Status(502)
                && (answer.code(), answer.ran()) == (Some("BH0402"), Some("unknown"));
            assert!(answer.told == Told::Whole || is_refused, "{} {answer:?}", call.path);
        }
    });
}

/// Guards against a forwarded stream that looks complete since the gateway that relayed it was killed.
#[test]
fn forwarded_streams_whose_gateway_is_killed_are_whole_or_visibly_truncated() {
    run(|tasks| async move {
        let fleet = start(&tasks, 4, 2, "").await;
        let calls: Vec<_> = calls(6).into_iter().filter(|call| call.prompt.is_some()).collect();
        let sending = send_all(&tasks, &fleet, &calls);
        until_run(&fleet, &calls).await;
        Timer::after(PACE * 3).await;
        kill_others(&fleet);
        for (call, sent) in calls.iter().zip(sending) {
            let answer = sent.await;
            assert!(matches!(answer.told, Told::Whole | Told::Broken), "{} {answer:?}", call.path);
        }
    });
}
