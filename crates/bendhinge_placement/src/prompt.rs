//! Prompts as chains of parts.

/// A part of a prompt, by the number that its callers give it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Which one.
    pub id: PartId,
    /// Its length.
    pub tokens: u32,
}

/// The parts of a prompt in order. The last belongs to the request itself; those before it are
/// shared with other requests.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    parts: Vec<PromptPart>,
}

impl Prompt {
    /// A prompt of `parts`.
    #[must_use]
    pub const fn new(parts: Vec<PromptPart>) -> Self {
        Self { parts }
    }

    /// The parts that other requests share.
    #[must_use]
    pub fn shared(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// What the request is about: the last shared part, or else its own.
    #[must_use]
    pub fn subject(&self) -> Option<PartId> {
        self.shared().last().or(self.parts.last()).map(|part| part.id)
    }

    /// Tokens of the shared parts.
    #[must_use]
    pub fn shared_tokens(&self) -> u32 {
        self.shared().iter().map(|part| part.tokens).sum()
    }

    /// Tokens of all parts.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.parts.iter().map(|part| part.tokens).sum()
    }
}
