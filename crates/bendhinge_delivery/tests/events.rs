//! `EventSplitter` releases only complete events.

use bendhinge_delivery::EventSplitter;
use bytes::Bytes;

fn feed(splitter: &mut EventSplitter, text: &str) -> Option<String> {
    let events = splitter.feed(&Bytes::copy_from_slice(text.as_bytes()));
    events.map(|events| String::from_utf8(events.to_vec()).unwrap())
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
    splitter.restart();
    assert_eq!(splitter.partial_len(), 0);
    assert_eq!(feed(&mut splitter, "id: 2\ndata: b\n\n").as_deref(), Some("id: 2\ndata: b\n\n"));
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
