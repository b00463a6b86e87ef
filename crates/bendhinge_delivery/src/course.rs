//! The course of one request over its attempts: whether it may be sent again, and what can be
//! said of it in the end.

use bendhinge_codes::{Ran, ResultCode};

/// How a send ended without an answer that is passed back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// No connection was made.
    NotConnected,
    /// The connection closed before a byte was written.
    NotSent,
    /// The upstream said that it did not run the request.
    Rejected,
    /// Another upstream was found at the address, which did not run it.
    Replaced,
    /// The connection was lost after some of the request may have been read.
    Lost,
    /// The upstream gave no answer in the time that it had.
    Silent,
    /// What came back was no answer to this request.
    Spoilt,
    /// The upstream answered that it failed; that answer is kept.
    Failed,
    /// It was given up before its end, since another send of the request was answered.
    Overtaken,
}

impl SendEnd {
    /// Whether it is certain that the request did not run there and will not.
    #[must_use]
    pub const fn definitely_not_run(self) -> bool {
        matches!(self, Self::NotConnected | Self::NotSent | Self::Rejected | Self::Replaced)
    }

    /// Whether the request reached an upstream, which counts against the budget for sending
    /// requests again.
    #[must_use]
    pub const fn arrived(self) -> bool {
        !matches!(self, Self::NotConnected | Self::NotSent)
    }

    /// The word for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::NotSent => "not_sent",
            Self::Rejected => "rejected",
            Self::Replaced => "replaced",
            Self::Lost => "lost",
            Self::Silent => "silent",
            Self::Spoilt => "spoilt",
            Self::Failed => "failed",
            Self::Overtaken => "overtaken",
        }
    }
}

/// What a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CourseRules {
    /// Whether it may be sent again although it may have run.
    pub repeatable: bool,
    /// On how many upstreams it may run.
    pub attempts: u32,
}

/// Sends beyond the attempts that are allowed for upstreams that surely did not run it.
const SPARE_SENDS: u32 = 2;

/// The course so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Course {
    rules: CourseRules,
    sends: u32,
    possible_runs: u32,
    arrivals: u32,
    last: Option<SendEnd>,
}

impl Course {
    /// The course of a request that was not sent yet.
    #[must_use]
    pub const fn new(rules: CourseRules) -> Self {
        Self { rules, sends: 0, possible_runs: 0, arrivals: 0, last: None }
    }

    /// Notes how a send ended; `true` if another may follow, budget permitting.
    pub const fn ended(&mut self, end: SendEnd) -> bool {
        self.sends += 1;
        self.last = Some(end);
        if end.arrived() {
            self.arrivals += 1;
        }
        if !end.definitely_not_run() {
            self.possible_runs += 1;
        }
        self.may_go_on()
    }

    /// Whether it may be sent, by what is known of it.
    #[must_use]
    pub const fn may_go_on(&self) -> bool {
        let harmless = self.possible_runs == 0 || self.rules.repeatable;
        harmless && self.possible_runs < self.rules.attempts && self.sends < self.rules.attempts + SPARE_SENDS
    }

    /// Whether a further send could follow if the next one ends without an answer: then, if that is
    /// long in coming, one may be made beside it.
    #[must_use]
    pub const fn has_spare_run(&self) -> bool {
        self.rules.repeatable && self.possible_runs + 1 < self.rules.attempts
    }

    /// How many sends there were.
    #[must_use]
    pub const fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the next send would be beyond the first that arrived, and so needs a place in the
    /// budget.
    #[must_use]
    pub const fn needs_budget(&self) -> bool {
        self.arrivals > 0
    }

    /// What is known of whether the request ran, none of its answers having been passed back.
    #[must_use]
    pub const fn ran(&self) -> Ran {
        if self.possible_runs == 0 { Ran::No } else { Ran::Unknown }
    }

    /// What the caller is told when the request is given up. `time_is_over` says that its time
    /// was.
    #[must_use]
    pub const fn final_code(&self, time_is_over: bool) -> ResultCode {
        match (self.possible_runs, self.last) {
            (0, None) => ResultCode::NoUpstream,
            (0, Some(_)) => ResultCode::UpstreamNotReached,
            (_, Some(SendEnd::Spoilt)) => ResultCode::UpstreamBadAnswer,
            (_, Some(SendEnd::Silent)) => ResultCode::UpstreamTimeout,
            _ if time_is_over => ResultCode::UpstreamTimeout,
            _ => ResultCode::UpstreamLost,
        }
    }
}
