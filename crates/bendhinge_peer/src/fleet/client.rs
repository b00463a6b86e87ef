//! The side that asks.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_fleet::{ListUpdate, UpstreamEntry, UpstreamList};
use bytes::{Bytes, BytesMut};
use smol::LocalExecutor;

use super::convert::{
    count, read_drained, read_known, read_list, read_message, read_read, read_upstreams, write_message,
};
use super::{Known, ObservedRead, PeerMessage, ReadsPage};
use crate::calling::{self, Calling};
use crate::client::{CallError, within};
use crate::fleet_capnp::{document, fleet};
use crate::pool::PeerConnection;
use crate::secure::PeerKey;
use crate::traffic::Traffic;

/// A connection to one peer; cheap to clone.
#[derive(Clone)]
pub struct FleetClient {
    peer: fleet::Client,
    time: Duration,
    _calling: Rc<Calling>,
}

impl PeerConnection for FleetClient {
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

/// Rules of which the first piece is there.
struct RulesBegun {
    known: Known,
    document: BytesMut,
    /// Bytes of the whole document; 0 if it is whole.
    length: usize,
    rest: Option<document::Client>,
}

/// A list of which the first piece is there.
struct ListBegun {
    known: Known,
    told: ListUpdate,
    /// Entries of the whole list; 0 if it is whole.
    length: usize,
}

impl FleetClient {
    /// Exchanges messages.
    pub async fn exchange(&self, message: &PeerMessage) -> Result<PeerMessage, CallError> {
        let mut request = self.peer.exchange_request();
        write_message(request.get().init_message(), message);
        within(self.time, async {
            let answer = request.send().promise.await?;
            Ok(read_message(answer.get()?.get_message()?)?)
        })
        .await
    }

    /// Fetches the document of the serving rules that the peer holds, piece by piece; each piece has
    /// the time of a call.
    pub async fn rules(&self) -> Result<Option<(Known, Bytes)>, CallError> {
        let Some(RulesBegun { known, mut document, length, rest }) = self.begin_rules().await? else {
            return Ok(None);
        };
        while let Some(rest) = rest.as_ref().filter(|_| document.len() < length) {
            let mut request = rest.read_request();
            request.get().set_offset(u32::try_from(document.len()).unwrap_or(u32::MAX));
            let read = async {
                let answer = request.send().promise.await?;
                Ok(Bytes::copy_from_slice(answer.get()?.get_bytes()?))
            };
            let piece = within(self.time, read).await?;
            if piece.is_empty() {
                return Err(capnp::Error::failed("a document ended early".to_owned()).into());
            }
            document.extend_from_slice(&piece);
        }
        Ok(Some((known, document.freeze())))
    }

    /// Asks for the rules, and takes their first piece.
    async fn begin_rules(&self) -> Result<Option<RulesBegun>, CallError> {
        let mut request = self.peer.rules_request();
        request.get().set_in_pieces(true);
        within(self.time, async {
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            let length = answer.get_length() as usize;
            let begun = RulesBegun {
                document: BytesMut::from(answer.get_document()?),
                length,
                // A peer that knows no pieces says no length, and its document is whole.
                rest: if length > 0 { Some(answer.get_rest()?) } else { None },
                known: match read_known(answer.get_known()?) {
                    Some(known) => known,
                    None => return Ok(None),
                },
            };
            Ok(Some(begun))
        })
        .await
    }

    /// Fetches the list of upstreams that the peer holds, as changes if it remembers the one whose digest
    /// is `base`. A long list comes in pieces, each of which has the time of a call.
    pub async fn upstreams(&self, base: Option<u64>) -> Result<Option<(Known, ListUpdate)>, CallError> {
        let Some(ListBegun { known, mut told, length }) = self.begin_list(base).await? else {
            return Ok(None);
        };
        if let ListUpdate::Full(list) = &mut told {
            while list.entries.len() < length {
                let piece = self.list_piece(known.version.digest, list.entries.len()).await?;
                if piece.is_empty() {
                    return Err(capnp::Error::failed("a list ended early".to_owned()).into());
                }
                list.entries.extend(piece);
            }
        }
        Ok(Some((known, told)))
    }

    async fn begin_list(&self, base: Option<u64>) -> Result<Option<ListBegun>, CallError> {
        let mut request = self.peer.upstreams_request();
        request.get().set_base(base.unwrap_or_default());
        request.get().set_in_pieces(true);
        within(self.time, async {
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            let told = read_list(answer)?;
            let length = answer.get_length() as usize;
            Ok(read_known(answer.get_known()?).map(|known| ListBegun { known, told, length }))
        })
        .await
    }

    async fn list_piece(&self, digest: u64, from: usize) -> Result<Vec<Arc<UpstreamEntry>>, CallError> {
        let mut request = self.peer.list_piece_request();
        request.get().set_digest(digest);
        request.get().set_from(count(from));
        within(self.time, async {
            let answer = request.send().promise.await?;
            Ok(read_upstreams(answer.get()?.get_list()?)?)
        })
        .await
    }

    /// Fetches the part of a list with which the peer has begun; it is empty if the peer holds a whole one, or none.
    pub async fn list_part(&self) -> Result<UpstreamList, CallError> {
        let request = self.peer.list_part_request();
        within(self.time, async {
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            let entries = read_upstreams(answer.get_list()?)?;
            Ok(UpstreamList { entries, drained: read_drained(answer.get_drained()?)? })
        })
        .await
    }

    /// Fetches a part of all that the peer believes upstreams to have read; `None` if it has just
    /// started and knows too little itself.
    pub async fn reads(&self, page: ReadsPage) -> Result<Option<Vec<ObservedRead>>, CallError> {
        let mut request = self.peer.reads_request();
        request.get().set_page(page.index);
        request.get().set_pages(page.count);
        within(self.time, async {
            let answer = request.send().promise.await?;
            let answer = answer.get()?;
            let reads = answer.get_reads()?.iter().map(read_read).collect();
            Ok(answer.get_informed().then_some(reads))
        })
        .await
    }
}
