//! What callers see of their connections beside a stop or a reload of the settings, and of pipelined requests.

mod gateway_common;

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{Answer, Call, FleetShape, GatewayCaller, GatewayFleet, KEY, Told, until};
use bendhinge_standin::gateway::Silence;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway_common::{PATIENCE, RawEnd, RawUpstream, call, line_of, run, send, send_raw, smallest};
use rustix::process::Signal;
use smol::net::TcpStream;
use smol::{Task, Timer};

/// The head of a request as it is on the wire.
fn head(path: &str, id: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: fleet.example\r\nauthorization: Bearer {KEY}\r\nx-bendhinge-request: {id}\r\n\
         x-bendhinge-deadline-ms: 20000\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Reads until the connection ends; returns what came, and whether it ended with an error.
async fn read_all(stream: &mut TcpStream) -> (Vec<u8>, Option<std::io::ErrorKind>) {
    let mut read = Vec::new();
    let mut piece = vec![0; 1 << 16];
    loop {
        match stream.read(&mut piece).await {
            Ok(0) => return (read, None),
            Ok(length) => read.extend_from_slice(&piece[..length]),
            Err(error) => return (read, Some(error.kind())),
        }
    }
}

/// Starts a gateway before a service whose plain answers have `length` bytes.
async fn fleet_of_long_responses(
    tasks: &Tasks,
    length: usize,
    sections: &str,
) -> (GatewayFleet, RawUpstream) {
    const SHAPE: FleetShape = FleetShape { gateways: 1, engines: 0, services: 0 };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nx-bendhinge-request: {{id}}\r\nx-bendhinge-signature: s\r\ncontent-length: {length}\r\n\r\n{}",
        "y".repeat(length)
    );
    let raw = RawUpstream::start(tasks, answer, RawEnd::Keep, 1 << 20).await;
    let fleet = GatewayFleet::start(tasks, SHAPE, sections).await;
    fleet.store.add("services-raw", "services", raw.address);
    until(async || send(&fleet, &call("/safe/x")).await.code() != Some("BH0304")).await;
    (fleet, raw)
}

/// Guards against responses that are cut by a stop because their callers read slowly.
#[test]
fn a_stop_waits_until_responses_are_written() {
    /// More than the sockets of both ends hold.
    const LENGTH: usize = 24_000_000;
    const STOP: &str = "[stop]\ngrace_s = 20\naccept_ms = 100\n[upstreams]\nanswer_bytes = 32M\n";
    /// Longer than the gateway runs on without requests in progress.
    const PAUSE: Duration = Duration::from_secs(1);
    run(|tasks| async move {
        let (mut fleet, upstream) = fleet_of_long_responses(&tasks, LENGTH, STOP).await;
        let served = upstream.requests().len();
        let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
        stream.write_all(head("/safe/x", "slow", 0).as_bytes()).await.unwrap();
        until(async || upstream.requests().len() > served).await;
        let request = Call { id: "slow".to_owned(), ..call("/safe/x") };
        assert_eq!(line_of(&fleet, &request).await["status"], 200);
        fleet.gateway(0).signal(Signal::TERM);
        Timer::after(PAUSE).await;
        let (read, error) = read_all(&mut stream).await;
        let read = String::from_utf8_lossy(&read);
        let body = read.split_once("\r\n\r\n").map(|(_, body)| body.len());
        assert_eq!((body, error), (Some(LENGTH), None));
        let ended = fleet.gateways[0].as_mut().unwrap().wait(PATIENCE);
        assert!(ended.is_some_and(|status| status.success()));
    });
}

