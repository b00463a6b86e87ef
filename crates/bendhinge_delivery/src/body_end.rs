//! How the body of an upstream's response ended, and whether it is complete.

use crate::SendOutcome;

/// How the body of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyEnd {
    /// Complete according to its framing and its events.
    Complete,
    /// Inside an event of a stream.
    MidEvent,
    /// Without content, and without framing that would mark it as empty.
    Empty,
    /// By a failure of its connection or of its framing.
    Failed,
    /// By the gateway, since it or an event of it exceeds the size limit.
    TooLarge,
    /// By the gateway, since its memory was needed elsewhere.
    OutOfMemory,
    /// By the timeout for its next data.
    TimedOut,
}

impl BodyEnd {
    /// Classifies a body that was read to its end without a failure. `marks_end` is whether its framing marks the
    /// end; if not, its connection was closed.
    #[must_use]
    pub const fn at_end(marks_end: bool, is_empty: bool, is_mid_event: bool) -> Self {
        if is_mid_event {
            Self::MidEvent
        } else if is_empty && !marks_end {
            Self::Empty
        } else {
            Self::Complete
        }
    }

    /// Whether the body ended before it was complete, other than by a timeout.
    #[must_use]
    pub const fn is_premature(self) -> bool {
        matches!(self, Self::MidEvent | Self::Empty | Self::Failed | Self::TooLarge | Self::OutOfMemory)
    }

    /// The outcome of the send whose response ended like this before it was complete.
    #[must_use]
    pub const fn outcome(self) -> SendOutcome {
        match self {
            Self::TimedOut => SendOutcome::TimedOut,
            Self::TooLarge | Self::OutOfMemory => SendOutcome::TooLarge,
            Self::Complete | Self::MidEvent | Self::Empty | Self::Failed => SendOutcome::Lost,
        }
    }

    /// The name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::MidEvent => "mid_event",
            Self::Empty => "empty",
            Self::Failed => "failed",
            Self::TooLarge => "too_large",
            Self::OutOfMemory => "out_of_memory",
            Self::TimedOut => "silent",
        }
    }
}
