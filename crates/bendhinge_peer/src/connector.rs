//! Opens connections to peers and closes them when they are no longer in use.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::capability::FromClientHook;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use smol::net::TcpStream;
use smol::{LocalExecutor, Task};

use crate::MAX_DOCUMENT_BYTES;
use crate::client::{CallError, with_timeout};
use crate::secure::{ConnectError, ConnectionRole, PeerKey, Protocol, secure};
use crate::traffic::TrafficCounters;

/// Returns the limits on messages of peers.
pub(crate) fn reader_options() -> ReaderOptions {
    /// Twice the size of the largest document, which peers of older versions send in one message.
    const MAX_MESSAGE_BYTES: usize = 2 * MAX_DOCUMENT_BYTES;
    const WORD_BYTES: usize = 8;
    let mut options = ReaderOptions::default();
    options.traversal_limit_in_words(Some(MAX_MESSAGE_BYTES / WORD_BYTES));
    options
}

/// Keeps a connection open until it is dropped, which cancels the task of the RPC system.
///
/// Without this the task would run until the peer closes the connection, while the peer waits for this
/// side to close it. The disconnect method of `capnp-rpc` is not used since it panics ("message loop
/// outlived connection state") if the peer closes the connection at the same time.
pub(crate) struct ConnectionGuard {
    _task: Task<()>,
}

/// Connects to the peer at `address` within `timeout`. Returns the peer's bootstrap capability and the
/// guard that keeps the connection open.
pub(crate) async fn connect<C: FromClientHook>(
    address: SocketAddr,
    key: &PeerKey,
    timeout: Duration,
    traffic: &Arc<TrafficCounters>,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<(C, Rc<ConnectionGuard>), CallError> {
    let connecting = async {
        let stream = TcpStream::connect(address).await.map_err(ConnectError::from)?;
        Ok(secure(stream, key, ConnectionRole::Initiator(Protocol::Rpc), traffic, executor).await?)
    };
    let io = with_timeout(timeout, connecting).await?;
    let network = twoparty::VatNetwork::new(io.reader, io.writer, Side::Client, reader_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    let peer = system.bootstrap(Side::Server);
    let task = executor.spawn(async move {
        // If the connection is lost, the pending calls return the error.
        let _ = system.await;
    });
    Ok((peer, Rc::new(ConnectionGuard { _task: task })))
}
