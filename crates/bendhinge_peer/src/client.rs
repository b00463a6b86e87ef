//! The side that asks.

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

use crate::calling::{self, Calling};
use crate::convert::{read_claim, read_summaries, write_claimant, write_outcome, write_summary, write_told};
use crate::peer_capnp::{config_answer, peer, permit_answer};
use crate::pool::PeerConnection;
use crate::secure::{PeerKey, SecureError};
use crate::{ClaimRequest, ConfigAnswer, OnceAnswer, PermitAnswer, Told, Traffic};

/// Why a peer gave no answer. It may have acted on the call all the same.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No secured connection.
    #[error(transparent)]
    Secure(#[from] SecureError),
    /// The call failed or the connection was lost.
    #[error("the call failed: {0}")]
    Call(#[from] capnp::Error),
    /// No answer in time.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The answer has not the form agreed on.
    #[error("the answer has an unknown form")]
    Form,
}

/// A connection to one peer; cheap to clone.
#[derive(Clone)]
pub struct PeerClient {
    peer: peer::Client,
    time: Duration,
    _calling: Rc<Calling>,
}

pub(crate) async fn within<T>(
    time: Duration,
    call: impl Future<Output = Result<T, CallError>>,
) -> Result<T, CallError> {
    let too_long = async {
        Timer::after(time).await;
        Err(CallError::Timeout(time))
    };
    call.or(too_long).await
}

impl PeerConnection for PeerClient {
    async fn connect(
        address: SocketAddr,
        key: &PeerKey,
        time: Duration,
        traffic: &Arc<Traffic>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Result<Self, CallError> {
        let (peer, calling) = calling::open(address, key, time, traffic, executor).await?;
        Ok(Self { peer, time, _calling: calling })
    }
}

impl PeerClient {
    /// Exchanges summaries.
    pub async fn exchange(&self, summaries: &[Summary]) -> Result<Vec<Summary>, CallError> {
        let mut request = self.peer.exchange_request();
        let mut list = request.get().init_summaries(u32::try_from(summaries.len()).unwrap_or(0));
        for (index, summary) in (0..).zip(summaries) {
            write_summary(list.reborrow().get(index), summary);
        }
        within(self.time, async {
            let answer = request.send().promise.await?;
            Ok(read_summaries(answer.get()?.get_summaries()?)?)
        })
        .await
    }

    /// Asks for a permit.
    pub async fn acquire(&self, told: &Told<PermitRequest>) -> Result<Told<PermitAnswer>, CallError> {
        let question = &told.message;
        let mut request = self.peer.acquire_request();
        let mut params = request.get();
        params.set_upstream(question.upstream.as_str());
        params.set_limit(question.limit);
        if let Some(chat) = question.first_choice_of {
            params.set_first_choice(true);
            params.set_chat(chat.0);
        }
        write_told(params.init_holder(), &question.holder, told);
        within(self.time, async {
            let answer = request.send().promise.await?;
            let answer = answer.get()?.get_answer()?;
            let event = EventSequence(answer.get_event());
            Ok(Told { message: read_permit_answer(answer)?, event, request: told.request })
        })
        .await
    }

    /// Returns permits.
    pub async fn release(&self, permits: &[PermitId]) -> Result<(), CallError> {
        let mut request = self.peer.release_request();
        let mut list = request.get().init_permits(u32::try_from(permits.len()).unwrap_or(0));
        for (index, permit) in (0..).zip(permits) {
            list.set(index, permit.0);
        }
        within(self.time, async { Ok(request.send().promise.await.map(drop)?) }).await
    }

    /// Tells where a displaced chat went.
    pub async fn displaced(&self, chat: ChatKey, place: &UpstreamName) -> Result<(), CallError> {
        let mut request = self.peer.displaced_request();
        request.get().set_chat(chat.0);
        request.get().set_upstream(place.as_str());
        within(self.time, async { Ok(request.send().promise.await.map(drop)?) }).await
    }

    /// Claims an idempotency key.
    pub async fn claim_once(&self, told: &Told<ClaimRequest>) -> Result<Told<OnceAnswer>, CallError> {
        let claim = &told.message;
        let mut request = self.peer.claim_once_request();
        let mut params = request.get();
        params.set_key(&claim.key.0);
        params.set_declared_first(claim.declared_first);
        write_told(params.init_holder(), &claim.holder, told);
        within(self.time, async {
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            let claim = answer.get_claim().map_err(|_| CallError::Form)?;
            let event = EventSequence(answer.get_event());
            Ok(Told { message: read_claim(claim), event, request: told.request })
        })
        .await
    }

    /// Settles a claim.
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
        within(self.time, async { Ok(request.send().promise.await.map(drop)?) }).await
    }

    /// Asks for a configuration newer than `base`.
    pub async fn configuration(&self, base: Digest) -> Result<ConfigAnswer, CallError> {
        let mut request = self.peer.configuration_request();
        request.get().set_base(&base.0);
        within(self.time, async {
            let answer = request.send().promise.await?;
            read_config_answer(answer.get()?.get_answer()?)
        })
        .await
    }

    /// Asks for a list newer than `known`, as JSON.
    pub async fn members(&self, known: u64) -> Result<Option<Vec<u8>>, CallError> {
        let mut request = self.peer.members_request();
        request.get().set_known(known);
        within(self.time, async {
            let answer = request.send().promise.await?;
            let list = answer.get()?.get_list()?.to_vec();
            Ok(if list.is_empty() { None } else { Some(list) })
        })
        .await
    }
}

fn read_permit_answer(answer: permit_answer::Reader<'_>) -> Result<PermitAnswer, CallError> {
    Ok(match answer.which().map_err(|_| CallError::Form)? {
        permit_answer::Granted(permit) => {
            let in_progress = answer.get_in_progress();
            PermitAnswer::Granted(PermitGrant { permit: PermitId(permit), in_progress })
        }
        permit_answer::AtBound(()) => PermitAnswer::AtBound { in_progress: answer.get_in_progress() },
        permit_answer::Elsewhere(upstream) => {
            let name = upstream?.to_str().map_err(capnp::Error::from)?.parse();
            PermitAnswer::Elsewhere(name.map_err(|_| CallError::Form)?)
        }
        permit_answer::NotOwner(()) => PermitAnswer::NotOwner,
    })
}

fn read_config_answer(answer: config_answer::Reader<'_>) -> Result<ConfigAnswer, CallError> {
    Ok(match answer.which().map_err(|_| CallError::Form)? {
        config_answer::None(()) => ConfigAnswer::None,
        config_answer::Delta(delta) => ConfigAnswer::Delta(delta?.to_vec()),
        config_answer::Whole(text) => ConfigAnswer::Whole(text?.to_string().map_err(capnp::Error::from)?),
    })
}
