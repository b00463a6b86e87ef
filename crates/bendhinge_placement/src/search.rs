//! Search for the upstream that serves a request of a chat, as a state machine. The caller performs
//! the permit requests: over the network in the router, in simulated time in the benchmark.

use std::fmt;

use bendhinge_ids::{ChatKey, Instant, NameHash, PoolName};

use crate::{Assessment, LoadBound, LoadKey, LoadView, Ranking, SHORTLIST_SIZE, UpstreamIndex, assess};

/// Maximum number of permit requests beyond the shortlist before a request is refused. In a burst,
/// many concurrent searches compete for the same remaining capacity and each round admits few of
/// them.
const MAX_LEAST_LOADED_TRIES: usize = 24;

/// The reason for choosing an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PlacementReason {
    /// It is the highest-ranked upstream for the chat.
    FirstChoice,
    /// The chat had been displaced to it by an earlier request.
    ReturnedToDisplaced,
    /// Higher-ranked upstreams were at their limit.
    Displaced,
    /// The upstream's owner did not respond; the choice is based on the router's own load data.
    LocalKnowledge,
}

impl PlacementReason {
    /// Returns the label used in metrics and in the timeline.
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

/// The next action of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Request a permit from the owner of an upstream, and pass the response to
    /// [`UpstreamSearch::handle_response`].
    Acquire {
        /// The upstream to request a permit for.
        upstream: UpstreamIndex,
        /// Whether this is the first permit request for the first candidate.
        first_choice: bool,
        /// The maximum load of the upstream including this request.
        limit: u32,
    },
    /// Send the request to this upstream without a permit, which would almost certainly be granted.
    Send(UpstreamIndex),
    /// No upstream can be chosen: all of them are unavailable or at their limit.
    Exhausted,
}

/// The response to [`SearchStep::Acquire`]. A granted permit ends the search and is not
/// passed back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitResponse {
    /// The upstream is at its limit.
    AtBound,
    /// The chat was displaced earlier. `None` if the upstream that has its context no longer
    /// accepts requests.
    Redirect(Option<UpstreamIndex>),
    /// The owner of the upstream did not respond or is unknown.
    NoResponse,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Trying the candidate at this index.
    Shortlist(usize),
    /// Trying the upstream to which the chat was displaced.
    Redirected,
    /// Trying the least loaded upstream, after this many earlier tries.
    LeastLoaded(usize),
    /// Using the upstream that was chosen by the router's own load data.
    LocalDecision,
    Finished,
}

/// The pool in which to search.
#[derive(Clone, Copy)]
pub struct SearchPool<'a> {
    /// Name of the pool.
    pub name: &'a PoolName,
    /// Ranking of its upstreams.
    pub ranking: &'a Ranking,
    /// Hashes of the upstreams' names, in the order of the ranking.
    pub hashes: &'a [NameHash],
    /// Load bound of its upstreams.
    pub bound: LoadBound,
}

/// The state of a search.
pub struct UpstreamSearch<'a> {
    pool: SearchPool<'a>,
    /// The highest-ranked upstream for the chat, even if it does not accept new requests.
    preferred: Option<UpstreamIndex>,
    /// The shortlisted upstreams that can be tried.
    candidates: Vec<UpstreamIndex>,
    /// Upstreams on which this request was already attempted.
    tried: Vec<UpstreamIndex>,
    stage: Stage,
    current: Option<UpstreamIndex>,
    /// Whether a permit for the first candidate was already requested, so that a retry is not
    /// marked as first choice.
    first_choice_requested: bool,
    /// Whether a permit response redirected the chat to another upstream.
    was_redirected: bool,
    skip_optional_permit: bool,
}

impl<'a> UpstreamSearch<'a> {
    /// Starts a search for `chat` that excludes the upstreams in `tried`. Upstreams that
    /// recently refused a connection are tried last.
    #[must_use]
    pub fn new(
        pool: SearchPool<'a>,
        chat: ChatKey,
        tried: Vec<UpstreamIndex>,
        view: &LoadView,
        now: Instant,
    ) -> Self {
        let shortlist = pool.ranking.shortlist(chat);
        let mut candidates = Vec::with_capacity(SHORTLIST_SIZE);
        let untried = shortlist.as_slice().iter().copied().filter(|index| !tried.contains(index));
        candidates.extend(untried.filter(|index| pool.ranking.get(*index).serving));
        if view.avoids_any(now) {
            candidates.sort_by_key(|index| view.is_avoided(pool.hash(*index), now));
        }
        Self {
            pool,
            preferred: shortlist.as_slice().first().copied(),
            candidates,
            tried,
            stage: Stage::Shortlist(0),
            current: None,
            first_choice_requested: false,
            was_redirected: false,
            skip_optional_permit: false,
        }
    }

    /// Sets whether a request is sent without a permit to an upstream that is clearly below its
    /// limit; see [`crate::PermitRequestBudget`]. Such a request cannot be redirected to the
    /// upstream that has the chat's context.
    #[must_use]
    pub const fn skip_optional_permit(mut self, skip_optional_permit: bool) -> Self {
        self.skip_optional_permit = skip_optional_permit;
        self
    }

