//! What the gateway reports of relayed streams, over real connections.

mod gateway_common;

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_gateway::native::headers::{DEADLINE, PROMPT, REQUEST};
use bendhinge_http::Tasks;
use bendhinge_lab::gateways::{Call, FleetShape, GatewayFleet, KEY, Told, until};
use bendhinge_standin::gateway::{Framing, Upstream, UpstreamFault};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use gateway_common::{PATIENCE, call, line_of, metric, run, send, smallest, start};
use serde_json::{Value, json};
use smol::net::TcpStream;

/// All keys of a request's line that concern streams.
const STREAM_KEYS: [&str; 5] =
    ["first_event_ms", "pause_ms", "pause_at_ms", "beside_requests", "beside_tokens"];

fn has_key(line: &Value, key: &str) -> bool {
    line.get(key).is_some()
}

/// Sends a call and reads until the first event of its stream is complete. Dropping the connection disconnects the
/// caller.
async fn read_first_event(address: SocketAddr, call: &Call) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST {} HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer {KEY}\r\n{REQUEST}: {}\r\n{PROMPT}: {}\r\n\
         {DEADLINE}: {}\r\ncontent-length: 0\r\n\r\n",
        call.path,
        call.host,
        call.id,
        call.prompt.as_deref().unwrap_or_default(),
        call.deadline.as_millis(),
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut read = Vec::new();
    let mut piece = [0; 4096];
    while !String::from_utf8_lossy(&read).contains(&Upstream::expected_event(&call.id, 0)) {
        let length = stream.read(&mut piece).await.unwrap();
        assert!(length > 0, "the stream ended before its first event");
        read.extend_from_slice(&piece[..length]);
    }
    stream
}

async fn engines(tasks: &Tasks, engines: usize) -> GatewayFleet {
    start(tasks, FleetShape { gateways: 1, engines, services: 0 }).await
}

#[test]
fn line_and_histograms_of_a_whole_stream() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1).await;
        fleet.upstreams[0].set_pace(Duration::from_millis(20));
        let call = Call::stream("/stream/x", KEY);
        assert_eq!(send(&fleet, &call).await.told, Told::Whole);
        let line = line_of(&fleet, &call).await;
        let millis = |key: &str| line[key].as_u64().unwrap();
        assert!(millis("first_event_ms") <= millis("pause_at_ms"), "{line}");
        assert!(millis("pause_at_ms") + millis("pause_ms") <= millis("ms"), "{line}");
        assert!(!has_key(&line, "beside_requests") && !has_key(&line, "beside_tokens"), "{line}");
        for name in ["first_event", "longest_pause"] {
            let name = format!("bendhinge_gateway_{name}_seconds_count");
            assert_eq!(metric(&fleet, &name).await, Some(1), "{name}");
        }
    });
}

/// Guards against lines and metrics that do not show how an upstream's response was framed and ended.
#[test]
fn line_of_a_request_shows_how_the_responses_were_framed_and_ended() {
    const CASES: [(Framing, UpstreamFault, &str, &str); 6] = [
        (Framing::Framed, UpstreamFault::None, "chunked", "complete"),
        (Framing::Framed, UpstreamFault::BreaksOff(3), "chunked", "failed"),
        (Framing::Framed, UpstreamFault::EndsMidEvent(3), "chunked", "mid_event"),
        (Framing::UntilClose, UpstreamFault::None, "close", "complete"),
        (Framing::UntilClose, UpstreamFault::BreaksOff(3), "close", "mid_event"),
        (Framing::UntilClose, UpstreamFault::EndsEarly(0), "close", "empty"),
    ];
    run(|tasks| async move {
        for (upstream_framing, fault, framing, end) in CASES {
            let fleet = engines(&tasks, 1).await;
            fleet.upstreams[0].set_framing(upstream_framing);
            fleet.upstreams[0].set_fault(fault);
            let call = Call::stream("/stream/x", KEY);
            send(&fleet, &call).await;
            let line = line_of(&fleet, &call).await;
            let record = &line["sends"][0];
            assert_eq!((&record["framing"], &record["body_end"]), (&framing.into(), &end.into()), "{line}");
            assert_eq!(
                has_key(record, "partial_bytes"),
                fault != UpstreamFault::None && end != "empty",
                "{line}"
            );
            assert_eq!(line["caller_framing"], "chunked", "{line}");
            let name = format!("bendhinge_gateway_bodies_ended_total{{end=\"{end}\",framing=\"{framing}\"");
            assert_eq!(metric(&fleet, &name).await, Some(1), "{name}");
        }
    });
}

