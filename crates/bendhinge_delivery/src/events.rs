//! Splits server-sent event streams (`text/event-stream`) at event boundaries.

use bytes::{Bytes, BytesMut};

/// Buffers a byte stream and releases only complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<String>,
    has_events: bool,
}

/// The prefix of an event's `id` line.
const ID_PREFIX: &[u8] = b"id:";

impl EventSplitter {
    /// Adds `bytes` and returns the events that are now complete, if any.
    pub fn feed(&mut self, bytes: &Bytes) -> Option<Bytes> {
        let complete = if self.partial.is_empty() {
            let end = end_of_last_event(bytes).unwrap_or(0);
            self.partial.extend_from_slice(&bytes[end..]);
            bytes.slice(..end)
        } else {
            self.partial.extend_from_slice(bytes);
            let end = end_of_last_event(&self.partial).unwrap_or(0);
            self.partial.split_to(end).freeze()
        };
        if let Some(id) = last_id(&complete) {
            self.last_id = Some(id);
        }
        self.has_events |= !complete.is_empty();
        Some(complete).filter(|complete| !complete.is_empty())
    }

    /// The number of buffered bytes of an incomplete event.
    #[must_use]
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Whether there was a complete event since the stream began or resumed.
    #[must_use]
    pub const fn has_events(&self) -> bool {
        self.has_events
    }

    /// The most recent event id among the complete events.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Discards a partial event, because another stream resumes after the last complete event.
    pub fn restart(&mut self) {
        self.partial.clear();
        self.has_events = false;
    }
}

/// Returns the offset just past the last blank line.
fn end_of_last_event(bytes: &[u8]) -> Option<usize> {
    let lf = bytes.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
    let crlf = bytes.windows(4).rposition(|four| four == b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn last_id(events: &[u8]) -> Option<String> {
    let mut lines = events.rsplit(|byte| *byte == b'\n');
    let line = lines.find(|line| line.starts_with(ID_PREFIX))?;
    let id = line[ID_PREFIX.len()..].trim_ascii();
    std::str::from_utf8(id).ok().map(str::to_owned)
}
