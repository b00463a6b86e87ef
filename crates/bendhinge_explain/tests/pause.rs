//! The likely cause of a stream's longest pause.

use bendhinge_explain::{
    PauseCause, SendAttempt, StreamMeasurements, pause_cause, read_log, render, request_reports,
};

fn stream(pause_at_ms: u64, pause_ms: u64) -> StreamMeasurements {
    let (pause_at_ms, pause_ms) = (Some(pause_at_ms), Some(pause_ms));
    StreamMeasurements { first_event_ms: Some(50), pause_ms, pause_at_ms, ..StreamMeasurements::default() }
}

fn send_at(at_ms: u64) -> SendAttempt {
    let (upstream, why) = ("i-1".to_owned(), "home".to_owned());
    SendAttempt {
        upstream,
        why,
        load: 0.0,
        at_ms,
        end: None,
        status: None,
        unsent: None,
        connect: None,
        responded_ms: None,
        framing: None,
        body_end: None,
        software: None,
        events: None,
    }
}

fn cause(stream: &StreamMeasurements) -> Option<PauseCause> {
    pause_cause(stream, &[send_at(0)])
}

/// Guards against a cause for streams, and lines of older gateways, without a pause.
#[test]
fn without_a_pause_there_is_no_cause() {
    let only_first_event = StreamMeasurements { first_event_ms: Some(5), ..StreamMeasurements::default() };
    assert_eq!(cause(&only_first_event), None);
    assert_eq!(cause(&StreamMeasurements::default()), None);
}

#[test]
fn pause_as_long_as_one_retransmission() {
    let expected = [(199, PauseCause::Unknown), (200, PauseCause::Retransmission)];
    for (pause_ms, expected) in expected {
        assert_eq!(cause(&stream(60, pause_ms)), Some(expected), "{pause_ms} ms");
    }
    assert_eq!(cause(&stream(60, 250)), Some(PauseCause::Retransmission));
    assert_eq!(cause(&stream(60, 251)), Some(PauseCause::Unknown));
}

/// Guards against calling a pause a lost packet while the upstream was busy with another prompt.
#[test]
fn other_work_comes_before_a_retransmission() {
    let stream =
        StreamMeasurements { beside_requests: Some(2), beside_tokens: Some(30_000), ..stream(60, 230) };
    assert_eq!(cause(&stream), Some(PauseCause::OtherWork { requests: 2, tokens: 30_000 }));
}

/// Guards against taking a second send before the first event, as of a hedge, for a resumption.
#[test]
fn only_a_send_within_the_pause_resumes_the_stream() {
    let stream = StreamMeasurements { beside_requests: Some(1), ..stream(400, 230) };
    assert_eq!(pause_cause(&stream, &[send_at(0), send_at(500)]), Some(PauseCause::Resumption));
    let other_work = Some(PauseCause::OtherWork { requests: 1, tokens: 0 });
    assert_eq!(pause_cause(&stream, &[send_at(0), send_at(350)]), other_work);
    assert_eq!(pause_cause(&stream, &[send_at(0), send_at(700)]), other_work);
}

/// Guards against a panic on numbers that no gateway writes.
#[test]
fn largest_numbers_are_accepted() {
    assert_eq!(cause(&stream(u64::MAX, u64::MAX)), Some(PauseCause::Unknown));
}

/// A line whose measurements make no sense, such as a pause without a time, shows what it can.
#[test]
fn incomplete_measurements_are_rendered_in_part() {
    let line = r#"{"t":900,"event":"request","request":"a1","route":"r","outcome":"answered","status":200,"ms":800,"sends":[],"ran":"yes","first_event_ms":70,"pause_ms":240}"#;
    let reports = request_reports(&read_log("box", line), "a1");
    let text = render(&reports[0]);
    assert!(text.contains("70 ms  first event of the stream\n"), "{text}");
    assert!(!text.contains("longest pause"), "{text}");
}

fn request_line(t: u64, request: &str, upstream: &str, ms: u64, stream: &str) -> String {
    format!(
        r#"{{"t":{t},"event":"request","request":"{request}","route":"r","outcome":"answered","status":200,"ms":{ms},"sends":[{{"upstream":"{upstream}","why":"home","load":0.0,"at_ms":0}}],"ran":"yes"{stream}}}"#
    )
}

/// Guards against naming requests at other upstreams, at other boxes, or with their first event before the pause.
#[test]
fn requests_beside_the_pause_are_named() {
    let stream =
        r#","first_event_ms":50,"pause_ms":300,"pause_at_ms":400,"beside_requests":2,"beside_tokens":900"#;
    let first_event = r#","first_event_ms":100"#;
    let lines = [
        request_line(11_000, "stream", "i-1", 1_000, stream),
        request_line(11_000, "before", "i-1", 900, first_event),
        request_line(12_000, "during", "i-1", 1_600, first_event),
        request_line(12_000, "never", "i-1", 2_500, ""),
        request_line(12_000, "elsewhere", "i-2", 1_600, first_event),
        request_line(12_000, "after", "i-1", 1_200, first_event),
    ];
    let others = read_log("another-box", &request_line(12_000, "foreign", "i-1", 1_600, first_event));
    let entries = [read_log("box", &lines.join("\n")), others].concat();
    let reports = request_reports(&entries, "stream");
    let named = reports[0].concurrent_sends.iter();
    let named: Vec<_> =
        named.map(|send| (send.request.as_str(), send.sent_ms, send.first_event_ms)).collect();
    assert_eq!(named, [("never", -500, None), ("during", 400, Some(500))]);
}

/// Guards against overflow where a line's times make no sense.
#[test]
fn largest_times_name_no_request_wrongly() {
    let stream = r#","pause_ms":18446744073709551615,"pause_at_ms":18446744073709551615,"beside_requests":1"#;
    let lines = [
        request_line(u64::MAX, "stream", "i-1", 0, stream),
        request_line(0, "other", "i-1", u64::MAX, r#","first_event_ms":18446744073709551615"#),
    ];
    let entries = read_log("box", &lines.join("\n"));
    let text = render(&request_reports(&entries, "stream")[0]);
    assert!(!text.contains("other: "), "{text}");
}
