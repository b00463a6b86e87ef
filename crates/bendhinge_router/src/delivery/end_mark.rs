//! Whether a stream of events ended with its end mark.

/// The end mark of a stream of chat events.
const END_MARK: &[u8] = b"data: [DONE]";

/// Watches a stream of events go by and remembers its last bytes.
#[derive(Debug, Default)]
pub(super) struct EndMark {
    tail: Vec<u8>,
}

impl EndMark {
    /// Enough for the mark and the line ends behind it.
    const TAIL: usize = END_MARK.len() + 4;

    /// Takes in the next bytes.
    pub(super) fn saw(&mut self, bytes: &[u8]) {
        let from = bytes.len().saturating_sub(Self::TAIL);
        self.tail.extend_from_slice(&bytes[from..]);
        let excess = self.tail.len().saturating_sub(Self::TAIL);
        self.tail.drain(..excess);
    }

    /// Whether the last line was the end mark.
    pub(super) fn is_complete(&self) -> bool {
        self.tail.trim_ascii_end().ends_with(END_MARK)
    }
}
