//! Prompts as sequences of parts.

/// Identifier of a prompt part, assigned by the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier of the part.
    pub id: PartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// The parts of a prompt in order. The last part is specific to the request; those before it are
/// shared with other requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    parts: Vec<PromptPart>,
}

impl Prompt {
    /// Creates a prompt from its parts.
    #[must_use]
    pub const fn new(parts: Vec<PromptPart>) -> Self {
        Self { parts }
    }

    /// Returns the parts that are shared with other requests.
    #[must_use]
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the key by which requests are grouped on an upstream: the last shared part, or
    /// the only part if none is shared.
    #[must_use]
    pub fn affinity_key(&self) -> Option<PartId> {
        self.shared().last().or(self.parts.last()).map(|part| part.id)
    }

    /// Returns the number of tokens in the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        total_tokens(self.shared())
    }

    /// Returns the number of tokens in all parts.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        total_tokens(&self.parts)
    }
}

/// Adds up tokens. Callers state them, so the sum may exceed the range.
fn total_tokens(parts: &[PromptPart]) -> u32 {
    parts.iter().fold(0, |sum, part| sum.saturating_add(part.tokens))
}
