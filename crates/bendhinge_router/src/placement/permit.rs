//! Permits: asked for, given to peers, and given back when dropped.

use std::net::SocketAddr;
use std::sync::Arc;

use bendhinge_ids::{ChatKey, PermitId, RequestId, UpstreamName};
use bendhinge_peer::{PermitResponse, Traced};
use bendhinge_placement::{PermitDenied, PermitRequest};
use bendhinge_timeline::EventKind;
use opentelemetry::KeyValue;

use super::knowledge::view_key;
use crate::control::{self, ControlCall};
use crate::membership::{Owner, RouterEntry, Target};
use crate::node::{Node, link};

/// Where a permit is given back.
#[derive(Debug)]
enum Origin {
    Own(PermitId),
    Peer(SocketAddr, PermitId),
    /// The upstream was so far below its bound, or nobody could be asked.
    None,
}

/// The right to have one request in progress at an upstream; given back when dropped.
pub(crate) struct Permit {
    node: Arc<Node>,
    target: Arc<Target>,
    origin: Origin,
}

impl Permit {
    fn new(node: &Arc<Node>, target: &Arc<Target>, origin: Origin) -> Self {
        node.loads.lock().unwrap().request_started(view_key(target), bendhinge_clock::now());
        Self { node: Arc::clone(node), target: Arc::clone(target), origin }
    }

    /// A permit that nobody counts but this router.
    pub(super) fn uncounted(node: &Arc<Node>, target: &Arc<Target>) -> Self {
        Self::new(node, target, Origin::None)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.node.loads.lock().unwrap().request_ended(view_key(&self.target), bendhinge_clock::now());
        match self.origin {
            Origin::None => {}
            Origin::Own(permit) => {
                self.node.ledger.lock().unwrap().release(permit, bendhinge_clock::now());
            }
            Origin::Peer(address, permit) => {
                control::send(&self.node, ControlCall::Release { address, permit });
            }
        }
    }
}

/// What asking for a permit came to.
pub(super) enum Asked {
    Granted(Permit),
    AtBound,
    Elsewhere(UpstreamName),
    /// The router that counts gave no answer, or does not believe that it counts.
    NoWord,
}

/// A question for a permit on behalf of one request.
pub(super) struct Question<'a> {
    pub(super) target: &'a Arc<Target>,
    pub(super) first_choice_of: Option<ChatKey>,
    pub(super) limit: u32,
    pub(super) request: RequestId,
}

/// Asks whoever counts for the upstream.
pub(super) async fn ask(node: &Arc<Node>, question: &Question<'_>) -> Asked {
    let request = PermitRequest {
        upstream: question.target.name.clone(),
        holder: node.life.clone(),
        first_choice_of: question.first_choice_of,
        limit: question.limit,
    };
    let asked = match &question.target.owner {
        Owner::Own => ask_own(node, question, &request),
        Owner::Peer(owner) => ask_peer(node, question, request, owner).await,
        Owner::Nobody => Asked::NoWord,
    };
    let answer = match &asked {
        Asked::Granted(_) => "granted",
        Asked::AtBound => "at_bound",
        Asked::Elsewhere(_) => "elsewhere",
        Asked::NoWord => "no_word",
    };
    node.metrics.permits.add(1, &[KeyValue::new("answer", answer)]);
    asked
}

fn ask_own(node: &Arc<Node>, question: &Question<'_>, request: &PermitRequest) -> Asked {
    let answer = node.ledger.lock().unwrap().acquire(request, bendhinge_clock::now());
    match answer {
        Ok(granted) => Asked::Granted(Permit::new(node, question.target, Origin::Own(granted.permit))),
        Err(PermitDenied::AtBound { in_progress }) => {
            // Others' permits are in the own count before the view hears of them.
            learn(node, question.target, in_progress);
            Asked::AtBound
        }
        Err(PermitDenied::Redirect(place)) => Asked::Elsewhere(place),
    }
}

async fn ask_peer(
    node: &Arc<Node>,
    question: &Question<'_>,
    message: PermitRequest,
    owner: &RouterEntry,
) -> Asked {
    let upstream = message.upstream.to_string();
    let asked = EventKind::PermitAsked { upstream: upstream.clone(), owner: owner.name.to_string() };
    let event = node.note_request(question.request, asked);
    let told = Traced { message, event, request: question.request };
    let Some(answer) = control::acquire(node, owner.address, told).await else {
        return Asked::NoWord;
    };
    match answer.message {
        PermitResponse::Granted(granted) => {
            // The count includes this request, which the permit counts in.
            learn(node, question.target, granted.in_progress.saturating_sub(1));
            let life = control::life_of(node, &owner.name);
            let received = EventKind::PermitReceived { upstream };
            match life {
                Some(life) => node.note_caused(question.request, link(&life, answer.event), received),
                None => node.note_request(question.request, received),
            };
            Asked::Granted(Permit::new(node, question.target, Origin::Peer(owner.address, granted.permit)))
        }
        PermitResponse::AtBound { in_progress } => {
            learn(node, question.target, in_progress);
            Asked::AtBound
        }
        PermitResponse::Redirect(place) => Asked::Elsewhere(place),
        PermitResponse::NotOwner => Asked::NoWord,
    }
}

fn learn(node: &Node, target: &Target, in_progress: u32) {
    node.loads.lock().unwrap().record_count(view_key(target), in_progress, bendhinge_clock::now());
}

/// Answers a peer's question for a permit.
pub(crate) fn answer_peer(node: &Node, told: Traced<PermitRequest>) -> Traced<PermitResponse> {
    let Traced { message, event, request } = told;
    let upstream = message.upstream.to_string();
    let owns = node
        .fleet()
        .upstreams
        .iter()
        .any(|target| target.name == message.upstream && target.owner == Owner::Own);
    // A router that was frozen does not know whether another counts by now.
    let answer = if owns && node.is_fresh() { count(node, &message) } else { PermitResponse::NotOwner };
    let kind = match &answer {
        PermitResponse::Granted(granted) => {
            EventKind::PermitGranted { upstream, in_progress: granted.in_progress }
        }
        PermitResponse::AtBound { in_progress } => {
            EventKind::PermitDenied { upstream, reason: format!("at bound with {in_progress}") }
        }
        PermitResponse::Redirect(place) => {
            EventKind::PermitDenied { upstream, reason: format!("displaced to {place}") }
        }
        PermitResponse::NotOwner => {
            EventKind::PermitDenied { upstream, reason: "not counted here".to_owned() }
        }
    };
    let event = node.note_caused(request, link(&message.holder, event), kind);
    Traced { message: answer, event, request }
}

fn count(node: &Node, request: &PermitRequest) -> PermitResponse {
    match node.ledger.lock().unwrap().acquire(request, bendhinge_clock::now()) {
        Ok(granted) => PermitResponse::Granted(granted),
        Err(PermitDenied::AtBound { in_progress }) => PermitResponse::AtBound { in_progress },
        Err(PermitDenied::Redirect(place)) => PermitResponse::Redirect(place),
    }
}
