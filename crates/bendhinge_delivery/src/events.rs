//! Splits server-sent event streams (`text/event-stream`) at event boundaries.

use bytes::{Buf, Bytes, BytesMut};

/// Buffers a byte stream and releases only complete events.
///
/// Lines end with CR, LF or CRLF, and an event ends with a blank line. A line that starts with a colon is a
/// comment and belongs to no event. See the HTML standard, section 9.2.6.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// The number of buffered bytes that were parsed.
    parsed_len: usize,
    /// The offset of the line that is not complete yet.
    line_start: usize,
    /// Whether the last byte was a CR, to which an LF that follows belongs.
    follows_cr: bool,
    position: Position,
    event: PartialEvent,
    last_id: Option<String>,
    has_events: bool,
}

/// The position in the stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Position {
    /// At its start, where a byte order mark may stand.
    #[default]
    Start,
    /// At the start of a stream that resumes another one.
    ResumedStart,
    /// After its start.
    Inside,
}

/// What is known of the event whose end is awaited.
#[derive(Debug, Default)]
struct PartialEvent {
    has_fields: bool,
    id: Option<EventId>,
}

/// The ID of an event.
#[derive(Debug)]
enum EventId {
    Usable(String),
    /// Too long to be kept for the time of the stream, and to be sent in a header.
    TooLong,
}

impl EventId {
    fn new(id: &str) -> Self {
        if id.len() > MAX_ID_BYTES { Self::TooLong } else { Self::Usable(id.to_owned()) }
    }
}

/// Bytes of a stream up to the end of an event or of a block of comments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes as they were received.
    pub bytes: Bytes,
    /// The number of events, without blocks that have only comments.
    pub count: usize,
}

/// The maximum size of an event ID after which a stream can be resumed.
const MAX_ID_BYTES: usize = 1 << 10;
/// The prefix of an event's `id` line.
const ID_PREFIX: &[u8] = b"id:";
/// The prefix of a comment line.
const COMMENT_PREFIX: &[u8] = b":";
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

impl EventSplitter {
    /// Adds `bytes` and returns what is now complete, if anything.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<CompleteEvents> {
        self.buffer.extend_from_slice(bytes);
        if self.position != Position::Inside && !self.skip_byte_order_mark() {
            return None;
        }
        let mut complete_len = 0;
        let mut count = 0;
        for offset in self.parsed_len..self.buffer.len() {
            let byte = self.buffer[offset];
            let is_crlf = byte == b'\n' && self.follows_cr;
            self.follows_cr = byte == b'\r';
            if !matches!(byte, b'\r' | b'\n') {
                continue;
            }
            let is_blank = offset == self.line_start;
            if is_crlf {
                // The line already ended with the CR; the LF belongs to what was complete there.
                if complete_len == offset {
                    complete_len += 1;
                }
            } else if is_blank {
                count += usize::from(self.end_event());
                complete_len = offset + 1;
            } else {
                self.end_line(offset);
            }
            self.line_start = offset + 1;
        }
        self.line_start -= complete_len;
        self.parsed_len = self.buffer.len() - complete_len;
        let bytes = self.take(complete_len);
        (!bytes.is_empty()).then_some(CompleteEvents { bytes, count })
    }

    /// Removes the first `length` bytes. They keep the allocation, since a large one would otherwise stay in use until
    /// both they and later events are dropped.
    fn take(&mut self, length: usize) -> Bytes {
        if length == 0 {
            return Bytes::new();
        }
        let rest = BytesMut::from(&self.buffer[length..]);
        let mut taken = std::mem::replace(&mut self.buffer, rest);
        taken.truncate(length);
        taken.freeze()
    }

    /// Skips a byte order mark at the start of the stream; returns `false` if it may still be incomplete. In a
    /// stream that resumes another one, it would be part of an event and is removed.
    fn skip_byte_order_mark(&mut self) -> bool {
        if self.buffer.len() < BYTE_ORDER_MARK.len() && BYTE_ORDER_MARK.starts_with(&self.buffer) {
            return false;
        }
        let position = std::mem::replace(&mut self.position, Position::Inside);
        if !self.buffer.starts_with(BYTE_ORDER_MARK) {
            return true;
        }
        if position == Position::ResumedStart {
            self.buffer.advance(BYTE_ORDER_MARK.len());
        } else {
            self.parsed_len = BYTE_ORDER_MARK.len();
            self.line_start = BYTE_ORDER_MARK.len();
        }
        true
    }

    /// Parses the line from `line_start` to `line_end`, which is not blank.
    fn end_line(&mut self, line_end: usize) {
        let line = &self.buffer[self.line_start..line_end];
        if line.starts_with(COMMENT_PREFIX) {
            return;
        }
        self.event.has_fields = true;
        let id = line.strip_prefix(ID_PREFIX).map(<[u8]>::trim_ascii);
        if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
            self.event.id = Some(EventId::new(id));
        }
    }

    /// Ends a block of lines; returns whether it is an event.
    fn end_event(&mut self) -> bool {
        let PartialEvent { has_fields, id } = std::mem::take(&mut self.event);
        match id {
            Some(EventId::Usable(id)) => self.last_id = Some(id),
            Some(EventId::TooLong) => self.last_id = None,
            None => {}
        }
        self.has_events |= has_fields;
        has_fields
    }

    /// Whether the stream is inside an event or a line. A stream that ends there was cut.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        self.event.has_fields || self.line_start < self.buffer.len()
    }

    /// The number of buffered bytes of an incomplete event or line.
    #[must_use]
    pub fn partial_len(&self) -> usize {
        if self.is_mid_event() { self.buffer.len() } else { 0 }
    }

    /// The number of buffered bytes: those of an incomplete event, line or block of comments.
    #[must_use]
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether there was a complete event since the stream began or resumed.
    #[must_use]
    pub const fn has_events(&self) -> bool {
        self.has_events
    }

    /// Removes and returns the bytes after the last event of a complete stream, such as a comment.
    pub fn take_rest(&mut self) -> Bytes {
        self.parsed_len = 0;
        self.line_start = 0;
        self.buffer.split().freeze()
    }

    /// The most recent event id among the complete events; `None` if it is too long to be sent in a header.
    #[must_use]
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns a splitter for a stream that resumes this one after its last complete event.
    #[must_use]
    pub fn resumed(&self) -> Self {
        Self { last_id: self.last_id.clone(), position: Position::ResumedStart, ..Self::default() }
    }
}
