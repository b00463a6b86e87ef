//! Calls to other routers on behalf of requests, which run on other threads.

use std::net::SocketAddr;

use bendhinge_delivery::{Claimant, OnceKey, OnceOutcome};
use bendhinge_ids::{ChatKey, PermitId, UpstreamName};
use bendhinge_peer::{CallError, ClaimRequest, ClaimResponse, PermitResponse, Traced};
use bendhinge_placement::PermitRequest;
use smol::channel::{Receiver, Sender, bounded};

use super::Control;
use crate::node::Node;

/// A call to the router at an address. Those without a reply need none: if they are lost, a
/// permit lapses with its lease, and a claim stays taken.
pub(crate) enum ControlCall {
    /// Ask for a permit.
    Acquire { address: SocketAddr, told: Traced<PermitRequest>, reply: Sender<Traced<PermitResponse>> },
    /// Return a permit.
    Release { address: SocketAddr, permit: PermitId },
    /// Tell where a displaced chat went.
    Displaced { address: SocketAddr, chat: ChatKey, place: UpstreamName },
    /// Claim an idempotency key.
    Claim { address: SocketAddr, told: Traced<ClaimRequest>, reply: Sender<Traced<ClaimResponse>> },
    /// Settle a claim.
    Settle { address: SocketAddr, key: OnceKey, claimant: Claimant, outcome: OnceOutcome },
}

/// Hands a call over; it is lost only if the process is ending.
pub(crate) fn send(node: &Node, call: ControlCall) {
    let _ = node.calls.try_send(call);
}

/// Asks for a permit; `None` if there is no answer in time.
pub(crate) async fn acquire(
    node: &Node,
    address: SocketAddr,
    told: Traced<PermitRequest>,
) -> Option<Traced<PermitResponse>> {
    let (reply, answer) = bounded(1);
    send(node, ControlCall::Acquire { address, told, reply });
    answer.recv().await.ok()
}

/// Claims an idempotency key; `None` if there is no answer in time.
pub(crate) async fn claim(
    node: &Node,
    address: SocketAddr,
    told: Traced<ClaimRequest>,
) -> Option<Traced<ClaimResponse>> {
    let (reply, answer) = bounded(1);
    send(node, ControlCall::Claim { address, told, reply });
    answer.recv().await.ok()
}

pub(super) async fn run(control: Control, calls: Receiver<ControlCall>) {
    while let Ok(call) = calls.recv().await {
        let task = make(control.clone(), call);
        control.executor.spawn(task).detach();
    }
}

async fn make(control: Control, call: ControlCall) {
    // A reply that is dropped unsent tells the asker that there is no answer.
    let _ = match call {
        ControlCall::Acquire { address, told, reply } => acquire_from(&control, address, &told, &reply).await,
        ControlCall::Claim { address, told, reply } => claim_from(&control, address, &told, &reply).await,
        ControlCall::Release { address, permit } => {
            control.peers.call(address, async |peer| peer.release(&[permit]).await).await
        }
        ControlCall::Displaced { address, chat, place } => {
            control.peers.call(address, async |peer| peer.record_displaced(chat, &place).await).await
        }
        ControlCall::Settle { address, key, claimant, outcome } => {
            control.peers.call(address, async |peer| peer.settle_once(key, &claimant, outcome).await).await
        }
    };
}

async fn acquire_from(
    control: &Control,
    address: SocketAddr,
    told: &Traced<PermitRequest>,
    reply: &Sender<Traced<PermitResponse>>,
) -> Result<(), CallError> {
    let answer = control.peers.call(address, async |peer| peer.acquire(told).await).await?;
    let granted = match answer.message {
        PermitResponse::Granted(granted) => Some(granted.permit),
        _ => None,
    };
    let unheard = reply.send(answer).await.is_err();
    if let Some(permit) = granted.filter(|_| unheard) {
        // The caller went away while the permit was on its way.
        control.peers.call(address, async |peer| peer.release(&[permit]).await).await?;
    }
    Ok(())
}

async fn claim_from(
    control: &Control,
    address: SocketAddr,
    told: &Traced<ClaimRequest>,
    reply: &Sender<Traced<ClaimResponse>>,
) -> Result<(), CallError> {
    let answer = control.peers.call(address, async |peer| peer.claim_once(told).await).await?;
    let _ = reply.send(answer).await;
    Ok(())
}
