//! Faults found in a document.

use std::fmt;

use bendhinge_codes::ResultCode;

/// One fault: where it is, which, and how to mend it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file as named on the command line.
    pub file: String,
    /// The line, from 1; 0 where the fault is that something is missing.
    pub line: u32,
    /// The result code.
    pub code: ResultCode,
    /// What is wrong and how to mend it.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}: {}", self.file, self.line, self.code, self.message)
    }
}

/// All faults of a document, in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// The one fault of a file that cannot be read.
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
