//! Why the response to a caller ended before it was complete.

use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::BodyEnd;

/// A response that ended before it was complete.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut {
    pub(crate) cause: CutCause,
    /// How long the source had sent nothing when it ended or was given up.
    pub(crate) silence: Duration,
    pub(crate) obstacle: ResumeObstacle,
}

/// What ended the source of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CutCause {
    /// The upstream ended its response.
    Upstream,
    /// The gateway that relayed the upstream's response ended it.
    Gateway,
    /// The time of the request was over.
    Deadline,
    /// An event exceeded the size limit.
    EventSize,
    /// The memory for an event was needed elsewhere.
    Memory,
}

impl CutCause {
    /// Returns what ended a source whose body ended with `end`.
    pub(super) const fn of(end: BodyEnd, is_upstream: bool) -> Self {
        match end {
            BodyEnd::TimedOut => Self::Deadline,
            BodyEnd::TooLarge => Self::EventSize,
            BodyEnd::OutOfMemory => Self::Memory,
            _ if is_upstream => Self::Upstream,
            _ => Self::Gateway,
        }
    }

    /// The name used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Upstream => "upstream",
            Self::Gateway => "gateway",
            Self::Deadline => "deadline",
            Self::EventSize => "event_size",
            Self::Memory => "memory",
        }
    }

    /// The code of the response that ended.
    pub(super) const fn code(self) -> ResultCode {
        match self {
            Self::EventSize | Self::Memory => ResultCode::AnswerTooLarge,
            Self::Upstream | Self::Gateway | Self::Deadline => ResultCode::AnswerCutShort,
        }
    }
}

/// Why nothing went on with a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResumeObstacle {
    /// The request has no attempts left, or may run only once.
    Attempts,
    /// The events have no IDs after which the stream could be resumed.
    NoEventIds,
    /// The retry budget is exhausted.
    RetryBudget,
    /// No upstream took the request.
    SendFailed,
    /// The time of the request was over.
    Deadline,
}

impl ResumeObstacle {
    /// The name used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::NoEventIds => "no_event_ids",
            Self::RetryBudget => "retry_budget",
            Self::SendFailed => "send_failed",
            Self::Deadline => "deadline",
        }
    }
}
