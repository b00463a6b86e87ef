//! Accepts connections from peers, serves RPC calls on them, and hands over those of other protocols.

use std::rc::Rc;
use std::sync::Arc;

use capnp::capability::Client;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};

use crate::secure::{ConnectionRole, PeerKey, Protocol, secure};
use crate::stream::PeerStream;
use crate::traffic::TrafficCounters;

/// Receives the streams on which peers forward requests.
pub type StreamHandler = Rc<dyn Fn(PeerStream)>;

/// Accepts connections on `listener` indefinitely. `bootstrap` creates the bootstrap capability of each
/// connection. Connections for forwarded requests are accepted if there is a handler for them.
pub(crate) async fn serve_connections(
    listener: TcpListener,
    key: PeerKey,
    traffic: Arc<TrafficCounters>,
    executor: Rc<LocalExecutor<'static>>,
    bootstrap: impl Fn() -> Client,
    on_stream: Option<StreamHandler>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let connection = serve_connection(
            stream,
            key.clone(),
            Arc::clone(&traffic),
            Rc::clone(&executor),
            bootstrap(),
            on_stream.clone(),
        );
        executor.spawn(connection).detach();
    }
}

async fn serve_connection(
    stream: TcpStream,
    key: PeerKey,
    traffic: Arc<TrafficCounters>,
    executor: Rc<LocalExecutor<'static>>,
    bootstrap: Client,
    on_stream: Option<StreamHandler>,
) {
    let role = ConnectionRole::Responder { accepts_http: on_stream.is_some() };
    // Failed handshakes are already counted, and the peer must not learn the reason.
    let Ok(io) = secure(stream, &key, role, &traffic, &executor).await else { return };
    if let (Protocol::Http, Some(on_stream)) = (io.protocol, on_stream) {
        return on_stream(PeerStream::new(io));
    }
    let network = twoparty::VatNetwork::new(io.reader, io.writer, Side::Server, ReaderOptions::default());
    let _ = RpcSystem::new(Box::new(network), Some(bootstrap)).await;
}
