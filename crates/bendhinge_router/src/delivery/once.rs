//! Requests that run at most once: claiming their keys, and keeping those of others.

use std::net::SocketAddr;
use std::sync::Arc;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::{Claim, Claimant, OnceKey, OnceOutcome};
use bendhinge_ids::{BoxName, RequestId};
use bendhinge_peer::{ClaimRequest, ClaimResponse, Traced};
use bendhinge_placement::owner_of;
use bendhinge_timeline::EventKind;
use opentelemetry::KeyValue;

use super::{Marking, Turn};
use crate::control::{self, ControlCall};
use crate::node::{Node, link};

/// The mark of a request that runs at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OnceMark {
    pub(super) key: OnceKey,
    pub(super) declared_first: bool,
}

/// A claimed key, to be settled; nothing for requests without one.
pub(super) struct Claimed {
    node: Arc<Node>,
    request: RequestId,
    claim: Option<(OnceKey, Keeper)>,
}

#[derive(Clone, Copy, Debug)]
enum Keeper {
    Own,
    Peer(SocketAddr),
}

impl Claimed {
    /// Tells the key's owner what became of the request; later calls do nothing.
    pub(super) fn settle(&mut self, outcome: OnceOutcome) {
        let Some((key, keeper)) = self.claim.take() else { return };
        let claimant = Claimant { life: self.node.life.clone(), request: self.request };
        match keeper {
            Keeper::Own => answer_settle(&self.node, key, &claimant, outcome),
            Keeper::Peer(address) => {
                control::send(&self.node, ControlCall::Settle { address, key, claimant, outcome });
            }
        }
    }
}

impl Drop for Claimed {
    fn drop(&mut self) {
        // Whoever drops it unsettled, as a caller that leaves does, may have sent something.
        self.settle(OnceOutcome::Unknown);
    }
}

/// Claims the turn's key, if it has one, from the router that keeps it.
pub(super) async fn claim(node: &Arc<Node>, turn: &Turn) -> Result<Claimed, ResultCode> {
    let Marking::Once(mark) = turn.marking else {
        return Ok(Claimed { node: Arc::clone(node), request: turn.request, claim: None });
    };
    let fleet = node.fleet();
    let names = fleet.routers.iter().map(|router| &router.name);
    let owner = owner_of(&mark.key.as_text(), names).ok_or(ResultCode::OnceCannotVouch)?;
    let asked = EventKind::ClaimAsked { owner: owner.to_string() };
    let event = node.note_request(turn.request, asked);
    let message =
        ClaimRequest { key: mark.key, holder: node.life.clone(), declared_first: mark.declared_first };
    let told = Traced { message, event, request: turn.request };
    let (answer, keeper) = if *owner == node.life.name {
        (Some(answer_claim(node, told)), Keeper::Own)
    } else {
        let router = fleet.router(owner).ok_or(ResultCode::OnceCannotVouch)?;
        (control::claim(node, router.address, told).await, Keeper::Peer(router.address))
    };
    let claim = Some((mark.key, keeper));
    let mut claimed = Claimed { node: Arc::clone(node), request: turn.request, claim };
    let Some(answer) = answer else {
        // The owner may have granted the claim all the same. Nothing was sent under it.
        claimed.settle(OnceOutcome::NotRun);
        return Err(ResultCode::OnceHomeUnreachable);
    };
    match refusal(answer.message) {
        None => Ok(claimed),
        Some(code) => {
            claimed.claim = None;
            Err(code)
        }
    }
}

const fn refusal(answer: ClaimResponse) -> Option<ResultCode> {
    match answer {
        ClaimResponse::Claim(Claim::Granted) => None,
        ClaimResponse::Claim(Claim::AlreadyTaken) => Some(ResultCode::OnceAlreadyTaken),
        ClaimResponse::Claim(Claim::AlreadyRan) => Some(ResultCode::OnceAlreadyRan),
        ClaimResponse::Claim(Claim::Full) => Some(ResultCode::OnceFull),
        ClaimResponse::Claim(Claim::Unverifiable) | ClaimResponse::NotOwner => {
            Some(ResultCode::OnceCannotVouch)
        }
    }
}

/// Decides on a claim as the owner of its key.
pub(crate) fn answer_claim(node: &Node, told: Traced<ClaimRequest>) -> Traced<ClaimResponse> {
    let Traced { message, event, request } = told;
    let claimant = Claimant { life: message.holder.clone(), request };
    let answer = decide(node, &message, &claimant);
    node.metrics.claims.add(1, &[KeyValue::new("claim", answer.as_str())]);
    let kind = EventKind::ClaimDecided { claim: answer.as_str().to_owned() };
    let event = node.note_caused(request, link(&message.holder, event), kind);
    Traced { message: answer, event, request }
}

fn decide(node: &Node, request: &ClaimRequest, claimant: &Claimant) -> ClaimResponse {
    // An owner that was frozen may have been replaced on the list meanwhile.
    if !node.is_fresh() {
        return ClaimResponse::NotOwner;
    }
    let now = bendhinge_clock::now();
    let text = request.key.as_text();
    let owns = |boxes: &[BoxName]| owner_of(&text, boxes) == Some(&node.life.name);
    let (is_owner, owned_for_window) = {
        let membership = node.membership.lock().unwrap();
        (owns(membership.history.boxes()), membership.history.owned_throughout(now, owns))
    };
    if !is_owner {
        return ClaimResponse::NotOwner;
    }
    let vouched = owned_for_window || request.declared_first;
    let mut once = node.once.lock().unwrap();
    let claim = once.claim(request.key, claimant, vouched, now);
    node.metrics.once_keys.set(once.len() as u64);
    ClaimResponse::Claim(claim)
}

/// Settles a claim as the owner of its key.
pub(crate) fn answer_settle(node: &Node, key: OnceKey, claimant: &Claimant, outcome: OnceOutcome) {
    node.once.lock().unwrap().settle(key, claimant, outcome);
}
