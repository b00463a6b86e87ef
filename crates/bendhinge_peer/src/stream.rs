//! Byte streams between routers, for protocols other than RPC.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::LocalExecutor;
use smol::net::TcpStream;

use crate::TrafficCounters;
use crate::client::{CallError, with_timeout};
use crate::secure::{ConnectError, ConnectionRole, PeerKey, Protocol, SecureStream, secure};

/// An encrypted byte stream to a router that holds the fleet's key.
pub struct PeerStream(SecureStream);

impl PeerStream {
    pub(crate) const fn new(stream: SecureStream) -> Self {
        Self(stream)
    }

    /// Connects to the router at `address` within `timeout`. Fails if that router takes no forwarded requests.
    ///
    /// The data is encrypted and decrypted on `executor`; the stream itself may be used on any thread.
    pub async fn connect(
        address: SocketAddr,
        key: &PeerKey,
        timeout: Duration,
        traffic: &Arc<TrafficCounters>,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> Result<Self, CallError> {
        let connecting = async {
            let stream = TcpStream::connect(address).await.map_err(ConnectError::from)?;
            let role = ConnectionRole::Initiator(Protocol::Http);
            Ok(Self(secure(stream, key, role, traffic, executor).await?))
        };
        with_timeout(timeout, connecting).await
    }
}

impl AsyncRead for PeerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.reader).poll_read(context, buffer)
    }
}

impl AsyncWrite for PeerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.writer).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.writer).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.writer).poll_close(context)
    }
}
