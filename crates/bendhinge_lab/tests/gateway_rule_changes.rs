//! Requests in progress while the serving rules change or their lease ends.

mod gateway_common;

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{
    Answer, Call, FleetShape, GatewayCaller, GatewayFleet, Harm, KEY, Proxy, RULES, Told, until,
};
use bendhinge_standin::gateway::{Silence, UpstreamFault};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway_common::{PATIENCE, run, send};
use smol::channel::{Receiver, bounded};
use smol::net::TcpStream;
use smol::{Task, Timer};

/// Where a request may be sent again.
const TWO_OF_EACH: FleetShape = FleetShape { gateways: 1, engines: 2, services: 2 };
/// A path of each kind of route.
const PATHS: [&str; 4] = ["/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"];
/// Requests in progress of each kind.
const CALLS: usize = 4;
/// Longer than anything in a test may take.
const DEADLINE: Duration = Duration::from_secs(60);

/// The usual rules, with timeouts and gaps that no test exceeds.
fn rules() -> String {
    let rules = RULES.replace("timeout_ms = 3000", "timeout_ms = 60000");
    let rules = rules.replace("timeout_ms = 5000", "timeout_ms = 60000");
    let rules =
        rules.replace("target_ms = 300", "target_ms = 60000").replace("target_ms = 500", "target_ms = 60000");
    rules.replace("gap_ms = 100", "gap_ms = 10000").replace("gap_ms = 300", "gap_ms = 10000")
}

/// Puts rules with a route that only this version has.
fn put_version(fleet: &GatewayFleet, version: u32, rules: &str) {
    let rules = rules.replace("version = 1", &format!("version = {version}"));
    let marker = format!(
        "[route.v{version}]\nhost = v{version}.example\npath = /\nkind = safe\npools = services\ntimeout_ms = 1000\n\
         target_ms = 300\n"
    );
    fleet.store.put_rules(&(rules + &marker));
}

/// Waits until the gateway has the route of a version, which refuses requests without a key.
async fn until_in_force(fleet: &GatewayFleet, version: u32) {
    let host: &'static str = format!("v{version}.example").leak();
    let call = Call { key: None, host, ..Call::new("/x", KEY) };
    until(async || send(fleet, &call).await.told == Told::Status(401)).await;
}

/// Where requests are while the rules change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// At an upstream that has not responded yet.
    BeforeHead,
    /// Streams are in the middle of their events, and go no further.
    MidStream,
    /// Streams have this pace.
    AtPace(Duration),
}

/// Calls that were sent and have not ended.
struct Sending {
    answers: Vec<Task<Answer>>,
}

