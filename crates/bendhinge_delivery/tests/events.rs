//! `EventSplitter` releases only complete events.

use bendhinge_delivery::EventSplitter;

fn feed(splitter: &mut EventSplitter, text: &str) -> Option<String> {
    let events = splitter.feed(text.as_bytes())?;
    Some(String::from_utf8(events.bytes.to_vec()).unwrap())
}

#[test]
fn partial_event_is_buffered_until_complete() {
    let mut splitter = EventSplitter::default();
    assert_eq!(feed(&mut splitter, "id: 1\ndata: a\n\nid: 2\nda").as_deref(), Some("id: 1\ndata: a\n\n"));
    assert_eq!(splitter.last_id(), Some("1"));
    assert_eq!(splitter.partial_len(), "id: 2\nda".len());
    assert_eq!(feed(&mut splitter, "ta: b\n"), None);
    assert_eq!(feed(&mut splitter, "\n").as_deref(), Some("id: 2\ndata: b\n\n"));
    assert_eq!(splitter.last_id(), Some("2"));
}

#[test]
fn crlf_line_endings_are_supported() {
    let mut splitter = EventSplitter::default();
    assert_eq!(feed(&mut splitter, "id: 7\r\ndata: a\r\n\r\n").as_deref(), Some("id: 7\r\ndata: a\r\n\r\n"));
    assert_eq!(splitter.last_id(), Some("7"));
}

#[test]
fn restart_discards_partial_event() {
    let mut splitter = EventSplitter::default();
    feed(&mut splitter, "id: 1\ndata: a\n\nid: 2\nda");
    let mut splitter = splitter.resumed();
    assert_eq!(splitter.partial_len(), 0);
    assert_eq!(feed(&mut splitter, "id: 2\ndata: b\n\n").as_deref(), Some("id: 2\ndata: b\n\n"));
}

/// Guards against IDs of any size that are kept for as long as their streams last. A stream cannot be resumed after an
/// earlier event instead.
#[test]
fn an_id_that_is_too_long_is_not_kept() {
    let mut splitter = EventSplitter::default();
    feed(&mut splitter, "id: 1\ndata: a\n\n");
    feed(&mut splitter, &format!("id: {}\ndata: b\n\n", "2".repeat(2_000)));
    assert_eq!(splitter.last_id(), None);
    feed(&mut splitter, "id: 3\ndata: c\n\n");
    assert_eq!(splitter.last_id(), Some("3"));
}

#[test]
fn buffered_bytes_are_counted_for_events_and_comments() {
    let mut splitter = EventSplitter::default();
    feed(&mut splitter, "id: 1\ndata: a\n\n: a comment\n");
    assert_eq!((splitter.buffered_len(), splitter.partial_len()), (": a comment\n".len(), 0));
    feed(&mut splitter, "\nid: 2");
    assert_eq!((splitter.buffered_len(), splitter.partial_len()), ("id: 2".len(), "id: 2".len()));
}

/// Chunk boundaries do not affect the released events or the last event id.
#[test]
fn chunk_boundaries_do_not_affect_events() {
    arbtest::arbtest(|source| {
        let count = source.int_in_range(1..=8_usize)?;
        let events: Vec<String> = (0..count).map(|id| format!("id: {id}\ndata: text of {id}\n\n")).collect();
        let stream = events.concat();
        let mut splitter = EventSplitter::default();
        let (mut offset, mut out) = (0, String::new());
        while offset < stream.len() {
            let chunk_len = source.int_in_range(1..=40_usize)?.min(stream.len() - offset);
            out.extend(feed(&mut splitter, &stream[offset..offset + chunk_len]));
            offset += chunk_len;
            let complete_len = events.iter().scan(0, |end, event| {
                *end += event.len();
                Some(*end)
            });
            let complete_len = complete_len.filter(|end| *end <= offset).max().unwrap_or(0);
            assert_eq!(out, stream[..complete_len]);
        }
        assert_eq!(splitter.last_id().map(str::to_owned), Some((count - 1).to_string()));
        Ok(())
    });
}

/// A stream, the events in it, and whether its end is inside an event or a line.
struct EndCase {
    stream: &'static str,
    event_count: usize,
    last_id: Option<&'static str>,
    is_mid_event: bool,
}

