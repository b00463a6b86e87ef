//! Server of the RPC interface for other gateways.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListUpdate, PermitRequest, StreamId};
use bendhinge_ids::NameHash;
use bytes::Bytes;
use capnp::Error;
use smol::LocalExecutor;
use smol::net::TcpListener;

use super::convert::{
    list_length, millis, read_message, write_cached_part, write_drained, write_entries, write_held_version,
    write_list, write_list_items, write_message,
};
use super::permits::PeerPermit;
use super::stream_records::{read_stream, write_served, write_stream};
use super::{CachedPartsPage, FleetService};
use crate::acceptor::{StreamHandler, serve_connections};
use crate::fleet_capnp::{document, fleet};
use crate::secure::PeerKey;
use crate::traffic::TrafficCounters;

/// The maximum size of a document chunk. It is small enough that several concurrent transfers over a slow
/// link finish within the call timeout and do not delay other calls.
const CHUNK_BYTES: usize = 32 << 10;

/// The maximum number of entries in a chunk of an upstream list.
const CHUNK_ENTRIES: usize = 256;

struct Server<D>(Rc<D>);

/// A document that a peer reads in chunks.
struct ChunkedDocument(Bytes);

impl document::Server for ChunkedDocument {
    async fn read(
        self: Rc<Self>,
        params: document::ReadParams,
        mut results: document::ReadResults,
    ) -> Result<(), Error> {
        let start = (params.get()?.get_offset() as usize).min(self.0.len());
        let end = (start + CHUNK_BYTES).min(self.0.len());
        results.get().set_bytes(&self.0[start..end]);
        Ok(())
    }
}

/// Serves RPC calls of peers on `listener` indefinitely. Streams for forwarded requests are not accepted.
pub async fn serve_fleet<D: FleetService + 'static>(
    listener: TcpListener,
    key: PeerKey,
    service: Rc<D>,
    traffic: Arc<TrafficCounters>,
    executor: Rc<LocalExecutor<'static>>,
) {
    serve_fleet_and_streams(listener, key, service, traffic, executor, None).await;
}

/// Serves RPC calls of peers on `listener` indefinitely. `on_stream` receives the streams on which they forward
/// requests; without it, none are accepted.
pub async fn serve_fleet_and_streams<D: FleetService + 'static>(
    listener: TcpListener,
    key: PeerKey,
    service: Rc<D>,
    traffic: Arc<TrafficCounters>,
    executor: Rc<LocalExecutor<'static>>,
    on_stream: Option<StreamHandler>,
) {
    let bootstrap = || {
        let client: fleet::Client = capnp_rpc::new_client(Server(Rc::clone(&service)));
        client.client
    };
    serve_connections(listener, key, traffic, executor, bootstrap, on_stream).await;
}

impl<D: FleetService + 'static> fleet::Server for Server<D> {
    async fn exchange(
        self: Rc<Self>,
        params: fleet::ExchangeParams,
        mut results: fleet::ExchangeResults,
    ) -> Result<(), Error> {
        let received = read_message(params.get()?.get_message()?)?;
        let message = self.0.exchange(received);
        write_message(results.get().init_message(), &message);
        Ok(())
    }

    async fn rules(
        self: Rc<Self>,
        params: fleet::RulesParams,
        mut results: fleet::RulesResults,
    ) -> Result<(), Error> {
        let Some((held, document)) = self.0.rules() else { return Ok(()) };
        write_held_version(results.get().init_known(), Some(&held));
        if !params.get()?.get_in_pieces() || document.len() <= CHUNK_BYTES {
            results.get().set_document(&document);
            return Ok(());
        }
        results.get().set_document(&document[..CHUNK_BYTES]);
        results.get().set_length(u32::try_from(document.len()).unwrap_or(u32::MAX));
        results.get().set_rest(capnp_rpc::new_client(ChunkedDocument(document)));
        Ok(())
    }

    async fn upstreams(
        self: Rc<Self>,
        params: fleet::UpstreamsParams,
        mut results: fleet::UpstreamsResults,
    ) -> Result<(), Error> {
        // No list has the digest 0; it means that the peer has no list.
        let base = params.get()?.get_base();
        let in_pieces = params.get()?.get_in_pieces();
        let Some((held, mut update)) = self.0.upstreams((base != 0).then_some(base)) else { return Ok(()) };
        write_held_version(results.get().init_known(), Some(&held));
        if let ListUpdate::Full(list) = &mut update
            && in_pieces
            && list.entries.len() > CHUNK_ENTRIES
        {
            results.get().set_length(list_length(list.entries.len()));
            list.entries.truncate(CHUNK_ENTRIES);
        }
        write_list(results.get(), &update);
        Ok(())
    }

    async fn list_piece(
        self: Rc<Self>,
        params: fleet::ListPieceParams,
        mut results: fleet::ListPieceResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let Some(list) = self.0.recent_list(params.get_digest()) else { return Ok(()) };
        let start = (params.get_from() as usize).min(list.entries.len());
        let end = (start + CHUNK_ENTRIES).min(list.entries.len());
        write_entries(results.get().init_list(list_length(end - start)), &list.entries[start..end]);
        Ok(())
    }

    async fn list_part(
        self: Rc<Self>,
        _: fleet::ListPartParams,
        mut results: fleet::ListPartResults,
    ) -> Result<(), Error> {
        let Some(partial) = self.0.partial_list() else { return Ok(()) };
        write_drained(results.get().init_drained(list_length(partial.drained.len())), &partial.drained);
        write_entries(results.get().init_list(list_length(partial.entries.len())), &partial.entries);
        Ok(())
    }

    async fn reads(
        self: Rc<Self>,
        params: fleet::ReadsParams,
        mut results: fleet::ReadsResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let page = CachedPartsPage { index: params.get_page(), count: params.get_pages() };
        let Some(cached_parts) = self.0.cached_parts(page) else { return Ok(()) };
        results.get().set_informed(true);
        write_list_items(
            results.get().init_reads(list_length(cached_parts.len())),
            &cached_parts,
            write_cached_part,
        );
        Ok(())
    }

    async fn record_streams(
        self: Rc<Self>,
        params: fleet::RecordStreamsParams,
        _: fleet::RecordStreamsResults,
    ) -> Result<(), Error> {
        self.0.merge_streams(params.get()?.get_records()?.iter().map(read_stream).collect());
        Ok(())
    }

    async fn find_stream(
        self: Rc<Self>,
        params: fleet::FindStreamParams,
        mut results: fleet::FindStreamResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let pool = Some(params.get_pool()).filter(|pool| *pool != 0).map(NameHash);
        let answer = self.0.find_stream(StreamId(params.get_stream()), pool);
        let mut results = results.get();
        let records: Vec<_> = answer.record.into_iter().collect();
        write_list_items(results.reborrow().init_records(list_length(records.len())), &records, write_stream);
        results.set_watched_millis(millis(answer.watched_for));
        write_list_items(results.init_served(list_length(answer.served.len())), &answer.served, write_served);
        Ok(())
    }

    async fn issue_permit(
        self: Rc<Self>,
        params: fleet::IssuePermitParams,
        mut results: fleet::IssuePermitResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let answer = self.0.issue_permit(PermitRequest {
            upstream: NameHash(params.get_upstream()),
            limit: params.get_limit(),
            lifetime: Duration::from_millis(params.get_lifetime_millis().into()),
        });
        let mut results = results.get();
        results.set_in_progress(answer.in_progress);
        if let Some(guard) = answer.permit {
            results.set_permit(capnp_rpc::new_client(PeerPermit::new(guard)));
        }
        Ok(())
    }
}
