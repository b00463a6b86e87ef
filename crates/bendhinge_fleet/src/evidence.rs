//! What the fleet together saw of upstreams that fail.
//!
//! In a large fleet each router sends an upstream a request every few seconds, and all would learn
//! one by one that it is lost. So routers tell each other of failures. One router's report is
//! not enough, since its own links may be what fails: an upstream is suspected when several had a
//! failure there and nobody is known to have had an answer since.

use std::time::Duration;

use bendhinge_ids::{Instant, NameHash};
use rustc_hash::FxHashMap;

use crate::{UpdateSource, UpstreamFailure};

/// How long a failure counts: some rounds of exchanges, so that it reaches everybody.
const COUNTS_FOR: Duration = Duration::from_secs(3);
/// Routers that must have had a failure. Two can both be at fault, but then others have answers.
const WITNESSES: usize = 2;
/// For how long a doubt is told after it changed: two rounds of exchanges, so that one that fails costs
/// nothing. When half of 250 upstreams fail a part of their requests, as many doubts are held for seconds:
/// told in each message they were 5,300 a second by the first of 295 routers in rank, which sent 0.5 MB a
/// second then.
const TOLD_FOR: Duration = Duration::from_millis(900);
/// A failure that is so much later than the one known of the same router is a change.
const RENEWED_AFTER: Duration = Duration::from_secs(1);

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
        self.strength(now) == WITNESSES
    }

    /// How many routers had a failure since anybody had an answer; more than prove it count as those.
    fn strength(&self, now: Instant) -> usize {
        let counts = |witness: &&Witness| {
            now.since(witness.at) < COUNTS_FOR && self.answered.is_none_or(|answered| witness.at > answered)
        };
        self.witnesses.iter().filter(counts).count().min(WITNESSES)
    }

    /// Whether others have to know how this doubt stands at `now`, who know how it stood `before`: whether
    /// nobody, one or several had a failure, and that it still is so.
    fn differs(&self, before: &Self, now: Instant) -> bool {
        let latest = |doubt: &Self| doubt.witnesses.iter().map(|witness| witness.at).max();
        let is_renewed =
            latest(self).zip(latest(before)).is_some_and(|(now, before)| now.since(before) > RENEWED_AFTER);
        self.strength(now) != before.strength(now) || is_renewed
    }

    fn add(&mut self, heard: Witness) {
        match self.witnesses.iter_mut().find(|known| known.router == heard.router) {
            Some(known) => known.at = known.at.max(heard.at),
            None => self.witnesses.push(heard),
        }
        // If an answer is later than all but one of the last ones, it is later than all others too.
        if self.witnesses.len() > WITNESSES {
            self.witnesses.sort_unstable_by_key(|witness| std::cmp::Reverse(witness.at));
            self.witnesses.truncate(WITNESSES);
        }
    }
}

/// A doubt with how it stood when it last changed.
#[derive(Debug)]
struct VersionedValue {
    doubt: Doubt,
    /// How it stood when it last changed, which is what others were told.
    told: Doubt,
    changed: Option<Change>,
}

/// When a doubt last changed, and by whom.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Instant,
    /// Who told of it, unless that one has to learn how the doubt stands.
    by: UpdateSource,
}

impl VersionedValue {
    /// Notes whether others have to know how the doubt stands now, as `by` has it.
    fn note_change(&mut self, by: UpdateSource, now: Instant) {
        if self.doubt.differs(&self.told, now) {
            self.told.clone_from(&self.doubt);
            self.changed = Some(Change { at: now, by });
        }
    }

    fn is_told(&self, listener: UpdateSource, now: Instant) -> bool {
        self.changed.is_some_and(|change| change.by != listener && now.since(change.at) < TOLD_FOR)
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
    doubts: FxHashMap<NameHash, VersionedValue>,
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
        if let Some(held) = self.doubts.get_mut(&upstream) {
            held.doubt.answered = held.doubt.answered.max(Some(now));
            held.note_change(UpdateSource::Local, now);
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
        let held = self.held(upstream);
        held.doubt.add(witness);
        held.note_change(UpdateSource::Local, now);
    }

    fn held(&mut self, upstream: NameHash) -> &mut VersionedValue {
        let answered = self.own_answers.get(&upstream).copied();
        let none = || Doubt { answered, witnesses: Vec::new() };
        self.doubts.entry(upstream).or_insert_with(|| VersionedValue {
            doubt: none(),
            told: none(),
            changed: None,
        })
    }

    /// Takes in what another router, `from`, knows of an upstream.
    pub fn hear(&mut self, upstream: NameHash, heard: &Doubt, from: UpdateSource, now: Instant) -> Verdict {
        let held = self.held(upstream);
        let doubt = &mut held.doubt;
        let was_suspect = doubt.is_suspect(now);
        doubt.answered = doubt.answered.max(heard.answered);
        heard.witnesses.iter().for_each(|witness| doubt.add(*witness));
        let is_suspect = doubt.is_suspect(now);
        let is_news_to_sender = doubt.strength(now) != heard.strength(now);
        held.note_change(from, now);
        if is_news_to_sender {
            held.changed = Some(Change { at: now, by: UpdateSource::Local });
        }
        match (was_suspect, is_suspect) {
            (false, true) => Verdict::Suspect,
            (true, false) => Verdict::Cleared,
            _ => Verdict::Unchanged,
        }
    }

    /// What changed lately of upstreams that fail, to tell `listener`.
    pub fn doubts_for(
        &self,
        listener: UpdateSource,
        now: Instant,
    ) -> impl Iterator<Item = (NameHash, &Doubt)> {
        let told = self.doubts.iter().filter(move |(_, held)| held.is_told(listener, now));
        told.map(|(upstream, held)| (*upstream, &held.doubt))
    }

    /// Forgets failures that count no more, and upstreams that are gone.
    pub fn prune(&mut self, listed: impl Fn(NameHash) -> bool, now: Instant) {
        self.own_answers.retain(|upstream, _| listed(*upstream));
        self.doubts.retain(|upstream, VersionedValue { doubt, .. }| {
            doubt.witnesses.retain(|witness| now.since(witness.at) < COUNTS_FOR);
            listed(*upstream) && !doubt.witnesses.is_empty()
        });
    }
}
