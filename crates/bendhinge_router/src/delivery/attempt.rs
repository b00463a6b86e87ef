//! One attempt at one upstream, up to the point from which its answer is passed on.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_buffers::Reservation;
use bendhinge_delivery::AttemptEnd;
use bendhinge_http::{
    Body, BodyFraming, Connection, ReadBodyError, SendFailure, empty_body, full_body, read_body_reserved,
};
use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use smol::Timer;

use super::{Turn, TurnKind};
use crate::membership::Target;
use crate::node::Node;
use crate::placement::Chosen;

/// A request's body on its way to an upstream.
pub(crate) enum Outgoing {
    /// There whole, so that it can be sent again.
    Whole(Bytes),
    /// Passed on as it arrives; `None` once an upstream may have some of it.
    Streamed(Option<Body>),
}

impl Outgoing {
    fn take(&mut self) -> Option<Body> {
        match self {
            Self::Whole(bytes) => Some(full_body(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }

    /// Takes back a body of which nothing was sent.
    fn give_back(&mut self, unsent: Body) {
        if let Self::Streamed(body) = self {
            *body = Some(unsent);
        }
    }

    const fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_) | Self::Streamed(Some(_)))
    }
}

/// An answer whose head is there.
pub(super) struct Attempt {
    pub(super) target: Arc<Target>,
    pub(super) head: response::Parts,
    pub(super) body: AttemptBody,
    pub(super) permit: crate::placement::Permit,
}

/// The body of an answer.
pub(super) enum AttemptBody {
    /// Gathered and found whole; the connection is back in its pool.
    Gathered(Bytes),
    /// Still on its connection.
    Open(Incoming, BodyFraming, Connection),
}

/// An attempt without a usable answer.
pub(super) struct AttemptFailure {
    pub(super) end: AttemptEnd,
    /// Whether the request's body can be sent again.
    pub(super) body_is_whole: bool,
}

/// Sends the turn to the chosen upstream.
pub(super) async fn attempt(
    node: &Arc<Node>,
    turn: &mut Turn,
    chosen: Chosen,
) -> Result<Attempt, AttemptFailure> {
    let Chosen { target, permit } = chosen;
    let began = bendhinge_clock::now();
    let sent = exchange(node, turn, &target).await;
    let result = match sent {
        Ok((answer, connection)) => take_answer(node, turn, answer, connection).await,
        Err(end) => Err(end),
    };
    match result {
        Ok((head, body)) => {
            node.metrics.first_byte.record(bendhinge_clock::now().since(began).as_secs_f64(), &[]);
            Ok(Attempt { target, head, body, permit })
        }
        Err(end) => {
            if end == AttemptEnd::NotConnected {
                node.loads.lock().unwrap().avoid(target.hash, bendhinge_clock::now());
            }
            Err(AttemptFailure { end, body_is_whole: turn.body.is_whole() })
        }
    }
}

async fn exchange(
    node: &Node,
    turn: &mut Turn,
    target: &Target,
) -> Result<(Response<Incoming>, Connection), AttemptEnd> {
    let mut connection =
        node.upstreams.connection(target.address).await.map_err(|_| AttemptEnd::NotConnected)?;
    loop {
        let reused = connection.reused;
        match send(node, turn, target, &mut connection).await {
            // An idle connection that the upstream had closed says nothing about the upstream.
            Err(AttemptEnd::NotSent) if reused => {
                connection =
                    node.upstreams.connect(target.address).await.map_err(|_| AttemptEnd::NotConnected)?;
            }
            Err(end) => return Err(end),
            Ok(answer) => return Ok((answer, connection)),
        }
    }
}

async fn send(
    node: &Node,
    turn: &mut Turn,
    target: &Target,
    connection: &mut Connection,
) -> Result<Response<Incoming>, AttemptEnd> {
    let Some(body) = turn.body.take() else { return Err(AttemptEnd::Lost) };
    let request = outgoing_request(turn, target, body);
    let sending = async {
        match connection.send(request).await {
            Ok(answer) => Ok(answer),
            Err(SendFailure::NotSent(request)) => Err(Sent::Nothing(request.into_body())),
            Err(SendFailure::Unknown(error)) if error.is_parse() => Err(Sent::Ended(AttemptEnd::BadAnswer)),
            Err(SendFailure::Unknown(_)) => Err(Sent::Ended(AttemptEnd::Lost)),
            Err(SendFailure::InvalidStatus(_)) => Err(Sent::Ended(AttemptEnd::BadAnswer)),
        }
    };
    let too_long = async {
        Timer::after(node.settings.limits.first_byte).await;
        Err(Sent::Ended(AttemptEnd::TimedOut))
    };
    match sending.or(too_long).await {
        Ok(answer) => Ok(answer),
        Err(Sent::Ended(end)) => Err(end),
        Err(Sent::Nothing(body)) => {
            turn.body.give_back(body);
            Err(AttemptEnd::NotSent)
        }
    }
}

enum Sent {
    Nothing(Body),
    Ended(AttemptEnd),
}

fn outgoing_request(turn: &Turn, target: &Target, body: Body) -> Request<Body> {
    let mut request = Request::new(body);
    *request.method_mut() = turn.head.method.clone();
    *request.uri_mut() = turn.head.uri.clone();
    *request.headers_mut() = turn.head.headers.clone();
    let headers = request.headers_mut();
    let host = target.address.to_string().parse();
    headers.insert("host", host.expect("an address is a valid header"));
    headers.insert("x-request-id", turn.request.to_string().parse().expect("digits are a valid header"));
    if turn.kind != TurnKind::Service {
        headers.insert("x-priority", u16::from(turn.engine_priority).into());
    }
    request
}

/// Decides whether the answer is passed on as it comes or must first be seen whole.
async fn take_answer(
    node: &Node,
    turn: &Turn,
    answer: Response<Incoming>,
    connection: Connection,
) -> Result<(response::Parts, AttemptBody), AttemptEnd> {
    let (head, body) = answer.into_parts();
    if turn.kind != TurnKind::Whole {
        let framing = BodyFraming::of_response(&turn.head.method, head.status, &head.headers);
        return Ok((head, AttemptBody::Open(body, framing, connection)));
    }
    let limits = &node.settings.limits;
    let reservation = node.upstreams.open_reservation(connection.address);
    let gathered = gather(body, limits.answer_bytes, &reservation, limits.first_byte).await?;
    if head.status == StatusCode::OK && serde_json::from_slice::<serde::de::IgnoredAny>(&gathered).is_err() {
        return Err(AttemptEnd::BadAnswer);
    }
    node.upstreams.release(connection).await;
    Ok((head, AttemptBody::Gathered(gathered)))
}

async fn gather(
    body: Incoming,
    limit: usize,
    reservation: &Reservation,
    time: Duration,
) -> Result<Bytes, AttemptEnd> {
    let reading = async {
        read_body_reserved(body, limit, reservation).await.map_err(|error| match error {
            ReadBodyError::TooLong(_) | ReadBodyError::NoMemory(_) | ReadBodyError::Revoked => {
                AttemptEnd::BadAnswer
            }
            ReadBodyError::Broken(_) => AttemptEnd::Lost,
        })
    };
    let too_long = async {
        Timer::after(time).await;
        Err(AttemptEnd::TimedOut)
    };
    reading.or(too_long).await
}

/// The body of a caller's request, passed on as it arrives.
pub(crate) fn streamed(body: Incoming) -> Outgoing {
    if hyper::body::Body::is_end_stream(&body) {
        return Outgoing::Streamed(Some(empty_body()));
    }
    Outgoing::Streamed(Some(body.map_err(Into::into).boxed()))
}
