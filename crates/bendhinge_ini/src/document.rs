//! Reading a document and taking typed values from it.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashSet};
use std::fmt::{Display, Write as _};
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use ini_core::{Item, Parser};

use crate::fault::{Fault, Faults};
use crate::schema::{Key, Schema, SectionKind, nearest};
use crate::values::{Amount, ByteCount, Millis, Ratio};

#[derive(Debug)]
struct Entry {
    key: &'static Key,
    value: String,
    line: u32,
}

/// One section of a document.
#[derive(Debug)]
pub struct Section {
    kind: &'static SectionKind,
    /// The part of the title after the dot; empty where the kind has no name.
    pub name: String,
    /// The line of its title.
    pub line: u32,
    entries: Vec<Entry>,
}

impl Section {
    /// The title as written.
    #[must_use]
    pub fn title(&self) -> String {
        if self.kind.named { format!("{}.{}", self.kind.kind, self.name) } else { self.kind.kind.to_owned() }
    }

    fn is_titled(&self, title: &str) -> bool {
        let (kind, name) = title.split_once('.').unwrap_or((title, ""));
        self.kind.kind == kind && self.name == name
    }

    /// The value of `key` as text, or its default; `None` if neither is there.
    #[must_use]
    pub fn text(&self, key: &str) -> Option<&str> {
        let written = self.entries.iter().find(|entry| entry.key.name == key);
        match written {
            Some(entry) => Some(entry.value.as_str()),
            None => self.kind.key(key).and_then(|key| key.default),
        }
    }

    fn write_canonical(&self, text: &mut String) {
        // Writing to a String cannot fail.
        let _ = writeln!(text, "[{}]", self.title());
        for key in self.kind.keys {
            if let Some(entry) = self.entries.iter().find(|entry| entry.key.name == key.name) {
                let _ = writeln!(text, "{} = {}", key.name, entry.value);
            }
        }
    }

    fn line_of(&self, key: &str) -> u32 {
        let written = self.entries.iter().find(|entry| entry.key.name == key);
        written.map_or(self.line, |entry| entry.line)
    }
}

/// Reads the file at `path` and has `parse` check it, which is given the file's name for faults
/// and its text.
pub fn read_file<T>(path: &Path, parse: impl FnOnce(&str, &str) -> Result<T, Faults>) -> Result<T, Faults> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| Faults::unreadable(&file, &error))?;
    parse(&file, &text)
}

/// A document whose sections and keys are those of its schema.
///
/// Values are checked as they are taken; call [`Document::finish`] when all have been taken.
#[derive(Debug)]
pub struct Document {
    file: String,
    sections: Vec<Section>,
    /// Titles of the sections, for finding repeated ones among thousands.
    titles: HashSet<String>,
    faults: RefCell<Vec<Fault>>,
}

impl Document {
    /// Reads `text`, noting every line that the schema does not allow.
    #[must_use]
    pub fn parse(file: &str, text: &str, schema: &Schema) -> Self {
        let mut document = Self {
            file: file.to_owned(),
            sections: Vec::new(),
            titles: HashSet::new(),
            faults: RefCell::new(Vec::new()),
        };
        let mut parser = Parser::new(text).auto_trim(true);
        let mut skipping = true;
        while let Some(item) = parser.next() {
            // The parser's line counts from 0 and already stands on the next line.
            let line = parser.line();
            match item {
                Item::Section(title) => skipping = !document.open_section(schema, title, line),
                Item::Property(key, value) if !skipping => document.add_entry(key, value, line),
                Item::Property(key, _) if document.sections.is_empty() => {
                    document.fault(
                        line,
                        ResultCode::InvalidLine,
                        format!("'{key}' stands before any section"),
                    );
                }
                Item::Error(text) => {
                    document.fault(
                        line,
                        ResultCode::InvalidLine,
                        format!("'{text}' is not a section title; write [section]"),
                    );
                }
                Item::Property(..) | Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
            }
        }
        document.add_default_sections(schema);
        document.check_required(schema);
        document
    }

