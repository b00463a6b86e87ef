//! Reused connections to upstreams, with certainty about what was sent.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use smol::Timer;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;

use crate::{Body, Tasks};

/// Why no connection could be made; nothing was sent.
#[derive(Debug, thiserror::Error)]
pub enum ConnectError {
    /// The connection was refused or failed.
    #[error("cannot connect: {0}")]
    Io(#[from] std::io::Error),
    /// It took longer than allowed.
    #[error("connecting took too long")]
    Timeout,
    /// The HTTP layer could not start.
    #[error("cannot start HTTP: {0}")]
    Http(#[from] hyper::Error),
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum SendFailure {
    /// No byte of the request was written: it comes back and did not run.
    NotSent(Box<Request<Body>>),
    /// Some of it may have been written: whether it ran is not known.
    Unknown(hyper::Error),
}

/// One connection to an upstream, used for one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Body>,
    /// The address it leads to.
    pub address: SocketAddr,
    /// Whether it carried a request before, so that the upstream may be closing it.
    pub reused: bool,
}

impl Connection {
    /// Sends one request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Body>) -> Result<Response<Incoming>, SendFailure> {
        let sent = self.sender.try_send_request(request).await;
        sent.map_err(|mut failure| match failure.take_message() {
            Some(request) => SendFailure::NotSent(Box::new(request)),
            None => SendFailure::Unknown(failure.into_error()),
        })
    }
}

struct Idle {
    sender: SendRequest<Body>,
    since: Instant,
    keep: Duration,
}

/// Idle connections by address.
pub struct Pool {
    tasks: Tasks,
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
    connect_time: Duration,
    idle_time: Duration,
    idle_per_address: usize,
}

impl Pool {
    /// A pool whose connections are made within `connect_time` and kept idle for `idle_time`.
    #[must_use]
    pub fn new(tasks: Tasks, connect_time: Duration, idle_time: Duration) -> Self {
        const IDLE_PER_ADDRESS: usize = 256;
        Self { tasks, idle: Mutex::default(), connect_time, idle_time, idle_per_address: IDLE_PER_ADDRESS }
    }

    /// An idle connection to `address`, or a new one.
    pub async fn connection(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        self.connection_used_within(address, self.idle_time).await
    }

    /// An idle connection to `address` that was used within `span`, or a new one. The longer one
    /// stood idle, the likelier is it that the upstream is closing it.
    pub async fn connection_used_within(
        &self,
        address: SocketAddr,
        span: Duration,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(address, span) {
            Some(sender) => Ok(Connection { sender, address, reused: true }),
            None => self.connect(address).await,
        }
    }

    fn take_idle(&self, address: SocketAddr, span: Duration) -> Option<SendRequest<Body>> {
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.get_mut(&address)?;
        // The last one used is tried first; those below it have stood idle for longer.
        while let Some(candidate) = connections.last() {
            let age = candidate.since.elapsed();
            if age >= span && candidate.sender.is_ready() && age < candidate.keep {
                return None;
            }
            let candidate = connections.pop()?;
            if candidate.sender.is_ready() && age < candidate.keep {
                return Some(candidate.sender);
            }
        }
        None
    }

    /// Whether a connection to `address` stands idle, and open as far as was seen.
    pub fn has_idle(&self, address: SocketAddr) -> bool {
        let idle = self.idle.lock().unwrap();
        idle.get(&address).is_some_and(|connections| connections.iter().any(|one| one.sender.is_ready()))
    }

    /// Closes connections that have stood idle for too long.
    pub fn prune(&self) {
        let mut idle = self.idle.lock().unwrap();
        idle.retain(|_, connections| {
            connections.retain(|one| one.sender.is_ready() && one.since.elapsed() < one.keep);
            !connections.is_empty()
        });
    }

    /// A new connection to `address`.
    pub async fn connect(&self, address: SocketAddr) -> Result<Connection, ConnectError> {
        let connecting = async { TcpStream::connect(address).await.map_err(ConnectError::from) };
        let too_long = async {
            Timer::after(self.connect_time).await;
            Err(ConnectError::Timeout)
        };
        let stream = connecting.or(too_long).await?;
        stream.set_nodelay(true)?;
        // Else a copy of each request's body is kept as long as its connection stands.
        let mut builder = http1::Builder::new();
        let (sender, connection) = builder.writev(true).handshake(FuturesIo::new(stream)).await?;
        self.tasks
            .spawn(async move {
                // Its error reaches whoever waits for the answer.
                let _ = connection.await;
            })
            .detach();
        Ok(Connection { sender, address, reused: false })
    }

    /// Takes a connection back once the body of its last answer was read to the end.
    pub async fn give_back(&self, connection: Connection) {
        self.give_back_for(connection, self.idle_time).await;
    }

    /// Takes a connection back and keeps it idle for `keep` at most.
    pub async fn give_back_for(&self, mut connection: Connection, keep: Duration) {
        if connection.sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.entry(connection.address).or_default();
        if connections.len() < self.idle_per_address {
            let keep = keep.min(self.idle_time);
            connections.push(Idle { sender: connection.sender, since: Instant::now(), keep });
        }
    }
}
