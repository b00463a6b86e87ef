//! The side that is asked.

use std::rc::Rc;
use std::sync::Arc;

use bendhinge_fleet::ListUpdate;
use bytes::Bytes;
use capnp::Error;
use smol::LocalExecutor;
use smol::net::TcpListener;

use super::convert::{
    count, read_message, write_all, write_drained, write_entries, write_known, write_list, write_message,
    write_read,
};
use super::{FleetDuties, ReadsPage};
use crate::answering::serve_connections;
use crate::fleet_capnp::{document, fleet};
use crate::secure::PeerKey;
use crate::traffic::Traffic;

/// Bytes of a document in one answer. On a link of 10 Mbit/s one takes 26 ms, and those of eight who
/// fetch at the same time 0.2 s: well within the 0.5 s of a call, and no list waits longer behind one.
const PIECE: usize = 32 << 10;

/// Entries of a list in one answer, some 100 bytes each.
const PIECE_ENTRIES: usize = 256;

struct Server<D>(Rc<D>);

/// A document that is read piece by piece.
struct Rest(Bytes);

impl document::Server for Rest {
    async fn read(
        self: Rc<Self>,
        params: document::ReadParams,
        mut results: document::ReadResults,
    ) -> Result<(), Error> {
        let from = (params.get()?.get_offset() as usize).min(self.0.len());
        let to = (from + PIECE).min(self.0.len());
        results.get().set_bytes(&self.0[from..to]);
        Ok(())
    }
}

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
        params: fleet::RulesParams,
        mut results: fleet::RulesResults,
    ) -> Result<(), Error> {
        let Some((known, document)) = self.0.rules() else { return Ok(()) };
        write_known(results.get().init_known(), Some(&known));
        if !params.get()?.get_in_pieces() || document.len() <= PIECE {
            results.get().set_document(&document);
            return Ok(());
        }
        results.get().set_document(&document[..PIECE]);
        results.get().set_length(u32::try_from(document.len()).unwrap_or(u32::MAX));
        results.get().set_rest(capnp_rpc::new_client(Rest(document)));
        Ok(())
    }

    async fn upstreams(
        self: Rc<Self>,
        params: fleet::UpstreamsParams,
        mut results: fleet::UpstreamsResults,
    ) -> Result<(), Error> {
        // No list has the digest 0: it stands for none.
        let base = params.get()?.get_base();
        let in_pieces = params.get()?.get_in_pieces();
        let Some((known, mut told)) = self.0.upstreams((base != 0).then_some(base)) else { return Ok(()) };
        write_known(results.get().init_known(), Some(&known));
        if let ListUpdate::Full(list) = &mut told
            && in_pieces
            && list.entries.len() > PIECE_ENTRIES
        {
            results.get().set_length(count(list.entries.len()));
            list.entries.truncate(PIECE_ENTRIES);
        }
        write_list(results.get(), &told);
        Ok(())
    }

    async fn list_piece(
        self: Rc<Self>,
        params: fleet::ListPieceParams,
        mut results: fleet::ListPieceResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let Some(list) = self.0.list(params.get_digest()) else { return Ok(()) };
        let from = (params.get_from() as usize).min(list.entries.len());
        let to = (from + PIECE_ENTRIES).min(list.entries.len());
        write_entries(results.get().init_list(count(to - from)), &list.entries[from..to]);
        Ok(())
    }

    async fn list_part(
        self: Rc<Self>,
        _: fleet::ListPartParams,
        mut results: fleet::ListPartResults,
    ) -> Result<(), Error> {
        let Some(part) = self.0.list_part() else { return Ok(()) };
        write_drained(results.get().init_drained(count(part.drained.len())), &part.drained);
        write_entries(results.get().init_list(count(part.entries.len())), &part.entries);
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
        write_all(results.get().init_reads(count(reads.len())), &reads, write_read);
        Ok(())
    }
}
