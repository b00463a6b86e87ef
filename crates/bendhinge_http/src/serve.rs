//! The server loop.

use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::write_timeout::WriteTimeoutStream;
use crate::{Body, Tasks};

/// What one listening address allows its callers.
#[derive(Clone, Copy, Debug)]
pub struct ServeLimits {
    /// The largest request head, in bytes; hyper allows no less than 8 KiB.
    pub head_bytes: usize,
    /// How long a request head may take to arrive, which also bounds idle connections.
    pub head_time: Duration,
    /// How long a caller may leave an answer unread before its connection is cut.
    pub unread_for: Duration,
    /// How many connections may be open; further ones are closed at once.
    pub connections: usize,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 << 10,
            head_time: Duration::from_mins(1),
            unread_for: Duration::from_secs(10),
            connections: 10_000,
        }
    }
}

/// Ends a [`Server`]: no new connections, idle ones closed, those in use after their answer.
#[derive(Clone, Debug)]
pub struct ServerStop(Sender<()>);

impl ServerStop {
    /// Starts the orderly stop.
    pub fn stop(&self) {
        self.0.close();
    }
}

/// What is done when a caller is cut since it left its answer unread.
pub type Unread = Arc<dyn Fn(SocketAddr) + Send + Sync>;

/// A listening address with its limits.
pub struct Server {
    listener: TcpListener,
    limits: ServeLimits,
    tasks: Tasks,
    stop: Sender<()>,
    stopped: Receiver<()>,
    open: Arc<AtomicUsize>,
    unread: Unread,
}

impl Server {
    /// Listens on `address`; port 0 takes a free one.
    pub async fn bind(address: SocketAddr, limits: ServeLimits, tasks: Tasks) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (stop, stopped) = bounded(1);
        Ok(Self { listener, limits, tasks, stop, stopped, open: Arc::default(), unread: Arc::new(|_| ()) })
    }

    /// The same server, which calls `unread` for each caller that it cuts since it left its answer unread.
    #[must_use]
    pub fn noting_unread(self, unread: Unread) -> Self {
        Self { unread, ..self }
    }

    /// The address with the port that was taken.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The handle that stops this server.
    #[must_use]
    pub fn stopper(&self) -> ServerStop {
        ServerStop(self.stop.clone())
    }

    /// Serves until stopped, then waits for the connections in use to finish.
    pub async fn run<F, R>(self, handler: F)
    where
        F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        const POLL: Duration = Duration::from_millis(10);
        while let Some((stream, caller)) = self.next_connection().await {
            if self.open.load(Ordering::Relaxed) >= self.limits.connections {
                let _ = stream.shutdown(Shutdown::Both);
                continue;
            }
            self.spawn_connection(stream, caller, handler.clone());
        }
        drop(self.listener);
        while self.open.load(Ordering::Acquire) > 0 {
            Timer::after(POLL).await;
        }
    }

    async fn next_connection(&self) -> Option<(TcpStream, SocketAddr)> {
        const PAUSE_AFTER_ERROR: Duration = Duration::from_millis(50);
        let accept = async {
            loop {
                match self.listener.accept().await {
                    Ok(accepted) => return Some(accepted),
                    Err(_) => Timer::after(PAUSE_AFTER_ERROR).await,
                };
            }
        };
        let stop = async {
            let _ = self.stopped.recv().await;
            None
        };
        stop.or(accept).await
    }

    fn spawn_connection<F, R>(&self, stream: TcpStream, caller: SocketAddr, handler: F)
    where
        F: Fn(Request<Incoming>) -> R + Send + Sync + 'static,
        R: Future<Output = Response<Body>> + Send + 'static,
    {
        let limits = self.limits;
        let stopped = self.stopped.clone();
        let open = OpenConnection::new(&self.open);
        let unread = Arc::clone(&self.unread);
        let connection = async move {
            let _open = open;
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                // Boxed, because the library keeps room for it as long as the connection is open;
                // while an answer streams, this is all that is left of how it was made.
                let answer = Box::pin(handler(request));
                async move { unless_cut(answer.await) }
            });
            let serving = http1::Builder::new()
                .timer(SmolTimer::new())
                .max_buf_size(limits.head_bytes)
                .writev(true)
                .header_read_timeout(limits.head_time)
                .serve_connection(
                    FuturesIo::new(WriteTimeoutStream::new(stream, limits.unread_for)),
                    service,
                );
            let mut serving = std::pin::pin!(serving);
            let ended = async {
                // A broken connection is the caller's to notice; its request was dropped with it.
                if serving.as_mut().await.is_err_and(|error| is_unread(&error)) {
                    unread(caller);
                }
                true
            };
            let stop = async {
                let _ = stopped.recv().await;
                false
            };
            if !ended.or(stop).await {
                serving.as_mut().graceful_shutdown();
                let _ = serving.await;
            }
        };
        self.tasks.spawn(connection).detach();
    }
}

/// Whether a connection ended since its caller took nothing of what was written.
fn is_unread(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|source| source.downcast_ref::<io::Error>());
    source.is_some_and(|source| source.kind() == io::ErrorKind::TimedOut)
}

/// Put into an answer's extensions, cuts the connection in place of sending the answer.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the connection is cut in place of an answer")]
pub struct CutConnection;

fn unless_cut(answer: Response<Body>) -> Result<Response<Body>, CutConnection> {
    match answer.extensions().get::<CutConnection>() {
        None => Ok(answer),
        Some(cut) => Err(*cut),
    }
}

struct OpenConnection(Arc<AtomicUsize>);

impl OpenConnection {
    fn new(open: &Arc<AtomicUsize>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Release);
    }
}
