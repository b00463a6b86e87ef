//! Server of the RPC interface for other routers.

use std::rc::Rc;
use std::sync::Arc;

use bendhinge_ids::{ChatKey, PermitId};
use bendhinge_placement::PermitRequest;
use capnp::Error;
use smol::LocalExecutor;
use smol::net::TcpListener;

use crate::acceptor::serve_connections;
use crate::convert::{
    read_claimant, read_digest, read_holder, read_once_key, read_outcome, read_summaries, read_traced,
    write_claim, write_summary,
};
use crate::peer_capnp::peer;
use crate::secure::PeerKey;
use crate::{ClaimRequest, ConfigResponse, PeerService, PermitResponse, TrafficCounters};

struct Server<D>(Rc<D>);

/// Serves RPC calls of peers on `listener` indefinitely.
pub async fn serve<D: PeerService + 'static>(
    listener: TcpListener,
    key: PeerKey,
    service: Rc<D>,
    traffic: Arc<TrafficCounters>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let bootstrap = || {
        let client: peer::Client = capnp_rpc::new_client(Server(Rc::clone(&service)));
        client.client
    };
    serve_connections(listener, key, traffic, executor, bootstrap, None).await;
}

impl<D: PeerService + 'static> peer::Server for Server<D> {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let received = read_summaries(params.get()?.get_summaries()?)?;
        let summaries = self.0.exchange(received);
        let mut list = results.get().init_summaries(u32::try_from(summaries.len()).unwrap_or(0));
        for (index, summary) in (0..).zip(&summaries) {
            write_summary(list.reborrow().get(index), summary);
        }
        Ok(())
    }

    async fn acquire(
        self: Rc<Self>,
        params: peer::AcquireParams,
        mut results: peer::AcquireResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let upstream = params.get_upstream()?.to_str()?.parse();
        let request = PermitRequest {
            upstream: upstream.map_err(|_| Error::failed("invalid upstream".to_owned()))?,
            holder: read_holder(params.get_holder()?)?,
            first_choice_of: params.get_first_choice().then_some(ChatKey(params.get_chat())),
            limit: params.get_limit(),
        };
        let traced = self.0.acquire(read_traced(request, params.get_holder()?));
        let mut response = results.get().init_answer();
        response.set_event(traced.event.0);
        match traced.message {
            PermitResponse::Granted(grant) => {
                response.set_granted(grant.permit.0);
                response.set_in_progress(grant.in_progress);
            }
            PermitResponse::AtBound { in_progress } => {
                response.set_at_bound(());
                response.set_in_progress(in_progress);
            }
            PermitResponse::Redirect(upstream) => response.set_elsewhere(upstream.as_str()),
            PermitResponse::NotOwner => response.set_not_owner(()),
        }
        Ok(())
    }

    async fn release(
        self: Rc<Self>,
        params: peer::ReleaseParams,
        _: peer::ReleaseResults,
    ) -> Result<(), Error> {
        let permits: Vec<PermitId> = params.get()?.get_permits()?.iter().map(PermitId).collect();
        self.0.release(&permits);
        Ok(())
    }

    async fn displaced(
        self: Rc<Self>,
        params: peer::DisplacedParams,
        _: peer::DisplacedResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let location = params.get_upstream()?.to_str()?.parse();
        let location = location.map_err(|_| Error::failed("invalid upstream".to_owned()))?;
        self.0.record_displaced(ChatKey(params.get_chat()), location);
        Ok(())
    }

    async fn claim_once(
        self: Rc<Self>,
        params: peer::ClaimOnceParams,
        mut results: peer::ClaimOnceResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let request = ClaimRequest {
            key: read_once_key(params.get_key()?)?,
            holder: read_holder(params.get_holder()?)?,
            declared_first: params.get_declared_first(),
        };
        let traced = self.0.claim_once(read_traced(request, params.get_holder()?));
        results.get().set_claim(write_claim(traced.message));
        results.get().set_event(traced.event.0);
        Ok(())
    }

    async fn settle_once(
        self: Rc<Self>,
        params: peer::SettleOnceParams,
        _: peer::SettleOnceResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let key = read_once_key(params.get_key()?)?;
        let claimant = read_claimant(params.get_holder()?)?;
        self.0.settle_once(key, claimant, read_outcome(params.get_outcome()?));
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        params: peer::ConfigurationParams,
        mut results: peer::ConfigurationResults,
    ) -> Result<(), Error> {
        let base = read_digest(params.get()?.get_base()?)?;
        let mut response = results.get().init_answer();
        match self.0.configuration(base) {
            ConfigResponse::None => response.set_none(()),
            ConfigResponse::Delta(delta) => response.set_delta(&delta),
            ConfigResponse::Full(text) => response.set_whole(text.as_str()),
        }
        Ok(())
    }

    async fn members(
        self: Rc<Self>,
        params: peer::MembersParams,
        mut results: peer::MembersResults,
    ) -> Result<(), Error> {
        let newer_list = self.0.members(params.get()?.get_known());
        results.get().set_list(&newer_list.unwrap_or_default());
        Ok(())
    }
}
