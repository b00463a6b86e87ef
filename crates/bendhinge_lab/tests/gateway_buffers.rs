//! Many requests and responses at once that are each within the limits, and do not end or are not read.

mod gateway_common;

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{
    Answer, Call, FleetShape, GatewayFleet, GatewayProcess, GatewaySettings, KEY, RULES, Told, until,
};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway_common::flood::{Flood, FloodingUpstream, STREAM_HEAD};
use gateway_common::{PATIENCE, RawEnd, RawUpstream, metric, run, send, send_raw};
use rustix::net::sockopt::set_socket_recv_buffer_size;
use rustix::net::{AddressFamily, SocketType, connect, socket};

/// The memory that a gateway may use, and what its settings say of it. A debug build on a busy machine does not poll a new
/// connection for longer than the usual time to connect while it relays hundreds of streams.
const MAX_MEMORY_BYTES: u64 = 64_000_000;
const MEMORY: &str = "[memory]\nlimit_mb = 64\n[upstreams]\nconnect_ms = 2000\n";

const LITTLE_MEMORY: &str = "[memory]\nlimit_mb = 16\n[upstreams]\nconnect_ms = 2000\n";

const SHAPE: FleetShape = FleetShape { gateways: 1, engines: 1, services: 1 };

/// The beginning of the head of a response; `{id}` stands for the ID of the request.
const HEAD: &str = "HTTP/1.1 200 OK\r\nx-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\n";

fn flood(first: String, repeated: &'static str, bytes: usize) -> Flood {
    Flood { first: Arc::new(move |id| first.replace("{id}", id)), repeated, bytes, pause: None }
}

/// Adds an upstream that sends `flood`, and waits until requests reach it.
async fn add_flooding(fleet: &GatewayFleet, tasks: &Tasks, pool: &str, flood: Flood) -> FloodingUpstream {
    let upstream = FloodingUpstream::start(tasks, flood).await;
    fleet.store.add("flooding", pool, upstream.address);
    let path = if pool == "engines" { "/stream/x" } else { "/safe/x" };
    until(async || {
        spawn(fleet, tasks, new_call(path)).detach();
        upstream.requests() > 0
    })
    .await;
    upstream
}

fn new_call(path: &'static str) -> Call {
    if path == "/safe/x" {
        return Call::new(path, KEY);
    }
    // Prompts that share nothing, so that no upstream is preferred for them.
    Call { prompt: Some(format!("{}:100", rand::random::<u32>())), ..Call::new(path, KEY) }
}

fn spawn(fleet: &GatewayFleet, tasks: &Tasks, call: Call) -> smol::Task<Answer> {
    let (caller, address) = (fleet.caller(), fleet.callers(0));
    tasks.spawn(async move { caller.send(address, &call, PATIENCE).await })
}

fn spawn_many(
    fleet: &GatewayFleet,
    tasks: &Tasks,
    path: &'static str,
    count: usize,
) -> Vec<smol::Task<Answer>> {
    (0..count).map(|_| spawn(fleet, tasks, new_call(path))).collect()
}

/// Asserts that requests to the other pool are served.
async fn assert_served(fleet: &GatewayFleet, path: &'static str) {
    for _ in 0..20 {
        let call = new_call(path);
        let answer = send(fleet, &call).await;
        let lines = fleet.gateway(0).lines();
        let line = lines.iter().find(|line| line.contains(&call.id));
        assert_eq!(answer.told, Told::Whole, "{:?}, {line:?}", answer.code());
    }
}

async fn assert_memory(fleet: &GatewayFleet) {
    let revoked = metric(fleet, "bendhinge_gateway_buffers_revoked").await;
    let buffered = metric(fleet, "bendhinge_gateway_buffered_bytes").await;
    let peak = fleet.gateway(0).peak_memory();
    println!("{peak} bytes of memory, {buffered:?} buffered, {revoked:?} revoked");
    assert!(peak < MAX_MEMORY_BYTES, "{peak} bytes; {buffered:?} buffered, {revoked:?} revoked");
}

/// Returns the codes in the lines of requests.
fn codes(fleet: &GatewayFleet) -> Vec<String> {
    let lines = fleet.gateway(0).lines();
    let values = lines.iter().filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok());
    values.filter_map(|line| line["code"].as_str().map(str::to_owned)).collect()
}

/// Connects with a small receive buffer, so that little data is on the way.
fn connect_with_small_buffer(address: SocketAddr) -> TcpStream {
    const BUFFER_BYTES: usize = 4 << 10;
    let socket = socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
    set_socket_recv_buffer_size(&socket, BUFFER_BYTES).unwrap();
    connect(&socket, &address).unwrap();
    TcpStream::from(socket)
}

