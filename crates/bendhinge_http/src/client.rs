//! Small whole requests: the platform's pages, load reports, operators' addresses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use smol::Timer;

use crate::body::{ReadBodyError, ReadTimeoutBody};
use crate::pool::{ConnectError, Connection, SendFailure};
use crate::{Body, Pool, read_body};

/// Why a small request got no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// No connection.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection closed before the request was written.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// The connection broke after the request was sent.
    #[error("the connection broke: {0}")]
    Broken(hyper::Error),
    /// The answer's body was too long or broke off.
    #[error(transparent)]
    Body(#[from] ReadBodyError),
    /// No whole answer within the time allowed.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The answer is not of the expected form.
    #[error("unexpected answer: {0}")]
    Form(#[from] serde_json::Error),
    /// The answer has another status than 200.
    #[error("the answer's status is {0}")]
    Status(StatusCode),
}

/// A whole answer.
#[derive(Debug)]
pub struct Fetched {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// How long an answer is waited for.
#[derive(Clone, Copy, Debug)]
pub struct FetchTime {
    /// For its head, and for each piece after the one before: who is silent for longer is not waited for,
    /// however long an answer may take.
    pub silence: Duration,
    /// For all of it.
    pub whole: Duration,
}

impl From<Duration> for FetchTime {
    fn from(whole: Duration) -> Self {
        Self { silence: whole, whole }
    }
}

/// Sends `request` to `address` and gathers an answer of at most `limit` bytes within `time`.
pub async fn fetch(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Body>,
    limit: usize,
    time: impl Into<FetchTime>,
) -> Result<Fetched, FetchError> {
    let FetchTime { silence, whole } = time.into();
    let exchange = async {
        let (answer, connection) = within(silence, begin(pool, address, request)).await?;
        let (head, body) = answer.into_parts();
        let body = read_body(ReadTimeoutBody::new(body, silence), limit).await?;
        pool.release(connection).await;
        Ok(Fetched { status: head.status, headers: head.headers, body })
    };
    // Boxed: it holds a whole exchange, and so would everything that waits for it.
    within(whole, Box::pin(exchange)).await
}

/// Sends `request`; gives the head of the answer, with the connection that its body comes on.
async fn begin(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Body>,
) -> Result<(Response<Incoming>, Connection), FetchError> {
    let mut connection = pool.connection(address).await?;
    let answer = match connection.send(request).await {
        Ok(answer) => answer,
        Err(SendFailure::NotSent(request)) => {
            // An idle connection had gone; one fresh connection settles it.
            connection = pool.connect(address).await?;
            connection.send(*request).await.map_err(send_error)?
        }
        Err(failure) => return Err(send_error(failure)),
    };
    Ok((answer, connection))
}

async fn within<T>(
    time: Duration,
    doing: impl Future<Output = Result<T, FetchError>>,
) -> Result<T, FetchError> {
    let too_long = async {
        Timer::after(time).await;
        Err(FetchError::Timeout(time))
    };
    doing.or(too_long).await
}

fn send_error(failure: SendFailure) -> FetchError {
    match failure {
        SendFailure::NotSent(_) => FetchError::NotSent,
        SendFailure::Unknown(error) => FetchError::Broken(error),
    }
}

/// Gets `path` from `address` as JSON.
pub async fn fetch_json<T: DeserializeOwned>(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    time: Duration,
) -> Result<T, FetchError> {
    Ok(serde_json::from_slice(&fetch_bytes(pool, address, path, time).await?)?)
}

/// Gets `path` from `address`, whatever its answer's status.
pub async fn fetch_path(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    time: Duration,
) -> Result<Fetched, FetchError> {
    const LIMIT: usize = 16 << 20;
    let request = Request::get(path).header("host", address.to_string()).body(crate::empty_body());
    let request = request.expect("a path made here is a valid URI");
    fetch(pool, address, request, LIMIT, time).await
}

/// Gets `path` from `address`, whose answer must be 200.
pub async fn fetch_bytes(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    time: Duration,
) -> Result<Bytes, FetchError> {
    let fetched = fetch_path(pool, address, path, time).await?;
    if fetched.status != StatusCode::OK {
        return Err(FetchError::Status(fetched.status));
    }
    Ok(fetched.body)
}