    /// Returns whether the pool has no upstream that accepts requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pool.ranking.serving_count() == 0
    }

    /// Returns the upstreams whose owners must record that the chat is at `location`: the first
    /// candidate, and the preferred upstream, which receives the chat's requests once it is
    /// available again. Empty if `location` is the preferred upstream and the chat was not
    /// redirected.
    pub fn displacement_recorders(&self, location: UpstreamIndex) -> impl Iterator<Item = UpstreamIndex> {
        let first = self.candidates.first().copied();
        let preferred = self.preferred.filter(|index| Some(*index) != first);
        let needs_update = self.was_redirected || self.preferred != Some(location);
        first.into_iter().chain(preferred).filter(move |_| needs_update)
    }

    /// Returns the reason for choosing the upstream at which the search ended.
    #[must_use]
    pub fn reason(&self) -> PlacementReason {
        match self.stage {
            Stage::LocalDecision => PlacementReason::LocalKnowledge,
            Stage::Redirected => PlacementReason::ReturnedToDisplaced,
            _ if self.current == self.preferred => PlacementReason::FirstChoice,
            _ => PlacementReason::Displaced,
        }
    }

    /// Advances the search to the next action. `is_own` returns whether this router owns an
    /// upstream: its own exact count is available at no cost, so load data is assessed only for
    /// the upstreams of other owners.
    pub fn next(
        &mut self,
        view: &LoadView,
        is_own: impl Fn(UpstreamIndex) -> bool,
        now: Instant,
    ) -> SearchStep {
        loop {
            let Some(upstream) = self.candidate(view, now) else {
                self.stage = Stage::Finished;
                return SearchStep::Exhausted;
            };
            self.current = Some(upstream);
            let limit = self.limit(view, upstream);
            let first_choice = self.stage == Stage::Shortlist(0) && !self.first_choice_requested;
            if !is_own(upstream) {
                match self.assess(view, upstream, now) {
                    Assessment::BelowLimit if self.skip_optional_permit => return SearchStep::Send(upstream),
                    Assessment::AboveLimit => {
                        self.advance();
                        continue;
                    }
                    Assessment::BelowLimit | Assessment::Uncertain => {}
                }
            }
            self.first_choice_requested |= first_choice;
            return SearchStep::Acquire { upstream, first_choice, limit };
        }
    }

    /// Handles the response to a permit request. Returns an upstream if the request is to be
    /// sent there without a permit; otherwise the search continues with
    /// [`UpstreamSearch::next`].
    pub fn handle_response(&mut self, response: PermitResponse, view: &LoadView) -> Option<UpstreamIndex> {
        match response {
            PermitResponse::AtBound => {
                self.advance();
                None
            }
            PermitResponse::Redirect(Some(location)) if !self.tried.contains(&location) => {
                self.was_redirected = true;
                self.stage = Stage::Redirected;
                self.current = Some(location);
                None
            }
            // The target is unavailable, so request a regular permit for the same
            // upstream.
            PermitResponse::Redirect(_) => {
                self.was_redirected = true;
                None
            }
            PermitResponse::NoResponse => self.decide_locally(view),
        }
    }

    /// Applies the load bound to the router's own load data because the owner did not respond.
    fn decide_locally(&mut self, view: &LoadView) -> Option<UpstreamIndex> {
        let upstream = self.current?;
        if view.load(self.pool.hash(upstream)) < self.limit(view, upstream) {
            self.stage = Stage::LocalDecision;
            return Some(upstream);
        }
        self.advance();
        None
    }

    fn candidate(&self, view: &LoadView, now: Instant) -> Option<UpstreamIndex> {
        match self.stage {
            Stage::Shortlist(index) => self.candidates.get(index).copied(),
            Stage::Redirected => self.current,
            Stage::LeastLoaded(_) => self.least_loaded(view, now),
            Stage::LocalDecision | Stage::Finished => None,
        }
    }

    fn advance(&mut self) {
        self.stage = match self.stage {
            // The redirect target is full: continue with the shortlist.
            Stage::Redirected => Stage::Shortlist(0),
            Stage::Shortlist(index) if index + 1 < self.candidates.len() => Stage::Shortlist(index + 1),
            Stage::Shortlist(_) => Stage::LeastLoaded(0),
            Stage::LeastLoaded(tries) if tries + 1 < MAX_LEAST_LOADED_TRIES => Stage::LeastLoaded(tries + 1),
            Stage::LeastLoaded(_) | Stage::LocalDecision | Stage::Finished => Stage::Finished,
        };
    }

    /// Returns the upstream with the lowest load relative to its weight. The denials so far
    /// carried current counts, and since the limit is a multiple of the mean load, the least
    /// loaded upstream is below it.
    fn least_loaded(&self, view: &LoadView, now: Instant) -> Option<UpstreamIndex> {
        let relative_load = |index: &UpstreamIndex| {
            f64::from(view.load(self.pool.hash(*index))) / self.pool.ranking.weight_share(*index)
        };
        // An upstream that refuses connections has a low load but cannot serve the request.
        let is_usable = |index: &UpstreamIndex| {
            !self.tried.contains(index) && !view.is_avoided(self.pool.hash(*index), now)
        };
        let usable = self.pool.ranking.serving_indices().filter(is_usable);
        usable.min_by(|left, right| relative_load(left).total_cmp(&relative_load(right)))
    }

    fn limit(&self, view: &LoadView, upstream: UpstreamIndex) -> u32 {
        let pool = view.pool_load(self.pool.name).lower_estimate();
        self.pool.bound.limit(pool, self.pool.ranking.weight_share(upstream))
    }

    fn assess(&self, view: &LoadView, upstream: UpstreamIndex, now: Instant) -> Assessment {
        let known = view.known_load(self.pool.hash(upstream), now);
        let share = self.pool.ranking.weight_share(upstream);
        assess(known, self.pool.bound, view.pool_load(self.pool.name), share)
    }
}

impl SearchPool<'_> {
    fn hash(&self, index: UpstreamIndex) -> NameHash {
        self.hashes[index.0 as usize]
    }

    /// Returns the key of the upstream at `index` in a [`LoadView`].
    #[must_use]
    pub fn key(&self, index: UpstreamIndex) -> LoadKey<'_> {
        LoadKey { upstream: self.hash(index), pool: self.name }
    }
}