/// Guards against requests that a stop ends: those in progress, and those that come until the process has ended.
#[test]
fn requests_beside_a_stop_are_answered() {
    const SHAPE: FleetShape = FleetShape { gateways: 1, engines: 1, services: 1 };
    const STOP: &str = "[stop]\ngrace_s = 30\naccept_ms = 500\n";
    const IN_PROGRESS: usize = 40;
    const CALLERS: usize = 20;
    run(|tasks| async move {
        let mut fleet = GatewayFleet::start(&tasks, SHAPE, STOP).await;
        fleet.upstreams[0].set_silence(Silence::Answers);
        let streams: Vec<Call> =
            ["/stream/x", "/resumable/x"].iter().cycle().take(IN_PROGRESS).map(|path| held(path)).collect();
        let sending: Vec<_> = streams.iter().map(|call| spawn_call(&fleet, call.clone())).collect();
        until(async || streams.iter().all(|call| fleet.runs_of(&call.id) > 0)).await;
        let asking: Vec<_> =
            (0..CALLERS).map(|_| tasks.spawn(send_until_refused(fleet.caller(), fleet.callers(0)))).collect();
        fleet.gateway(0).signal(Signal::TERM);
        for caller in asking {
            caller.await;
        }
        fleet.upstreams[0].set_silence(Silence::None);
        for sent in sending {
            assert_eq!(sent.await.told, Told::Whole);
        }
        // Kept connections do not hold it up until its grace period is over.
        let ended = fleet.gateways[0].as_mut().unwrap().wait(PATIENCE);
        assert!(ended.is_some_and(|status| status.success()));
    });
}

/// A stream whose upstream may be silent for long.
fn held(path: &'static str) -> Call {
    Call { deadline: PATIENCE, ..Call::stream(path, KEY) }
}

fn spawn_call(fleet: &GatewayFleet, call: Call) -> Task<Answer> {
    let (caller, address) = (fleet.caller(), fleet.callers(0));
    fleet.tasks.spawn(async move { caller.send(address, &call, PATIENCE).await })
}

/// Sends one request after the other until one is refused because of the stop; each has to be answered.
async fn send_until_refused(caller: GatewayCaller, address: SocketAddr) {
    for path in ["/safe/x", "/unsafe/x"].into_iter().cycle() {
        let answer = caller.send(address, &call(path), PATIENCE).await;
        if answer.code() == Some("BH0306") {
            return;
        }
        assert_eq!(answer.told, Told::Whole);
    }
}

/// Guards against requests in progress that end when the settings are read again, changed or faulty.
#[test]
fn requests_beside_a_reload_are_served() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_silence(Silence::Answers));
        let calls = [call("/safe/x"), call("/unsafe/x"), held("/stream/x"), held("/resumable/x")];
        let sending: Vec<_> = calls.iter().map(|call| spawn_call(&fleet, call.clone())).collect();
        until(async || calls.iter().all(|call| fleet.runs_of(&call.id) > 0)).await;
        let mut settings = fleet.settings[0].clone();
        for (sections, event) in
            [("[stop]\ngrace_s = 1\n", "\"reloaded\""), ("[nothing]\n", "\"reload_refused\"")]
        {
            settings.sections.push_str(sections);
            fleet.gateway(0).write_settings(&settings).unwrap();
            fleet.gateway(0).signal(Signal::HUP);
            until(async || fleet.gateway(0).lines().iter().any(|line| line.contains(event))).await;
        }
        fleet.upstreams.iter().for_each(|upstream| upstream.set_silence(Silence::None));
        for sent in sending {
            assert_eq!(sent.await.told, Told::Whole);
        }
    });
}

/// Guards against pipelined requests that are dropped or answered out of order.
#[test]
fn pipelined_requests_are_answered_in_order() {
    const REQUESTS: usize = 10;
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        let ids: Vec<String> = (0..REQUESTS).map(|number| format!("pipelined-{number}")).collect();
        let requests: String = ids.iter().map(|id| head("/unsafe/x", id, 0)).collect();
        let last = format!("answer to {}", ids[REQUESTS - 1]);
        let read = send_raw(&fleet, requests.as_bytes(), &last).await;
        let answered: Vec<&str> = read
            .match_indices("answer to ")
            .map(|(at, text)| &read[at + text.len()..][..ids[0].len()])
            .collect();
        assert_eq!(answered, ids);
    });
}
