//! Client for the RPC interface of another router.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_delivery::{Claimant, OnceKey, OnceOutcome};
use bendhinge_ids::{ChatKey, Digest, EventSequence, PermitId, UpstreamName};
use bendhinge_membership::Summary;
use bendhinge_placement::{PermitGrant, PermitRequest};
use futures_lite::FutureExt;
use smol::{LocalExecutor, Timer};

use crate::connector::{self, ConnectionGuard};
use crate::convert::{
    read_claim, read_summaries, write_claimant, write_outcome, write_summary, write_traced,
};
use crate::peer_capnp::{config_answer, peer, permit_answer};
use crate::pool::PeerConnection;
use crate::secure::{ConnectError, PeerKey};
use crate::{ClaimRequest, ClaimResponse, ConfigResponse, PermitResponse, Traced, TrafficCounters};

/// The error of a call to a peer. The peer may have executed the call nevertheless.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be established.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The call failed or the connection was lost.
    #[error("RPC call failed: {0}")]
    Call(#[from] capnp::Error),
    /// The peer did not respond in time.
    #[error("RPC call timed out after {0:?}")]
    Timeout(Duration),
    /// The response does not match the schema.
    #[error("RPC response does not match the schema")]
    InvalidResponse,
}

/// A connection to one peer; cheap to clone.
#[derive(Clone)]
pub struct PeerClient {
    peer: peer::Client,
    timeout: Duration,
    _guard: Rc<ConnectionGuard>,
}

pub(crate) async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let expired = async {
        Timer::after(timeout).await;
        Err(CallError::Timeout(timeout))
    };
    call.or(expired).await
}

impl PeerConnection for PeerClient {
    async fn connect(
        address: SocketAddr,
        key: &PeerKey,
        timeout: Duration,
        traffic: &Arc<TrafficCounters>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Result<Self, CallError> {
        let (peer, guard) = connector::connect(address, key, timeout, traffic, executor).await?;
        Ok(Self { peer, timeout, _guard: guard })
    }
}

impl PeerClient {
    /// Exchanges membership summaries with the peer.
    pub async fn exchange(&self, summaries: &[Summary]) -> Result<Vec<Summary>, CallError> {
        let mut request = self.peer.exchange_request();
        let mut list = request.get().init_summaries(u32::try_from(summaries.len()).unwrap_or(0));
        for (index, summary) in (0..).zip(summaries) {
            write_summary(list.reborrow().get(index), summary);
        }
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            Ok(read_summaries(response.get()?.get_summaries()?)?)
        })
        .await
    }

    /// Requests a permit to send a request to an upstream.
    pub async fn acquire(&self, traced: &Traced<PermitRequest>) -> Result<Traced<PermitResponse>, CallError> {
        let permit_request = &traced.message;
        let mut request = self.peer.acquire_request();
        let mut params = request.get();
        params.set_upstream(permit_request.upstream.as_str());
        params.set_limit(permit_request.limit);
        if let Some(chat) = permit_request.first_choice_of {
            params.set_first_choice(true);
            params.set_chat(chat.0);
        }
        write_traced(params.init_holder(), &permit_request.holder, traced);
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            let response = response.get()?.get_answer()?;
            let event = EventSequence(response.get_event());
            Ok(Traced { message: read_permit_response(response)?, event, request: traced.request })
        })
        .await
    }

    /// Releases permits.
    pub async fn release(&self, permits: &[PermitId]) -> Result<(), CallError> {
        let mut request = self.peer.release_request();
        let mut list = request.get().init_permits(u32::try_from(permits.len()).unwrap_or(0));
        for (index, permit) in (0..).zip(permits) {
            list.set(index, permit.0);
        }
        with_timeout(self.timeout, async { Ok(request.send().promise.await.map(drop)?) }).await
    }

    /// Reports the upstream to which a chat was displaced.
    pub async fn record_displaced(&self, chat: ChatKey, location: &UpstreamName) -> Result<(), CallError> {
        let mut request = self.peer.displaced_request();
        request.get().set_chat(chat.0);
        request.get().set_upstream(location.as_str());
        with_timeout(self.timeout, async { Ok(request.send().promise.await.map(drop)?) }).await
    }

    /// Claims an idempotency key.
    pub async fn claim_once(
        &self,
        traced: &Traced<ClaimRequest>,
    ) -> Result<Traced<ClaimResponse>, CallError> {
        let claim = &traced.message;
        let mut request = self.peer.claim_once_request();
        let mut params = request.get();
        params.set_key(&claim.key.0);
        params.set_declared_first(claim.declared_first);
        write_traced(params.init_holder(), &claim.holder, traced);
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            let response = response.get()?;
            let claim = response.get_claim().map_err(|_| CallError::InvalidResponse)?;
            let event = EventSequence(response.get_event());
            Ok(Traced { message: read_claim(claim), event, request: traced.request })
        })
        .await
    }

    /// Reports the outcome of a claimed request.
    pub async fn settle_once(
        &self,
        key: OnceKey,
        claimant: &Claimant,
        outcome: OnceOutcome,
    ) -> Result<(), CallError> {
        let mut request = self.peer.settle_once_request();
        let mut params = request.get();
        params.set_key(&key.0);
        params.set_outcome(write_outcome(outcome));
        write_claimant(params.init_holder(), claimant);
        with_timeout(self.timeout, async { Ok(request.send().promise.await.map(drop)?) }).await
    }

    /// Fetches the peer's latest configuration unless its digest is `base`.
    pub async fn configuration(&self, base: Digest) -> Result<ConfigResponse, CallError> {
        let mut request = self.peer.configuration_request();
        request.get().set_base(&base.0);
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            read_config_response(response.get()?.get_answer()?)
        })
        .await
    }

    /// Fetches the peer's member list as JSON if its revision is newer than `known_revision`.
    pub async fn members(&self, known_revision: u64) -> Result<Option<Vec<u8>>, CallError> {
        let mut request = self.peer.members_request();
        request.get().set_known(known_revision);
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            let list = response.get()?.get_list()?.to_vec();
            Ok(if list.is_empty() { None } else { Some(list) })
        })
        .await
    }
}

fn read_permit_response(response: permit_answer::Reader<'_>) -> Result<PermitResponse, CallError> {
    Ok(match response.which().map_err(|_| CallError::InvalidResponse)? {
        permit_answer::Granted(permit) => {
            let in_progress = response.get_in_progress();
            PermitResponse::Granted(PermitGrant { permit: PermitId(permit), in_progress })
        }
        permit_answer::AtBound(()) => PermitResponse::AtBound { in_progress: response.get_in_progress() },
        permit_answer::Elsewhere(upstream) => {
            let name = upstream?.to_str().map_err(capnp::Error::from)?.parse();
            PermitResponse::Redirect(name.map_err(|_| CallError::InvalidResponse)?)
        }
        permit_answer::NotOwner(()) => PermitResponse::NotOwner,
    })
}

fn read_config_response(response: config_answer::Reader<'_>) -> Result<ConfigResponse, CallError> {
    Ok(match response.which().map_err(|_| CallError::InvalidResponse)? {
        config_answer::None(()) => ConfigResponse::None,
        config_answer::Delta(delta) => ConfigResponse::Delta(delta?.to_vec()),
        config_answer::Whole(text) => ConfigResponse::Full(text?.to_string().map_err(capnp::Error::from)?),
    })
}
