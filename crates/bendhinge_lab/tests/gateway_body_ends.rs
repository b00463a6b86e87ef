//! How gateways judge whether an upstream's response is complete, for each way in which its end can be marked.

mod gateway_common;

use std::io::ErrorKind;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bendhinge_gateway::native::headers::{PROMPT, REQUEST, RESUME_AFTER};
use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{Call, FleetShape, GatewayFleet, KEY, Told, until};
use bendhinge_standin::gateway::{Framing, Upstream, UpstreamFault};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway_common::{RawEnd, RawUpstream, call, line_of, metric, run, send, send_raw, smallest, start};
use hyper::header::CONTENT_LENGTH;
use smol::net::{TcpListener, TcpStream};

/// The number of events in a complete stream of the stand-in.
const EVENTS: u32 = 12;

async fn engines(tasks: &Tasks, engines: usize, framing: Framing, fault: UpstreamFault) -> GatewayFleet {
    let fleet = start(tasks, FleetShape { gateways: 1, engines, services: 0 }).await;
    for upstream in &fleet.upstreams {
        upstream.set_framing(framing);
        upstream.set_fault(fault);
    }
    fleet
}

/// Guards against streams that were cut by an upstream and end as complete for the caller.
#[test]
fn streams_that_end_inside_an_event_are_not_complete() {
    const FAULTS: [UpstreamFault; 4] = [
        UpstreamFault::BreaksOff(3),
        UpstreamFault::BreaksOff(0),
        UpstreamFault::BreaksOff(EVENTS - 1),
        UpstreamFault::EndsMidEvent(3),
    ];
    run(|tasks| async move {
        let mut wrong = Vec::new();
        for framing in [Framing::Framed, Framing::UntilClose] {
            for fault in FAULTS {
                let fleet = engines(&tasks, 1, framing, fault).await;
                let told = send(&fleet, &Call::stream("/stream/x", KEY)).await.told;
                if told != Told::Broken {
                    wrong.push(format!("{framing:?}, {fault:?}: {told:?}"));
                }
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

#[test]
fn streams_that_end_with_their_connection_are_complete() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1, Framing::UntilClose, UpstreamFault::None).await;
        assert_eq!(send(&fleet, &Call::stream("/stream/x", KEY)).await.told, Told::Whole);
        assert_eq!(send(&fleet, &Call::stream("/resumable/x", KEY)).await.told, Told::Whole);
    });
}

/// Guards against a stream that is not resumed because its end inside an event was taken for its end. Either
/// upstream sends half of the events.
#[test]
fn streams_that_end_inside_an_event_are_resumed() {
    run(|tasks| async move {
        let mut wrong = Vec::new();
        for framing in [Framing::Framed, Framing::UntilClose] {
            let fleet = engines(&tasks, 2, framing, UpstreamFault::EndsMidEvent(EVENTS / 2)).await;
            let call = Call::stream("/resumable/x", KEY);
            let told = send(&fleet, &call).await.told;
            let runs = fleet.runs_of(&call.id);
            if told != Told::Whole || runs != 2 {
                wrong.push(format!("{framing:?}: {runs} runs, {told:?}"));
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

/// Guards against events that are sent twice because a stream without event IDs was resumed from its start.
#[test]
fn streams_without_event_ids_are_not_resumed() {
    run(|tasks| async move {
        let response = UNFRAMED_HEAD.to_owned() + "data: a\n\ndata: b\n\ndata: c";
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 1 }).await;
        let first = RawUpstream::start(&tasks, response.clone(), RawEnd::Close, 0).await;
        let second = RawUpstream::start(&tasks, response, RawEnd::Close, 0).await;
        fleet.store.add("first", "engines", first.address);
        fleet.store.add("second", "engines", second.address);
        let request = stream_request("/resumable/x", "");
        let mut response = String::new();
        until(async || {
            response = send_raw(&fleet, request.as_bytes(), "").await;
            !response.starts_with("HTTP/1.1 503")
        })
        .await;
        assert_eq!(response.matches("data: a").count(), 1, "{response}");
        assert!(!response.ends_with("\r\n0\r\n\r\n"), "{response}");
        assert_eq!(first.requests().len() + second.requests().len(), 1);
    });
}

/// Guards against a head without a body that passes for an empty stream. Only framing can mark that.
#[test]
fn streams_without_events_are_complete_only_if_framed() {
    run(|tasks| async move {
        for (framing, is_complete) in [(Framing::Framed, true), (Framing::UntilClose, false)] {
            let fleet = engines(&tasks, 1, framing, UpstreamFault::EndsEarly(0)).await;
            let told = send(&fleet, &Call::stream("/stream/x", KEY)).await.told;
            // The caller expects events, and reports a complete stream without them.
            assert_eq!(matches!(told, Told::Wrong(_)), is_complete, "{framing:?}: {told:?}");
            assert_eq!(told == Told::Broken, !is_complete, "{framing:?}: {told:?}");
        }
    });
}

/// The head of a stream without a length and without chunks.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nx-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\n\
                             content-type: text/event-stream\r\n\r\n";

fn events(count: u32) -> String {
    (0..count).map(|id| Upstream::expected_event("{id}", id)).collect()
}

/// Returns the head of a caller's request for a stream, with further `headers`.
fn stream_request(path: &str, headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: fleet.example\r\n{REQUEST}: one\r\n{PROMPT}: 1:100\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 0\r\nconnection: close\r\n{headers}\r\n"
    )
}

/// Starts a fleet whose only engine is `raw`, and waits until its gateway knows it.
async fn fleet_before(tasks: &Tasks, raw: &RawUpstream) -> GatewayFleet {
    let fleet = start(tasks, FleetShape { gateways: 1, engines: 0, services: 1 }).await;
    fleet.store.add("raw", "engines", raw.address);
    until(async || send(&fleet, &Call::stream("/stream/x", KEY)).await.told != Told::Status(503)).await;
    fleet
}

/// Guards against a reset, or a lost connection, that is taken for the end of a stream without framing.
#[test]
fn unframed_streams_are_complete_only_if_their_connection_is_closed_after_an_event() {
    run(|tasks| async move {
        let cases = [
            (events(EVENTS), RawEnd::Close, Told::Whole),
            (events(EVENTS), RawEnd::Reset, Told::Broken),
            (events(3) + "id: 3\nda", RawEnd::Close, Told::Broken),
            (String::new(), RawEnd::Close, Told::Broken),
        ];
        for (body, end, expected) in cases {
            let raw = RawUpstream::start(&tasks, UNFRAMED_HEAD.to_owned() + &body, end, 0).await;
            let fleet = fleet_before(&tasks, &raw).await;
            let told = send(&fleet, &Call::stream("/stream/x", KEY)).await.told;
            assert_eq!(told, expected, "{end:?} after {body:?}");
        }
    });
}

/// Guards against streams that look cut because of their line ends or of what follows the last event.
#[test]
fn unframed_streams_are_complete_after_an_event_with_any_line_ends() {
    const BODIES: [&str; 6] = [
        "id: 0\rdata: a\r\r",
        "id: 0\r\ndata: a\r\n\r\n",
        "id: 0\r\ndata: a\r\n\r",
        "id: 0\ndata: a\n\r\n",
        "id: 0\ndata: a\n\n: comment\n",
        "\u{feff}id: 0\ndata: a\n\n\n",
    ];
    run(|tasks| async move {
        let request = stream_request("/stream/x", "");
        let mut wrong = Vec::new();
        for body in BODIES {
            let raw = RawUpstream::start(&tasks, UNFRAMED_HEAD.to_owned() + body, RawEnd::Close, 0).await;
            let fleet = fleet_before(&tasks, &raw).await;
            let response = send_raw(&fleet, request.as_bytes(), "").await;
            // The body may come in several chunks.
            let is_whole = body.split('\n').all(|line| response.contains(line));
            if !is_whole || !response.ends_with("\r\n0\r\n\r\n") {
                wrong.push(format!("{body:?}: {response:?}"));
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

/// Guards against a caller that has all events and never sees the end of its stream, and against one crash that
/// passes for that end. An upstream that has nothing left to send may only close the connection.
#[test]
fn end_of_a_resumed_stream_without_framing_is_confirmed_by_a_second_upstream() {
    const CASES: [(Framing, usize, bool); 3] =
        [(Framing::Framed, 1, true), (Framing::UntilClose, 1, false), (Framing::UntilClose, 2, true)];
    run(|tasks| async move {
        for (framing, engine_count, is_complete) in CASES {
            let fleet = engines(&tasks, engine_count, framing, UpstreamFault::None).await;
            let request = stream_request("/resumable/x", &format!("{RESUME_AFTER}: {}\r\n", EVENTS - 1));
            let response = send_raw(&fleet, request.as_bytes(), "").await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response}");
            assert_eq!(
                response.ends_with("\r\n0\r\n\r\n"),
                is_complete,
                "{framing:?}, {engine_count}: {response}"
            );
        }
    });
}

/// Guards against a head without a body that passes for an empty response. Only framing, or a status that implies
/// it, can mark that.
#[test]
fn unframed_plain_responses_are_complete_only_with_a_body() {
    const HEADERS: &str = "x-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\n";
    run(|tasks| async move {
        let cases = [
            ("200 OK", "", Upstream::expected_body("{id}"), Told::Whole),
            ("200 OK", "", String::new(), Told::Status(502)),
            ("200 OK", "content-length: 0\r\n", String::new(), Told::Wrong(String::new())),
            ("204 No Content", "", String::new(), Told::Status(204)),
        ];
        for (status, length, body, expected) in cases {
            let response = format!("HTTP/1.1 {status}\r\n{HEADERS}{length}\r\n{body}");
            let raw = RawUpstream::start(&tasks, response, RawEnd::Close, 0).await;
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 1, services: 0 }).await;
            fleet.store.add("raw", "services", raw.address);
            let mut told = Told::Status(503);
            until(async || {
                told = send(&fleet, &call("/unsafe/x")).await.told;
                told != Told::Status(503)
            })
            .await;
            // The caller expects a body, and reports an empty one in words.
            let is_expected =
                told == expected || matches!((&told, &expected), (Told::Wrong(_), Told::Wrong(_)));
            assert!(is_expected, "{status}, {length:?}, {body:?}: {told:?}");
        }
    });
}

/// Guards against a response in the upstream's HTTP version, which a caller of HTTP/1.1 gets without chunks.
#[test]
fn responses_of_http_1_0_upstreams_are_framed_for_callers() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_framing(Framing::UntilClose));
        let answer = send(&fleet, &call("/safe/x")).await;
        assert!(answer.headers.contains_key(CONTENT_LENGTH), "{answer:?}");
        let head = send_raw(&fleet, stream_request("/stream/x", "").as_bytes(), "\r\n\r\n").await;
        assert!(head.starts_with("HTTP/1.1 200") && head.contains("transfer-encoding: chunked"), "{head}");
    });
}

/// Guards against a cut stream that is recorded as answered.
#[test]
fn cut_streams_are_recorded_as_lost() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1, Framing::UntilClose, UpstreamFault::BreaksOff(3)).await;
        let call = Call::stream("/stream/x", KEY);
        assert_eq!(send(&fleet, &call).await.told, Told::Broken);
        let line = line_of(&fleet, &call).await;
        assert_eq!(line["sends"][0]["end"], "lost", "{line}");
        assert_eq!((&line["code"], &line["ran"]), (&"BH0406".into(), &"unknown".into()), "{line}");
        assert!(line["digest"].is_string(), "{line}");
        assert_eq!(metric(&fleet, "bendhinge_gateway_sends_ended_total{end=\"lost\"").await, Some(1));
    });
}

