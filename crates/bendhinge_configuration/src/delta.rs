//! Section-level deltas between canonical documents, sent between routers for small changes.

use std::collections::BTreeMap;

use bendhinge_ids::Digest;
use serde::{Deserialize, Serialize};

/// The sections in which two canonical documents differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Digest of the document that the delta applies to.
    pub base: Digest,
    /// Digest of the resulting document.
    pub target: Digest,
    /// Titles of removed sections.
    pub removed: Vec<String>,
    /// Added and changed sections, each with its title line.
    pub changed: Vec<String>,
}

/// Why a delta cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta was computed from a different base document.
    #[error("the delta was computed from a different base document")]
    BaseMismatch,
    /// The resulting document does not have the target digest.
    #[error("the document that results from the delta does not match its target digest")]
    TargetMismatch,
}

impl Delta {
    /// Computes the delta from `from` to `to`, which must both be canonical.
    #[must_use]
    pub fn between(from: &str, to: &str) -> Self {
        let before = parse_sections(from);
        let after = parse_sections(to);
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

    /// Applies the delta to `from` and verifies the digest of the result.
    pub fn apply(&self, from: &str) -> Result<String, DeltaError> {
        if Digest::of(from.as_bytes()) != self.base {
            return Err(DeltaError::BaseMismatch);
        }
        let mut result = parse_sections(from);
        for title in &self.removed {
            result.remove(title.as_str());
        }
        for text in &self.changed {
            result.insert(section_title(text), text);
        }
        let text = join_canonical(&result);
        if Digest::of(text.as_bytes()) == self.target { Ok(text) } else { Err(DeltaError::TargetMismatch) }
    }

    /// Estimated encoded size in bytes.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        let texts = self.removed.iter().chain(&self.changed);
        texts.map(String::len).sum::<usize>() + size_of::<Digest>() * 2
    }
}

fn section_title(section: &str) -> &str {
    section.lines().next().unwrap_or_default().trim_matches(['[', ']'])
}

fn parse_sections(text: &str) -> BTreeMap<&str, &str> {
    let mut starts: Vec<usize> = text.match_indices('[').map(|(start, _)| start).collect();
    starts.retain(|start| *start == 0 || text.as_bytes()[start - 1] == b'\n');
    starts.push(text.len());
    starts
        .windows(2)
        .map(|pair| &text[pair[0]..pair[1]])
        .map(|section| (section_title(section), section))
        .collect()
}

/// Joins sections in canonical order: by kind in schema order, then by name.
fn join_canonical(sections: &BTreeMap<&str, &str>) -> String {
    let kinds = crate::SCHEMA.sections.iter().map(|kind| kind.kind);
    let of_kind = |kind| sections.iter().filter(move |(title, _)| title.split('.').next() == Some(kind));
    kinds.flat_map(of_kind).map(|(_, section)| *section).collect()
}