    /// Adds each section that may be left out because all its keys have defaults.
    fn add_default_sections(&mut self, schema: &Schema) {
        for kind in schema.sections.iter().filter(|kind| !kind.named) {
            let optional = kind.keys.iter().all(|key| key.default.is_some());
            if optional && self.section(kind.kind).is_none() {
                self.sections.push(Section { kind, name: String::new(), line: 0, entries: Vec::new() });
            }
        }
    }

    fn open_section(&mut self, schema: &Schema, title: &str, line: u32) -> bool {
        let (kind_name, name) = title.split_once('.').unwrap_or((title, ""));
        let Some(kind) = schema.kind(kind_name) else {
            let hint = suggestion(nearest(kind_name, schema.sections.iter().map(|kind| kind.kind)));
            self.fault(line, ResultCode::UnknownSection, format!("unknown section [{title}]{hint}"));
            return false;
        };
        if kind.named == name.is_empty() {
            let form = if kind.named { format!("[{kind_name}.NAME]") } else { format!("[{kind_name}]") };
            self.fault(line, ResultCode::UnknownSection, format!("[{title}] should be {form}"));
            return false;
        }
        if !self.titles.insert(title.to_owned()) {
            self.fault(line, ResultCode::RepeatedKey, format!("[{title}] stands twice; join the two"));
        }
        self.sections.push(Section { kind, name: name.to_owned(), line, entries: Vec::new() });
        true
    }

    fn add_entry(&mut self, name: &str, value: Option<&str>, line: u32) {
        let Some(section) = self.sections.last_mut() else { return };
        let title = section.title();
        let Some(key) = section.kind.key(name) else {
            let hint = suggestion(nearest(name, section.kind.keys.iter().map(|key| key.name)));
            self.fault(line, ResultCode::UnknownKey, format!("unknown key '{name}' in [{title}]{hint}"));
            return;
        };
        let Some(value) = value else {
            self.fault(
                line,
                ResultCode::InvalidLine,
                format!("'{name}' has no value; write {name} = {}", key.form),
            );
            return;
        };
        if section.entries.iter().any(|entry| entry.key.name == name) {
            self.fault(
                line,
                ResultCode::RepeatedKey,
                format!("'{name}' stands twice in [{title}]; keep one"),
            );
            return;
        }
        section.entries.push(Entry { key, value: value.to_owned(), line });
    }

    fn check_required(&self, schema: &Schema) {
        for kind in schema.sections.iter().filter(|kind| kind.required) {
            if !self.sections.iter().any(|section| section.kind.kind == kind.kind) {
                let form = if kind.named { ".NAME" } else { "" };
                self.fault(0, ResultCode::MissingKey, format!("section [{}{form}] is missing", kind.kind));
            }
        }
        for section in &self.sections {
            for key in section.kind.keys.iter().filter(|key| key.default.is_none()) {
                if section.text(key.name).is_none() {
                    let message = format!(
                        "'{}' is missing in [{}]; add {} = {}",
                        key.name,
                        section.title(),
                        key.name,
                        key.form
                    );
                    self.fault(section.line, ResultCode::MissingKey, message);
                }
            }
        }
    }

    fn fault(&self, line: u32, code: ResultCode, message: String) {
        self.faults.borrow_mut().push(Fault { file: self.file.clone(), line, code, message });
    }

    /// Notes a fault at the line of `key`, for checks that a single value cannot make.
    pub fn fault_at(&self, section: &Section, key: &str, code: ResultCode, message: String) {
        self.fault(section.line_of(key), code, message);
    }

    /// The sections of a kind, in the order of the file.
    pub fn sections<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Section> {
        self.sections.iter().filter(move |section| section.kind.kind == kind)
    }

