//! HTTP/1.1 server with connection limits, timeouts and graceful shutdown.

use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bendhinge_buffers::{BufferBudget, Owner, Reservation};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use rustix::net::sockopt::set_socket_send_buffer_size;
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::abort_guard::AbortGuard;
use crate::connection_buffers::{AccountedStream, ConnectionBuffers};
use crate::write_timeout::WriteTimeoutStream;
use crate::{Body, Tasks};

/// The size of the system's buffer for data that a client has not received, which otherwise grows to megabytes.
const SEND_BUFFER_BYTES: usize = 128 << 10;

/// Limits on the connections of a [`Server`].
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// The maximum size of a request head, in bytes. hyper requires at least 8 KiB.
    pub max_head_bytes: usize,
    /// The timeout for receiving a request head, which also limits idle connections.
    pub head_timeout: Duration,
    /// How long a write may block before the connection is closed.
    pub write_timeout: Duration,
    /// The maximum number of open connections. Further ones are closed immediately.
    pub max_connections: usize,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 64 << 10,
            head_timeout: Duration::from_mins(1),
            write_timeout: Duration::from_secs(10),
            max_connections: 10_000,
        }
    }
}

/// A handle for the graceful shutdown of a [`Server`].
#[derive(Clone, Debug)]
pub struct StopHandle(Sender<()>);

impl StopHandle {
    /// Stops accepting connections, closes idle ones, and closes the others after their response.
    pub fn stop(&self) {
        self.0.close();
    }
}

/// A callback for connections that the server closes. It receives the client's address.
pub type CloseCallback = Arc<dyn Fn(SocketAddr) + Send + Sync>;

/// An HTTP/1.1 server bound to an address.
pub struct Server {
    listener: TcpListener,
    limits: ServeLimits,
    tasks: Tasks,
    stop_sender: Sender<()>,
    stop_receiver: Receiver<()>,
    open_connections: Arc<AtomicUsize>,
    on_write_timeout: CloseCallback,
    on_connection_limit: CloseCallback,
    on_memory_limit: CloseCallback,
    buffers: BufferBudget,
}

impl Server {
    /// Binds to `address`. Port 0 selects a free port.
    pub async fn bind(address: SocketAddr, limits: ServeLimits, tasks: Tasks) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (stop_sender, stop_receiver) = bounded(1);
        Ok(Self {
            listener,
            limits,
            tasks,
            stop_sender,
            stop_receiver,
            open_connections: Arc::default(),
            on_write_timeout: Arc::new(|_| ()),
            on_connection_limit: Arc::new(|_| ()),
            on_memory_limit: Arc::new(|_| ()),
            buffers: BufferBudget::unlimited(),
        })
    }

    /// Sets the budget for incomplete request heads and unread responses.
    #[must_use]
    pub fn with_buffers(self, buffers: BufferBudget) -> Self {
        Self { buffers, ..self }
    }

    /// Sets the callback for connections closed because their memory is needed elsewhere.
    #[must_use]
    pub fn on_memory_limit(self, on_memory_limit: CloseCallback) -> Self {
        Self { on_memory_limit, ..self }
    }

    /// Sets the callback for connections closed by the write timeout.
    #[must_use]
    pub fn on_write_timeout(self, on_write_timeout: CloseCallback) -> Self {
        Self { on_write_timeout, ..self }
    }

    /// Sets the callback for connections closed because too many are open.
    #[must_use]
    pub fn on_connection_limit(self, on_connection_limit: CloseCallback) -> Self {
        Self { on_connection_limit, ..self }
    }

    /// The bound address, with the actual port.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Returns a handle that stops this server.
    #[must_use]
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle(self.stop_sender.clone())
    }

    /// Accepts connections until stopped, then waits for the open ones to close.
    pub async fn run<F, R>(self, handler: F)
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        while let Some((stream, caller)) = self.next_connection().await {
            if self.open_connections.load(Ordering::Relaxed) >= self.limits.max_connections {
                let _ = stream.shutdown(Shutdown::Both);
                (self.on_connection_limit)(caller);
                continue;
            }
            self.spawn_connection(stream, caller, handler.clone());
        }
        drop(self.listener);
        while self.open_connections.load(Ordering::Acquire) > 0 {
            Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn next_connection(&self) -> Option<(TcpStream, SocketAddr)> {
        const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
        let accept = async {
            loop {
                match self.listener.accept().await {
                    Ok(connection) => return Some(connection),
                    Err(_) => Timer::after(ACCEPT_RETRY_DELAY).await,
                };
            }
        };
        let stop_requested = async {
            let _ = self.stop_receiver.recv().await;
            None
        };
        stop_requested.or(accept).await
    }

    fn spawn_connection<F, R>(&self, stream: TcpStream, caller: SocketAddr, handler: F)
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let limits = self.limits;
        let stop_receiver = self.stop_receiver.clone();
        let guard = ConnectionGuard::new(&self.open_connections);
        let on_write_timeout = Arc::clone(&self.on_write_timeout);
        let on_memory_limit = Arc::clone(&self.on_memory_limit);
        let buffers =
            ConnectionBuffers::new(self.buffers.open(Owner::Client(caller.ip())), limits.max_head_bytes);
        let accounts = self.buffers.is_limited();
        let connection = async move {
            let _guard = guard;
            let _ = stream.set_nodelay(true);
            // If this fails, the system's limit applies.
            let _ = set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES);
            let abort_guard = AbortGuard::new(stream.clone());
            let response_guard = abort_guard.clone();
            let response_buffers = buffers.clone();
            let service = service_fn(move |mut request: Request<Incoming>| {
                let version = request.version();
                let abort_guard = response_guard.clone();
                let buffers = response_buffers.clone();
                request.extensions_mut().insert(buffers.begin_request());
                // Boxed, because hyper reserves space for this future for the lifetime of the
                // connection, including while the response body streams.
                let response = Box::pin(handler(request));
                async move {
                    let response = response_or_close(response.await)?;
                    abort_guard.begin_response(version, &response);
                    let account = |body| if accounts { buffers.account_for(body) } else { body };
                    Ok::<_, CloseConnection>(response.map(account))
                }
            });
            let http_connection = http1::Builder::new()
                .timer(SmolTimer::new())
                .max_buf_size(limits.max_head_bytes)
                .writev(true)
                .header_read_timeout(limits.head_timeout)
                .serve_connection(
                    FuturesIo::new(AccountedStream::new(
                        WriteTimeoutStream::new(stream, limits.write_timeout),
                        buffers.clone(),
                    )),
                    service,
                );
            let mut http_connection = std::pin::pin!(http_connection);
            let serving = async {
                let completed = async { Some(http_connection.as_mut().await) };
                let stop_requested = async {
                    let _ = stop_receiver.recv().await;
                    None
                };
                let result = if let Some(result) = completed.or(stop_requested).await {
                    result
                } else {
                    http_connection.as_mut().graceful_shutdown();
                    http_connection.as_mut().await
                };
                ConnectionEnd::of(result)
            };
            let revoked = async {
                buffers.revoked().await;
                ConnectionEnd::OutOfMemory
            };
            match serving.or(revoked).await {
                ConnectionEnd::Complete => abort_guard.allow_close(),
                ConnectionEnd::WriteTimeout => on_write_timeout(caller),
                ConnectionEnd::OutOfMemory => on_memory_limit(caller),
                // The request was dropped with the connection.
                ConnectionEnd::Failed => {}
            }
        };
        self.tasks.spawn(connection).detach();
    }
}