impl Sending {
    /// Sends calls to `paths` and holds them back in `phase`.
    async fn start(fleet: &GatewayFleet, phase: Phase, paths: &[&'static str]) -> Self {
        const PACE: Duration = Duration::from_millis(50);
        const FIRST_EVENTS: Duration = Duration::from_millis(160);
        for upstream in &fleet.upstreams {
            upstream.set_pace(if let Phase::AtPace(pace) = phase { pace } else { PACE });
            upstream.set_silence(if phase == Phase::BeforeHead { Silence::Answers } else { Silence::None });
        }
        let calls: Vec<Call> =
            paths.iter().flat_map(|path| std::iter::repeat_n(*path, CALLS)).map(call).collect();
        let sending = calls.iter().map(|call| {
            let (caller, call, address) = (fleet.caller(), call.clone(), fleet.callers(0));
            fleet.tasks.spawn(async move { caller.send(address, &call, PATIENCE).await })
        });
        let answers = sending.collect();
        until(async || calls.iter().all(|call| fleet.runs_of(&call.id) > 0)).await;
        if phase == Phase::MidStream {
            Timer::after(FIRST_EVENTS).await;
            fleet.upstreams.iter().for_each(|upstream| upstream.set_silence(Silence::Events));
        }
        Self { answers }
    }

    /// Whether one of them has ended.
    fn has_ended(&self) -> bool {
        self.answers.iter().any(Task::is_finished)
    }

    /// Lets the upstreams go on, and returns the answers.
    async fn finish(self, fleet: &GatewayFleet) -> Vec<Answer> {
        fleet.upstreams.iter().for_each(|upstream| upstream.set_silence(Silence::None));
        let mut answers = Vec::new();
        for answer in self.answers {
            answers.push(answer.await);
        }
        answers
    }
}

fn call(path: &'static str) -> Call {
    let is_stream = path.starts_with("/stream") || path.starts_with("/resumable");
    let call = if is_stream { Call::stream(path, KEY) } else { Call::new(path, KEY) };
    Call { deadline: DEADLINE, ..call }
}

/// Starts a fleet with the rules of these tests in force.
async fn fleet_with_rules(tasks: &Tasks, sections: &str) -> GatewayFleet {
    let fleet = GatewayFleet::start(tasks, TWO_OF_EACH, sections).await;
    put_version(&fleet, 2, &rules());
    until_in_force(&fleet, 2).await;
    fleet
}

/// Leaves kept connections on both sides of the gateway.
async fn keep_connections(fleet: &GatewayFleet) {
    let sending = Sending::start(fleet, Phase::BeforeHead, &PATHS).await;
    assert_whole(&sending.finish(fleet).await, &"no change");
}

fn assert_whole(answers: &[Answer], case: &impl std::fmt::Debug) {
    let told: Vec<_> = answers.iter().map(|answer| &answer.told).collect();
    assert!(told.iter().all(|told| **told == Told::Whole), "{case:?}: {told:?}");
}

/// A change of the rules, as texts to be replaced.
type Change = (&'static str, &'static [(&'static str, &'static str)]);

const CHANGES: [Change; 11] = [
    ("routes go", &[("host = fleet.example", "host = other.example")]),
    ("timeouts are below the time spent", &[("timeout_ms = 60000", "timeout_ms = 1")]),
    ("gaps are below the silence", &[("gap_ms = 10000", "gap_ms = 1")]),
    ("attempts", &[("attempts = 2", "attempts = 1")]),
    ("a key is revoked", &[("key-one, key-two", "key-two")]),
    ("a customer goes", &[("customer.one", "customer.two"), ("key-one, key-two", "key-three")]),
    ("a key is another customer's", &[("customer.one", "customer.two")]),
    ("limits are low", &[("[rules]", "[rules]\nbody_bytes = 1\narrival_ms = 1\nidle_ms = 1")]),
    ("a split loses its pools", &[("pools = services", "pools = none"), ("pools = engines", "pools = none")]),
    (
        "pools are gone",
        &[
            ("[pool.engines]\nkeeps_prompts = yes\nmoves_prompts = yes\n[pool.services]", "[pool.none]"),
            ("pools = services", "pools = none"),
            ("pools = engines", "pools = none"),
        ],
    ),
    ("kinds are others", &[("kind = safe", "kind = unsafe"), ("kind = resumable", "kind = stream")]),
];

fn changed(change: &Change) -> String {
    change.1.iter().fold(rules(), |rules, (from, to)| rules.replace(from, to))
}

/// Guards against requests at an upstream that end without their whole response when the rules change.
#[test]
fn requests_at_an_upstream_get_their_response_whatever_the_rules_become() {
    run(|tasks| async move {
        let fleet = fleet_with_rules(&tasks, "").await;
        keep_connections(&fleet).await;
        let mut version = 10;
        for phase in [Phase::BeforeHead, Phase::MidStream] {
            for change in &CHANGES {
                let paths = if phase == Phase::BeforeHead { &PATHS[..] } else { &PATHS[2..] };
                let sending = Sending::start(&fleet, phase, paths).await;
                version += 1;
                put_version(&fleet, version, &changed(change));
                until_in_force(&fleet, version).await;
                assert!(!sending.has_ended(), "{phase:?}, {}: ended beside the change", change.0);
                assert_whole(&sending.finish(&fleet).await, &(phase, change.0));
                version += 1;
                put_version(&fleet, version, &rules());
                until_in_force(&fleet, version).await;
            }
        }
    });
}

/// Some 2,000 routes and a megabyte of text.
fn large(version: u32) -> String {
    const ROUTES: u32 = 2_000;
    const LINES: u32 = 16_000;
    let mut rules = rules();
    for number in 0..ROUTES {
        let _ = write!(
            rules,
            "[route.r{version}-{number}]\nhost = fleet.example\npath = /r{version}-{number}/\nkind = safe\n\
             pools = services\ntimeout_ms = 3000\ntarget_ms = 300\n"
        );
    }
    for _ in 0..LINES {
        let _ = writeln!(rules, "; {:032x}{:032x}", rand::random::<u128>(), rand::random::<u128>());
    }
    rules
}

/// Guards against requests that are lost while several large documents take effect one after the other.
#[test]
fn requests_get_their_responses_beside_large_rules_in_a_row() {
    const VERSIONS: u32 = 6;
    run(|tasks| async move {
        let fleet = fleet_with_rules(&tasks, "").await;
        keep_connections(&fleet).await;
        let mut version = 10;
        for phase in [Phase::BeforeHead, Phase::MidStream] {
            let paths = if phase == Phase::BeforeHead { &PATHS[..] } else { &PATHS[2..] };
            let sending = Sending::start(&fleet, phase, paths).await;
            for _ in 0..VERSIONS {
                version += 1;
                put_version(&fleet, version, &large(version));
                until_in_force(&fleet, version).await;
            }
            assert!(!sending.has_ended(), "{phase:?}");
            assert_whole(&sending.finish(&fleet).await, &phase);
        }
    });
}

/// Asserts that each answer is whole, or a refusal with a result code.
fn assert_answered(answers: &[Answer], case: &impl std::fmt::Debug) {
    let is_answered = |answer: &&Answer| match answer.told {
        Told::Whole => true,
        Told::Status(_) => answer.code().is_some(),
        _ => false,
    };
    let lost = answers.iter().filter(|answer| !is_answered(answer)).count();
    assert_eq!(
        lost,
        0,
        "{case:?}: {lost} of {}: {:?}",
        answers.len(),
        answers.iter().find(|answer| !is_answered(answer))
    );
}

/// Guards against connections that are closed without a response when a request has to be sent again right after the
/// rules changed.
#[test]
fn requests_that_are_sent_again_after_a_change_are_answered() {
    const VERSION: u32 = 10;
    run(|tasks| async move {
        for change in &CHANGES {
            let fleet = fleet_with_rules(&tasks, "").await;
            let sending = Sending::start(&fleet, Phase::BeforeHead, &PATHS).await;
            put_version(&fleet, VERSION, &changed(change));
            until_in_force(&fleet, VERSION).await;
            fleet.proxies.iter().for_each(Proxy::reset_open);
            assert_answered(&sending.finish(&fleet).await, &change.0);
        }
    });
}

/// Guards against streams that are cut when they have to be resumed right after the rules changed. Those whose key has
/// gone are not sent again.
#[test]
fn streams_that_are_resumed_after_a_change_are_whole() {
    const VERSION: u32 = 10;
    const BREAKS_OFF: UpstreamFault = UpstreamFault::BreaksOff(8);
    run(|tasks| async move {
        for change in CHANGES.iter().filter(|(name, _)| !name.contains("key") && !name.contains("customer")) {
            let fleet = fleet_with_rules(&tasks, "").await;
            fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(BREAKS_OFF));
            let sending = Sending::start(&fleet, Phase::MidStream, &PATHS[3..]).await;
            // Only the streams in progress break off.
            fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::None));
            put_version(&fleet, VERSION, &changed(change));
            until_in_force(&fleet, VERSION).await;
            assert!(!sending.has_ended(), "{}", change.0);
            assert_whole(&sending.finish(&fleet).await, &change.0);
        }
    });
}

