//! The side that is asked.

use std::rc::Rc;
use std::sync::Arc;

use bendhinge_ids::{ChatKey, PermitId};
use bendhinge_placement::PermitRequest;
use capnp::Error;
use smol::LocalExecutor;
use smol::net::TcpListener;

use crate::answering::serve_connections;
use crate::convert::{
    read_claimant, read_digest, read_holder, read_once_key, read_outcome, read_summaries, read_told,
    write_claim, write_summary,
};
use crate::peer_capnp::peer;
use crate::secure::PeerKey;
use crate::{ClaimRequest, ConfigAnswer, PeerDuties, PermitAnswer, Traffic};

struct Server<D>(Rc<D>);

/// Serves peers on `listener` for ever.
pub async fn serve<D: PeerDuties + 'static>(
    listener: TcpListener,
    key: PeerKey,
    duties: Rc<D>,
    traffic: Arc<Traffic>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let bootstrap = || {
        let client: peer::Client = capnp_rpc::new_client(Server(Rc::clone(&duties)));
        client.client
    };
    serve_connections(listener, key, traffic, executor, bootstrap).await;
}

impl<D: PeerDuties + 'static> peer::Server for Server<D> {
    async fn exchange(
        self: Rc<Self>,
        params: peer::ExchangeParams,
        mut results: peer::ExchangeResults,
    ) -> Result<(), Error> {
        let heard = read_summaries(params.get()?.get_summaries()?)?;
        let answer = self.0.exchange(heard);
        let mut list = results.get().init_summaries(u32::try_from(answer.len()).unwrap_or(0));
        for (index, summary) in (0..).zip(&answer) {
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
        let told = self.0.acquire(read_told(request, params.get_holder()?));
        let mut answer = results.get().init_answer();
        answer.set_event(told.event.0);
        match told.message {
            PermitAnswer::Granted(granted) => {
                answer.set_granted(granted.permit.0);
                answer.set_in_progress(granted.in_progress);
            }
            PermitAnswer::AtBound { in_progress } => {
                answer.set_at_bound(());
                answer.set_in_progress(in_progress);
            }
            PermitAnswer::Elsewhere(upstream) => answer.set_elsewhere(upstream.as_str()),
            PermitAnswer::NotOwner => answer.set_not_owner(()),
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
        let place = params.get_upstream()?.to_str()?.parse();
        let place = place.map_err(|_| Error::failed("invalid upstream".to_owned()))?;
        self.0.displaced(ChatKey(params.get_chat()), place);
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
        let told = self.0.claim_once(read_told(request, params.get_holder()?));
        results.get().set_claim(write_claim(told.message));
        results.get().set_event(told.event.0);
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
        let mut answer = results.get().init_answer();
        match self.0.configuration(base) {
            ConfigAnswer::None => answer.set_none(()),
            ConfigAnswer::Delta(delta) => answer.set_delta(&delta),
            ConfigAnswer::Whole(text) => answer.set_whole(text.as_str()),
        }
        Ok(())
    }

    async fn members(
        self: Rc<Self>,
        params: peer::MembersParams,
        mut results: peer::MembersResults,
    ) -> Result<(), Error> {
        let newer = self.0.members(params.get()?.get_known());
        results.get().set_list(&newer.unwrap_or_default());
        Ok(())
    }
}