/// Guards against sends to a busy upstream whose lines do not show whether its load was unknown, out of date, or ignored.
#[test]
fn line_of_a_send_shows_the_load_report_behind_its_choice() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1).await;
        fleet.upstreams[0].report_load(0);
        let calls = [Call::stream("/stream/x", KEY), Call::stream("/stream/x", KEY)];
        for call in &calls {
            assert_eq!(send(&fleet, call).await.told, Told::Whole);
        }
        let first = line_of(&fleet, &calls[0]).await;
        assert!(!has_key(&first["sends"][0], "reported"), "{first}");
        assert_eq!(first["sends"][0]["unreported"], 1, "{first}");
        let second = line_of(&fleet, &calls[1]).await;
        assert!(second["sends"][0]["reported"].is_u64(), "{second}");
        assert!(second["sends"][0]["report_age_ms"].is_u64(), "{second}");
        assert!(second["sends"][0]["mean_age_ms"].is_u64(), "{second}");
        assert!(!has_key(&second["sends"][0], "unreported"), "{second}");
        assert_eq!(metric(&fleet, "bendhinge_gateway_load_report_age_seconds_count").await, Some(1));
    });
}

/// Guards against a load limit raised by upstreams that have no report because they get few requests.
#[test]
fn an_upstream_that_warms_up_without_a_report_counts_as_idle() {
    const REPORTED: u32 = 20;
    run(|tasks| async move {
        let fleet = engines(&tasks, 2).await;
        let warming = fleet.upstreams[1].name();
        fleet.store.warm_up(&warming, Duration::from_mins(5));
        fleet.upstreams[0].report_load(REPORTED);
        let mean_load = async || {
            let call = Call::stream("/stream/x", KEY);
            assert_eq!(send(&fleet, &call).await.told, Told::Whole);
            line_of(&fleet, &call).await["sends"][0]["mean_load"].as_f64().unwrap()
        };
        // The list says that the upstream warms up from a later read on.
        until(async || {
            let mean_load = mean_load().await;
            mean_load > 0.0 && mean_load < f64::from(REPORTED) * 0.75
        })
        .await;
    });
}

/// Guards against lines of plain pools that show a load other than the one behind the choice.
#[test]
fn line_of_a_send_to_a_plain_pool_shows_the_shared_count() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 0, services: 1 };
        let fleet = GatewayFleet::start(&tasks, shape, "[load]\nshared_response_times = yes\n").await;
        let call = call("/safe/x");
        assert_eq!(send(&fleet, &call).await.told, Told::Whole);
        let line = line_of(&fleet, &call).await;
        assert!(line["sends"][0]["totals_age_ms"].is_u64(), "{line}");
        assert!(line["sends"][0]["totals_gateways"].as_u64() >= Some(1), "{line}");
        assert!(!has_key(&line["sends"][0], "mean_age_ms"), "{line}");
        assert_eq!(metric(&fleet, "bendhinge_gateway_totals_age_seconds_count").await, Some(1));
        assert_eq!(metric(&fleet, "bendhinge_gateway_mean_load_age_seconds_count").await, None);
    });
}

/// Guards against retries beyond the fleet's budget whose lines do not show by which figures they were allowed.
#[test]
fn line_of_a_retry_shows_the_retry_budget_behind_it() {
    run(|tasks| async move {
        let shape = FleetShape { gateways: 1, engines: 0, services: 2 };
        // Of the two base retries, a gateway uses one.
        let fleet = GatewayFleet::start(&tasks, shape, "[retries]\nratio = 0\nslack = 2\n").await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::Full));
        let call = call("/safe/x");
        assert_ne!(send(&fleet, &call).await.told, Told::Whole);
        let line = line_of(&fleet, &call).await;
        assert!(!has_key(&line["sends"][0], "retry"), "{line}");
        assert_eq!(line["sends"][1]["retry"], json!({ "spent": 0, "budget": 1.0, "base": 1.0 }), "{line}");
        assert_eq!(line["denied_retry"], json!({ "spent": 1, "budget": 1.0, "base": 1.0 }), "{line}");
        for decision in ["allowed", "denied"] {
            let name = format!("bendhinge_gateway_retry_decisions_total{{decision=\"{decision}\"");
            assert_eq!(metric(&fleet, &name).await, Some(1), "{name}");
        }
    });
}