    /// The one section of a kind without a name.
    #[must_use]
    pub fn section(&self, kind: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.kind.kind == kind)
    }

    /// The section's name as a typed name.
    pub fn name<T: FromStr<Err: Display>>(&self, section: &Section) -> Option<T> {
        let parsed = section.name.parse::<T>();
        parsed.map_err(|error| self.fault(section.line, ResultCode::InvalidValue, error.to_string())).ok()
    }

    /// The value of `key`, typed. A missing required key was noted when the document was read.
    pub fn value<T: FromStr<Err: Display>>(&self, section: &Section, key: &str) -> Option<T> {
        let text = section.text(key)?;
        let parsed = text.parse::<T>();
        parsed
            .map_err(|error| {
                let form = section.kind.key(key).map_or("another value", |key| key.form);
                let message = format!("'{key} = {text}' in [{}]: {error}; write {form}", section.title());
                self.fault(section.line_of(key), ResultCode::InvalidValue, message);
            })
            .ok()
    }

    /// The value of an optional key whose default is empty.
    pub fn optional<T: FromStr<Err: Display>>(&self, section: &Section, key: &str) -> Option<T> {
        if section.text(key).is_none_or(str::is_empty) { None } else { self.value(section, key) }
    }

    /// The value of a key that holds a span in milliseconds.
    pub fn millis(&self, section: &Section, key: &str) -> Option<Duration> {
        self.value::<Millis>(section, key).map(|millis| millis.0)
    }

    /// The value of a key that holds a span in seconds, as a positive decimal number.
    pub fn seconds(&self, section: &Section, key: &str) -> Option<Duration> {
        self.ratio(section, key).map(Duration::from_secs_f64)
    }

    /// The value of a key that holds a positive decimal number.
    pub fn ratio(&self, section: &Section, key: &str) -> Option<f64> {
        self.value::<Ratio>(section, key).map(|ratio| ratio.0)
    }

    /// The value of a key that holds a decimal number that may be zero.
    pub fn amount(&self, section: &Section, key: &str) -> Option<f64> {
        self.value::<Amount>(section, key).map(|amount| amount.0)
    }

    /// The value of a key that holds a size.
    pub fn byte_count(&self, section: &Section, key: &str) -> Option<usize> {
        self.value::<ByteCount>(section, key).map(|bytes| bytes.0)
    }

    /// The value of a key that holds a secret; one that is easily guessed is a fault.
    pub fn secret<'a>(&self, section: &'a Section, key: &str) -> Option<&'a str> {
        const SHORTEST: usize = 16;
        let text = section.text(key)?;
        if text.len() < SHORTEST {
            let message = format!("'{key}' has fewer than {SHORTEST} characters; write a longer, random one");
            self.fault_at(section, key, ResultCode::InvalidValue, message);
            return None;
        }
        Some(text)
    }

    /// Sets `key` of the section titled `title`, adding the section if it is not there.
    ///
    /// Unknown titles and keys are noted as faults, with the line 0 of a change that stands in
    /// no file.
    pub fn set(&mut self, schema: &Schema, title: &str, key: &str, value: &str) {
        let position = self.sections.iter().position(|section| section.is_titled(title));
        if position.is_none() && !self.open_section(schema, title, 0) {
            return;
        }
        let position = position.unwrap_or(self.sections.len() - 1);
        self.sections[position].entries.retain(|entry| entry.key.name != key);
        let section = self.sections.remove(position);
        self.sections.push(section);
        self.add_entry(key, Some(value), 0);
    }

    /// Removes the section titled `title`; `false` if it is not there.
    pub fn remove(&mut self, title: &str) -> bool {
        let before = self.sections.len();
        self.sections.retain(|section| !section.is_titled(title));
        self.titles.remove(title);
        self.sections.len() < before
    }

    /// The document in its one canonical form: sections by kind and name, keys in the order of
    /// the schema, only what was written, no comments.
    #[must_use]
    pub fn canonical(&self, schema: &Schema) -> String {
        let mut text = String::new();
        for kind in schema.sections {
            let mut sections: Vec<&Section> = self.sections(kind.kind).collect();
            sections.sort_by(|left, right| left.name.cmp(&right.name));
            for section in sections {
                section.write_canonical(&mut text);
            }
        }
        text
    }

    /// Gives `value` if no fault was noted, else all the faults.
    pub fn finish<T>(self, value: Option<T>) -> Result<T, Faults> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|fault| fault.line);
        let mut seen = BTreeSet::new();
        faults.retain(|fault| seen.insert((fault.line, fault.message.clone())));
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(Faults(faults)),
        }
    }
}

fn suggestion(near: Option<&str>) -> String {
    near.map(|name| format!("; did you mean '{name}'?")).unwrap_or_default()
}
