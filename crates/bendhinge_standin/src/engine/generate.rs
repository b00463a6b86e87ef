//! Turns as callers send them, and the answers, which are a function of the turn alone.

use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use super::cache::PrefixHash;

/// A turn of a chat, as far as the stand-in reads it.
#[derive(Debug, Deserialize)]
pub(super) struct Turn {
    pub(super) model: String,
    pub(super) messages: Vec<Message>,
    #[serde(default)]
    pub(super) stream: bool,
    #[serde(default = "default_tokens")]
    pub(super) max_tokens: u32,
}

fn default_tokens() -> u32 {
    16
}

/// One message of a chat.
#[derive(Debug, Deserialize)]
pub(super) struct Message {
    pub(super) role: String,
    pub(super) content: String,
}

impl Turn {
    /// The prefixes of the conversation, from short to long.
    pub(super) fn prefixes(&self) -> Vec<PrefixHash> {
        let mut prefix = PrefixHash::EMPTY;
        let mut prefixes = Vec::with_capacity(self.messages.len());
        for message in &self.messages {
            prefix = prefix.with(&message.role, &message.content);
            prefixes.push(prefix);
        }
        prefixes
    }

    /// Tokens of the prompt: its words.
    pub(super) fn prompt_tokens(&self) -> u64 {
        let words = self.messages.iter().map(|message| message.content.split_whitespace().count());
        words.sum::<usize>() as u64
    }

    /// The answer's tokens.
    pub(super) fn tokens(&self) -> Vec<String> {
        let last = self.messages.last().map_or("", |message| message.content.as_str());
        tokens(last, self.max_tokens)
    }
}

fn tokens(last_message: &str, count: u32) -> Vec<String> {
    let tag = xxh3_64(last_message.as_bytes());
    (0..count).map(|number| format!("{tag:08x}.{number} ")).collect()
}

/// The whole answer that any engine gives to a turn whose last message is `last_message`; a
/// load generator compares what it received with it.
#[must_use]
pub fn expected_answer(last_message: &str, max_tokens: u32) -> String {
    tokens(last_message, max_tokens).concat()
}
