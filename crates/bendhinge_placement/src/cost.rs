//! The upstream of least cost: what it would have to read, what is ahead there, and how often it
//! fails, with a limit on its load.

use std::cmp::Reverse;

use bendhinge_ids::{Instant, NameHash};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{KeptParts, PartId, Prompt};

/// An upstream that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Which one.
    pub upstream: NameHash,
    /// Requests believed to be there.
    pub load: f32,
    /// The recent share of its requests that failed, from 0 to 1.
    pub failing: f32,
    /// Whether it takes new work; one that does not may still be a source.
    pub takes_work: bool,
}

/// One in so many upstreams is in the group of homes of subjects that share a first part.
const HOMES_PER_GROUP: usize = 4;

/// What things cost, in tokens to read.
#[derive(Clone, Copy, Debug)]
pub struct CostRules {
    /// A request that is ahead.
    pub per_request: f32,
    /// A failure that is certain.
    pub per_failure: f32,
    /// The part of the reading that is left at the subject's home, where other routers send it
    /// too, when this router has not sent it there itself.
    pub unread_at_home: f32,
    /// The part of the reading that fetching costs instead.
    pub fetched: f32,
    /// Fetching fewer tokens than this is not worth it.
    pub least_fetched: u32,
    /// The load that an upstream may have as a multiple of the mean.
    pub bound: f32,
    /// Requests that it may have above that.
    pub bound_slack: f32,
}

impl Default for CostRules {
    fn default() -> Self {
        Self {
            per_request: 60.0,
            per_failure: 4_000.0,
            unread_at_home: 0.1,
            fetched: 0.3,
            least_fetched: 400,
            bound: 1.5,
            bound_slack: 2.0,
        }
    }
}

/// Why an upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceReason {
    /// It is the home of the request's subject.
    Home,
    /// It is believed to keep the prompt's parts.
    Kept,
    /// It costs least although it keeps nothing.
    LeastCost,
}

impl ChoiceReason {
    /// The word for logs and counters.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Home => "home",
            Self::Kept => "kept",
            Self::LeastCost => "least_cost",
        }
    }
}

/// A choice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The position of the chosen candidate.
    pub chosen: usize,
    /// The position of one from which it should fetch what it lacks.
    pub fetch_from: Option<usize>,
    /// Why it was chosen.
    pub reason: ChoiceReason,
    /// What it costs, in tokens.
    pub cost: f32,
}

/// A choice to be made.
#[derive(Clone, Copy, Debug)]
pub struct Question<'a> {
    /// The prompt, if upstreams of the pool keep what they read.
    pub prompt: Option<&'a Prompt>,
    /// Whether an upstream can fetch from another.
    pub can_fetch: bool,
    /// A number that is another for each request, for breaking ties.
    pub tie_breaker: u64,
}

/// The candidate of least cost; `None` if none takes work.
#[must_use]
pub fn choose(
    rules: &CostRules,
    question: &Question<'_>,
    candidates: &[Candidate],
    kept: &KeptParts,
    now: Instant,
) -> Option<Choice> {
    let limit = load_limit(rules, candidates);
    let home = home(question, candidates);
    let chooser = Chooser { rules, question, candidates, kept, now, home };
    let working = || (0..candidates.len()).filter(|index| candidates[*index].takes_work);
    let within = working().filter(|index| candidates[*index].load < limit);
    let best = |among: &mut dyn Iterator<Item = usize>| {
        among.map(|index| chooser.weigh(index)).min_by(|left, right| {
            left.cost
                .total_cmp(&right.cost)
                .then_with(|| chooser.tie(left.chosen).cmp(&chooser.tie(right.chosen)))
        })
    };
    best(&mut { within }).or_else(|| best(&mut working()))
}

/// The load from which an upstream gets no more while others are below it.
fn load_limit(rules: &CostRules, candidates: &[Candidate]) -> f32 {
    let working = candidates.iter().filter(|candidate| candidate.takes_work);
    let (count, total) =
        working.fold((0.0_f32, 0.0_f32), |(count, total), candidate| (count + 1.0, total + candidate.load));
    rules.bound * total / count.max(1.0) + rules.bound_slack
}

/// The home of a subject, by rendezvous hashing among the candidates that take work. Subjects that
/// share the first part of their prompts share a group of homes, so that it is read by few.
fn home(question: &Question<'_>, candidates: &[Candidate]) -> Option<usize> {
    let prompt = question.prompt?;
    let subject = prompt.subject()?;
    let mut fitting: Vec<usize> =
        (0..candidates.len()).filter(|index| candidates[*index].takes_work).collect();
    if let Some(first) = prompt.shared().first().filter(|first| first.id != subject) {
        let group = fitting.len().div_ceil(HOMES_PER_GROUP);
        fitting.sort_unstable_by_key(|index| Reverse(score(first.id, candidates[*index].upstream)));
        fitting.truncate(group);
    }
    fitting.into_iter().max_by_key(|index| score(subject, candidates[*index].upstream))
}

fn score(subject: PartId, upstream: NameHash) -> u64 {
    xxh3_64_with_seed(&subject.0.to_le_bytes(), upstream.0)
}

struct Chooser<'a> {
    rules: &'a CostRules,
    question: &'a Question<'a>,
    candidates: &'a [Candidate],
    kept: &'a KeptParts,
    now: Instant,
    home: Option<usize>,
}

impl Chooser<'_> {
    fn weigh(&self, index: usize) -> Choice {
        let candidate = &self.candidates[index];
        let ahead = candidate.load * self.rules.per_request + candidate.failing * self.rules.per_failure;
        let Some(prompt) = self.question.prompt else {
            return Choice { chosen: index, fetch_from: None, reason: ChoiceReason::LeastCost, cost: ahead };
        };
        let missing = prompt.shared_tokens() - self.kept_tokens(index, prompt);
        let is_home = self.home == Some(index);
        let source = self.source(index, prompt, missing);
        let factor = match (missing, source, is_home) {
            (0, ..) => 0.0,
            (_, Some(_), _) => self.rules.fetched,
            (_, None, true) => self.rules.unread_at_home,
            (_, None, false) => 1.0,
        };
        let reason = match (is_home, missing) {
            (true, _) => ChoiceReason::Home,
            (false, 0) => ChoiceReason::Kept,
            (false, _) => ChoiceReason::LeastCost,
        };
        Choice { chosen: index, fetch_from: source, reason, cost: ahead + missing as f32 * factor }
    }

    fn kept_tokens(&self, index: usize, prompt: &Prompt) -> u32 {
        self.kept.kept_tokens(self.candidates[index].upstream, prompt, self.now)
    }

    /// From where the candidate should fetch what it lacks: from the one that is believed to
    /// keep most.
    fn source(&self, index: usize, prompt: &Prompt, missing: u32) -> Option<usize> {
        if !self.question.can_fetch || missing < self.rules.least_fetched {
            return None;
        }
        let others = (0..self.candidates.len()).filter(|other| *other != index);
        let (tokens, source) = others.map(|other| (self.kept_tokens(other, prompt), other)).max()?;
        let own = prompt.shared_tokens() - missing;
        (tokens >= own + self.rules.least_fetched).then_some(source)
    }

    fn tie(&self, index: usize) -> u64 {
        xxh3_64_with_seed(&self.question.tie_breaker.to_le_bytes(), self.candidates[index].upstream.0)
    }
}
