//! What the tests over real gateways share.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part")]

pub mod flood;

use std::future::Future;
use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_fleet::MemberReport;
use bendhinge_http::{Tasks, fetch_bytes, run_until};
use bendhinge_lab::gateways::{Answer, Call, FleetShape, GatewayFleet, KEY, until};
use bendhinge_peer::PeerMessage;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::net::sockopt::set_socket_linger;
use serde_json::Value;
use smol::net::{TcpListener, TcpStream};

/// How long a caller of a test waits.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Runs a test's body.
pub fn run<F: Future<Output = ()>>(body: impl FnOnce(Tasks) -> F) {
    let tasks = Tasks::default();
    run_until(&tasks, NonZeroUsize::MIN, body(tasks.clone()));
}

/// One gateway before one engine and one service.
pub async fn smallest(tasks: &Tasks) -> GatewayFleet {
    start(tasks, FleetShape { gateways: 1, engines: 1, services: 1 }).await
}

/// Starts a fleet with the usual settings.
pub async fn start(tasks: &Tasks, shape: FleetShape) -> GatewayFleet {
    GatewayFleet::start(tasks, shape, "").await
}

/// Sends a call to the first gateway.
pub async fn send(fleet: &GatewayFleet, call: &Call) -> Answer {
    fleet.caller().send(fleet.callers(0), call, PATIENCE).await
}

/// A call without a prompt, by the usual customer.
pub fn call(path: &'static str) -> Call {
    Call::new(path, KEY)
}

/// Waits for the line of a request at the first gateway.
pub async fn line_of(fleet: &GatewayFleet, call: &Call) -> Value {
    let find = || {
        let lines = fleet.gateway(0).lines();
        let mut values = lines.iter().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        values.find(|line| line["event"] == "request" && line["request"] == call.id.as_str())
    };
    until(async || find().is_some()).await;
    find().unwrap()
}

/// Sends raw bytes to the first gateway and reads until it closes or `enough` is in what it sent.
pub async fn send_raw(fleet: &GatewayFleet, bytes: &[u8], enough: &str) -> String {
    let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    let mut read = Vec::new();
    let mut piece = [0; 4096];
    loop {
        match stream.read(&mut piece).await {
            Ok(0) | Err(_) => break,
            Ok(length) => read.extend_from_slice(&piece[..length]),
        }
        if !enough.is_empty() && String::from_utf8_lossy(&read).contains(enough) {
            break;
        }
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// A whole message of the gateway at `address` that says nothing.
pub fn message_from(address: SocketAddr) -> PeerMessage {
    let sender = MemberReport {
        address,
        age: Duration::ZERO,
        is_leaving: false,
        is_store_failing: false,
        link_mbps: 1_000,
        forwarding_from: None,
        holds_stream_records: true,
        permits_from: None,
    };
    PeerMessage::from_sender(sender)
}

/// What a raw upstream does once it has read a request.
#[derive(Clone, Copy, Debug)]
pub enum RawEnd {
    /// It keeps the connection.
    Keep,
    /// It closes it.
    Close,
    /// It resets it.
    Reset,
}

/// An upstream that answers with given bytes, in which `{id}` stands for the request's number.
pub struct RawUpstream {
    /// Where it is reached.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl RawUpstream {
    /// Starts one. It answers once it has read `reads` bytes beyond the head, if that many come.
    pub async fn start(tasks: &Tasks, answer: impl Into<String>, end: RawEnd, reads: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&requests);
        let answer: Arc<str> = answer.into().into();
        let spawning = Arc::clone(tasks);
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let kept = Arc::clone(&kept);
                spawning.spawn(serve_raw(stream, Arc::clone(&answer), end, reads, kept)).detach();
            }
        };
        tasks.spawn(accepting).detach();
        Self { address, requests }
    }

    /// The heads of the requests that it read.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

async fn serve_raw(
    mut stream: TcpStream,
    answer: Arc<str>,
    end: RawEnd,
    reads: usize,
    requests: Arc<Mutex<Vec<String>>>,
) {
    loop {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            match stream.read(&mut byte).await {
                Ok(1) => head.push(byte[0]),
                _ => return,
            }
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let field = |name: &str| {
            let line = head.lines().find(|line| line.to_lowercase().starts_with(name))?;
            Some(line.split_once(':')?.1.trim().to_owned())
        };
        let length: usize = field("content-length:").and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length.min(reads)];
        if stream.read_exact(&mut body).await.is_err() {
            return;
        }
        let id = field("x-bendhinge-request:").unwrap_or_default();
        requests.lock().unwrap().push(head.clone());
        if stream.write_all(answer.replace("{id}", &id).as_bytes()).await.is_err() {
            return;
        }
        match end {
            RawEnd::Keep if length <= reads => {}
            RawEnd::Keep => {
                // The rest of the body is read slowly, long after the answer.
                let mut rest = vec![0; length - reads];
                if stream.read_exact(&mut rest).await.is_err() {
                    return;
                }
                if rest.iter().any(|byte| *byte != b'x') {
                    requests.lock().unwrap().push("FOREIGN BYTES".to_owned());
                }
            }
            RawEnd::Close => return,
            RawEnd::Reset => {
                set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                return;
            }
        }
    }
}

/// The value of a metric of the first gateway.
pub async fn metric(fleet: &GatewayFleet, name: &str) -> Option<u64> {
    const TIME: Duration = Duration::from_secs(5);
    let page = fetch_bytes(&fleet.pool, fleet.settings[0].addresses["ready"], "/metrics", TIME).await.ok()?;
    let page = String::from_utf8_lossy(&page).into_owned();
    let line = page.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}
