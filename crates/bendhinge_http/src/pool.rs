//! Client connection pool that reports whether a failed request was sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use bendhinge_buffers::{BufferBudget, Owner, Reservation};
use futures_lite::{AsyncRead, AsyncWrite, FutureExt};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response, StatusCode};
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::limited_read::{HeadAllowance, LimitedReadStream};
use crate::{Body, Tasks};

/// The maximum size of the head of a response, and of the HTTP library's buffers for a connection.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// A connection could not be established; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection was refused or failed.
    #[error("cannot connect: {0}")]
    Io(#[from] std::io::Error),
    /// The connect timeout expired.
    #[error("connect timeout expired")]
    Timeout,
    /// The HTTP handshake failed.
    #[error("HTTP handshake failed: {0}")]
    Http(#[from] hyper::Error),
}

/// A request that received no response.
#[derive(Debug)]
pub enum SendFailure {
    /// No byte was written, so the request did not run. It is returned to the sender.
    NotSent(Box<Request<Body>>),
    /// Part of the request may have been written; it may have run.
    Unknown(hyper::Error),
    /// The response has a status that is not final, or that HTTP does not define (RFC 9110, section 15).
    InvalidStatus(StatusCode),
}

/// One connection to an upstream, used for one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Body>,
    head_allowance: HeadAllowance,
    /// The remote address.
    pub address: SocketAddr,
    /// Whether an earlier request used this connection; the upstream may then be closing it.
    pub reused: bool,
}

impl Connection {
    /// Sends a request and waits for the response head.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, SendFailure> {
        self.head_allowance.begin();
        let sent = self.sender.try_send_request(request).await;
        self.head_allowance.end();
        let response = sent.map_err(|mut failure| match failure.take_message() {
            Some(request) => SendFailure::NotSent(Box::new(request)),
            None => SendFailure::Unknown(failure.into_error()),
        })?;
        if is_final(response.status()) {
            Ok(response)
        } else {
            Err(SendFailure::InvalidStatus(response.status()))
        }
    }
}

/// Returns whether a response with this status ends its exchange. Interim responses are skipped by the HTTP library,
/// except for a change of protocol, which this client never asks for.
fn is_final(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}

struct IdleConnection {
    sender: SendRequest<Body>,
    head_allowance: HeadAllowance,
    idle_since: Instant,
    idle_timeout: Duration,
}

/// A pool of idle connections, keyed by address.
pub struct Pool {
    tasks: Tasks,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    connect_timeout: Duration,
    max_idle_timeout: Duration,
    max_idle_per_address: usize,
    buffers: BufferBudget,
}

impl Pool {
    /// Creates a pool with the given connect and idle timeouts.
    #[must_use]
    pub fn new(tasks: Tasks, connect_timeout: Duration, max_idle_timeout: Duration) -> Self {
        const MAX_IDLE_PER_ADDRESS: usize = 256;
        Self {
            tasks,
            idle: Mutex::default(),
            connect_timeout,
            max_idle_timeout,
            max_idle_per_address: MAX_IDLE_PER_ADDRESS,
            buffers: BufferBudget::unlimited(),
        }
    }

    /// Sets the budget for the bytes of responses that are incomplete.
    #[must_use]
    pub fn with_buffers(self, buffers: BufferBudget) -> Self {
        Self { buffers, ..self }
    }

    /// Opens a reservation for the bytes of a response from `address`.
    pub fn open_reservation(&self, address: SocketAddr) -> Reservation {
        self.buffers.open(Owner::Server(address))
    }

    /// An idle connection to `address`, or a new one.
    pub async fn connection(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        self.connection_used_within(address, self.max_idle_timeout).await
    }

    /// Returns a connection to `address` that has been idle for less than `max_idle`, or a new one.
    /// The longer a connection is idle, the more likely the upstream is closing it.
    pub async fn connection_used_within(
        &self,
        address: SocketAddr,
        max_idle: Duration,
    ) -> Result<Connection, ConnectError> {
        match self.idle_connection(address, max_idle) {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        }
    }

    fn take_idle(&self, address: SocketAddr, max_idle: Duration) -> Option<IdleConnection> {
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.get_mut(&address)?;
        // The most recently used connection is last.
        while let Some(candidate) = connections.last() {
            let age = candidate.idle_since.elapsed();
            if age >= max_idle && candidate.sender.is_ready() && age < candidate.idle_timeout {
                return None;
            }
            let candidate = connections.pop()?;
            if candidate.sender.is_ready() && age < candidate.idle_timeout {
                return Some(candidate);
            }
        }
        None
    }

    /// Whether the pool holds an idle connection to `address` that is not known to be closed.
    pub fn has_idle_connection(&self, address: SocketAddr) -> bool {
        let idle = self.idle.lock().unwrap();
        idle.get(&address).is_some_and(|connections| connections.iter().any(|one| one.sender.is_ready()))
    }

    /// Closes connections whose idle timeout has expired.
    pub fn prune(&self) {
        let mut idle = self.idle.lock().unwrap();
        idle.retain(|_, connections| {
            connections.retain(|one| one.sender.is_ready() && one.idle_since.elapsed() < one.idle_timeout);
            !connections.is_empty()
        });
    }

    /// Opens a new connection to `address`.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let connecting = async { TcpStream::connect(address).await.map_err(ConnectError::from) };
        let timeout = async {
            Timer::after(self.connect_timeout).await;
            Err(ConnectError::Timeout)
        };
        let stream = connecting.or(timeout).await?;
        stream.set_nodelay(true)?;
        self.connect_over(stream, address).await
    }

    /// Returns an idle connection to `address` that was used within `max_idle`, if there is one.
    pub fn idle_connection(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let IdleConnection { sender, head_allowance, .. } = self.take_idle(address, max_idle)?;
        Some(Connection { sender, head_allowance, address, reused: true })
    }

    /// Speaks HTTP over a stream that is already connected to `address`.
    pub async fn connect_over(
        &self,
        stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
        address: SocketAddr,
    ) -> Result<Connection, ConnectError> {
        // Without vectored writes, hyper keeps a copy of each request body while the connection is open.
        let mut builder = http1::Builder::new();
        let head_allowance = HeadAllowance::new(self.open_reservation(address));
        let revocation = head_allowance.clone();
        let stream = LimitedReadStream::new(stream, head_allowance.clone());
        builder.writev(true).max_buf_size(MAX_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(FuturesIo::new(stream)).await?;
        let connection = async move {
            // `Connection::send` reports the error.
            let _ = connection.await;
        };
        let revoked = async move { revocation.revoked().await };
        self.tasks.spawn(connection.or(revoked)).detach();
        Ok(Connection { sender, head_allowance, address, reused: false })
    }

    /// Returns a connection to the pool. Its last response body must have been read to the end.
    pub async fn release(&self, connection: Connection) {
        self.release_with_idle_timeout(connection, self.max_idle_timeout).await;
    }

    /// Returns a connection to the pool, to be kept idle for at most `idle_timeout`.
    pub async fn release_with_idle_timeout(&self, mut connection: Connection, idle_timeout: Duration) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < self.max_idle_per_address {
            let idle_timeout = idle_timeout.min(self.max_idle_timeout);
            connections.push(IdleConnection {
                sender: connection.sender,
                head_allowance: connection.head_allowance,
                idle_since: Instant::now(),
                idle_timeout,
            });
        }
    }
}
