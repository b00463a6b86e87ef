//! What the fleet together saw of upstreams that fail.
//!
//! In a large fleet each router sends an upstream a request every few seconds, and all would learn
//! one by one that it is lost. So routers tell each other of failures. One router's report is
//! not enough, since its own links may be what fails: an upstream is suspected when several had a
//! failure there and nobody is known to have had an answer since.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::UpstreamFailure;

/// How long a failure counts: some rounds of exchanges, so that it reaches everybody.
const COUNTS_FOR: Duration = Duration::from_secs(3);
/// Routers that must have had a failure. Two can both be at fault, but then others have answers.
const WITNESSES: usize = 2;
/// Of so many routers the last failure is remembered, beyond which more prove nothing.
const WITNESSES_KEPT: usize = 4;

/// A failure that a router had at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Witness {
    /// Which router, by a hash of its address.
    pub router: NameHash,
    /// As of when the upstream surely did not answer it: for silence, when the request was sent, so
    /// that any answer since then, as from behind a queue, outweighs it.
    pub at: Instant,
}

/// What is known of one upstream that failed lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Doubt {
    /// When anybody last had an answer of it.
    pub answered: Option<Instant>,
    /// Who had failures.
    pub witnesses: Vec<Witness>,
}

impl Doubt {
    /// Whether enough routers had a failure since anybody had an answer.
    fn is_suspect(&self, now: Instant) -> bool {
        let counts = |witness: &&Witness| {
            now.since(witness.at) < COUNTS_FOR && self.answered.is_none_or(|answered| witness.at > answered)
        };
        self.witnesses.iter().filter(counts).count() >= WITNESSES
    }

    fn add(&mut self, heard: Witness) {
        match self.witnesses.iter_mut().find(|known| known.router == heard.router) {
            Some(known) => known.at = known.at.max(heard.at),
            None => self.witnesses.push(heard),
        }
        if self.witnesses.len() > WITNESSES_KEPT {
            self.witnesses.sort_unstable_by_key(|witness| std::cmp::Reverse(witness.at));
            self.witnesses.truncate(WITNESSES_KEPT);
        }
    }
}

/// What changed for an upstream by what was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing.
    Unchanged,
    /// It is suspected now.
    Suspect,
    /// Somebody had an answer: it is suspected no more.
    Cleared,
}

/// The fleet's evidence as one router knows it.
#[derive(Debug)]
pub struct Evidence {
    /// This router, as others know it.
    own: NameHash,
    doubts: FxHashMap<NameHash, Doubt>,
    /// This router's own last answers, also of upstreams that nobody doubts: they outweigh what it
    /// is told.
    own_answers: FxHashMap<NameHash, Instant>,
}

impl Evidence {
    /// No evidence yet, of the router that others know as `own`.
    #[must_use]
    pub fn new(own: NameHash) -> Self {
        Self { own, doubts: FxHashMap::default(), own_answers: FxHashMap::default() }
    }

    /// Notes this router's own answer.
    pub fn answered(&mut self, upstream: NameHash, now: Instant) {
        self.own_answers.insert(upstream, now);
        if let Some(doubt) = self.doubts.get_mut(&upstream) {
            doubt.answered = doubt.answered.max(Some(now));
        }
    }

    /// Notes a failure that this router had with a request that was sent at `sent`.
    pub fn failed(&mut self, upstream: NameHash, failure: UpstreamFailure, sent: Instant, now: Instant) {
        let at = match failure {
            UpstreamFailure::Silent => sent,
            UpstreamFailure::NotConnected | UpstreamFailure::Lost => now,
            // It answered.
            UpstreamFailure::Shed | UpstreamFailure::Failed => return self.answered(upstream, now),
            // Another did.
            UpstreamFailure::Replaced => return,
        };
        let witness = Witness { router: self.own, at };
        self.doubt(upstream).add(witness);
    }

    fn doubt(&mut self, upstream: NameHash) -> &mut Doubt {
        let answered = self.own_answers.get(&upstream).copied();
        self.doubts.entry(upstream).or_insert_with(|| Doubt { answered, witnesses: Vec::new() })
    }

    /// Takes in what another router knows of an upstream.
    pub fn hear(&mut self, upstream: NameHash, heard: &Doubt, now: Instant) -> Verdict {
        let doubt = self.doubt(upstream);
        let was_suspect = doubt.is_suspect(now);
        doubt.answered = doubt.answered.max(heard.answered);
        heard.witnesses.iter().for_each(|witness| doubt.add(*witness));
        match (was_suspect, doubt.is_suspect(now)) {
            (false, true) => Verdict::Suspect,
            (true, false) => Verdict::Cleared,
            _ => Verdict::Unchanged,
        }
    }

    /// What is known of upstreams that failed lately, to tell others.
    pub fn doubts(&self, now: Instant) -> impl Iterator<Item = (NameHash, &Doubt)> {
        let recent = move |doubt: &Doubt| doubt.witnesses.iter().any(|one| now.since(one.at) < COUNTS_FOR);
        self.doubts.iter().filter(move |(_, doubt)| recent(doubt)).map(|(upstream, doubt)| (*upstream, doubt))
    }

    /// Forgets failures that count no more, and upstreams that are gone.
    pub fn prune(&mut self, listed: impl Fn(NameHash) -> bool, now: Instant) {
        self.own_answers.retain(|upstream, _| listed(*upstream));
        self.doubts.retain(|upstream, doubt| {
            doubt.witnesses.retain(|witness| now.since(witness.at) < COUNTS_FOR);
            listed(*upstream) && !doubt.witnesses.is_empty()
        });
    }
}
