//! Sends to each upstream that have no first event yet.
//!
//! An upstream that prefills a prompt delays the streams that it generates at the same time. Whether one pause of
//! a stream coincided with such a prefill is computed from two running totals for each upstream, so that nothing
//! is kept for sends that are over, and a pause of any length is covered exactly.

use bendhinge_ids::NameHash;
use rustc_hash::FxHashMap;

/// A number of requests and the tokens of their prompts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptWork {
    /// Number of requests.
    pub requests: u64,
    /// Number of tokens in all of their prompts.
    pub tokens: u64,
}

impl PromptWork {
    fn add_request(&mut self, tokens: u32) {
        self.requests += 1;
        self.tokens += u64::from(tokens);
    }

    const fn saturating_sub(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            tokens: self.tokens.saturating_sub(other.tokens),
        }
    }
}

/// Totals of the sends to one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SendTotals {
    /// All sends.
    pub started: PromptWork,
    /// Sends that had their first event or ended without one.
    pub prefilled: PromptWork,
}

impl SendTotals {
    /// Returns the sends that had no first event at some time between `earlier` and these totals.
    #[must_use]
    pub const fn outstanding_since(self, earlier: Self) -> PromptWork {
        self.started.saturating_sub(earlier.prefilled)
    }
}

#[derive(Debug, Default)]
struct UpstreamSends {
    totals: SendTotals,
    in_progress: usize,
}

/// The sends of one gateway, by upstream. Holds one entry for each upstream with a send in progress.
#[derive(Debug, Default)]
pub struct OutstandingSends {
    by_upstream: FxHashMap<NameHash, UpstreamSends>,
}

impl OutstandingSends {
    /// Records a send with a prompt of `tokens` tokens.
    pub fn start(&mut self, upstream: NameHash, tokens: u32) {
        let sends = self.by_upstream.entry(upstream).or_default();
        sends.in_progress += 1;
        sends.totals.started.add_request(tokens);
    }

    /// Records the first event of a send, or its end without one. Called once for each send.
    pub fn record_prefilled(&mut self, upstream: NameHash, tokens: u32) {
        if let Some(sends) = self.by_upstream.get_mut(&upstream) {
            sends.totals.prefilled.add_request(tokens);
        }
    }

    /// Records the end of a send. The totals of an upstream start again after its last send has ended, when no
    /// stream is left whose pauses they would explain.
    pub fn end(&mut self, upstream: NameHash) {
        let Some(sends) = self.by_upstream.get_mut(&upstream) else { return };
        sends.in_progress = sends.in_progress.saturating_sub(1);
        if sends.in_progress == 0 {
            self.by_upstream.remove(&upstream);
        }
    }

    /// Returns the totals of an upstream, which are zero without a send in progress there.
    #[must_use]
    pub fn totals(&self, upstream: NameHash) -> SendTotals {
        self.by_upstream.get(&upstream).map_or_else(SendTotals::default, |sends| sends.totals)
    }

    /// Returns the number of upstreams with sends in progress.
    #[must_use]
    pub fn upstream_count(&self) -> usize {
        self.by_upstream.len()
    }
}
