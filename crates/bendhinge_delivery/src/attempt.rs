//! What follows from the end of an attempt.

use bendhinge_codes::ResultCode;

/// Whether a request may be sent to an upstream more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatable {
    /// Running it twice does no harm; its caller sees one answer.
    Yes,
    /// It may run at most once.
    Never,
}

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection was made.
    NotConnected,
    /// The connection closed before a byte of the request was written.
    NotSent,
    /// The connection was lost after some of the request may have been written, before any of
    /// the answer was passed on.
    Lost,
    /// The time limit passed, before any of the answer was passed on.
    TimedOut,
    /// The answer was not a whole HTTP answer, and none of it was passed on.
    BadAnswer,
    /// The answer broke off after part of it was passed on.
    CutShort,
}

impl AttemptEnd {
    /// Whether it is certain that no byte of the request reached an upstream.
    #[must_use]
    pub const fn surely_not_run(self) -> bool {
        matches!(self, Self::NotConnected | Self::NotSent)
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Try another upstream.
    TryAnother,
    /// Give the caller this final answer now.
    Answer(ResultCode),
}

/// Decides what follows an attempt. `certain_so_far` says that no earlier attempt of this
/// request may have run; `may_retry` says that attempts and the retry budget allow another.
#[must_use]
pub const fn next_step(
    end: AttemptEnd,
    repeatable: Repeatable,
    certain_so_far: bool,
    may_retry: bool,
) -> NextStep {
    if matches!(end, AttemptEnd::CutShort) {
        // A second answer must never be spliced onto part of a first.
        return NextStep::Answer(ResultCode::AnswerCutShort);
    }
    let harmless = end.surely_not_run() || matches!(repeatable, Repeatable::Yes);
    if harmless && may_retry {
        return NextStep::TryAnother;
    }
    NextStep::Answer(final_code(end, repeatable, certain_so_far))
}

const fn final_code(end: AttemptEnd, repeatable: Repeatable, certain_so_far: bool) -> ResultCode {
    if end.surely_not_run() && certain_so_far {
        return ResultCode::UpstreamNotReached;
    }
    match (repeatable, end) {
        (Repeatable::Yes, _) => ResultCode::RepeatableLost,
        (Repeatable::Never, AttemptEnd::TimedOut) => ResultCode::UpstreamTimeout,
        (Repeatable::Never, AttemptEnd::BadAnswer) => ResultCode::UpstreamBadAnswer,
        (Repeatable::Never, _) => ResultCode::UpstreamLost,
    }
}
