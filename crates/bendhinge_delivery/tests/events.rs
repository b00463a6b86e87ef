//! Streams of events are passed on in whole events.

use bendhinge_delivery::EventSplitter;
use bytes::Bytes;

fn feed(splitter: &mut EventSplitter, text: &str) -> Option<String> {
    let events = splitter.feed(&Bytes::copy_from_slice(text.as_bytes()));
    events.map(|events| String::from_utf8(events.to_vec()).unwrap())
}

#[test]
fn a_part_of_an_event_waits_for_the_rest() {
    let mut splitter = EventSplitter::default();
    assert_eq!(feed(&mut splitter, "id: 1\ndata: a\n\nid: 2\nda").as_deref(), Some("id: 1\ndata: a\n\n"));
    assert_eq!(splitter.last_id(), Some("1"));
    assert!(splitter.has_partial());
    assert_eq!(feed(&mut splitter, "ta: b\n"), None);
    assert_eq!(feed(&mut splitter, "\n").as_deref(), Some("id: 2\ndata: b\n\n"));
    assert_eq!(splitter.last_id(), Some("2"));
}

#[test]
fn both_ends_of_lines_are_known() {
    let mut splitter = EventSplitter::default();
    assert_eq!(feed(&mut splitter, "id: 7\r\ndata: a\r\n\r\n").as_deref(), Some("id: 7\r\ndata: a\r\n\r\n"));
    assert_eq!(splitter.last_id(), Some("7"));
}

#[test]
fn after_a_break_the_part_is_forgotten_and_the_last_id_is_not() {
    let mut splitter = EventSplitter::default();
    feed(&mut splitter, "id: 1\ndata: a\n\nid: 2\nda");
    splitter.restart();
    assert!(!splitter.has_partial());
    assert_eq!(feed(&mut splitter, "id: 2\ndata: b\n\n").as_deref(), Some("id: 2\ndata: b\n\n"));
}

/// However a stream is cut into pieces, what comes out is the stream in whole events, and the
/// last id is that of the last whole event.
#[test]
fn pieces_of_any_size_give_the_same_events() {
    arbtest::arbtest(|source| {
        let count = source.int_in_range(1..=8_usize)?;
        let events: Vec<String> = (0..count).map(|id| format!("id: {id}\ndata: text of {id}\n\n")).collect();
        let stream = events.concat();
        let mut splitter = EventSplitter::default();
        let (mut at, mut out) = (0, String::new());
        while at < stream.len() {
            let piece = source.int_in_range(1..=40_usize)?.min(stream.len() - at);
            out.extend(feed(&mut splitter, &stream[at..at + piece]));
            at += piece;
            let whole = events.iter().scan(0, |end, event| {
                *end += event.len();
                Some(*end)
            });
            let whole = whole.filter(|end| *end <= at).max().unwrap_or(0);
            assert_eq!(out, stream[..whole]);
        }
        assert_eq!(splitter.last_id().map(str::to_owned), Some((count - 1).to_string()));
        Ok(())
    });
}
