//! Preference for the upstreams of a router's own data centre.
//!
//! The load handled here is a demand that differs between data centres: uneven from the start, five times the
//! usual in one of them, or with one of them drained or lost. Requests stay in their own data centre as long as
//! its upstreams have room; [`LocalityState`] computes the share that does not, and [`preferred_distance`] decides
//! for one request.

use std::time::Duration;

use bendhinge_ids::Instant;

use crate::hash::hash_pair_unit;
use crate::{Candidate, CostModel, CostQuery, Distance, Prompt};

/// Seed of the hash that decides which affinity keys spill over. It is the same on all routers, and distinct from
/// the seeds of home selection, which are hashes of upstream names.
const SPILL_SEED: u64 = 0x7370_696c_6c6f_7665;
/// Seed of the hash that decides which requests make a copy of a prompt.
const COPY_SEED: u64 = 0x636f_7079;

/// Part of the load limit that the mean local upstream may use before requests spill over. It corresponds to 1.1
/// times the mean load under high load. The remaining third is needed for popular keys, which raise single
/// upstreams above the mean of their data centre.
const LIMIT_USE_BEFORE_SPILL: f32 = 0.73;
/// Spillover share per unit of limit use above that threshold. Three times the mean demand then leaves the local
/// upstreams at 0.9 of their limit. A factor of 4 oscillates with five data centres, since loads follow the share
/// with a delay.
const SPILL_PER_LIMIT_USE: f32 = 3.0;
/// Part of the local slots that may be in use before requests spill over. The rest absorbs bursts that are shorter
/// than the reaction time of the share.
const SLOT_USE_BEFORE_SPILL: f32 = 0.8;
/// Spillover share per unit of slot use above that threshold and above the slot use elsewhere.
const SPILL_PER_SLOT_USE: f32 = 2.0;
/// The load limit is this multiple of the mean load plus [`LIMIT_SLACK`], as in [`CostModel::default`].
const LIMIT_FACTOR: f32 = 1.5;
/// Number of requests that the load limit allows in addition.
const LIMIT_SLACK: f32 = 2.0;
/// Time constant with which the share follows the loads. Loads follow the share within the duration of a request
/// and the age of the reports, 1 to 3 s together; a faster share would correct before it sees its own effect.
const SMOOTHING_TIME: Duration = Duration::from_secs(5);
/// Change of the share below which the published share stays, so that noise in the loads changes no key's side.
const MIN_SHARE_CHANGE: f32 = 0.04;
/// Upper bound of a plausible number of slots or requests on an upstream; larger reports are ignored.
const MAX_PLAUSIBLE_COUNT: f32 = 100_000.0;
/// Failure rate from which an upstream is not preferred for being local: half of the requests would have to be
/// sent twice.
const MAX_PREFERRED_FAILURE_RATE: f32 = 0.5;

/// An upstream of the pool, as input of [`LocalityState::update`].
#[derive(Clone, Copy, Debug)]
pub struct LocalUpstream {
    /// Estimated number of requests in progress.
    pub load: f32,
    /// Number of requests that it can run at once, if known.
    pub slots: Option<u32>,
    /// Where it is relative to the router.
    pub distance: Distance,
    /// Whether it accepts new requests.
    pub takes_work: bool,
}

/// The spillover share of a pool: the fraction of the demand of a router's own data centre that is sent to other
/// data centres.
///
/// The share depends only on loads that all routers receive and on a few seconds of their history. Routers of one
/// data centre therefore agree on it nearly, also shortly after a start or a pause: a share that adds up
/// corrections would differ between routers for good.
#[derive(Debug, Default)]
pub struct LocalityState {
    smoothed: Option<Smoothed>,
    published: f32,
}

#[derive(Clone, Copy, Debug)]
struct Smoothed {
    share: f32,
    updated_at: Instant,
}

impl LocalityState {
    /// Adjusts the share to the present loads of all upstreams of the pool. Takes two passes over them.
    pub fn update(&mut self, upstreams: &[LocalUpstream], now: Instant) {
        let local = SideLoad::of(upstreams, Distance::Local);
        let remote = SideLoad::of(upstreams, Distance::Remote);
        if local.upstreams == 0.0 || remote.upstreams == 0.0 {
            // There is no choice of side, so no smoothing either: a drained data centre gets nothing at once.
            let share = if remote.upstreams == 0.0 { 0.0 } else { 1.0 };
            self.smoothed = Some(Smoothed { share, updated_at: now });
            self.published = share;
            return;
        }
        let target = target_share(&local, &remote);
        let share = self.smoothed.map_or(target, |previous| previous.toward(target, now));
        self.smoothed = Some(Smoothed { share, updated_at: now });
        self.publish(share);
    }

    /// Returns the fraction of the own data centre's demand that goes elsewhere, from 0 to 1; 0 before the first
    /// update.
    #[must_use]
    pub const fn spill(&self) -> f32 {
        self.published
    }

    fn publish(&mut self, share: f32) {
        if share < MIN_SHARE_CHANGE / 2.0 {
            self.published = 0.0;
        } else if (share - self.published).abs() >= MIN_SHARE_CHANGE {
            self.published = share;
        }
    }
}

impl Smoothed {
    fn toward(self, target: f32, now: Instant) -> f32 {
        let elapsed = now.since(self.updated_at).as_secs_f32() / SMOOTHING_TIME.as_secs_f32();
        self.share + (target - self.share) * (1.0 - (-elapsed).exp())
    }
}

