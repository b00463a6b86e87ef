//! Driving the walk from a chat's first upstream to the one that serves the turn.

use std::sync::Arc;

use bendhinge_codes::ResultCode;
use bendhinge_ids::{ChatKey, RequestId, UpstreamName};
use bendhinge_placement::{PermitResponse, SearchPool, SearchStep, UpstreamIndex, UpstreamSearch};
use bendhinge_timeline::EventKind;
use opentelemetry::KeyValue;

use super::permit::{Asked, Permit, Question, ask};
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
    let walk_pool = SearchPool {
        name: &pool.name,
        ranking: &pool.ranking,
        hashes: &pool.hashes,
        bound: pool.rule.load_bound,
    };
    let tried = tried.iter().filter_map(|name| pool.ranking.find_serving(name)).collect();
    let frugal = !node.asks.lock().unwrap().try_acquire(bendhinge_clock::now());
    let walk =
        UpstreamSearch::new(walk_pool, chat, tried, &node.loads.lock().unwrap(), bendhinge_clock::now())
            .skip_optional_permit(frugal);
    if walk.is_empty() {
        return Err(ResultCode::NoUpstream);
    }
    let mut driver = Driver { node, pool, chat, request, walk };
    let (index, permit) = driver.go().await.ok_or(ResultCode::AllUpstreamsAtBound)?;
    let reason = driver.walk.reason();
    driver.tell_displaced(index);
    let target = Arc::clone(pool.target(index));
    let upstream = target.name.to_string();
    node.note_request(request, EventKind::Placed { upstream, reason: reason.to_string() });
    node.metrics.placements.add(1, &[KeyValue::new("reason", reason.as_str())]);
    Ok(Chosen { target, permit })
}

struct Driver<'a> {
    node: &'a Arc<Node>,
    pool: &'a FleetPool,
    chat: ChatKey,
    request: RequestId,
    walk: UpstreamSearch<'a>,
}

impl Driver<'_> {
    async fn go(&mut self) -> Option<(UpstreamIndex, Permit)> {
        loop {
            let (upstream, first_choice, limit) = match self.next() {
                SearchStep::Exhausted => return None,
                SearchStep::Send(upstream) => return Some((upstream, self.uncounted(upstream))),
                SearchStep::Acquire { upstream, first_choice, limit } => (upstream, first_choice, limit),
            };
            let answer = match self.ask(upstream, first_choice, limit).await {
                Asked::Granted(permit) => return Some((upstream, permit)),
                Asked::AtBound => PermitResponse::AtBound,
                Asked::Elsewhere(place) => PermitResponse::Redirect(self.pool.ranking.find_serving(&place)),
                Asked::NoWord => PermitResponse::NoResponse,
            };
            let alone = self.walk.handle_response(answer, &self.node.loads.lock().unwrap());
            if let Some(upstream) = alone {
                return Some((upstream, self.uncounted(upstream)));
            }
        }
    }

    fn next(&mut self) -> SearchStep {
        let counts_itself = |index| self.pool.target(index).owner == Owner::Own;
        let loads = self.node.loads.lock().unwrap();
        self.walk.next(&loads, counts_itself, bendhinge_clock::now())
    }

    async fn ask(&self, upstream: UpstreamIndex, first_choice: bool, limit: u32) -> Asked {
        let target = self.pool.target(upstream);
        let first_choice_of = first_choice.then_some(self.chat);
        ask(self.node, &Question { target, first_choice_of, limit, request: self.request }).await
    }

    fn uncounted(&self, upstream: UpstreamIndex) -> Permit {
        Permit::uncounted(self.node, self.pool.target(upstream))
    }

    /// Lets the routers that will be asked for the chat first know where it is.
    fn tell_displaced(&self, place: UpstreamIndex) {
        let name = &self.pool.target(place).name;
        for remembering in self.walk.displacement_recorders(place) {
            match &self.pool.target(remembering).owner {
                Owner::Own => note_displaced(self.node, self.chat, name),
                Owner::Peer(owner) => {
                    let (address, chat, place) = (owner.address, self.chat, name.clone());
                    control::send(self.node, ControlCall::Displaced { address, chat, place });
                }
                Owner::Nobody => {}
            }
        }
    }
}

/// Remembers where a chat is. One that is back at its first upstream is remembered to be there:
/// being sent on to where it asks anyway costs it nothing.
pub(crate) fn note_displaced(node: &Node, chat: ChatKey, place: &UpstreamName) {
    node.ledger.lock().unwrap().record_displaced(chat, place.clone());
}
