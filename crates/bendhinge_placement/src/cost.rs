//! The upstream of least cost: what it would have to read, what is ahead there, and how often it
//! fails, with a limit on its load.

use bendhinge_ids::{Instant, NameHash};

use crate::draw::{draw, draw_share};
use crate::homes::home;
use crate::{KeptParts, Prompt};

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
    /// Whether it is warming up.
    pub is_warming: bool,
    /// Whether its load counts in the pool's mean: so it does if it is well, also where it is spared.
    pub counts: bool,
}

/// What things cost, in tokens to read.
#[derive(Clone, Copy, Debug)]
pub struct CostRules {
    /// A request that is ahead.
    pub per_request: f32,
    /// Among upstreams that keep nothing, differences in load of this many times the mean load, and
    /// one request, do not decide alone: what is known of loads is old, and known to many.
    pub jitter: f32,
    /// A failure that is certain.
    pub per_failure: f32,
    /// The part of the reading that is left at the subject's home, where other routers send it
    /// too, when this router has not sent it there itself.
    pub unread_at_home: f32,
    /// The part of the reading that fetching costs instead.
    pub fetched: f32,
    /// The same at the subject's home, which is worth having it: routers that know nothing of what
    /// is kept, since they have just started or are cut off, send it there.
    pub fetched_home: f32,
    /// The part of the reading that it costs to leave a subject where it is kept away from home.
    pub away: f32,
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
            jitter: 2.0,
            per_failure: 4_000.0,
            unread_at_home: 0.3,
            fetched: 0.3,
            fetched_home: 0.02,
            away: 0.05,
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
    /// Tokens of the shared parts that it is believed to lack.
    pub missing: u32,
    /// The mean load of the pool, as it is believed.
    pub mean_load: f32,
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
    let mean_load = mean_load(candidates);
    // An upstream gets no more from this load on while others are below it.
    let limit = rules.bound * mean_load + rules.bound_slack;
    let home = question.prompt.and_then(|prompt| home(prompt, candidates, limit));
    let kept: Vec<u32> = kept_by_each(question, candidates, kept, now);
    let most_kept = kept.iter().copied().max().unwrap_or_default();
    let chooser = Chooser { rules, question, candidates, kept, most_kept, home, mean_load };
    let working = || (0..candidates.len()).filter(|index| candidates[*index].takes_work);
    let within = working().filter(|index| candidates[*index].load < limit);
    let best = |among: &mut dyn Iterator<Item = usize>| {
        among.map(|index| chooser.weigh(index)).min_by(|left, right| {
            left.cost
                .total_cmp(&right.cost)
                .then_with(|| chooser.tie(left.chosen).cmp(&chooser.tie(right.chosen)))
        })
    };
    let choice = best(&mut { within }).or_else(|| best(&mut working()))?;
    Some(Choice { fetch_from: chooser.source_for(choice.chosen), ..choice })
}

/// The mean load of the pool. Were those left out that are spared, which have little, the others would be given
/// more above the mean while a part of the pool is drained.
fn mean_load(candidates: &[Candidate]) -> f32 {
    let counted = candidates.iter().filter(|candidate| candidate.counts);
    let (count, total) =
        counted.fold((0.0_f32, 0.0_f32), |(count, total), candidate| (count + 1.0, total + candidate.load));
    total / count.max(1.0)
}

/// What each candidate is believed to keep of the prompt.
fn kept_by_each(
    question: &Question<'_>,
    candidates: &[Candidate],
    kept: &KeptParts,
    now: Instant,
) -> Vec<u32> {
    let Some(prompt) = question.prompt else { return Vec::new() };
    let keepers = kept.keepers_of(prompt, now);
    let tokens = |candidate: &Candidate| keepers.get(&candidate.upstream).copied().unwrap_or_default();
    candidates.iter().map(tokens).collect()
}

struct Chooser<'a> {
    rules: &'a CostRules,
    question: &'a Question<'a>,
    candidates: &'a [Candidate],
    /// What each candidate is believed to keep of the prompt, in tokens.
    kept: Vec<u32>,
    /// What those keep that keep most: from one of them the others can fetch it.
    most_kept: u32,
    home: Option<usize>,
    mean_load: f32,
}

impl Chooser<'_> {
    fn weigh(&self, index: usize) -> Choice {
        let candidate = &self.candidates[index];
        let ahead = candidate.load * self.rules.per_request + candidate.failing * self.rules.per_failure;
        let Some(prompt) = self.question.prompt else {
            let cost = ahead + self.jitter(index, self.rules.jitter);
            return Choice {
                chosen: index,
                fetch_from: None,
                reason: ChoiceReason::LeastCost,
                cost,
                missing: 0,
                mean_load: self.mean_load,
            };
        };
        let own = self.kept[index];
        let missing = prompt.shared_tokens() - own;
        let is_home = self.home == Some(index);
        let fetched = self.fetched(prompt, own);
        let away = prompt.shared_tokens() as f32 * self.rules.away;
        let (read, fetched) = ((missing - fetched) as f32, fetched as f32);
        let reading = if is_home {
            fetched * self.rules.fetched_home + read * self.rules.unread_at_home
        } else {
            fetched * self.rules.fetched + read + away
        };
        let reason = match (is_home, missing) {
            (true, _) => ChoiceReason::Home,
            (false, 0) => ChoiceReason::Kept,
            (false, _) => ChoiceReason::LeastCost,
        };
        // Upstreams that have to read or fetch are many and alike; the home and keepers are few.
        let is_one_of_many = missing > 0 && !is_home;
        let spread = if is_one_of_many { self.rules.jitter * self.mean_load + 1.0 } else { 1.0 };
        let cost = ahead + reading + self.jitter(index, spread);
        Choice { chosen: index, fetch_from: None, reason, cost, missing, mean_load: self.mean_load }
    }

    /// How many tokens a candidate that keeps `own` would fetch from one of those that keep most.
    fn fetched(&self, prompt: &Prompt, own: u32) -> u32 {
        if !self.question.can_fetch || prompt.shared_tokens() - own < self.rules.least_fetched {
            return 0;
        }
        let more = self.most_kept.saturating_sub(own);
        if more < self.rules.least_fetched { 0 } else { more }
    }

    /// From where a candidate should fetch, if it should. An upstream sends one prompt after the other: the head of a
    /// thousand subjects is kept by hundreds, and if all fetched it from the same one, they would wait there for
    /// seconds.
    fn source_for(&self, index: usize) -> Option<usize> {
        if self.fetched(self.question.prompt?, self.kept[index]) == 0 {
            return None;
        }
        let keeps_most = |index: &usize| self.kept[*index] == self.most_kept;
        let sources: Vec<usize> = (0..self.kept.len()).filter(keeps_most).collect();
        let draw = self.tie(index) % sources.len().max(1) as u64;
        sources.get(usize::try_from(draw).unwrap_or_default()).copied()
    }

    /// A part of a request's cost, up to that of `spread` requests ahead, that differs by request
    /// and upstream, so that routers that know the same do not all choose the same.
    fn jitter(&self, index: usize, spread: f32) -> f32 {
        let share = draw_share(self.question.tie_breaker, self.candidates[index].upstream.0);
        share * spread * self.rules.per_request
    }

    fn tie(&self, index: usize) -> u64 {
        draw(self.question.tie_breaker, self.candidates[index].upstream.0)
    }
}
