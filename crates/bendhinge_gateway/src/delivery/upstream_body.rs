//! Response bodies of upstreams, and the connections that carried them.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_delivery::BodyEnd;
use bendhinge_http::{BodyFraming, Connection, ReadBodyError, read_body_reserved};
use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::http::response;
use smol::Timer;

use super::DeliveryContext;
use super::attempt::SendError;

/// The body of an upstream's response.
pub(super) enum UpstreamBody {
    /// A body that was received completely.
    Complete(Bytes, EndedBody),
    /// An event stream that is still read from its connection.
    Stream(Incoming, BodyFraming, Connection),
}

/// How a response body was framed and ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndedBody {
    pub(super) framing: BodyFraming,
    pub(super) end: BodyEnd,
}

/// Reads a body to its end and returns its connection to the pool.
pub(super) async fn read_complete_body(
    context: &Arc<DeliveryContext>,
    head: &response::Parts,
    framing: BodyFraming,
    body: Incoming,
    connection: Connection,
) -> Result<(Bytes, EndedBody), SendError> {
    let reservation = context.connection_pool.open_reservation(connection.address);
    let read = read_body_reserved(body, context.max_response_bytes, &reservation).await;
    let end = match &read {
        Ok(bytes) => BodyEnd::at_end(framing.marks_end(), bytes.is_empty(), false),
        Err(ReadBodyError::TooLong(_)) => BodyEnd::TooLarge,
        Err(ReadBodyError::NoMemory(_) | ReadBodyError::Revoked) => BodyEnd::OutOfMemory,
        Err(ReadBodyError::Broken(_)) => BodyEnd::Failed,
    };
    context.metrics.count_body_end(framing, end);
    let ended = EndedBody { framing, end };
    match read {
        Ok(bytes) => {
            context.release_connection(&head.headers, framing, connection);
            Ok((bytes, ended))
        }
        Err(_) => Err(SendError { body: Some(ended), ..end.outcome().into() }),
    }
}

/// Reads the response of an upstream that did not run the request so that the connection can be reused. Gives
/// up after a short time because the request waits for it.
pub(super) async fn drain_and_release(
    context: &Arc<DeliveryContext>,
    head: &response::Parts,
    framing: BodyFraming,
    body: Incoming,
    connection: Connection,
) {
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(20);
    let reading = async {
        let _ = read_complete_body(context, head, framing, body, connection).await;
    };
    let drain_timeout = async {
        Timer::after(DRAIN_TIMEOUT).await;
    };
    reading.or(drain_timeout).await;
}

impl DeliveryContext {
    /// Returns a connection to the pool in the background, unless the upstream closes it. The response must
    /// have been read completely.
    pub(super) fn release_connection(
        self: &Arc<Self>,
        headers: &HeaderMap,
        framing: BodyFraming,
        connection: Connection,
    ) {
        if has_connection_close(headers) || !framing.marks_end() {
            return;
        }
        let keep_alive = keep_alive_timeout(headers);
        let context = Arc::clone(self);
        self.tasks
            .spawn(async move {
                match keep_alive {
                    Some(keep_alive) => {
                        context.connection_pool.release_with_idle_timeout(connection, keep_alive).await;
                    }
                    None => context.connection_pool.release(connection).await,
                }
            })
            .detach();
    }
}

fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// Returns how long the upstream keeps an idle connection open, minus a margin for network latency.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    const LATENCY_MARGIN: Duration = Duration::from_millis(300);
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let timeout = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(timeout.saturating_sub(LATENCY_MARGIN))
}
