//! Parsing of INI documents and typed access to their values.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashSet};
use std::fmt::{Display, Write as _};
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use ini_core::{Item, Parser};

use crate::fault::{Fault, Faults};
use crate::schema::{Key, Schema, SectionKind, closest_name};
use crate::values::{ByteCount, Millis, NonNegativeNumber, PositiveNumber};

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
    /// Part of the title after the dot; empty if the kind takes no name.
    pub name: String,
    /// Line number of the title.
    pub line: u32,
    entries: Vec<Entry>,
}

impl Section {
    /// Returns the title as written in the file, without brackets.
    #[must_use]
    pub fn title(&self) -> String {
        if self.kind.named { format!("{}.{}", self.kind.kind, self.name) } else { self.kind.kind.to_owned() }
    }

    fn has_title(&self, title: &str) -> bool {
        let (kind, name) = title.split_once('.').unwrap_or((title, ""));
        self.kind.kind == kind && self.name == name
    }

    /// Returns the value of `key` as text, or its default; `None` if it has neither.
    #[must_use]
    pub fn text(&self, key: &str) -> Option<&str> {
        let found = self.entries.iter().find(|entry| entry.key.name == key);
        match found {
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
        let found = self.entries.iter().find(|entry| entry.key.name == key);
        found.map_or(self.line, |entry| entry.line)
    }
}

/// Reads the file at `path` and calls `parse` with the file's name, for faults, and its text.
pub fn read_file<T>(path: &Path, parse: impl FnOnce(&str, &str) -> Result<T, Faults>) -> Result<T, Faults> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| Faults::unreadable(&file, &error))?;
    parse(&file, &text)
}

/// A parsed document, with the faults found so far.
///
/// Values are validated when they are read; call [`Document::finish`] after reading all of them.
#[derive(Debug)]
pub struct Document {
    file: String,
    sections: Vec<Section>,
    /// Titles of the sections, for detecting duplicates in constant time.
    titles: HashSet<String>,
    faults: RefCell<Vec<Fault>>,
}