fn request_head(path: &str, length: usize) -> String {
    let id = rand::random::<u64>();
    format!(
        "POST {path} HTTP/1.1\r\nhost: fleet.example\r\nauthorization: Bearer key-one\r\n\
         x-bendhinge-request: {id:016x}\r\nx-bendhinge-deadline-ms: 120000\r\nx-bendhinge-prompt: {id}:100\r\n\
         content-length: {length}\r\n\r\n"
    )
}

/// Guards against events that are each below the size limit and together use up the memory.
#[test]
fn many_events_without_an_end_do_not_use_up_the_memory() {
    run(|tasks| async move {
        let fleet = GatewayFleet::start(&tasks, SHAPE, MEMORY).await;
        let event = flood(STREAM_HEAD.to_owned() + "id: 0\ndata: ", "and more ", 3 << 20);
        let upstream = add_flooding(&fleet, &tasks, "engines", event).await;
        let calls = spawn_many(&fleet, &tasks, "/stream/x", 100);
        assert_served(&fleet, "/safe/x").await;
        for call in calls {
            let told = call.await.told;
            assert!(matches!(told, Told::Whole | Told::Broken | Told::Status(503)), "{told:?}");
        }
        assert_served(&fleet, "/safe/x").await;
        assert_memory(&fleet).await;
        assert!(codes(&fleet).iter().any(|code| code == "BH0407"), "{:?}", codes(&fleet));
        until(async || upstream.open() == 0).await;
    });
}

/// Guards against responses that are each below the size limit and together use up the memory.
#[test]
fn many_responses_without_an_end_do_not_use_up_the_memory() {
    run(|tasks| async move {
        let fleet = GatewayFleet::start(&tasks, SHAPE, MEMORY).await;
        let body = flood(format!("{HEAD}content-length: 4000000\r\n\r\n"), "and more ", 3 << 20);
        let upstream = add_flooding(&fleet, &tasks, "services", body).await;
        let calls = spawn_many(&fleet, &tasks, "/safe/x", 100);
        assert_served(&fleet, "/stream/x").await;
        for call in calls {
            let told = call.await.told;
            assert!(matches!(told, Told::Whole | Told::Status(502..=504)), "{told:?}");
        }
        assert_memory(&fleet).await;
        until(async || upstream.open() == 0).await;
    });
}

/// Guards against a large response of a sound upstream that is ended because another upstream uses up the memory.
#[test]
fn a_large_response_is_relayed_beside_responses_without_an_end() {
    const LARGE_BYTES: usize = 3 << 20;
    run(|tasks| async move {
        let fleet = GatewayFleet::start(&tasks, SHAPE, MEMORY).await;
        let large = format!("{HEAD}content-length: {LARGE_BYTES}\r\n\r\n{}", "a".repeat(LARGE_BYTES));
        let sound = RawUpstream::start(&tasks, large, RawEnd::Keep, 0).await;
        let event = flood(STREAM_HEAD.to_owned() + "id: 0\ndata: ", "and more ", 3 << 20);
        let _flooding = add_flooding(&fleet, &tasks, "engines", event).await;
        fleet.store.add("large", "services", sound.address);
        let calls = spawn_many(&fleet, &tasks, "/stream/x", 100);
        until(async || metric(&fleet, "bendhinge_gateway_buffers_revoked").await > Some(0)).await;
        let request = request_head("/safe/x", 0).replace("\r\n\r\n", "\r\nconnection: close\r\n\r\n");
        until(async || {
            let response = send_raw(&fleet, request.as_bytes(), "").await;
            assert!(response.starts_with("HTTP/1.1 200"), "{}", &response[..100.min(response.len())]);
            response.len() > LARGE_BYTES
        })
        .await;
        for call in calls {
            call.await;
        }
        assert_memory(&fleet).await;
    });
}

/// Guards against heads of responses that use up the memory.
#[test]
fn many_response_heads_without_an_end_do_not_use_up_the_memory() {
    run(|tasks| async move {
        let fleet = GatewayFleet::start(&tasks, SHAPE, MEMORY).await;
        let head = flood(HEAD.to_owned(), "x-more: and more\r\n", 380 << 10);
        let upstream = add_flooding(&fleet, &tasks, "services", head).await;
        let calls = spawn_many(&fleet, &tasks, "/safe/x", 400);
        assert_served(&fleet, "/stream/x").await;
        for call in calls {
            let told = call.await.told;
            assert!(matches!(told, Told::Whole | Told::Status(502..=504)), "{told:?}");
        }
        assert_memory(&fleet).await;
        until(async || upstream.open() == 0).await;
    });
}

