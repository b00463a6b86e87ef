//! What is sent between routers for a small change: the sections that differ.

use std::collections::BTreeMap;

use bendhinge_ids::Digest;
use serde::{Deserialize, Serialize};

/// The sections by which one canonical document differs from another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The document to which it applies.
    pub base: Digest,
    /// The document that results.
    pub target: Digest,
    /// Titles of sections that are gone.
    pub removed: Vec<String>,
    /// New and changed sections, each with its title line.
    pub changed: Vec<String>,
}

/// Why a delta cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It was made from another document.
    #[error("the delta was made from another document")]
    OtherBase,
    /// The result is not the document it was made for.
    #[error("the result has another digest than the delta states")]
    OtherTarget,
}

impl Delta {
    /// What turns `from` into `to`, both canonical.
    #[must_use]
    pub fn between(from: &str, to: &str) -> Self {
        let before = sections(from);
        let after = sections(to);
        let removed = before
            .keys()
            .filter(|title| !after.contains_key(*title))
            .map(|title| (*title).to_owned())
            .collect();
        let changed = after
            .iter()
            .filter(|(title, text)| before.get(*title) != Some(text))
            .map(|(_, text)| (*text).to_owned())
            .collect();
        Self { base: Digest::of(from.as_bytes()), target: Digest::of(to.as_bytes()), removed, changed }
    }

    /// Applies the delta to `from` and checks the result.
    pub fn apply(&self, from: &str) -> Result<String, DeltaError> {
        if Digest::of(from.as_bytes()) != self.base {
            return Err(DeltaError::OtherBase);
        }
        let mut result = sections(from);
        for title in &self.removed {
            result.remove(title.as_str());
        }
        for text in &self.changed {
            result.insert(title_of(text), text);
        }
        let text = join(&result);
        if Digest::of(text.as_bytes()) == self.target { Ok(text) } else { Err(DeltaError::OtherTarget) }
    }

    /// About how many bytes it takes to send.
    #[must_use]
    pub fn size(&self) -> usize {
        let texts = self.removed.iter().chain(&self.changed);
        texts.map(String::len).sum::<usize>() + size_of::<Digest>() * 2
    }
}

fn title_of(section: &str) -> &str {
    section.lines().next().unwrap_or_default().trim_matches(['[', ']'])
}

fn sections(text: &str) -> BTreeMap<&str, &str> {
    let mut starts: Vec<usize> = text.match_indices('[').map(|(start, _)| start).collect();
    starts.retain(|start| *start == 0 || text.as_bytes()[start - 1] == b'\n');
    starts.push(text.len());
    starts
        .windows(2)
        .map(|pair| &text[pair[0]..pair[1]])
        .map(|section| (title_of(section), section))
        .collect()
}

/// Joins sections in the canonical order: by kind as in the schema, then by name.
fn join(sections: &BTreeMap<&str, &str>) -> String {
    let kinds = crate::SCHEMA.sections.iter().map(|kind| kind.kind);
    let of_kind = |kind| sections.iter().filter(move |(title, _)| title.split('.').next() == Some(kind));
    kinds.flat_map(of_kind).map(|(_, section)| *section).collect()
}