/// Guards against a changed form of the lines of requests that are no streams.
#[test]
fn line_of_another_request_has_no_keys_of_streams() {
    run(|tasks| async move {
        let fleet = smallest(&tasks).await;
        let call = call("/safe/x");
        assert_eq!(send(&fleet, &call).await.told, Told::Whole);
        let line = line_of(&fleet, &call).await;
        assert!(STREAM_KEYS.iter().all(|key| !has_key(&line, key)), "{line}");
    });
}

/// Guards against losing the pause in which a stream moves to another upstream. Either upstream sends half of the
/// events and stalls, so that the other one sends the rest.
#[test]
fn pause_of_a_resumed_stream_spans_the_second_send() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 2).await;
        fleet.upstreams.iter().for_each(|upstream| upstream.set_fault(UpstreamFault::Stalls(6)));
        let call = Call::stream("/resumable/x", KEY);
        assert_eq!(send(&fleet, &call).await.told, Told::Whole);
        let line = line_of(&fleet, &call).await;
        let second_send = line["sends"][1]["at_ms"].as_u64().unwrap();
        let begin = line["pause_at_ms"].as_u64().unwrap();
        let end = begin + line["pause_ms"].as_u64().unwrap();
        assert!((begin..=end).contains(&second_send), "{line}");
        assert!(line["first_event_ms"].as_u64().unwrap() <= begin, "{line}");
    });
}

/// Guards against the time until a stream is given up being taken for the time to its first event.
#[test]
fn stream_without_events_has_no_first_event() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1).await;
        fleet.upstreams[0].set_fault(UpstreamFault::Stalls(0));
        let call = Call { deadline: Duration::from_millis(300), ..Call::stream("/stream/x", KEY) };
        assert_eq!(send(&fleet, &call).await.told, Told::Broken);
        let line = line_of(&fleet, &call).await;
        assert!(STREAM_KEYS.iter().all(|key| !has_key(&line, key)), "{line}");
        assert_eq!(metric(&fleet, "bendhinge_gateway_first_event_seconds_count").await.unwrap_or(0), 0);
    });
}

#[test]
fn interrupted_stream_reports_what_was_seen() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1).await;
        fleet.upstreams[0].set_pace(Duration::from_millis(20));
        fleet.upstreams[0].set_fault(UpstreamFault::BreaksOff(3));
        let call = Call::stream("/stream/x", KEY);
        assert_eq!(send(&fleet, &call).await.told, Told::Broken);
        let line = line_of(&fleet, &call).await;
        assert_eq!(line["sends"][0]["end"], "lost", "{line}");
        assert!(has_key(&line, "first_event_ms") && has_key(&line, "pause_ms"), "{line}");
    });
}

/// Guards against a registry that is not told of sends, or takes a stream's own send for another. The stream has
/// one event, so that its only pause is the one in which the other request waits for its first event.
#[test]
fn pause_counts_other_sends_to_the_same_upstream() {
    run(|tasks| async move {
        let fleet = engines(&tasks, 1).await;
        fleet.upstreams[0].set_fault(UpstreamFault::Stalls(1));
        let first = Call { prompt: Some("1:100,11:50".to_owned()), ..Call::stream("/stream/x", KEY) };
        let caller = read_first_event(fleet.callers(0), &first).await;

        fleet.upstreams[0].set_fault(UpstreamFault::Stalls(0));
        let second = Call { prompt: Some("2:7000,12:300".to_owned()), ..Call::stream("/stream/x", KEY) };
        let (sender, address, sent) = (fleet.caller(), fleet.callers(0), second.clone());
        tasks.spawn(async move { sender.send(address, &sent, PATIENCE).await }).detach();
        until(async || fleet.runs_of(&second.id) == 1).await;

        drop(caller);
        let line = line_of(&fleet, &first).await;
        assert_eq!(line["outcome"], "caller_left", "{line}");
        assert_eq!(line["beside_requests"], 1, "{line}");
        assert_eq!(line["beside_tokens"], 7_300, "{line}");
    });
}
