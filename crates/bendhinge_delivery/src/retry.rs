//! Retry state of one request: whether it may be sent again, and its final result code.

use bendhinge_codes::{Ran, ResultCode};

use crate::{NotRun, NotRunReason};

/// How a send failed to produce a response that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    /// The request did not run there and will not.
    NotRun(NotRun),
    /// The connection was lost after the upstream may have read part of the request.
    Lost,
    /// The upstream did not respond within the timeout.
    TimedOut,
    /// The response was invalid or belonged to another request.
    InvalidResponse,
    /// The response, or an event of it, exceeds the size limit or the memory for it.
    TooLarge,
    /// The upstream responded with a failure, and that response is kept.
    Failed,
    /// The send was cancelled because another send of the request got a response.
    Superseded,
}

impl From<NotRun> for SendOutcome {
    fn from(evidence: NotRun) -> Self {
        Self::NotRun(evidence)
    }
}

impl SendOutcome {
    /// Why the request certainly did not run on this upstream and will not; `None` if that is not certain.
    #[must_use]
    pub const fn not_run_reason(self) -> Option<NotRunReason> {
        match self {
            Self::NotRun(evidence) => Some(evidence.reason()),
            _ => None,
        }
    }

    /// Whether the request may have reached an upstream. Later sends then count against the retry budget.
    #[must_use]
    pub const fn reached_upstream(self) -> bool {
        !matches!(
            self.not_run_reason(),
            Some(NotRunReason::NotConnected | NotRunReason::Withheld | NotRunReason::Returned)
        )
    }

    /// The name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun(evidence) => match evidence.reason() {
                NotRunReason::NotConnected => "not_connected",
                NotRunReason::Withheld | NotRunReason::Returned => "not_sent",
                NotRunReason::Rejected => "rejected",
                NotRunReason::Replaced => "replaced",
                NotRunReason::Refused => "refused",
            },
            Self::Lost => "lost",
            Self::TimedOut => "silent",
            Self::InvalidResponse => "spoilt",
            Self::TooLarge => "too_large",
            Self::Failed => "failed",
            Self::Superseded => "overtaken",
        }
    }
}

/// The retry policy of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// Whether the request may be sent again after it may have run.
    pub repeatable: bool,
    /// The maximum number of upstreams on which the request may run.
    pub max_attempts: u32,
}

/// Extra sends allowed for attempts that certainly did not run.
const MAX_EXTRA_SENDS: u32 = 2;

/// The state of a request across its sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryState {
    policy: RetryPolicy,
    sends: u32,
    /// The number of sends and forwards that have begun and whose outcome is not recorded.
    open_count: u32,
    possible_runs: u32,
    reached_count: u32,
    /// The number of responses that are read while another send is made.
    held_responses: u32,
    last_outcome: Option<SendOutcome>,
}

impl RetryState {
    /// Creates the state of a request that has not been sent yet.
    #[must_use]
    pub const fn new(policy: RetryPolicy) -> Self {
        Self {
            policy,
            sends: 0,
            open_count: 0,
            possible_runs: 0,
            reached_count: 0,
            held_responses: 0,
            last_outcome: None,
        }
    }

    /// Records that the request is sent or forwarded. Until the outcome is recorded, it may run there.
    pub const fn begin_send(&mut self) {
        self.open_count += 1;
    }

    /// Records the outcome of a send. Returns whether another may follow, subject to the retry budget.
    pub const fn record_outcome(&mut self, end: SendOutcome) -> bool {
        self.sends += 1;
        self.open_count = self.open_count.saturating_sub(1);
        self.last_outcome = Some(end);
        if end.reached_upstream() {
            self.reached_count += 1;
        }
        if end.not_run_reason().is_none() {
            self.possible_runs += 1;
        }
        self.may_send()
    }

    /// Returns the number of upstreams on which the request may still run, of the `max_attempts` of its route.
    #[must_use]
    pub const fn attempts_left(&self, max_attempts: u32) -> u32 {
        max_attempts.saturating_sub(self.runs())
    }

    /// Records that the request was forwarded to another router, which used all attempts that were left, and how that
    /// ended if there was no response.
    pub const fn record_forward(&mut self, end: Option<SendOutcome>) {
        self.sends += 1;
        self.open_count = self.open_count.saturating_sub(1);
        self.reached_count += 1;
        self.possible_runs = if self.policy.max_attempts > 1 { self.policy.max_attempts } else { 1 };
        if end.is_some() {
            self.last_outcome = end;
        }
    }

    /// Records that the request was forwarded and did not run, as the evidence shows.
    pub const fn record_unrun_forward(&mut self, _evidence: NotRun) {
        self.open_count = self.open_count.saturating_sub(1);
    }

    /// Sets the number of responses that are read while another send is made. The request runs at their upstreams, too.
    pub const fn set_held_responses(&mut self, count: u32) {
        self.held_responses = count;
    }

    /// The number of upstreams on which the request may have run, or runs while its response is read.
    const fn runs(&self) -> u32 {
        self.possible_runs + self.held_responses
    }

    /// Whether the request may be sent, or sent again.
    #[must_use]
    pub const fn may_send(&self) -> bool {
        let safe_to_retry = self.runs() == 0 || self.policy.repeatable;
        safe_to_retry
            && self.runs() < self.policy.max_attempts
            && self.sends < self.policy.max_attempts + MAX_EXTRA_SENDS
    }

    /// Whether a hedged send is allowed while the next send is slow to respond.
    #[must_use]
    pub const fn allows_hedge(&self) -> bool {
        self.policy.repeatable && self.runs() + 1 < self.policy.max_attempts
    }

    /// The number of completed sends.
    #[must_use]
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the next send must be covered by the retry budget.
    #[must_use]
    pub const fn needs_retry_budget(&self) -> bool {
        self.reached_count > 0 || self.held_responses > 0
    }

    /// Whether the request may have run or may still run, provided that no response was forwarded.
    #[must_use]
    pub const fn ran(&self) -> Ran {
        if self.possible_runs == 0 && self.open_count == 0 { Ran::No } else { Ran::Unknown }
    }

    /// The result code when no further send is made. `deadline_exceeded` is true if the request's
    /// deadline has passed.
    #[must_use]
    pub const fn final_code(&self, deadline_exceeded: bool) -> ResultCode {
        match (self.ran(), self.last_outcome) {
            (Ran::No, None) => ResultCode::NoUpstream,
            (Ran::No, Some(_)) => ResultCode::UpstreamNotReached,
            (_, Some(SendOutcome::InvalidResponse)) => ResultCode::UpstreamBadAnswer,
            (_, Some(SendOutcome::TooLarge)) => ResultCode::AnswerTooLarge,
            (_, Some(SendOutcome::TimedOut)) => ResultCode::UpstreamTimeout,
            _ if deadline_exceeded => ResultCode::UpstreamTimeout,
            _ => ResultCode::UpstreamLost,
        }
    }
}
