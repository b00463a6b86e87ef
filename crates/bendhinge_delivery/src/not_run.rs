//! Evidence that a send did not run its request.

use bendhinge_codes::{Ran, ResultCode};

/// Why a send did not run its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// No connection was established.
    NotConnected,
    /// The sender no longer sent it.
    Withheld,
    /// The connection was closed before a byte was written.
    Returned,
    /// The upstream reported that it did not run the request.
    Rejected,
    /// The address belongs to another upstream, which did not run the request.
    Replaced,
    /// The router to which it was forwarded reported that no upstream ran it.
    Refused,
}

/// Evidence that a send did not run its request and will not.
///
/// Only what shows that makes one: the request itself, which cannot be written any more once it is consumed, or the
/// response to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotRun(NotRunReason);

/// What the head of an upstream's response says of the request.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamReport {
    /// The status of the response.
    pub status: u16,
    /// Whether the response is to this request.
    pub is_to_request: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_executed: bool,
    /// Whether the upstream states that the request is for another one.
    pub is_misdirected: bool,
}

impl UpstreamReport {
    /// Whether an upstream may reject a request with the status. Others are results of a run, whatever else the response
    /// says.
    const fn has_rejection_status(self) -> bool {
        matches!(self.status, 400..=499 | 503)
    }
}

impl NotRun {
    /// No connection was established for `_request`.
    pub fn not_connected<R>(_request: R) -> Self {
        Self(NotRunReason::NotConnected)
    }

    /// `_request` is not sent any more.
    pub fn withheld<R>(_request: R) -> Self {
        Self(NotRunReason::Withheld)
    }

    /// The connection returned `_request` unwritten.
    pub fn returned<R>(_request: R) -> Self {
        Self(NotRunReason::Returned)
    }

    /// Returns the evidence in a response, if it is any.
    #[must_use]
    pub const fn reported(report: UpstreamReport) -> Option<Self> {
        if !report.is_to_request || !report.has_rejection_status() {
            return None;
        }
        if report.is_misdirected {
            return Some(Self(NotRunReason::Replaced));
        }
        if report.not_executed { Some(Self(NotRunReason::Rejected)) } else { None }
    }

    /// Returns the evidence in the code with which another router refuses a request that was forwarded to it, if it is any.
    #[must_use]
    pub fn refused(code: ResultCode) -> Option<Self> {
        (code.ran() == Some(Ran::No)).then_some(Self(NotRunReason::Refused))
    }

    /// Returns what it shows.
    #[must_use]
    pub const fn reason(self) -> NotRunReason {
        self.0
    }
}
