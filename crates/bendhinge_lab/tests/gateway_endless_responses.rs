//! Upstreams that send bytes without end which are no response.

mod gateway_common;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{
    Answer, Call, FleetShape, GatewayFleet, GatewayProcess, GatewaySettings, KEY, Told, until,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway_common::{PATIENCE, run, start};
use smol::net::{TcpListener, TcpStream};

/// What an upstream sends first, and then again and again.
#[derive(Clone, Copy, Debug)]
struct Endless {
    first: &'static str,
    repeated: &'static str,
}

const INTERIM: Endless = Endless { first: "", repeated: "HTTP/1.1 100 Continue\r\n\r\n" };
const EARLY_HINTS: Endless =
    Endless { first: "", repeated: "HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n" };
const HEADER_LINES: Endless = Endless { first: "HTTP/1.1 200 OK\r\n", repeated: "x-more: and more\r\n" };
const HEADER_LINE: Endless = Endless { first: "HTTP/1.1 200 OK\r\nx-more: ", repeated: "and more " };
const EMPTY_LINES: Endless = Endless { first: "", repeated: "\r\n" };
const NO_HTTP: Endless = Endless { first: "", repeated: "\0\u{1}no response" };

/// The requests that an upstream got, and those whose connection is open.
#[derive(Default)]
struct Requests {
    received: AtomicUsize,
    open: AtomicUsize,
}

/// Starts an upstream that responds to each request with `endless` bytes.
async fn start_endless(tasks: &Tasks, endless: Endless) -> (SocketAddr, Arc<Requests>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(Requests::default());
    let (counted, spawning) = (Arc::clone(&requests), Arc::clone(tasks));
    let accepting = async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counted = Arc::clone(&counted);
            let serving = async move {
                let _ = send_without_end(stream, endless, &counted).await;
            };
            spawning.spawn(serving).detach();
        }
    };
    tasks.spawn(accepting).detach();
    (address, requests)
}

async fn send_without_end(
    mut stream: TcpStream,
    endless: Endless,
    requests: &Requests,
) -> std::io::Result<()> {
    const PIECE: usize = 64 << 10;
    let mut request = [0; 4096];
    if stream.read(&mut request).await? == 0 {
        return Ok(());
    }
    requests.received.fetch_add(1, Ordering::Relaxed);
    requests.open.fetch_add(1, Ordering::Relaxed);
    let piece = endless.repeated.repeat(PIECE / endless.repeated.len());
    let result = write_without_end(&mut stream, endless, &piece).await;
    requests.open.fetch_sub(1, Ordering::Relaxed);
    result
}

async fn write_without_end(stream: &mut TcpStream, endless: Endless, piece: &str) -> std::io::Result<()> {
    stream.write_all(endless.first.as_bytes()).await?;
    loop {
        stream.write_all(piece.as_bytes()).await?;
    }
}

async fn send_all(fleet: &GatewayFleet, tasks: &Tasks, calls: usize) -> Vec<Answer> {
    let calls = (0..calls).map(|_| {
        let (caller, address) = (fleet.caller(), fleet.callers(0));
        // Prompts that share nothing, so that no upstream is preferred for them.
        let prompt = Some(format!("{}:100", rand::random::<u32>()));
        let call = Call { deadline: Duration::from_secs(4), prompt, ..Call::new("/resumable/x", KEY) };
        tasks.spawn(async move { caller.send(address, &call, PATIENCE).await })
    });
    let calls: Vec<_> = calls.collect();
    let mut answers = Vec::new();
    for call in calls {
        answers.push(call.await);
    }
    answers
}

/// Guards against a gateway that reads interim responses without end, and meanwhile neither serves other requests nor
/// notices deadlines.
#[test]
fn requests_are_served_beside_an_upstream_that_sends_without_end() {
    for endless in [INTERIM, EARLY_HINTS, HEADER_LINES, HEADER_LINE, EMPTY_LINES, NO_HTTP] {
        run(|tasks| async move {
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 2, services: 0 }).await;
            let (address, requests) = start_endless(&tasks, endless).await;
            fleet.store.add("endless", "engines", address);
            until(async || {
                let answers = send_all(&fleet, &tasks, 12).await;
                let told: Vec<_> = answers.iter().map(|answer| &answer.told).collect();
                assert!(told.iter().all(|told| **told == Told::Whole), "{endless:?}: {told:?}");
                requests.received.load(Ordering::Relaxed) > 0
            })
            .await;
            until(async || requests.open.load(Ordering::Relaxed) == 0).await;
        });
    }
}