/// Serves one request with the start of an unframed stream, then refuses connections, as a process that crashes does.
async fn crash_while_streaming(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.unwrap();
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap();
    let mut id = head.lines().filter_map(|line| line.strip_prefix(&format!("{REQUEST}: ")));
    drop(listener);
    let response = (UNFRAMED_HEAD.to_owned() + &events(3) + "id: 3").replace("{id}", id.next().unwrap());
    stream.write_all(response.as_bytes()).await.unwrap();
}

/// Guards against crashes of upstreams that are not noticed because a stream without framing ended in order.
#[test]
fn crash_inside_an_event_of_an_unframed_stream_is_noticed() {
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 1 }).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        fleet.store.add("crashing", "engines", listener.local_addr().unwrap());
        tasks.spawn(crash_while_streaming(listener)).detach();
        let mut call = Call::stream("/stream/x", KEY);
        until(async || {
            call = Call::stream("/stream/x", KEY);
            send(&fleet, &call).await.told == Told::Broken
        })
        .await;
        let is_crash = |line: &String| line.contains("\"event\":\"crash\"") && line.contains(&call.id);
        until(async || fleet.gateway(0).lines().iter().any(is_crash)).await;
    });
}

/// Guards against requests that run without the rest of their body because the caller's connection ended.
#[test]
fn requests_whose_body_is_cut_do_not_run() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        for framing in ["content-length: 9\r\n\r\nhalf", "transfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n"] {
            let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
            let request = format!(
                "POST /unsafe/x HTTP/1.1\r\nhost: fleet.example\r\n{REQUEST}: cut\r\nauthorization: Bearer {KEY}\r\n{framing}"
            );
            stream.write_all(request.as_bytes()).await.unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            // The gateway has read the end of the connection once it answers or closes.
            let _ = stream.read_to_end(&mut Vec::new()).await;
            assert_eq!(fleet.runs_of("cut"), 0, "{framing}");
        }
    });
}

