//! The walk from a chat's first upstream to the one that serves the turn.

use std::sync::Arc;

use bendhinge_codes::ResultCode;
use bendhinge_ids::{ChatKey, RequestId, UpstreamName};
use bendhinge_placement::{Assessment, Denied, PoolLoad, UpstreamIndex, assess};
use bendhinge_timeline::{EventKind, PlacementReason};
use opentelemetry::KeyValue;

use super::permit::{Asked, Permit, Question, ask};
use crate::clock;
use crate::control::{self, ControlCall};
use crate::membership::{FleetPool, Owner, Target};
use crate::node::Node;

/// An upstream with the right to send it one request.
pub(crate) struct Chosen {
    pub(crate) target: Arc<Target>,
    pub(crate) permit: Permit,
}

/// Chooses an upstream of `pool` for `chat`, other than those in `tried`.
pub(crate) async fn choose(
    node: &Arc<Node>,
    pool: &FleetPool,
    chat: ChatKey,
    request: RequestId,
    tried: &[UpstreamName],
) -> Result<Chosen, ResultCode> {
    let walk = Walk { node, pool, chat, request };
    let candidates = walk.candidates(tried);
    if candidates.is_empty() {
        return Err(ResultCode::NoUpstream);
    }
    let (chosen, reason) = walk.go(&candidates).await.ok_or(ResultCode::AllUpstreamsAtBound)?;
    let upstream = chosen.target.name.to_string();
    node.note_request(request, EventKind::Placed { upstream, reason });
    node.metrics.placements.add(1, &[KeyValue::new("reason", reason.as_str())]);
    Ok(chosen)
}

struct Walk<'a> {
    node: &'a Arc<Node>,
    pool: &'a FleetPool,
    chat: ChatKey,
    request: RequestId,
}