const END_CASES: [EndCase; 17] = [
    EndCase { stream: "", event_count: 0, last_id: None, is_mid_event: false },
    EndCase { stream: "id: 1\ndata: a\n\n", event_count: 1, last_id: Some("1"), is_mid_event: false },
    EndCase { stream: "id: 1\ndata: a\n", event_count: 0, last_id: None, is_mid_event: true },
    EndCase { stream: "id: 1\ndata: a\n\nid: 2", event_count: 1, last_id: Some("1"), is_mid_event: true },
    EndCase { stream: "id: 1\rdata: a\r\r", event_count: 1, last_id: Some("1"), is_mid_event: false },
    EndCase { stream: "id: 1\r\ndata: a\r\n\r\n", event_count: 1, last_id: Some("1"), is_mid_event: false },
    EndCase { stream: "id: 1\r\ndata: a\r\n\r", event_count: 1, last_id: Some("1"), is_mid_event: false },
    EndCase { stream: "id: 1\r\ndata: a\r\n", event_count: 0, last_id: None, is_mid_event: true },
    EndCase { stream: "id: 1\ndata: a\n\r\n", event_count: 1, last_id: Some("1"), is_mid_event: false },
    EndCase { stream: "id: 1\r\ndata: a\n\r", event_count: 1, last_id: Some("1"), is_mid_event: false },
    EndCase { stream: "id: 1\ndata: a\n\n\n", event_count: 1, last_id: Some("1"), is_mid_event: false },
    EndCase { stream: ": ping\n\n", event_count: 0, last_id: None, is_mid_event: false },
    EndCase { stream: "data: a\n\n: ping\n", event_count: 1, last_id: None, is_mid_event: false },
    EndCase { stream: "data: a\n\n: pi", event_count: 1, last_id: None, is_mid_event: true },
    EndCase { stream: "\u{feff}id: 1\ndata: a\n\n", event_count: 1, last_id: Some("1"), is_mid_event: false },
    EndCase { stream: "\u{feff}: ping\n\n", event_count: 0, last_id: None, is_mid_event: false },
    EndCase {
        stream: "data: id: 9\nid:1\n\ndata: a\n\n",
        event_count: 2,
        last_id: Some("1"),
        is_mid_event: false,
    },
];

/// Guards against line ends, comments or a byte order mark that hide where an event ends, however the stream is
/// divided into chunks.
#[test]
fn ends_of_streams_are_recognized() {
    arbtest::arbtest(|source| {
        let case = source.choose(&END_CASES)?;
        let mut splitter = EventSplitter::default();
        let mut rest = case.stream.as_bytes();
        let (mut out, mut event_count) = (Vec::new(), 0);
        while !rest.is_empty() {
            let (chunk, later) = rest.split_at(source.int_in_range(1..=rest.len())?);
            if let Some(events) = splitter.feed(chunk) {
                out.extend_from_slice(&events.bytes);
                event_count += events.count;
            }
            rest = later;
        }
        assert_eq!(event_count, case.event_count, "{:?}", case.stream);
        assert_eq!(splitter.has_events(), event_count > 0, "{:?}", case.stream);
        assert_eq!(splitter.last_id(), case.last_id, "{:?}", case.stream);
        assert_eq!(splitter.is_mid_event(), case.is_mid_event, "{:?}", case.stream);
        out.extend_from_slice(&splitter.take_rest());
        assert_eq!(out, case.stream.as_bytes());
        Ok(())
    });
}

/// Guards against a byte order mark in the middle of a stream, where it would be part of an event.
#[test]
fn byte_order_mark_of_a_resumed_stream_is_removed() {
    let mut splitter = EventSplitter::default();
    feed(&mut splitter, "\u{feff}id: 1\ndata: a\n\nid: 2");
    let mut splitter = splitter.resumed();
    assert_eq!(feed(&mut splitter, "\u{feff}id: 2\n\n").as_deref(), Some("id: 2\n\n"));
    assert_eq!(splitter.last_id(), Some("2"));
}

/// Guards against an event that waits for the chunk after a CR.
#[test]
fn event_is_released_before_the_lf_of_its_last_crlf() {
    let mut splitter = EventSplitter::default();
    assert_eq!(feed(&mut splitter, "data: a\r\n\r").as_deref(), Some("data: a\r\n\r"));
    assert_eq!(feed(&mut splitter, "\ndata: b\r\n\r\n").as_deref(), Some("\ndata: b\r\n\r\n"));
}