/// Guards against bodies of requests that use up the memory while their callers send them slowly.
#[test]
fn many_request_bodies_without_an_end_do_not_use_up_the_memory() {
    const BODY_BYTES: usize = 2 << 20;
    run(|tasks| async move {
        let fleet = GatewayFleet::start(&tasks, SHAPE, MEMORY).await;
        let (address, body) = (fleet.callers(0), vec![b'x'; BODY_BYTES - 1]);
        let request = request_head("/safe/x", BODY_BYTES);
        let callers = smol::unblock(move || {
            let send = |_| {
                let mut caller = TcpStream::connect(address).unwrap();
                caller.set_write_timeout(Some(Duration::from_secs(5))).unwrap();
                // The gateway may refuse the request before it has read all of it.
                let _ = caller.write_all(request.as_bytes()).and_then(|()| caller.write_all(&body));
                caller
            };
            (0..60).map(send).collect::<Vec<_>>()
        });
        let callers = callers.await;
        for path in ["/safe/x", "/stream/x"] {
            assert_served(&fleet, path).await;
        }
        assert_memory(&fleet).await;
        let refused = codes(&fleet).iter().filter(|code| *code == "BH0316").count();
        assert!(refused > 0, "{:?}", codes(&fleet));
        drop(callers);
    });
}

/// Guards against heads of requests that use up the memory.
#[test]
fn many_request_heads_without_an_end_do_not_use_up_the_memory() {
    const HEAD_BYTES: usize = 60 << 10;
    run(|tasks| async move {
        let fleet = GatewayFleet::start(&tasks, SHAPE, MEMORY).await;
        let address = fleet.callers(0);
        let callers = smol::unblock(move || {
            let head = format!("POST /safe/x HTTP/1.1\r\nx-more: {}", "x".repeat(HEAD_BYTES));
            let send = |_| {
                let mut caller = TcpStream::connect(address).unwrap();
                // The gateway may close the connection.
                let _ = caller.write_all(head.as_bytes());
                caller
            };
            (0..1_200).map(send).collect::<Vec<_>>()
        });
        let callers = callers.await;
        for path in ["/safe/x", "/stream/x"] {
            assert_served(&fleet, path).await;
        }
        assert_memory(&fleet).await;
        let closed = metric(&fleet, "bendhinge_gateway_connections_revoked_total").await;
        assert!(closed > Some(0), "{closed:?}");
        drop(callers);
    });
}

/// Guards against responses that use up the memory because their callers do not read them.
#[test]
fn many_unread_responses_do_not_use_up_the_memory() {
    const EVENT: &str = "id: 1\ndata: an event of a long stream\n\n";
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 0, services: 1 };
        let fleet = GatewayFleet::start(&tasks, shape, LITTLE_MEMORY).await;
        // Long enough that the system's buffers of all connections are full on a busy machine.
        let rules =
            RULES.replace("version = 1", "version = 2").replace("timeout_ms = 5000", "timeout_ms = 120000");
        fleet.store.put_rules(&rules);
        let is_in_force = |line: &String| line.contains("\"belief\"") && line.contains("\"rules\"");
        until(async || fleet.gateway(0).lines().iter().filter(|line| is_in_force(line)).count() > 1).await;
        let stream = flood(STREAM_HEAD.to_owned(), EVENT, 4 << 20);
        let _upstream = add_flooding(&fleet, &tasks, "engines", stream).await;
        let address = fleet.callers(0);
        let callers = smol::unblock(move || {
            let send = |_| {
                let mut caller = connect_with_small_buffer(address);
                caller.write_all(request_head("/stream/x", 0).as_bytes()).unwrap();
                caller
            };
            (0..400).map(send).collect::<Vec<_>>()
        });
        let callers = callers.await;
        assert_served(&fleet, "/safe/x").await;
        let closed = "bendhinge_gateway_connections_revoked_total";
        until(async || metric(&fleet, closed).await > Some(0)).await;
        assert_memory(&fleet).await;
        // The others are still served, a piece at a time.
        let open = smol::unblock(move || {
            let read = |mut caller: TcpStream| caller.read(&mut [0; 64]).is_ok_and(|length| length > 0);
            callers.into_iter().map(read).filter(|is_open| *is_open).count()
        });
        assert!(open.await > 0);
    });
}