impl Walk<'_> {
    /// The shortlist without upstreams that were tried or refused connections of late; those
    /// that refused come last, in case there are no others.
    fn candidates(&self, tried: &[UpstreamName]) -> Vec<UpstreamIndex> {
        let now = clock::now();
        let shortlist = self.pool.ranking.shortlist(self.chat);
        let untried = shortlist
            .as_slice()
            .iter()
            .copied()
            .filter(|index| !tried.contains(&self.pool.target(*index).name));
        let knowledge = self.node.knowledge.lock().unwrap();
        let avoided = |index: &UpstreamIndex| knowledge.is_avoided(self.pool.target(*index).hash, now);
        let (last, mut first): (Vec<_>, Vec<_>) = untried.partition(avoided);
        first.extend(last);
        first
    }

    async fn go(&self, candidates: &[UpstreamIndex]) -> Option<(Chosen, PlacementReason)> {
        for (rank, index) in candidates.iter().enumerate() {
            let first = rank == 0;
            match self.try_one(*index, first).await {
                Tried::Taken(chosen, reason) => {
                    if !first {
                        self.tell_displaced(candidates[0], &chosen.target.name);
                    }
                    return Some((chosen, if first { reason } else { displaced(reason) }));
                }
                Tried::Elsewhere(place) => {
                    if let Some(chosen) = self.return_to(&place).await {
                        return Some((chosen, PlacementReason::ReturnedToDisplaced));
                    }
                    // Its place is gone or full: back to its first upstream.
                    self.tell_displaced(candidates[0], &self.pool.target(candidates[0]).name);
                    if let Tried::Taken(chosen, reason) = self.try_one(*index, false).await {
                        return Some((chosen, reason));
                    }
                }
                Tried::Full => {}
            }
        }
        self.least_loaded(candidates).await.map(|chosen| (chosen, PlacementReason::Displaced))
    }

    async fn try_one(&self, index: UpstreamIndex, first: bool) -> Tried {
        let target = self.pool.target(index);
        let pool_load = self.pool_load();
        let share = self.pool.ranking.share(index);
        let limit = self.pool.rule.load_bound.limit(pool_load, share);
        // The own count is exact and costs nothing; only a peer's is worth a guess.
        if target.owner != Owner::Own {
            match self.assess(target, pool_load, share) {
                Assessment::Clear => return self.take_uncounted(target, PlacementReason::FirstChoice),
                Assessment::Full => return Tried::Full,
                Assessment::Ask => {}
            }
        }
        let question =
            Question { target, first_choice_of: first.then_some(self.chat), limit, request: self.request };
        match ask(self.node, &question).await {
            Asked::Granted(permit) => {
                let chosen = Chosen { target: Arc::clone(target), permit };
                Tried::Taken(chosen, PlacementReason::FirstChoice)
            }
            Asked::Denied(Denied::AtBound { .. }) => Tried::Full,
            Asked::Denied(Denied::Elsewhere(place)) => Tried::Elsewhere(place),
            Asked::NoWord => self.decide_alone(target, limit),
        }
    }

    fn assess(&self, target: &Target, pool_load: PoolLoad, share: f64) -> Assessment {
        let known = self.node.knowledge.lock().unwrap().known(target.hash, clock::now());
        assess(known, self.pool.rule.load_bound, pool_load, share)
    }

    fn pool_load(&self) -> PoolLoad {
        self.node.knowledge.lock().unwrap().pool_load(&self.pool.name)
    }

    fn take_uncounted(&self, target: &Arc<Target>, reason: PlacementReason) -> Tried {
        let permit = Permit::uncounted(self.node, target);
        Tried::Taken(Chosen { target: Arc::clone(target), permit }, reason)
    }

    /// Applies the bound to lagged knowledge, because nobody can be asked.
    fn decide_alone(&self, target: &Arc<Target>, limit: u32) -> Tried {
        let known = self.node.knowledge.lock().unwrap().known(target.hash, clock::now());
        if known.is_none_or(|known| known.in_progress < limit) {
            self.take_uncounted(target, PlacementReason::LocalKnowledge)
        } else {
            Tried::Full
        }
    }

    async fn return_to(&self, place: &UpstreamName) -> Option<Chosen> {
        let index = self.pool.ranking.find(place)?;
        match self.try_one(index, false).await {
            Tried::Taken(chosen, _) => Some(chosen),
            Tried::Elsewhere(_) | Tried::Full => None,
        }
    }

    /// Lets the router that counts for the chat's first upstream know where the chat is.
    fn tell_displaced(&self, first: UpstreamIndex, place: &UpstreamName) {
        let first = self.pool.target(first);
        match &first.owner {
            Owner::Own => note_displaced(self.node, self.chat, place),
            Owner::Peer(owner) => {
                let call =
                    ControlCall::Displaced { address: owner.address, chat: self.chat, place: place.clone() };
                control::send(self.node, call);
            }
            Owner::Nobody => {}
        }
    }

    /// The shortlist is full: the upstream with the least load for its size may still have room.
    async fn least_loaded(&self, tried: &[UpstreamIndex]) -> Option<Chosen> {
        let relative_load = |index: &UpstreamIndex| {
            let knowledge = self.node.knowledge.lock().unwrap();
            let known = knowledge.known(self.pool.target(*index).hash, clock::now());
            f64::from(known.map_or(0, |known| known.in_progress)) / self.pool.ranking.share(*index)
        };
        let length = u32::try_from(self.pool.ranking.len()).unwrap_or(u32::MAX);
        let others = (0..length).map(UpstreamIndex).filter(|index| !tried.contains(index));
        let least = others.min_by(|left, right| relative_load(left).total_cmp(&relative_load(right)))?;
        match self.try_one(least, false).await {
            Tried::Taken(chosen, _) => Some(chosen),
            Tried::Elsewhere(_) | Tried::Full => None,
        }
    }
}

const fn displaced(reason: PlacementReason) -> PlacementReason {
    match reason {
        PlacementReason::LocalKnowledge => PlacementReason::LocalKnowledge,
        _ => PlacementReason::Displaced,
    }
}

/// Remembers where a chat is. One that is back at its first upstream is remembered to be there:
/// being sent on to where it asks anyway costs it nothing.
pub(crate) fn note_displaced(node: &Node, chat: ChatKey, place: &UpstreamName) {
    node.ledger.lock().unwrap().note_displaced(chat, place.clone());
}

enum Tried {
    Taken(Chosen, PlacementReason),
    Elsewhere(UpstreamName),
    Full,
}