/// Guards against callers that get neither a response nor a refusal.
#[test]
fn callers_of_an_upstream_that_sends_without_end_are_refused() {
    for endless in [INTERIM, HEADER_LINES, EMPTY_LINES] {
        run(|tasks| async move {
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 1 }).await;
            let (address, requests) = start_endless(&tasks, endless).await;
            fleet.store.add("endless", "engines", address);
            until(async || {
                let answers = send_all(&fleet, &tasks, 4).await;
                let told: Vec<_> = answers.iter().map(|answer| &answer.told).collect();
                assert!(told.iter().all(|told| matches!(told, Told::Status(_))), "{endless:?}: {told:?}");
                requests.received.load(Ordering::Relaxed) > 0
            })
            .await;
            until(async || requests.open.load(Ordering::Relaxed) == 0).await;
        });
    }
}

/// Guards against a caller that keeps the gateway from serving others.
#[test]
fn requests_are_served_beside_callers_that_send_without_end() {
    const HEAD: &str = "POST /safe/x HTTP/1.1\r\nhost: fleet.example\r\nauthorization: Bearer key-one\r\n";
    let chunked = format!("{HEAD}transfer-encoding: chunked\r\n\r\n");
    let pipelined = format!("{HEAD}content-length: 0\r\n\r\n");
    let floods = [
        ("", "\r\n"),
        (HEAD, "x-more: and more\r\n"),
        (&chunked, "1\r\nx\r\n"),
        ("", &pipelined),
        ("", "\0\u{1}no request"),
    ];
    for (first, repeated) in floods {
        run(|tasks| async move {
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 2 }).await;
            let address = fleet.callers(0);
            let flood = format!("{first}{}", repeated.repeat(4_000));
            let rest = repeated.repeat(4_000);
            let sending = tasks.spawn(async move {
                loop {
                    let Ok(mut stream) = TcpStream::connect(address).await else { return };
                    let mut sent = stream.write_all(flood.as_bytes()).await;
                    while sent.is_ok() {
                        sent = stream.write_all(rest.as_bytes()).await;
                    }
                }
            });
            for _ in 0..20 {
                let answer = fleet.caller().send(address, &Call::new("/safe/x", KEY), PATIENCE).await;
                assert_eq!(answer.told, Told::Whole, "{first:?} {repeated:?}");
            }
            sending.cancel().await;
        });
    }
}

/// Guards against a gateway that a store keeps from serving.
#[test]
fn requests_are_served_beside_a_store_that_sends_without_end() {
    for endless in [INTERIM, HEADER_LINES, EMPTY_LINES] {
        run(|tasks| async move {
            let mut fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 2 }).await;
            let (store, requests) = start_endless(&tasks, endless).await;
            let settings = GatewaySettings {
                name: "gateway-1".to_owned(),
                store,
                seeds: vec![fleet.settings[0].addresses["peers"]],
                addresses: HashMap::new(),
                ..fleet.settings[0].clone()
            };
            let process = GatewayProcess::start(&settings).unwrap();
            let callers = process.address("callers");
            fleet.gateways.push(Some(process));
            until(async || requests.received.load(Ordering::Relaxed) > 0).await;
            // It learns what the other gateway has read.
            until(async || {
                let answer = fleet.caller().send(callers, &Call::new("/safe/x", KEY), PATIENCE).await;
                answer.told == Told::Whole
            })
            .await;
            for _ in 0..20 {
                let answer = fleet.caller().send(callers, &Call::new("/safe/x", KEY), PATIENCE).await;
                assert_eq!(answer.told, Told::Whole, "{endless:?}");
            }
        });
    }
}
