//! The side that is asked, whatever it is asked.

use std::rc::Rc;
use std::sync::Arc;

use capnp::capability::Client;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use smol::LocalExecutor;
use smol::net::{TcpListener, TcpStream};

use crate::secure::{ConnectionSide, PeerKey, secure};
use crate::traffic::Traffic;

/// Serves peers on `listener` for ever; each connection gets what `bootstrap` makes.
pub(crate) async fn serve_connections(
    listener: TcpListener,
    key: PeerKey,
    traffic: Arc<Traffic>,
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
    traffic: Arc<Traffic>,
    executor: Rc<LocalExecutor<'static>>,
    bootstrap: Client,
) {
    // A foreign connection was counted; its sender learns nothing.
    let Ok(ends) = secure(stream, &key, ConnectionSide::Accepted, &traffic, &executor).await else { return };
    let network = twoparty::VatNetwork::new(ends.reader, ends.writer, Side::Server, ReaderOptions::default());
    let _ = RpcSystem::new(Box::new(network), Some(bootstrap)).await;
}
