//! The side that is asked.

use std::rc::Rc;
use std::sync::Arc;

use capnp::Error;
use smol::LocalExecutor;
use smol::net::TcpListener;

use super::convert::{read_message, write_known, write_message, write_read, write_upstream};
use super::{FleetDuties, ReadsPage};
use crate::answering::serve_connections;
use crate::fleet_capnp::fleet;
use crate::secure::PeerKey;
use crate::traffic::Traffic;

struct Server<D>(Rc<D>);

/// Serves peers on `listener` for ever.
pub async fn serve_fleet<D: FleetDuties + 'static>(
    listener: TcpListener,
    key: PeerKey,
    duties: Rc<D>,
    traffic: Arc<Traffic>,
    executor: Rc<LocalExecutor<'static>>,
) {
    let bootstrap = || {
        let client: fleet::Client = capnp_rpc::new_client(Server(Rc::clone(&duties)));
        client.client
    };
    serve_connections(listener, key, traffic, executor, bootstrap).await;
}

impl<D: FleetDuties + 'static> fleet::Server for Server<D> {
    async fn exchange(
        self: Rc<Self>,
        params: fleet::ExchangeParams,
        mut results: fleet::ExchangeResults,
    ) -> Result<(), Error> {
        let heard = read_message(params.get()?.get_message()?)?;
        let answer = self.0.exchange(heard);
        write_message(results.get().init_message(), &answer);
        Ok(())
    }

    async fn rules(
        self: Rc<Self>,
        _: fleet::RulesParams,
        mut results: fleet::RulesResults,
    ) -> Result<(), Error> {
        if let Some((known, document)) = self.0.rules() {
            write_known(results.get().init_known(), Some(&known));
            results.get().set_document(&document);
        }
        Ok(())
    }

    async fn upstreams(
        self: Rc<Self>,
        _: fleet::UpstreamsParams,
        mut results: fleet::UpstreamsResults,
    ) -> Result<(), Error> {
        if let Some((known, upstreams)) = self.0.upstreams() {
            write_known(results.get().init_known(), Some(&known));
            let length = u32::try_from(upstreams.entries.len()).unwrap_or(u32::MAX);
            let mut list = results.get().init_list(length);
            for (index, entry) in (0..).zip(&upstreams.entries) {
                write_upstream(list.reborrow().get(index), entry);
            }
        }
        Ok(())
    }

    async fn reads(
        self: Rc<Self>,
        params: fleet::ReadsParams,
        mut results: fleet::ReadsResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let page = ReadsPage { index: params.get_page(), count: params.get_pages() };
        let Some(reads) = self.0.reads(page) else { return Ok(()) };
        results.get().set_informed(true);
        let mut list = results.get().init_reads(u32::try_from(reads.len()).unwrap_or(u32::MAX));
        for (index, read) in (0..).zip(&reads) {
            write_read(list.reborrow().get(index), read);
        }
        Ok(())
    }
}
