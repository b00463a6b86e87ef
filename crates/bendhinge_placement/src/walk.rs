//! The walk from a chat's first upstream to the one that serves the turn, as a state machine:
//! whoever drives it asks for permits, in the router over connections and in the bench in
//! virtual time.

use std::fmt;

use bendhinge_ids::{ChatKey, Instant, NameHash, PoolName};

use crate::{Assessment, LoadBound, LoadView, Ranking, UpstreamIndex, ViewKey, assess};

/// Upstreams outside of the shortlist that are asked before a turn is refused.
const LAST_ASKS: usize = 8;

/// Why an upstream was chosen for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlacementReason {
    /// It is the chat's first by ranking.
    FirstChoice,
    /// The chat was displaced to it before.
    ReturnedToDisplaced,
    /// Better ones were at their bound.
    Displaced,
    /// The router that counts for it gave no answer; lagged knowledge decided.
    LocalKnowledge,
}

impl PlacementReason {
    /// The word used in metrics and in the time line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::FirstChoice => "first_choice",
            Self::ReturnedToDisplaced => "returned_to_displaced",
            Self::Displaced => "displaced",
            Self::LocalKnowledge => "local_knowledge",
        }
    }
}

impl fmt::Display for PlacementReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Ask whoever counts for an upstream, and tell the walk the answer.
    Ask {
        /// The upstream.
        upstream: UpstreamIndex,
        /// Whether it is the chat's first by ranking.
        first_choice: bool,
        /// The most that it may carry with this request.
        limit: u32,
    },
    /// Send the turn there, without a permit: nobody need or can be asked.
    Take(UpstreamIndex),
    /// Every upstream that could be asked is at its bound.
    Exhausted,
}

/// The answer to [`Step::Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A permit was given; the walk is over.
    Granted,
    /// The upstream is at its bound.
    AtBound,
    /// The chat was displaced before, to an upstream that is still ranked, or to one that is gone.
    Elsewhere(Option<UpstreamIndex>),
    /// There is no answer.
    NoWord,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// At this place of the candidates.
    Shortlist(usize),
    /// At the place that the chat was displaced to.
    Returning,
    /// At upstreams with little load, after this many.
    LastAsks(usize),
    Over,
}

/// The pool that a walk goes through.
#[derive(Clone, Copy)]
pub struct WalkPool<'a> {
    /// The pool.
    pub name: &'a PoolName,
    /// Its upstreams.
    pub ranking: &'a Ranking,
    /// Its upstreams' hashes, in the order of the ranking.
    pub hashes: &'a [NameHash],
    /// Its bound.
    pub bound: LoadBound,
}

/// One walk.
pub struct Walk<'a> {
    pool: WalkPool<'a>,
    candidates: Vec<UpstreamIndex>,
    asked: Vec<UpstreamIndex>,
    stage: Stage,
    asking: Option<UpstreamIndex>,
    /// The shortlist's first is not asked as a first choice twice.
    first_asked: bool,
    alone: bool,
}

impl<'a> Walk<'a> {
    /// A walk for `chat`, around the upstreams for which `tried` holds. Those that refused
    /// connections of late come last.
    pub fn new(
        pool: WalkPool<'a>,
        chat: ChatKey,
        tried: impl Fn(UpstreamIndex) -> bool,
        view: &LoadView,
        now: Instant,
    ) -> Self {
        let shortlist = pool.ranking.shortlist(chat);
        let untried = shortlist.as_slice().iter().copied().filter(|index| !tried(*index));
        let avoided = |index: &UpstreamIndex| view.is_avoided(pool.hash(*index), now);
        let (last, mut candidates): (Vec<_>, Vec<_>) = untried.partition(avoided);
        candidates.extend(last);
        Self {
            pool,
            candidates,
            asked: Vec::new(),
            stage: Stage::Shortlist(0),
            asking: None,
            first_asked: false,
            alone: false,
        }
    }

    /// Whether there is no upstream to walk to.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// The chat's first upstream, with whose counting router its displacement is remembered.
    #[must_use]
    pub fn first(&self) -> UpstreamIndex {
        self.candidates[0]
    }

    /// Why the upstream that the walk ended at was chosen.
    #[must_use]
    pub fn reason(&self) -> PlacementReason {
        match (self.stage, self.asking) {
            _ if self.alone => PlacementReason::LocalKnowledge,
            (Stage::Returning, _) => PlacementReason::ReturnedToDisplaced,
            (_, Some(at)) if at == self.first() => PlacementReason::FirstChoice,
            _ => PlacementReason::Displaced,
        }
    }

