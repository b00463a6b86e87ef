//! Request execution status and command exit status.

use std::fmt;
use std::process::{ExitCode, Termination};

/// Whether an upstream ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// An upstream responded to the request.
    Yes,
    /// The request did not run and will not.
    No,
    /// The request may have reached an upstream, which did not report the outcome.
    Unknown,
}

impl Ran {
    /// The value used in the `x-bendhinge-ran` header and in error bodies.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Yes => "yes",
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded (0).
    Success,
    /// The command found an error in its input (1).
    Failure,
    /// The command line was invalid (2).
    Usage,
}

impl Termination for ExitStatus {
    fn report(self) -> ExitCode {
        match self {
            Self::Success => ExitCode::from(0),
            Self::Failure => ExitCode::from(1),
            Self::Usage => ExitCode::from(2),
        }
    }
}
