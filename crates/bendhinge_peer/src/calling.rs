//! The asking side of a connection to a peer, which closes it when nobody uses it any more.

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

use crate::client::{CallError, within};
use crate::secure::{ConnectionSide, PeerKey, SecureError, secure};
use crate::traffic::Traffic;

/// What keeps a connection open: the library's own end of it. Left alone it would stay for ever,
/// since it runs until the peer closes, and the peer waits for it. Dropped, it is cancelled with
/// all its tasks. The library's own way of closing is not used: when the peer closes at the same
/// moment, it panics ("message loop outlived connection state").
pub(crate) struct Calling {
    _system: Task<()>,
}

/// Connects to the peer at `address` within `time`; gives the peer and what keeps the connection.
pub(crate) async fn open<C: FromClientHook>(
    address: SocketAddr,
    key: &PeerKey,
    time: Duration,
    traffic: &Arc<Traffic>,
    executor: &Rc<LocalExecutor<'static>>,
) -> Result<(C, Rc<Calling>), CallError> {
    let connecting = async {
        let stream = TcpStream::connect(address).await.map_err(SecureError::from)?;
        Ok(secure(stream, key, ConnectionSide::Opened, traffic, executor).await?)
    };
    let ends = within(time, connecting).await?;
    let network = twoparty::VatNetwork::new(ends.reader, ends.writer, Side::Client, ReaderOptions::default());
    let mut system = RpcSystem::new(Box::new(network), None);
    let peer = system.bootstrap(Side::Server);
    let system = executor.spawn(async move {
        // A lost connection shows in the calls that wait for it.
        let _ = system.await;
    });
    Ok((peer, Rc::new(Calling { _system: system })))
}