/// Sends a request for a stream in HTTP/1.0.
async fn request_in_http_1_0(fleet: &GatewayFleet) -> TcpStream {
    let mut stream = TcpStream::connect(fleet.callers(0)).await.unwrap();
    let request = stream_request("/stream/x", "").replace("HTTP/1.1", "HTTP/1.0");
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

/// Guards against truncated streams that look complete to callers of HTTP/1.0, whose responses are not framed.
#[test]
fn truncated_streams_reset_the_connections_of_http_1_0_callers() {
    const CASES: [(UpstreamFault, Option<ErrorKind>); 3] = [
        (UpstreamFault::None, None),
        (UpstreamFault::BreaksOff(3), Some(ErrorKind::ConnectionReset)),
        (UpstreamFault::EndsMidEvent(3), Some(ErrorKind::ConnectionReset)),
    ];
    run(|tasks| async move {
        for (fault, expected) in CASES {
            let fleet = engines(&tasks, 1, Framing::Framed, fault).await;
            let mut response = Vec::new();
            let result = request_in_http_1_0(&fleet).await.read_to_end(&mut response).await;
            assert_eq!(result.err().map(|error| error.kind()), expected, "{fault:?}");
            let response = String::from_utf8(response).unwrap();
            let last_event = if expected.is_none() { EVENTS - 1 } else { 2 };
            assert!(
                response.ends_with(&Upstream::expected_event("one", last_event)),
                "{fault:?}: {response}"
            );
        }
    });
}

/// Guards against streams that look complete to callers of HTTP/1.0 because the gateway was killed.
#[test]
fn killed_gateways_reset_the_connections_of_http_1_0_callers() {
    run(|tasks| async move {
        let mut fleet = engines(&tasks, 1, Framing::Framed, UpstreamFault::Stalls(1)).await;
        let mut caller = request_in_http_1_0(&fleet).await;
        let mut response = Vec::new();
        let mut chunk = [0; 4096];
        while !String::from_utf8_lossy(&response).contains(&Upstream::expected_event("one", 0)) {
            let length = caller.read(&mut chunk).await.unwrap();
            assert!(length > 0, "the stream ended before its first event");
            response.extend_from_slice(&chunk[..length]);
        }
        fleet.gateways[0].take().unwrap().kill();
        let result = caller.read_to_end(&mut response).await;
        assert_eq!(result.unwrap_err().kind(), ErrorKind::ConnectionReset);
    });
}

/// An upstream whose process ends in the middle of an unframed response.
async fn start_crashing(tasks: &Tasks) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let crashing = async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = vec![0; 4096];
        let length = stream.read(&mut request).await.unwrap();
        let head = String::from_utf8_lossy(&request[..length]).into_owned();
        let id = head.lines().find_map(|line| line.strip_prefix("x-bendhinge-request: ")).unwrap_or_default();
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\n\r\nanswer to"
        );
        stream.write_all(response.as_bytes()).await.unwrap();
        drop(listener);
        stream.close().await.unwrap();
    };
    tasks.spawn(crashing).detach();
    address
}

