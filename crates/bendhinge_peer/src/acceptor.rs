//! Accepts connections from peers and serves RPC calls on them.

use std::rc::Rc;
use std::sync::Arc;

use capnp::capability::Client;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};

use crate::secure::{ConnectionRole, PeerKey, secure};
use crate::traffic::TrafficCounters;

/// Accepts connections on `listener` indefinitely. `bootstrap` creates the bootstrap capability of each
/// connection.
pub(crate) async fn serve_connections(
    listener: TcpListener,
    key: PeerKey,
    traffic: Arc<TrafficCounters>,
    executor: Rc<LocalExecutor<'static>>,
    bootstrap: impl Fn() -> Client,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let connection =
            serve_connection(stream, key.clone(), Arc::clone(&traffic), Rc::clone(&executor), bootstrap());
        executor.spawn(connection).detach();
    }
}

async fn serve_connection(
    stream: TcpStream,
    key: PeerKey,
    traffic: Arc<TrafficCounters>,
    executor: Rc<LocalExecutor<'static>>,
    bootstrap: Client,
) {
    // Failed handshakes are already counted, and the peer must not learn the reason.
    let Ok(io) = secure(stream, &key, ConnectionRole::Responder, &traffic, &executor).await else { return };
    let network = twoparty::VatNetwork::new(io.reader, io.writer, Side::Server, ReaderOptions::default());
    let _ = RpcSystem::new(Box::new(network), Some(bootstrap)).await;
}