impl Document {
    /// Parses `text` and records a fault for each line that the schema does not allow.
    #[must_use]
    pub fn parse(file: &str, text: &str, schema: &Schema) -> Self {
        let mut document = Self {
            file: file.to_owned(),
            sections: Vec::new(),
            titles: HashSet::new(),
            faults: RefCell::new(Vec::new()),
        };
        let mut parser = Parser::new(text).auto_trim(true);
        let mut skip_properties = true;
        while let Some(item) = parser.next() {
            // The parser counts lines from 0 and has already advanced to the next line.
            let line = parser.line();
            match item {
                Item::Section(title) => skip_properties = !document.open_section(schema, title, line),
                Item::Property(key, value) if !skip_properties => document.add_entry(key, value, line),
                Item::Property(key, _) if document.sections.is_empty() => {
                    document.add_fault(
                        line,
                        ResultCode::InvalidLine,
                        format!("'{key}' appears before the first section"),
                    );
                }
                Item::Error(text) => {
                    document.add_fault(
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

    /// Adds each absent unnamed section whose keys all have defaults.
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
            let hint = suggestion(closest_name(kind_name, schema.sections.iter().map(|kind| kind.kind)));
            self.add_fault(line, ResultCode::UnknownSection, format!("unknown section [{title}]{hint}"));
            return false;
        };
        if kind.named == name.is_empty() {
            let form = if kind.named { format!("[{kind_name}.NAME]") } else { format!("[{kind_name}]") };
            self.add_fault(line, ResultCode::UnknownSection, format!("[{title}] should be {form}"));
            return false;
        }
        if !self.titles.insert(title.to_owned()) {
            self.add_fault(line, ResultCode::RepeatedKey, format!("[{title}] appears twice; merge them"));
        }
        self.sections.push(Section { kind, name: name.to_owned(), line, entries: Vec::new() });
        true
    }

    fn add_entry(&mut self, name: &str, value: Option<&str>, line: u32) {
        let Some(section) = self.sections.last_mut() else { return };
        let title = section.title();
        let Some(key) = section.kind.key(name) else {
            let hint = suggestion(closest_name(name, section.kind.keys.iter().map(|key| key.name)));
            self.add_fault(line, ResultCode::UnknownKey, format!("unknown key '{name}' in [{title}]{hint}"));
            return;
        };
        let Some(value) = value else {
            self.add_fault(
                line,
                ResultCode::InvalidLine,
                format!("'{name}' has no value; write {name} = {}", key.form),
            );
            return;
        };
        if section.entries.iter().any(|entry| entry.key.name == name) {
            self.add_fault(
                line,
                ResultCode::RepeatedKey,
                format!("'{name}' is set twice in [{title}]; keep one"),
            );
            return;
        }
        section.entries.push(Entry { key, value: value.to_owned(), line });
    }

    fn check_required(&self, schema: &Schema) {
        for kind in schema.sections.iter().filter(|kind| kind.required) {
            if !self.sections.iter().any(|section| section.kind.kind == kind.kind) {
                let form = if kind.named { ".NAME" } else { "" };
                self.add_fault(
                    0,
                    ResultCode::MissingKey,
                    format!("section [{}{form}] is missing", kind.kind),
                );
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
                    self.add_fault(section.line, ResultCode::MissingKey, message);
                }
            }
        }
    }

    fn add_fault(&self, line: u32, code: ResultCode, message: String) {
        self.faults.borrow_mut().push(Fault { file: self.file.clone(), line, code, message });
    }

    /// Records a fault at the line of `key`, for checks beyond the parsing of a single value.
    pub fn add_fault_at(&self, section: &Section, key: &str, code: ResultCode, message: String) {
        self.add_fault(section.line_of(key), code, message);
    }

    /// Returns the sections of a kind, in file order.
    pub fn sections<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = &'a Section> {
        self.sections.iter().filter(move |section| section.kind.kind == kind)
    }

    /// Returns the section of a kind that takes no name.
    #[must_use]
    pub fn section(&self, kind: &str) -> Option<&Section> {
        self.sections.iter().find(|section| section.kind.kind == kind)
    }

    /// Parses the section's name; an invalid name is recorded as a fault.
    pub fn name<T: FromStr<Err: Display>>(&self, section: &Section) -> Option<T> {
        let parsed = section.name.parse::<T>();
        parsed.map_err(|error| self.add_fault(section.line, ResultCode::InvalidValue, error.to_string())).ok()
    }

    /// Parses the value of `key`; an invalid value is recorded as a fault. Missing required keys are
    /// recorded by [`Document::parse`].
    pub fn value<T: FromStr<Err: Display>>(&self, section: &Section, key: &str) -> Option<T> {
        let text = section.text(key)?;
        let parsed = text.parse::<T>();
        parsed
            .map_err(|error| {
                let form = section.kind.key(key).map_or("another value", |key| key.form);
                let message = format!("'{key} = {text}' in [{}]: {error}; write {form}", section.title());
                self.add_fault(section.line_of(key), ResultCode::InvalidValue, message);
            })
            .ok()
    }

    /// Parses the value of an optional key; an empty value gives `None`.
    pub fn optional<T: FromStr<Err: Display>>(&self, section: &Section, key: &str) -> Option<T> {
        if section.text(key).is_none_or(str::is_empty) { None } else { self.value(section, key) }
    }

    /// Parses a duration in milliseconds.
    pub fn millis(&self, section: &Section, key: &str) -> Option<Duration> {
        self.value::<Millis>(section, key).map(|millis| millis.0)
    }

    /// Parses a duration in seconds, written as a positive decimal number.
    pub fn seconds(&self, section: &Section, key: &str) -> Option<Duration> {
        self.positive_number(section, key).map(Duration::from_secs_f64)
    }

    /// Parses a positive decimal number.
    pub fn positive_number(&self, section: &Section, key: &str) -> Option<f64> {
        self.value::<PositiveNumber>(section, key).map(|number| number.0)
    }

    /// Parses a non-negative decimal number.
    pub fn non_negative_number(&self, section: &Section, key: &str) -> Option<f64> {
        self.value::<NonNegativeNumber>(section, key).map(|number| number.0)
    }

    /// Parses a size in bytes.
    pub fn byte_count(&self, section: &Section, key: &str) -> Option<usize> {
        self.value::<ByteCount>(section, key).map(|bytes| bytes.0)
    }

    /// Returns a secret; one that is too short is recorded as a fault.
    pub fn secret<'a>(&self, section: &'a Section, key: &str) -> Option<&'a str> {
        const MIN_LENGTH: usize = 16;
        let text = section.text(key)?;
        if text.len() < MIN_LENGTH {
            let message =
                format!("'{key}' has fewer than {MIN_LENGTH} characters; write a longer, random one");
            self.add_fault_at(section, key, ResultCode::InvalidValue, message);
            return None;
        }
        Some(text)
    }

    /// Sets `key` in the section titled `title`, adding the section if it does not exist.
    ///
    /// Unknown titles and keys are recorded as faults at line 0, since the change has no line in the
    /// file.
    pub fn set(&mut self, schema: &Schema, title: &str, key: &str, value: &str) {
        let position = self.sections.iter().position(|section| section.has_title(title));
        if position.is_none() && !self.open_section(schema, title, 0) {
            return;
        }
        let position = position.unwrap_or(self.sections.len() - 1);
        self.sections[position].entries.retain(|entry| entry.key.name != key);
        let section = self.sections.remove(position);
        self.sections.push(section);
        self.add_entry(key, Some(value), 0);
    }

    /// Removes the section titled `title`; returns `false` if it does not exist.
    pub fn remove(&mut self, title: &str) -> bool {
        let previous_count = self.sections.len();
        self.sections.retain(|section| !section.has_title(title));
        self.titles.remove(title);
        self.sections.len() < previous_count
    }

    /// Formats the document canonically: sections by kind and name, keys in schema order, without
    /// defaults and comments.
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

    /// Returns `value` if no fault was recorded, and otherwise all faults without duplicates.
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

fn suggestion(closest: Option<&str>) -> String {
    closest.map(|name| format!("; did you mean '{name}'?")).unwrap_or_default()
}