/// Sums over the accepting upstreams of one side.
#[derive(Default)]
struct SideLoad {
    upstreams: f32,
    load: f32,
    /// Slots of the upstreams whose slots are known, and the load on those.
    slots: f32,
    load_on_slots: f32,
}

impl SideLoad {
    fn of(upstreams: &[LocalUpstream], distance: Distance) -> Self {
        let mut sums = Self::default();
        for upstream in
            upstreams.iter().filter(|upstream| upstream.takes_work && upstream.distance == distance)
        {
            let load = plausible(upstream.load);
            sums.upstreams += 1.0;
            sums.load += load;
            let slots = upstream.slots.map_or(0.0, |slots| plausible(slots as f32));
            if slots > 0.0 {
                sums.slots += slots;
                sums.load_on_slots += load;
            }
        }
        sums
    }

    fn slot_use(&self) -> Option<f32> {
        (self.slots > 0.0).then(|| self.load_on_slots / self.slots)
    }
}

fn plausible(count: f32) -> f32 {
    if (0.0..=MAX_PLAUSIBLE_COUNT).contains(&count) { count } else { 0.0 }
}

/// Returns the share for the present loads; both sides have upstreams.
///
/// The mean load always counts, since the load limit is relative to it. Drained upstreams are not in this mean:
/// with one of three data centres drained, the other two would each appear overloaded and exchange requests.
fn target_share(local: &SideLoad, remote: &SideLoad) -> f32 {
    let mean = (local.load + remote.load) / (local.upstreams + remote.upstreams);
    let limit_use = local.load / local.upstreams / (LIMIT_FACTOR * mean + LIMIT_SLACK);
    let by_limit = (limit_use - LIMIT_USE_BEFORE_SPILL) * SPILL_PER_LIMIT_USE;
    let by_slots = match (local.slot_use(), remote.slot_use()) {
        (Some(local), Some(remote)) => (local - remote.max(SLOT_USE_BEFORE_SPILL)) * SPILL_PER_SLOT_USE,
        _ => 0.0,
    };
    by_limit.max(by_slots).clamp(0.0, 1.0)
}

/// Returns the side on which a request should be served; `None` if all upstreams are equally suitable: without a
/// preference, for a prompt with a common home, and if the preferred side accepts no requests.
///
/// `max_cached_tokens` is the largest number of prompt tokens that an upstream has cached.
pub(crate) fn preferred_distance(
    model: &CostModel,
    query: &CostQuery<'_>,
    candidates: &[Candidate],
    max_cached_tokens: u32,
) -> Option<Distance> {
    let locality = query.locality?;
    let has_common_home = |prompt: &Prompt| {
        is_long(model, query.can_fetch, prompt)
            || (query.can_fetch && is_new(model, prompt, max_cached_tokens))
    };
    if query.prompt.is_some_and(has_common_home) {
        return None;
    }
    let key = query.prompt.and_then(Prompt::affinity_key).map_or(query.tie_breaker, |key| key.0);
    let spills_over = hash_pair_unit(key, SPILL_SEED) < locality.spill;
    let preferred = if spills_over { Distance::Remote } else { Distance::Local };
    let accepts = |candidate: &Candidate| candidate.takes_work && candidate.distance == preferred;
    candidates.iter().any(accepts).then_some(preferred)
}

/// Whether a candidate is on the preferred side and works well enough to be preferred for that.
pub(crate) fn is_preferred(candidate: &Candidate, preferred: Distance) -> bool {
    candidate.distance == preferred && candidate.failure_rate < MAX_PREFERRED_FAILURE_RATE
}

/// Whether no upstream is known to have cached a prompt that others could fetch from it.
///
/// Such a prompt is processed at the home of all data centres, from which the local homes fetch it. Otherwise, each
/// data centre would process it until news of the others arrives, which triples the prefills after a start.
fn is_new(model: &CostModel, prompt: &Prompt, max_cached_tokens: u32) -> bool {
    prompt.shared_tokens().saturating_sub(max_cached_tokens) >= model.min_fetch_tokens
}

impl CostModel {
    /// Returns the maximum number of shared tokens of a prompt that has a home in each data centre.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "float casts saturate")]
    pub const fn max_local_tokens(&self, can_fetch: bool) -> u32 {
        (self.crossings_per_copy * self.tokens_per_crossing(can_fetch)) as u32
    }

    const fn tokens_per_crossing(&self, can_fetch: bool) -> f32 {
        if can_fetch { self.fetched_tokens_per_crossing } else { self.read_tokens_per_crossing }
    }
}

/// Whether a prompt is so long that one home serves all data centres.
fn is_long(model: &CostModel, can_fetch: bool, prompt: &Prompt) -> bool {
    prompt.shared_tokens() > model.max_local_tokens(can_fetch)
}

/// Whether an upstream other than the home should process or fetch missing parts although the other side has the
/// prompt cached.
///
/// The home is busy then. The copy pays off only for popular prompts, and how popular a prompt is cannot be seen
/// from one request. Therefore, a request makes a copy with the probability at which copies cost as much as the
/// requests that cross meanwhile: popular prompts get copies soon, and rare ones hardly ever.
pub(crate) fn is_extra_copy_worthwhile(
    model: &CostModel,
    query: &CostQuery<'_>,
    missing_tokens: u32,
) -> bool {
    let tokens_per_crossing = model.tokens_per_crossing(query.can_fetch);
    hash_pair_unit(query.tie_breaker, COPY_SEED) * (missing_tokens as f32) < tokens_per_crossing
}