/// A lease short enough to wait for its end.
const SHORT_LEASE: &str = "[beliefs]\nrules_lease_ms = 1500\n";

/// Waits until the lease has ended, so that requests with a key are refused.
async fn until_lease_has_ended(fleet: &GatewayFleet) {
    until(async || send(fleet, &Call::new("/safe/x", KEY)).await.code() == Some("BH0309")).await;
}

/// Guards against requests at an upstream that are lost when the lease of the rules ends.
#[test]
fn requests_at_an_upstream_get_their_response_when_the_lease_ends() {
    run(|tasks| async move {
        let fleet = fleet_with_rules(&tasks, SHORT_LEASE).await;
        for phase in [Phase::BeforeHead, Phase::MidStream] {
            let paths = if phase == Phase::BeforeHead { &PATHS[..] } else { &PATHS[2..] };
            let sending = Sending::start(&fleet, phase, paths).await;
            fleet.store_proxy.set(Harm::Silence);
            until_lease_has_ended(&fleet).await;
            assert!(!sending.has_ended(), "{phase:?}");
            assert_whole(&sending.finish(&fleet).await, &phase);
            fleet.store_proxy.set(Harm::None);
            until(async || send(&fleet, &Call::new("/safe/x", KEY)).await.told == Told::Whole).await;
        }
    });
}

/// Guards against connections that are closed without a response when a request would have to be sent again after the
/// lease of the rules has ended.
#[test]
fn requests_that_would_be_sent_again_after_the_lease_are_refused() {
    run(|tasks| async move {
        let fleet = fleet_with_rules(&tasks, SHORT_LEASE).await;
        let sending = Sending::start(&fleet, Phase::BeforeHead, &PATHS).await;
        fleet.store_proxy.set(Harm::Silence);
        until_lease_has_ended(&fleet).await;
        fleet.proxies.iter().for_each(Proxy::reset_open);
        let answers = sending.finish(&fleet).await;
        assert_answered(&answers, &"lease");
        assert!(answers.iter().all(|answer| answer.told != Told::Whole), "{answers:?}");
    });
}

