//! Parsing and validation of INI documents against a schema. All faults of a document are reported
//! at once, each with its file, line, result code and fix.
//!
//! The reference pages in `docs/` are generated from the same schemas that validate the documents.

mod document;
mod fault;
mod reference;
mod schema;
mod values;

pub use document::{Document, Section, read_file};
pub use fault::{Fault, Faults};
pub use reference::markdown_reference;
pub use schema::{Key, Schema, SectionKind};
pub use values::{ByteCount, Millis, NonNegativeNumber, PositiveNumber};
