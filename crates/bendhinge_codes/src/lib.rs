//! Numbered result codes, used in responses, logs and command output.
//!
//! Every code is declared once, in [`ResultCode`]; the table in `docs/RESULT-CODES.md` is
//! generated from that declaration by [`markdown_table`] and checked in CI.

mod code;
mod status;
mod table;

pub use code::ResultCode;
pub use status::{ExitStatus, Ran};
pub use table::markdown_table;
