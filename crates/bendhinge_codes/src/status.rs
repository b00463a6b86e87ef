//! What became of a request, and how a command ended.

use std::fmt;
use std::process::{ExitCode, Termination};

/// Whether an upstream ran a request: three outcomes, never two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// An upstream answered it.
    Yes,
    /// No byte of it can have reached an upstream.
    No,
    /// Some of it may have reached an upstream, which did not say what became of it.
    Unknown,
}

impl Ran {
    /// The word used in the `x-bendhinge-ran` header and in error bodies.
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

/// How a command of this project ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// All was done (0).
    Success,
    /// The command ran and found a fault in what it was given (1).
    Failure,
    /// The command could not be run as it was called (2).
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