/// Guards against connections for peers that use up the memory before they are authenticated.
#[test]
fn many_handshakes_without_an_end_do_not_use_up_the_memory() {
    const FRAME_BYTES: u16 = u16::MAX;
    run(|tasks| async move {
        let shape = FleetShape { gateways: 2, ..SHAPE };
        let fleet = GatewayFleet::start(&tasks, shape, MEMORY).await;
        let address = fleet.settings[0].addresses["peers"];
        let peers = smol::unblock(move || {
            let mut frame = FRAME_BYTES.to_be_bytes().to_vec();
            frame.resize(usize::from(FRAME_BYTES), 0);
            let send = |_| {
                let mut peer = TcpStream::connect(address).unwrap();
                // The gateway may close the connection.
                let _ = peer.write_all(&frame);
                peer
            };
            (0..1_200).map(send).collect::<Vec<_>>()
        });
        let peers = peers.await;
        for path in ["/safe/x", "/stream/x"] {
            assert_served(&fleet, path).await;
        }
        assert_memory(&fleet).await;
        let exchanges = "bendhinge_gateway_exchanges_total{result=\"answered\"";
        let before = metric(&fleet, exchanges).await;
        until(async || metric(&fleet, exchanges).await > before).await;
        drop(peers);
    });
}

/// Guards against queued log lines with large request IDs that use up the memory while standard output is not read.
#[test]
fn unread_log_lines_do_not_use_up_the_memory() {
    const ID_BYTES: usize = 60 << 10;
    run(|tasks| async move {
        let fleet = GatewayFleet::start(&tasks, SHAPE, MEMORY).await;
        fleet.gateway(0).stop_reading();
        let address = fleet.callers(0);
        let refused = smol::unblock(move || {
            let id = "x".repeat(ID_BYTES);
            let send = |_| {
                let mut caller = TcpStream::connect(address).unwrap();
                let head = format!(
                    "POST /safe/x HTTP/1.1\r\nhost: fleet.example\r\nx-bendhinge-request: {id}\r\n\r\n"
                );
                caller.write_all(head.as_bytes()).unwrap();
                let mut response = [0; 12];
                caller.read_exact(&mut response).unwrap();
                response
            };
            (0..1_000).map(send).all(|response| response == *b"HTTP/1.1 401")
        });
        assert!(refused.await);
        assert_served(&fleet, "/safe/x").await;
        assert_memory(&fleet).await;
        fleet.gateway(0).read_on();
        until(async || {
            assert_served(&fleet, "/safe/x").await;
            fleet.gateway(0).lines().iter().any(|line| line.contains("lines_dropped"))
        })
        .await;
    });
}

/// The pages of a store that does not end its list.
async fn serve_endless_pages(mut stream: smol::net::TcpStream) -> std::io::Result<()> {
    const NAMES: usize = 8_000;
    let mut request = [0; 4096];
    loop {
        if stream.read(&mut request).await? == 0 {
            return Ok(());
        }
        // Entries of another writer, with keys of their own.
        let entry = |_| format!("{{\"name\":\"{:0200x}\"}}", rand::random::<u64>());
        let entries: Vec<_> = (0..NAMES).map(entry).collect();
        let page = format!("{{\"at\":7,\"upstreams\":[{}],\"next\":\"more\"}}", entries.join(","));
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", page.len());
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(page.as_bytes()).await?;
    }
}

/// Guards against a store whose list has no end.
#[test]
fn pages_without_an_end_do_not_use_up_the_memory() {
    run(|tasks| async move {
        let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let settings = GatewaySettings {
            name: "gateway".to_owned(),
            data_centre: "south",
            addresses: HashMap::new(),
            store: listener.local_addr().unwrap(),
            seeds: Vec::new(),
            sections: MEMORY.to_owned(),
        };
        let spawning = Arc::clone(&tasks);
        let accepting = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let serving = async move {
                    // The gateway closes the connection.
                    let _ = serve_endless_pages(stream).await;
                };
                spawning.spawn(serving).detach();
            }
        };
        tasks.spawn(accepting).detach();
        let process = GatewayProcess::start(&settings).unwrap();
        let has_failed = |lines: &[String]| {
            lines.iter().any(|line| line.contains("\"dependency\"") && line.contains("more than"))
        };
        until(async || has_failed(&process.lines())).await;
        let peak = process.peak_memory();
        println!("{peak} bytes of memory");
        assert!(peak < 2 * MAX_MEMORY_BYTES, "{peak} bytes");
    });
}
