//! The walk from a chat's first upstream to the one that serves the turn, as a state box:
//! whoever drives it asks for permits, in the router over connections and in the bench in
//! virtual time.

use std::fmt;

use bendhinge_ids::{ChatKey, Instant, NameHash, PoolName};

use crate::{Assessment, LoadBound, LoadView, Ranking, SHORTLIST, UpstreamIndex, ViewKey, assess};

/// How often upstreams are asked beyond the shortlist before a turn is refused. In a burst many
/// walks of one router ask for the same last room, and each round lets in few of them.
const LAST_ASKS: usize = 24;

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

/// The answer to [`Step::Ask`], other than a permit, which ends the walk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
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
    /// At an upstream that the router took on its own knowledge.
    Alone,
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
    /// The chat's first, whether it may take new work or not.
    lasting_first: Option<UpstreamIndex>,
    /// Those of the shortlist that may take this turn.
    candidates: Vec<UpstreamIndex>,
    /// Those that had a turn of this request already.
    tried: Vec<UpstreamIndex>,
    stage: Stage,
    asking: Option<UpstreamIndex>,
    /// The shortlist's first is not asked as a first choice twice.
    first_asked: bool,
    /// Whether the chat was remembered to be elsewhere.
    was_elsewhere: bool,
    frugal: bool,
}

impl<'a> Walk<'a> {
    /// A walk for `chat`, around the upstreams in `tried`. Those that refused
    /// connections of late come last.
    #[must_use]
    pub fn new(
        pool: WalkPool<'a>,
        chat: ChatKey,
        tried: Vec<UpstreamIndex>,
        view: &LoadView,
        now: Instant,
    ) -> Self {
        let shortlist = pool.ranking.shortlist(chat);
        let mut candidates = Vec::with_capacity(SHORTLIST);
        let untried = shortlist.as_slice().iter().copied().filter(|index| !tried.contains(index));
        candidates.extend(untried.filter(|index| pool.ranking.get(*index).serving));
        if view.avoids_any(now) {
            candidates.sort_by_key(|index| view.is_avoided(pool.hash(*index), now));
        }
        Self {
            pool,
            lasting_first: shortlist.as_slice().first().copied(),
            candidates,
            tried,
            stage: Stage::Shortlist(0),
            asking: None,
            first_asked: false,
            was_elsewhere: false,
            frugal: false,
        }
    }

    /// Makes the walk send a turn to a first choice that is clearly below its bound without
    /// asking, for a router that has asked enough of late; see [`crate::AskBudget`]. It then
    /// cannot hear that the chat's context is elsewhere.
    #[must_use]
    pub const fn frugal(mut self, frugal: bool) -> Self {
        self.frugal = frugal;
        self
    }

    /// Whether there is no upstream to walk to.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pool.ranking.serving() == 0
    }

    /// The upstreams with whose counting routers it is remembered that the chat is at `place`:
    /// the first that was asked, and the chat's lasting first, which is asked when it is back.
    /// None where the chat is at its lasting first, and was not thought to be elsewhere.
    pub fn remembering(&self, place: UpstreamIndex) -> impl Iterator<Item = UpstreamIndex> {
        let first = self.candidates.first().copied();
        let lasting = self.lasting_first.filter(|index| Some(*index) != first);
        let is_news = self.was_elsewhere || self.lasting_first != Some(place);
        first.into_iter().chain(lasting).filter(move |_| is_news)
    }

    /// Why the upstream that the walk ended at was chosen.
    #[must_use]
    pub fn reason(&self) -> PlacementReason {
        match self.stage {
            Stage::Alone => PlacementReason::LocalKnowledge,
            Stage::Returning => PlacementReason::ReturnedToDisplaced,
            _ if self.asking == self.lasting_first => PlacementReason::FirstChoice,
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
            let Some(upstream) = self.current(view, now) else {
                self.stage = Stage::Over;
                return Step::Exhausted;
            };
            self.asking = Some(upstream);
            let limit = self.limit(view, upstream);
            let first_choice = self.stage == Stage::Shortlist(0) && !self.first_asked;
            if !counts_itself(upstream) {
                match self.assess(view, upstream, now) {
                    Assessment::Clear if self.frugal => return Step::Take(upstream),
                    Assessment::Full => {
                        self.advance();
                        continue;
                    }
                    Assessment::Clear | Assessment::Ask => {}
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
            Answer::Elsewhere(Some(place)) if !self.tried.contains(&place) => {
                self.was_elsewhere = true;
                self.stage = Stage::Returning;
                self.asking = Some(place);
                None
            }
            // With its place gone, the first is asked again, as any other.
            Answer::Elsewhere(_) => {
                self.was_elsewhere = true;
                None
            }
            Answer::NoWord => self.decide_alone(view),
        }
    }

    /// Applies the bound to lagged knowledge, because nobody can be asked.
    fn decide_alone(&mut self, view: &LoadView) -> Option<UpstreamIndex> {
        let upstream = self.asking?;
        if view.load(self.pool.hash(upstream)) < self.limit(view, upstream) {
            self.stage = Stage::Alone;
            return Some(upstream);
        }
        self.advance();
        None
    }

    fn current(&self, view: &LoadView, now: Instant) -> Option<UpstreamIndex> {
        match self.stage {
            Stage::Shortlist(place) => self.candidates.get(place).copied(),
            Stage::Returning => self.asking,
            Stage::LastAsks(_) => self.least_loaded(view, now),
            Stage::Alone | Stage::Over => None,
        }
    }

    fn advance(&mut self) {
        self.stage = match self.stage {
            // The place that it was displaced to is full: back to the start of the list.
            Stage::Returning => Stage::Shortlist(0),
            Stage::Shortlist(place) if place + 1 < self.candidates.len() => Stage::Shortlist(place + 1),
            Stage::Shortlist(_) => Stage::LastAsks(0),
            Stage::LastAsks(asks) if asks + 1 < LAST_ASKS => Stage::LastAsks(asks + 1),
            Stage::LastAsks(_) | Stage::Alone | Stage::Over => Stage::Over,
        };
    }

    /// The upstream with the least load for its size. By then the denials have told what the
    /// others carry, so that the bound, a multiple of the mean, leaves room at the least loaded.
    fn least_loaded(&self, view: &LoadView, now: Instant) -> Option<UpstreamIndex> {
        let relative_load = |index: &UpstreamIndex| {
            f64::from(view.load(self.pool.hash(*index))) / self.pool.ranking.share(*index)
        };
        // One that refuses connections has little load, but is of no use.
        let usable = |index: &UpstreamIndex| {
            !self.tried.contains(index) && !view.is_avoided(self.pool.hash(*index), now)
        };
        let usable = self.pool.ranking.serving_indices().filter(usable);
        usable.min_by(|left, right| relative_load(left).total_cmp(&relative_load(right)))
    }

    fn limit(&self, view: &LoadView, upstream: UpstreamIndex) -> u32 {
        let pool = view.pool_load(self.pool.name).surely();
        self.pool.bound.limit(pool, self.pool.ranking.share(upstream))
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