/// Guards against a part of a response that passes for the whole of it: the end of a process closes connections like the
/// end of an unframed response.
#[test]
fn plain_responses_that_a_crash_ends_are_not_complete() {
    run(|tasks| async move {
        for (path, expected) in [("/unsafe/x", Told::Status(502)), ("/safe/x", Told::Whole)] {
            let shape = FleetShape { gateways: 1, engines: 0, services: 2 };
            let fleet = GatewayFleet::start(&tasks, shape, "[upstreams]\nverify_close = yes\n").await;
            fleet.store.add("crashing", "services", start_crashing(&tasks).await);
            let is_lost = |line: &String| {
                line.contains("\"upstream\":\"crashing\"") && line.contains("\"end\":\"lost\"")
            };
            until(async || {
                let call = call(path);
                let answer = send(&fleet, &call).await;
                assert!(!matches!(answer.told, Told::Wrong(_)), "{path}: {:?}", answer.told);
                line_of(&fleet, &call).await;
                let lines = fleet.gateway(0).lines();
                let lost = lines.iter().find(|line| is_lost(line));
                assert!(
                    lost.is_none_or(|line| !line.contains(&call.id)) || answer.told == expected,
                    "{path}: {answer:?}"
                );
                lost.is_some()
            })
            .await;
        }
    });
}