    /// The next step. `counts_itself` holds for upstreams that the walking router counts for:
    /// its own exact count costs nothing, only a peer's is worth a guess.
    pub fn next(
        &mut self,
        view: &LoadView,
        counts_itself: impl Fn(UpstreamIndex) -> bool,
        now: Instant,
    ) -> Step {
        loop {
            let Some(upstream) = self.current(view) else {
                self.stage = Stage::Over;
                return Step::Exhausted;
            };
            self.asking = Some(upstream);
            let limit = self.limit(view, upstream);
            let first_choice = self.stage == Stage::Shortlist(0) && !self.first_asked;
            if !counts_itself(upstream) {
                match self.assess(view, upstream, now) {
                    Assessment::Clear => return Step::Take(upstream),
                    Assessment::Full => {
                        self.advance();
                        continue;
                    }
                    Assessment::Ask => {}
                }
            }
            self.first_asked |= first_choice;
            return Step::Ask { upstream, first_choice, limit };
        }
    }

    /// Takes in the answer to the last step. `None` goes on with [`Walk::next`]; otherwise the
    /// turn is sent without a permit.
    pub fn answered(&mut self, answer: Answer, view: &LoadView) -> Option<UpstreamIndex> {
        match answer {
            Answer::AtBound => {
                self.advance();
                None
            }
            Answer::Elsewhere(Some(place)) => {
                let first = self.first();
                self.candidates.retain(|index| *index == first || *index != place);
                self.asked.push(place);
                self.stage = Stage::Returning;
                None
            }
            // With its place gone, the first is asked again, as any other.
            Answer::Granted | Answer::Elsewhere(None) => None,
            Answer::NoWord => self.decide_alone(view),
        }
    }

    /// Applies the bound to lagged knowledge, because nobody can be asked.
    fn decide_alone(&mut self, view: &LoadView) -> Option<UpstreamIndex> {
        let upstream = self.asking?;
        if view.load(self.pool.hash(upstream)) < self.limit(view, upstream) {
            self.alone = true;
            return Some(upstream);
        }
        self.advance();
        None
    }

    fn current(&self, view: &LoadView) -> Option<UpstreamIndex> {
        match self.stage {
            Stage::Shortlist(place) => self.candidates.get(place).copied(),
            Stage::Returning => self.asked.last().copied(),
            Stage::LastAsks(_) => self.least_loaded(view),
            Stage::Over => None,
        }
    }

    fn advance(&mut self) {
        if let Some(asked) = self.asking {
            self.asked.push(asked);
        }
        self.stage = match self.stage {
            // The place that it was displaced to is full: back to the start of the list.
            Stage::Returning => Stage::Shortlist(0),
            Stage::Shortlist(place) if place + 1 < self.candidates.len() => Stage::Shortlist(place + 1),
            Stage::Shortlist(_) => Stage::LastAsks(0),
            Stage::LastAsks(asks) if asks + 1 < LAST_ASKS => Stage::LastAsks(asks + 1),
            Stage::LastAsks(_) | Stage::Over => Stage::Over,
        };
    }

    /// The upstream with the least load for its size. By then the denials have told what the
    /// others carry, so that the bound, a multiple of the mean, leaves room at the least loaded.
    fn least_loaded(&self, view: &LoadView) -> Option<UpstreamIndex> {
        let length = u32::try_from(self.pool.ranking.len()).unwrap_or(u32::MAX);
        let relative_load = |index: &UpstreamIndex| {
            f64::from(view.load(self.pool.hash(*index))) / self.pool.ranking.share(*index)
        };
        let last = self.asked.last().copied();
        let others = (0..length).map(UpstreamIndex).filter(|index| Some(*index) != last);
        others.min_by(|left, right| relative_load(left).total_cmp(&relative_load(right)))
    }

    fn limit(&self, view: &LoadView, upstream: UpstreamIndex) -> u32 {
        self.pool.bound.limit(view.pool_load(self.pool.name), self.pool.ranking.share(upstream))
    }

    fn assess(&self, view: &LoadView, upstream: UpstreamIndex, now: Instant) -> Assessment {
        let known = view.known(self.pool.hash(upstream), now);
        let share = self.pool.ranking.share(upstream);
        assess(known, self.pool.bound, view.pool_load(self.pool.name), share)
    }
}

impl WalkPool<'_> {
    fn hash(&self, index: UpstreamIndex) -> NameHash {
        self.hashes[index.0 as usize]
    }

    /// How the view names the upstream at `index`.
    #[must_use]
    pub fn key(&self, index: UpstreamIndex) -> ViewKey<'_> {
        ViewKey { upstream: self.hash(index), pool: self.name }
    }
}
