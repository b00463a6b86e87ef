//! Errors found in a document.

use std::fmt;

use bendhinge_codes::ResultCode;

/// An error in a document, with its location, result code and fix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// File name as given by the caller.
    pub file: String,
    /// Line number, from 1; 0 if the fault has no line, such as a missing section.
    pub line: u32,
    /// Result code for the kind of fault.
    pub code: ResultCode,
    /// Description of the fault and how to fix it.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}: {}", self.file, self.line, self.code, self.message)
    }
}

/// All faults of a document, ordered by line.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// Creates the fault for a file that cannot be read.
    #[must_use]
    pub fn unreadable(file: &str, error: &std::io::Error) -> Self {
        let message = format!("{error}; check the path and its permissions");
        Self(vec![Fault { file: file.to_owned(), line: 0, code: ResultCode::UnreadableFile, message }])
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            fault.fmt(formatter)?;
        }
        Ok(())
    }
}