/// Serves the HTTP requests on one stream that is already connected, until it is closed or its `buffers` are needed
/// elsewhere.
pub async fn serve_stream<F, R>(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    limits: ServeLimits,
    buffers: Reservation,
    handler: F,
) where
    F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
    R: Future<Output = Response<Body>> + Send + 'static,
{
    let buffers = ConnectionBuffers::new(buffers, limits.max_head_bytes);
    let response_buffers = buffers.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        let buffers = response_buffers.clone();
        request.extensions_mut().insert(buffers.begin_request());
        let response = Box::pin(handler(request));
        async move {
            let response = response_or_close(response.await)?;
            Ok::<_, CloseConnection>(response.map(|body| buffers.account_for(body)))
        }
    });
    let stream = WriteTimeoutStream::new(stream, limits.write_timeout);
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .max_buf_size(limits.max_head_bytes)
        .header_read_timeout(limits.head_timeout)
        .serve_connection(FuturesIo::new(AccountedStream::new(stream, buffers.clone())), service);
    let serving = async {
        // An error drops the request in progress with the connection.
        let _ = connection.await;
    };
    serving.or(buffers.revoked()).await;
}

/// How a connection ended.
enum ConnectionEnd {
    Complete,
    /// The client did not read its response.
    WriteTimeout,
    /// The memory of its buffers was needed elsewhere.
    OutOfMemory,
    Failed,
}

impl ConnectionEnd {
    fn of(result: hyper::Result<()>) -> Self {
        let Err(error) = result else { return Self::Complete };
        let source = std::error::Error::source(&error);
        match source.and_then(|source| source.downcast_ref::<io::Error>()).map(io::Error::kind) {
            Some(io::ErrorKind::TimedOut) => Self::WriteTimeout,
            Some(io::ErrorKind::OutOfMemory) => Self::OutOfMemory,
            _ => Self::Failed,
        }
    }
}

/// A response extension that closes the connection instead of sending the response.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("connection closed instead of sending a response")]
pub struct CloseConnection;

fn response_or_close(response: Response<Body>) -> Result<Response<Body>, CloseConnection> {
    match response.extensions().get::<CloseConnection>() {
        None => Ok(response),
        Some(close) => Err(*close),
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Arc<AtomicUsize>);

impl ConnectionGuard {
    fn new(open_connections: &Arc<AtomicUsize>) -> Self {
        open_connections.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open_connections))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Release);
    }
}