/// An upstream that sends the first bytes of a response, as many as it has served requests before, and closes. Each
/// connection is served by itself, since the gateway also opens some on which it sends nothing.
async fn start_cutting_upstream(tasks: &Tasks, response: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (served, spawning) = (Arc::new(AtomicUsize::new(0)), Arc::clone(tasks));
    let accepting = async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (served, response) = (Arc::clone(&served), response.clone());
            let serving = async move {
                let Some(head) = read_head(&mut stream).await else { return };
                let length = served.fetch_add(1, Ordering::SeqCst);
                let id = head.lines().find_map(|line| line.strip_prefix("x-bendhinge-request: "));
                let response = response.replace("{id}", id.unwrap_or_default());
                let _ = stream.write_all(&response.as_bytes()[..length.min(response.len())]).await;
            };
            spawning.spawn(serving).detach();
        }
    };
    tasks.spawn(accepting).detach();
    address
}

/// Reads a request's head; returns `None` if the connection is closed before.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).await.ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Guards against a response that is cut inside its head and reaches the caller as a success with an empty or short body.
#[test]
fn responses_that_are_cut_inside_their_head_are_lost() {
    const HEADS: [&str; 3] = [
        "HTTP/1.1 200 OK\r\nx-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\ncontent-length: 4\r\n\r\n",
        "HTTP/1.1 200 OK\r\nx-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\n\
         content-type: text/event-stream\r\n\r\n",
    ];
    run(|tasks| async move {
        let mut wrong = Vec::new();
        for head in HEADS {
            for (pool, path) in [("services", "/unsafe/x"), ("engines", "/stream/x")] {
                let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 0 }).await;
                let length = head.len() - "{id}".len() + Call::new(path, KEY).id.len();
                let address = start_cutting_upstream(&tasks, head.to_owned()).await;
                fleet.store.add("cutting", pool, address);
                let mut cuts = 0;
                until(async || {
                    let call = if pool == "engines" { Call::stream(path, KEY) } else { Call::new(path, KEY) };
                    match send(&fleet, &call).await.told {
                        Told::Status(503) => return false,
                        Told::Status(502) => {}
                        told => wrong.push(format!("{path}, {cuts} of {length} bytes: {told:?}")),
                    }
                    cuts += 1;
                    cuts == length
                })
                .await;
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}
