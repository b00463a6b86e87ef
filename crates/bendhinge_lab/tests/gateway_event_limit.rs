//! Upstreams whose streams contain an event that does not end.

mod gateway_common;

use std::sync::Arc;
use std::time::Duration;

use bendhinge_lab::gateways::{Answer, Call, FleetShape, GatewayFleet, KEY, Told, until};
use bendhinge_standin::gateway::Upstream;
use gateway_common::flood::{Flood, FloodingUpstream, STREAM_HEAD};
use gateway_common::{RawEnd, RawUpstream, line_of, metric, run, send, send_raw, start};

/// The number of bytes that a faulty upstream sends before it falls silent.
const FLOOD_BYTES: usize = 256 << 20;
/// The memory that a gateway may use meanwhile.
const MAX_MEMORY_BYTES: u64 = 96 << 20;

/// An event, or a block of comments, that does not end.
#[derive(Clone, Copy, Debug)]
struct EndlessEvent {
    /// The number of complete events before it.
    events: u32,
    first: &'static str,
    repeated: &'static str,
}

const ENDLESS_EVENTS: [EndlessEvent; 6] = [
    EndlessEvent { events: 0, first: "id: 0\ndata: ", repeated: "and more " },
    EndlessEvent { events: 3, first: "id: 3\ndata: ", repeated: "and more " },
    EndlessEvent { events: 3, first: "", repeated: "data: another line\n" },
    EndlessEvent { events: 3, first: "id: ", repeated: "3" },
    EndlessEvent { events: 0, first: ": ", repeated: "a comment " },
    EndlessEvent { events: 3, first: "", repeated: ": one comment after the other\n" },
];

impl EndlessEvent {
    fn flood(self) -> Flood {
        let first = move |id: &str| {
            let events = (0..self.events).map(|number| Upstream::expected_event(id, number));
            STREAM_HEAD.replace("{id}", id) + &events.collect::<String>() + self.first
        };
        Flood { first: Arc::new(first), repeated: self.repeated, bytes: FLOOD_BYTES, pause: None }
    }
}

/// Sends requests until one has reached `upstream`; returns all answers with their calls.
async fn send_until_reached(
    fleet: &GatewayFleet,
    upstream: &FloodingUpstream,
    path: &'static str,
) -> Vec<(Call, Answer)> {
    let mut answers = Vec::new();
    until(async || {
        let call = Call::stream(path, KEY);
        let answer = send(fleet, &call).await;
        answers.push((call, answer));
        upstream.requests() > 0
    })
    .await;
    answers
}

/// Guards against a gateway whose memory is used up by an event without an end, which it buffers to relay it whole.
#[test]
fn an_event_without_an_end_is_cut_at_the_limit() {
    for event in ENDLESS_EVENTS {
        run(|tasks| async move {
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 1 }).await;
            let upstream = FloodingUpstream::start(&tasks, event.flood()).await;
            fleet.store.add("flooding", "engines", upstream.address);
            let answers = send_until_reached(&fleet, &upstream, "/stream/x").await;
            let peak = fleet.gateway(0).peak_memory();
            assert!(peak < MAX_MEMORY_BYTES, "{event:?}: {peak} bytes");
            let (call, answer) = answers.last().unwrap();
            assert_eq!(answer.told, Told::Broken, "{event:?}");
            let line = line_of(&fleet, call).await;
            assert_eq!(line["code"], "BH0407", "{event:?}: {line}");
            assert_eq!(line["cut"]["by"], "event_size", "{event:?}: {line}");
            assert_eq!(line["sends"][0]["end"], "too_large", "{event:?}: {line}");
            assert_eq!(line["sends"][0]["body_end"], "too_large", "{event:?}: {line}");
            let ended = "bendhinge_gateway_bodies_ended_total{end=\"too_large\",framing=\"close\"";
            assert_eq!(metric(&fleet, ended).await, Some(1), "{event:?}");
        });
    }
}

/// Guards against a stream that is lost because of one faulty upstream, although another one could go on with it.
#[test]
fn a_stream_whose_event_has_no_end_is_resumed_elsewhere() {
    for event in ENDLESS_EVENTS {
        run(|tasks| async move {
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 1, services: 0 }).await;
            let upstream = FloodingUpstream::start(&tasks, event.flood()).await;
            fleet.store.add("flooding", "engines", upstream.address);
            let answers = send_until_reached(&fleet, &upstream, "/resumable/x").await;
            let told: Vec<_> = answers.iter().map(|(_, answer)| &answer.told).collect();
            assert!(told.iter().all(|told| **told == Told::Whole), "{event:?}: {told:?}");
            let peak = fleet.gateway(0).peak_memory();
            assert!(peak < MAX_MEMORY_BYTES, "{event:?}: {peak} bytes");
        });
    }
}

/// Guards against a stream that is not requested elsewhere because bytes that complete no event restart the wait for one.
#[test]
fn a_stream_whose_event_arrives_slowly_is_resumed_elsewhere() {
    const SLOW_BYTES: usize = 4_000;
    const PAUSE: Duration = Duration::from_millis(20);
    for event in ENDLESS_EVENTS {
        run(|tasks| async move {
            let fleet = start(&tasks, FleetShape { gateways: 1, engines: 1, services: 0 }).await;
            let flood = Flood { bytes: SLOW_BYTES, pause: Some(PAUSE), ..event.flood() };
            let upstream = FloodingUpstream::start(&tasks, flood).await;
            fleet.store.add("slow", "engines", upstream.address);
            let answers = send_until_reached(&fleet, &upstream, "/resumable/x").await;
            let told: Vec<_> = answers.iter().map(|(_, answer)| &answer.told).collect();
            assert!(told.iter().all(|told| **told == Told::Whole), "{event:?}: {told:?}");
        });
    }
}

/// Guards against a limit that also cuts large events of sound upstreams.
#[test]
fn large_events_are_relayed_whole() {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nx-bendhinge-request: {id}\r\nx-bendhinge-signature: s\r\n\
                        content-type: text/event-stream\r\n";
    run(|tasks| async move {
        let fleet = start(&tasks, FleetShape { gateways: 1, engines: 0, services: 1 }).await;
        let events = format!("id: 0\ndata: {}\n\nid: 1\ndata: b\n\n", "a".repeat(3 << 20));
        let head = format!("{HEAD}content-length: {}\r\n\r\n", events.len());
        let upstream = RawUpstream::start(&tasks, head + &events, RawEnd::Keep, 0).await;
        fleet.store.add("large", "engines", upstream.address);
        let request = "POST /stream/x HTTP/1.1\r\nhost: fleet.example\r\nauthorization: Bearer key-one\r\n\
                       x-bendhinge-request: large\r\nx-bendhinge-deadline-ms: 5000\r\n\
                       x-bendhinge-prompt: 7:100\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        let mut response = String::new();
        until(async || {
            response = send_raw(&fleet, request.as_bytes(), "").await;
            !response.starts_with("HTTP/1.1 503")
        })
        .await;
        assert!(response.ends_with("\r\n0\r\n\r\n"), "{} bytes", response.len());
        assert!(response.matches('a').count() >= 3 << 20, "{} bytes", response.len());
    });
}
