//! Client for the RPC interface of another gateway.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListUpdate, PermitRequest, StreamId, UpstreamEntry, UpstreamList};
use bendhinge_ids::NameHash;
use bytes::{Bytes, BytesMut};
use smol::LocalExecutor;

use super::convert::write_list_items;
use super::convert::{
    list_length, millis, read_cached_part, read_drained, read_held_version, read_list, read_message,
    read_upstreams, write_message,
};
use super::stream_records::{read_served, read_stream, write_stream};
use super::{
    CachedPartsPage, HeldVersion, ObservedCachedPart, ObservedStream, PeerMessage, PermitAnswer,
    RemotePermit, StreamAnswer,
};
use crate::client::{CallError, with_timeout};
use crate::connector::{self, ConnectionGuard};
use crate::fleet_capnp::{document, fleet};
use crate::pool::PeerConnection;
use crate::secure::PeerKey;
use crate::traffic::TrafficCounters;
use crate::{MAX_DOCUMENT_BYTES, MAX_LIST_ENTRIES};

/// A connection to one peer; cheap to clone.
#[derive(Clone)]
pub struct FleetClient {
    peer: fleet::Client,
    timeout: Duration,
    _guard: Rc<ConnectionGuard>,
}

impl PeerConnection for FleetClient {
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

/// A rules document of which only the first chunk has been fetched.
struct FirstRulesChunk {
    held: HeldVersion,
    document: BytesMut,
    /// The size of the document in bytes; 0 if the first chunk is the whole document.
    length: usize,
    rest: Option<document::Client>,
}

/// An upstream list of which only the first chunk has been fetched.
struct FirstListChunk {
    held: HeldVersion,
    update: ListUpdate,
    /// The number of entries of the list; 0 if the first chunk is the whole list.
    length: usize,
}

impl FleetClient {
    /// Exchanges messages with the peer.
    pub async fn exchange(&self, message: &PeerMessage) -> Result<PeerMessage, CallError> {
        let mut request = self.peer.exchange_request();
        write_message(request.get().init_message(), message);
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            Ok(read_message(response.get()?.get_message()?)?)
        })
        .await
    }

    /// Fetches the serving rules that the peer holds. The call timeout applies to each chunk.
    pub async fn rules(&self) -> Result<Option<(HeldVersion, Bytes)>, CallError> {
        let Some(FirstRulesChunk { held, mut document, length, rest }) =
            self.fetch_first_rules_chunk().await?
        else {
            return Ok(None);
        };
        check_length("rules document", length, MAX_DOCUMENT_BYTES)?;
        while let Some(rest) = rest.as_ref().filter(|_| document.len() < length) {
            let mut request = rest.read_request();
            request.get().set_offset(u32::try_from(document.len()).unwrap_or(u32::MAX));
            let fetch = async {
                let response = request.send().promise.await?;
                Ok(Bytes::copy_from_slice(response.get()?.get_bytes()?))
            };
            let chunk = with_timeout(self.timeout, fetch).await?;
            if chunk.is_empty() {
                return Err(capnp::Error::failed(
                    "rules document truncated: peer sent an empty chunk before its end".to_owned(),
                )
                .into());
            }
            document.extend_from_slice(&chunk);
        }
        Ok(Some((held, document.freeze())))
    }

    async fn fetch_first_rules_chunk(&self) -> Result<Option<FirstRulesChunk>, CallError> {
        let mut request = self.peer.rules_request();
        request.get().set_in_pieces(true);
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            let response = response.get()?;
            let length = response.get_length() as usize;
            let first_chunk = FirstRulesChunk {
                document: BytesMut::from(response.get_document()?),
                length,
                // Peers without support for chunks send the whole document and no length.
                rest: if length > 0 { Some(response.get_rest()?) } else { None },
                held: match read_held_version(response.get_known()?) {
                    Some(held) => held,
                    None => return Ok(None),
                },
            };
            Ok(Some(first_chunk))
        })
        .await
    }

    /// Fetches the upstream list that the peer holds, as a delta if the peer still has the list with the
    /// digest `base`. Long lists are fetched in chunks; the call timeout applies to each of them.
    pub async fn upstreams(&self, base: Option<u64>) -> Result<Option<(HeldVersion, ListUpdate)>, CallError> {
        let Some(FirstListChunk { held, mut update, length }) = self.fetch_first_list_chunk(base).await?
        else {
            return Ok(None);
        };
        check_length("upstream list", length, MAX_LIST_ENTRIES)?;
        if let ListUpdate::Full(list) = &mut update {
            while list.entries.len() < length {
                let chunk = self.fetch_list_chunk(held.version.digest, list.entries.len()).await?;
                if chunk.is_empty() {
                    return Err(capnp::Error::failed(
                        "upstream list truncated: peer sent an empty chunk before its end".to_owned(),
                    )
                    .into());
                }
                list.entries.extend(chunk);
            }
        }
        Ok(Some((held, update)))
    }

    async fn fetch_first_list_chunk(&self, base: Option<u64>) -> Result<Option<FirstListChunk>, CallError> {
        let mut request = self.peer.upstreams_request();
        request.get().set_base(base.unwrap_or_default());
        request.get().set_in_pieces(true);
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            let response = response.get()?;
            let update = read_list(response)?;
            let length = response.get_length() as usize;
            Ok(read_held_version(response.get_known()?).map(|held| FirstListChunk { held, update, length }))
        })
        .await
    }

    async fn fetch_list_chunk(
        &self,
        digest: u64,
        start: usize,
    ) -> Result<Vec<Arc<UpstreamEntry>>, CallError> {
        let mut request = self.peer.list_piece_request();
        request.get().set_digest(digest);
        request.get().set_from(list_length(start));
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            Ok(read_upstreams(response.get()?.get_list()?)?)
        })
        .await
    }

    /// Fetches the partial upstream list that the peer holds. It is empty if the peer holds a complete list or
    /// none.
    pub async fn partial_list(&self) -> Result<UpstreamList, CallError> {
        let request = self.peer.list_part_request();
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            let response = response.get()?;
            let entries = read_upstreams(response.get_list()?)?;
            Ok(UpstreamList { entries, drained: read_drained(response.get_drained()?)? })
        })
        .await
    }

    /// Fetches a page of the cached parts that the peer knows. Returns `None` if the peer has just started
    /// and does not have enough data.
    pub async fn cached_parts(
        &self,
        page: CachedPartsPage,
    ) -> Result<Option<Vec<ObservedCachedPart>>, CallError> {
        let mut request = self.peer.reads_request();
        request.get().set_page(page.index);
        request.get().set_pages(page.count);
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            let response = response.get()?;
            let cached_parts = response.get_reads()?.iter().map(read_cached_part).collect();
            Ok(response.get_informed().then_some(cached_parts))
        })
        .await
    }

    /// Hands records of streams over to the peer.
    pub async fn record_streams(&self, streams: &[ObservedStream]) -> Result<(), CallError> {
        let mut request = self.peer.record_streams_request();
        write_list_items(request.get().init_records(list_length(streams.len())), streams, write_stream);
        with_timeout(self.timeout, async {
            request.send().promise.await?;
            Ok(())
        })
        .await
    }

    /// Asks the peer for a stream and for the software of its pool, or of all pools.
    pub async fn find_stream(
        &self,
        stream: StreamId,
        pool: Option<NameHash>,
    ) -> Result<StreamAnswer, CallError> {
        let mut request = self.peer.find_stream_request();
        request.get().set_stream(stream.0);
        request.get().set_pool(pool.map_or(0, |pool| pool.0));
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            let response = response.get()?;
            Ok(StreamAnswer {
                record: response.get_records()?.iter().map(read_stream).next(),
                watched_for: Duration::from_millis(response.get_watched_millis().into()),
                served: response.get_served()?.iter().map(read_served).collect(),
            })
        })
        .await
    }
}

impl FleetClient {
    /// Requests a permit from the peer.
    pub async fn issue_permit(&self, permit: PermitRequest) -> Result<PermitAnswer<RemotePermit>, CallError> {
        let mut request = self.peer.issue_permit_request();
        request.get().set_upstream(permit.upstream.0);
        request.get().set_limit(permit.limit);
        request.get().set_lifetime_millis(millis(permit.lifetime));
        with_timeout(self.timeout, async {
            let response = request.send().promise.await?;
            let response = response.get()?;
            let permit = if response.has_permit() { Some(response.get_permit()?) } else { None };
            Ok(PermitAnswer {
                in_progress: response.get_in_progress(),
                permit: permit.map(RemotePermit::new),
            })
        })
        .await
    }
}

/// Returns an error if a peer announces more than it may send.
fn check_length(what: &str, length: usize, max_length: usize) -> Result<(), CallError> {
    if length <= max_length {
        return Ok(());
    }
    Err(capnp::Error::failed(format!("{what} of length {length} exceeds {max_length}")).into())
}