/// Sends requests of each kind over kept connections until `stop` is closed, and returns their answers.
async fn send_until(caller: GatewayCaller, address: SocketAddr, stop: Receiver<()>) -> Vec<Answer> {
    let mut answers = Vec::new();
    for path in PATHS.into_iter().cycle() {
        if stop.is_closed() {
            break;
        }
        answers.push(caller.send(address, &call(path), PATIENCE).await);
    }
    answers
}

/// Guards against connections that are closed without a response while the rules change again and again.
#[test]
fn requests_beside_changes_are_answered() {
    const CALLERS: usize = 12;
    run(|tasks| async move {
        let fleet = fleet_with_rules(&tasks, "").await;
        let (running, stop) = bounded::<()>(1);
        let sending: Vec<_> = (0..CALLERS)
            .map(|_| tasks.spawn(send_until(fleet.caller(), fleet.callers(0), stop.clone())))
            .collect();
        let mut version = 10;
        // Streams of new requests end at a timeout of a millisecond, as the rules ask.
        for change in CHANGES.iter().filter(|(name, _)| !name.contains("timeouts")) {
            for rules in [changed(change), rules()] {
                version += 1;
                put_version(&fleet, version, &rules);
                until_in_force(&fleet, version).await;
            }
        }
        running.close();
        for sent in sending {
            let answers = sent.await;
            assert!(answers.iter().any(|answer| answer.told == Told::Whole));
            assert_answered(&answers, &"changes");
        }
    });
}

/// Guards against requests that are lost because the rules change while their body arrives.
#[test]
fn requests_that_arrive_beside_a_change_are_answered() {
    const VERSION: u32 = 10;
    const HALF: &[u8] = &[b'x'; 1_000];
    run(|tasks| async move {
        for change in &CHANGES {
            let fleet = fleet_with_rules(&tasks, "").await;
            let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
            let head = format!(
                "POST /unsafe/x HTTP/1.1\r\nhost: fleet.example\r\nauthorization: Bearer {KEY}\r\n\
                 x-bendhinge-request: halves\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                2 * HALF.len()
            );
            stream.write_all(head.as_bytes()).await.unwrap();
            stream.write_all(HALF).await.unwrap();
            put_version(&fleet, VERSION, &changed(change));
            until_in_force(&fleet, VERSION).await;
            stream.write_all(HALF).await.unwrap();
            let mut read = String::new();
            stream.read_to_string(&mut read).await.unwrap();
            let is_answered = read.ends_with("answer to halves") || read.contains("x-bendhinge-code: BH");
            assert!(is_answered, "{}: {read}", change.0);
        }
    });
}

/// A change after which requests in progress may not be sent again.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// Their key is revoked.
    Key,
    /// The lease of the rules ends.
    Lease,
}

/// Guards against streams that are cut because their upstream pauses after a change that forbids to resume them
/// elsewhere: a key that is revoked, a lease that ends.
#[test]
fn streams_that_may_not_be_resumed_are_not_cut_when_their_upstream_pauses() {
    /// A third of how long the gateway waits for the next event.
    const GAP: &str = "gap_ms = 500";
    const PACE: Duration = Duration::from_millis(500);
    const PAUSE: Duration = Duration::from_millis(2_500);
    const VERSION: u32 = 10;
    run(|tasks| async move {
        for loss in [Loss::Key, Loss::Lease] {
            let fleet = GatewayFleet::start(&tasks, TWO_OF_EACH, SHORT_LEASE).await;
            let rules = rules().replace("gap_ms = 10000", GAP);
            put_version(&fleet, VERSION, &rules);
            until_in_force(&fleet, VERSION).await;
            let sending = Sending::start(&fleet, Phase::AtPace(PACE), &PATHS[3..]).await;
            match loss {
                Loss::Key => {
                    put_version(&fleet, VERSION + 1, &rules.replace("key-one, key-two", "key-two"));
                    until_in_force(&fleet, VERSION + 1).await;
                }
                Loss::Lease => {
                    fleet.store_proxy.set(Harm::Silence);
                    until_lease_has_ended(&fleet).await;
                }
            }
            assert!(!sending.has_ended(), "{loss:?}");
            fleet.upstreams.iter().for_each(|upstream| upstream.set_silence(Silence::Events));
            Timer::after(PAUSE).await;
            assert_whole(&sending.finish(&fleet).await, &loss);
        }
    });
}
