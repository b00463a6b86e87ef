//! Retry decision after a failed attempt.

use bendhinge_codes::ResultCode;

/// Whether a request may be sent to an upstream more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatable {
    /// The request may be sent again even if an earlier attempt may have run.
    Yes,
    /// The request may run at most once.
    Never,
}

/// How an attempt failed to produce a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection was established.
    NotConnected,
    /// The connection closed before a byte of the request was written.
    NotSent,
    /// The connection was lost after part of the request may have been written, and before any
    /// of the response was forwarded.
    Lost,
    /// The timeout expired before any of the response was forwarded.
    TimedOut,
    /// The response was invalid or incomplete, and none of it was forwarded.
    BadAnswer,
    /// The response was truncated after part of it was forwarded.
    CutShort,
}

impl AttemptEnd {
    /// Whether it is certain that no byte of the request reached an upstream.
    #[must_use]
    pub const fn definitely_not_run(self) -> bool {
        matches!(self, Self::NotConnected | Self::NotSent)
    }
}

/// The action to take after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry on another upstream.
    TryAnother,
    /// Respond to the caller with this result code.
    Answer(ResultCode),
}

/// Decides whether to retry after a failed attempt. `not_run_so_far` is true if no attempt of this
/// request may have run; `may_retry` is true if the attempt limit and the retry budget allow another.
#[must_use]
pub const fn next_step(
    end: AttemptEnd,
    repeatable: Repeatable,
    not_run_so_far: bool,
    may_retry: bool,
) -> NextStep {
    if matches!(end, AttemptEnd::CutShort) {
        // Part of a response was already forwarded, so another cannot follow it.
        return NextStep::Answer(ResultCode::AnswerCutShort);
    }
    let safe_to_retry = end.definitely_not_run() || matches!(repeatable, Repeatable::Yes);
    if safe_to_retry && may_retry {
        return NextStep::TryAnother;
    }
    NextStep::Answer(final_code(end, repeatable, not_run_so_far))
}

const fn final_code(end: AttemptEnd, repeatable: Repeatable, not_run_so_far: bool) -> ResultCode {
    if end.definitely_not_run() && not_run_so_far {
        return ResultCode::UpstreamNotReached;
    }
    match (repeatable, end) {
        (Repeatable::Yes, _) => ResultCode::RepeatableLost,
        (Repeatable::Never, AttemptEnd::TimedOut) => ResultCode::UpstreamTimeout,
        (Repeatable::Never, AttemptEnd::BadAnswer) => ResultCode::UpstreamBadAnswer,
        (Repeatable::Never, _) => ResultCode::UpstreamLost,
    }
}
