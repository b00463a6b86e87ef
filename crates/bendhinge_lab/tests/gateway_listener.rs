//! What callers see of their connections beside a stop.

mod gateway_common;

use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{Call, FleetShape, GatewayFleet, KEY, until};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway_common::{PATIENCE, RawEnd, RawUpstream, call, line_of, run, send};
use rustix::process::Signal;
use smol::Timer;
use smol::net::TcpStream;

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
