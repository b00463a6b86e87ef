//! Client functions for small requests whose responses are read into memory.

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
use crate::{Body, Pool, read_body_reserved};

/// A request that received no complete response.
#[derive(Debug, thiserror::Error)]
pub enum FetchError {
    /// The connection could not be established.
    #[error(transparent)]
    Connect(#[from] ConnectError),
    /// The connection closed before any of the request was written.
    #[error("the connection closed before the request was sent")]
    NotSent,
    /// The connection failed after part of the request may have been written.
    #[error("the connection failed: {0}")]
    ConnectionLost(hyper::Error),
    /// The response body was too long or could not be read.
    #[error(transparent)]
    Body(#[from] ReadBodyError),
    /// A timeout expired.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The response is not the expected JSON.
    #[error("invalid JSON in the response: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The response status is not the expected one.
    #[error("the answer's status is {0}")]
    Status(StatusCode),
}

/// A complete response.
#[derive(Debug)]
pub struct Fetched {
    /// The response status.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The response body.
    pub body: Bytes,
}

/// Timeouts of a fetch.
#[derive(Clone, Copy, Debug)]
pub struct FetchTimeouts {
    /// Limits the wait for the response head and for each body frame.
    pub read: Duration,
    /// Limits the whole exchange.
    pub total: Duration,
}

impl From<Duration> for FetchTimeouts {
    fn from(total: Duration) -> Self {
        Self { read: total, total }
    }
}

/// Sends `request` to `address` and reads a response body of at most `limit` bytes.
pub async fn fetch(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Body>,
    limit: usize,
    timeouts: impl Into<FetchTimeouts>,
) -> Result<Fetched, FetchError> {
    let FetchTimeouts { read, total } = timeouts.into();
    let exchange = async {
        let (answer, connection) = with_timeout(read, send_request(pool, address, request)).await?;
        let (head, body) = answer.into_parts();
        let reservation = pool.open_reservation(address);
        let body = read_body_reserved(ReadTimeoutBody::new(body, read), limit, &reservation).await?;
        pool.release(connection).await;
        Ok(Fetched { status: head.status, headers: head.headers, body })
    };
    // Boxed to keep the futures of callers small.
    with_timeout(total, Box::pin(exchange)).await
}

/// Sends `request`. Returns the response head and the connection that carries its body.
async fn send_request(
    pool: &Pool,
    address: SocketAddr,
    request: Request<Body>,
) -> Result<(Response<Incoming>, Connection), FetchError> {
    let mut connection = pool.connection(address).await?;
    let answer = match connection.send(request).await {
        Ok(answer) => answer,
        Err(SendFailure::NotSent(request)) => {
            // The pooled connection was closed; retry once on a new one.
            connection = pool.connect(address).await?;
            connection.send(*request).await.map_err(send_error)?
        }
        Err(failure) => return Err(send_error(failure)),
    };
    Ok((answer, connection))
}

async fn with_timeout<T>(
    time: Duration,
    operation: impl Future<Output = Result<T, FetchError>>,
) -> Result<T, FetchError> {
    let expired = async {
        Timer::after(time).await;
        Err(FetchError::Timeout(time))
    };
    operation.or(expired).await
}

fn send_error(failure: SendFailure) -> FetchError {
    match failure {
        SendFailure::NotSent(_) => FetchError::NotSent,
        SendFailure::Unknown(error) => FetchError::ConnectionLost(error),
        SendFailure::InvalidStatus(status) => FetchError::Status(status),
    }
}

/// Fetches `path` from `address` and parses the body as JSON.
pub async fn fetch_json<T: DeserializeOwned>(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    time: Duration,
) -> Result<T, FetchError> {
    Ok(serde_json::from_slice(&fetch_bytes(pool, address, path, time).await?)?)
}

/// Fetches `path` from `address`, with any response status.
pub async fn fetch_path(
    pool: &Pool,
    address: SocketAddr,
    path: &str,
    time: Duration,
) -> Result<Fetched, FetchError> {
    const MAX_BODY_BYTES: usize = 16 << 20;
    let request = Request::get(path).header("host", address.to_string()).body(crate::empty_body());
    let request = request.expect("the path is a valid URI");
    fetch(pool, address, request, MAX_BODY_BYTES, time).await
}

/// Fetches `path` from `address`; the response status must be 200.
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
