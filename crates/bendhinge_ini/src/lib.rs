//! INI documents checked against a schema: every fault in one run, each with its file, line,
//! key, result code and mend.
//!
//! The schema is data, so that the reference pages in `docs/` are generated from the same
//! declaration that the check uses.

mod document;
mod fault;
mod reference;
mod schema;
mod values;

pub use document::{Document, Section, read_file};
pub use fault::{Fault, Faults};
pub use reference::markdown_reference;
pub use schema::{Key, Schema, SectionKind};
pub use values::{Amount, ByteCount, Millis, Ratio};
