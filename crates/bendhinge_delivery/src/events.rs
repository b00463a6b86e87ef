//! Streams of events (`text/event-stream`): whole events, and the id of the last one.

use bytes::{Bytes, BytesMut};

/// Cuts a stream of bytes at the ends of events, so that only whole events are passed on.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
}

/// The line that begins an event's id.
const ID_FIELD: &[u8] = b"id:";

impl EventSplitter {
    /// Takes in the next bytes and gives the events that are whole now, if any.
    pub fn feed(&mut self, bytes: &Bytes) -> Option<Bytes> {
        let whole = if self.partial.is_empty() {
            let end = end_of_last_event(bytes).unwrap_or(0);
            self.partial.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            self.partial.extend_from_slice(bytes);
            let end = end_of_last_event(&self.partial).unwrap_or(0);
            self.partial.split_to(end).freeze()
        };
        if let Some(id) = last_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole).filter(|whole| !whole.is_empty())
    }

    /// Whether bytes are left that end no event.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// The bytes that are left at the stream's end.
    pub fn take_rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    /// The id of the last whole event.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Forgets a part of an event: its stream broke off, and another goes on after the last
    /// whole event.
    pub fn restart(&mut self) {
        self.partial.clear();
    }
}

/// The position behind the last empty line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let wide = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    plain.max(wide)
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find(|line| line.starts_with(ID_FIELD))?;
    let id = line[ID_FIELD.len()..].trim_ascii();
    std::str::from_utf8(id).ok().map(str::to_owned)
}
