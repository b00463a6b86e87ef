//! Accepts connections from peers, serves RPC calls on them, and hands over those of other protocols.

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::capability::Client;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use smol::net::{TcpListener, TcpStream};
use smol::{LocalExecutor, Task, Timer};

use crate::client::with_timeout;
use crate::connector::reader_options;
use crate::secure::{ConnectionRole, PeerKey, Protocol, secure};
use crate::stream::PeerStream;
use crate::traffic::TrafficCounters;

/// The pause after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a peer may take for its part of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// The maximum number of connections whose handshake is not complete. A further one replaces the oldest.
const MAX_HANDSHAKES: usize = 256;

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
    let mut handshakes: VecDeque<Task<()>> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Without a free descriptor, each attempt fails at once.
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        handshakes.retain(|handshake| !handshake.is_finished());
        if handshakes.len() >= MAX_HANDSHAKES {
            traffic.record_rejected();
            handshakes.pop_front();
        }
        let accepted = accept(
            stream,
            key.clone(),
            Arc::clone(&traffic),
            Rc::clone(&executor),
            bootstrap(),
            on_stream.clone(),
        );
        handshakes.push_back(executor.spawn(accepted));
    }
}

/// Performs the handshake with a peer, and starts to serve it.
async fn accept(
    stream: TcpStream,
    key: PeerKey,
    traffic: Arc<TrafficCounters>,
    executor: Rc<LocalExecutor<'static>>,
    bootstrap: Client,
    on_stream: Option<StreamHandler>,
) {
    let role = ConnectionRole::Responder { accepts_http: on_stream.is_some() };
    let securing = async { Ok(secure(stream, &key, role, &traffic, &executor).await?) };
    // Failed handshakes are already counted, and the peer must not learn the reason.
    let Ok(io) = with_timeout(HANDSHAKE_TIMEOUT, securing).await else { return };
    if let (Protocol::Http, Some(on_stream)) = (io.protocol, on_stream) {
        return on_stream(PeerStream::new(io));
    }
    let network = twoparty::VatNetwork::new(io.reader, io.writer, Side::Server, reader_options());
    let serving = async move {
        let _ = RpcSystem::new(Box::new(network), Some(bootstrap)).await;
    };
    executor.spawn(serving).detach();
}
