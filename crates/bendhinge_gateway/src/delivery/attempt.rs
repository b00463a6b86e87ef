//! One send to one upstream, up to the point from which its answer is passed on.

use std::sync::Arc;
use std::time::Duration;

use bendhinge_delivery::SendOutcome;
use bendhinge_fleet::UpstreamEntry;
use bendhinge_http::{Body, Connection, SendFailure, full_body, read_body};
use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE};
use hyper::http::response;
use hyper::{HeaderMap, Request, Response, StatusCode};
use smol::Timer;

use super::race::Sent;
use super::{Delivering, Turn};
use crate::dialect::{AnswerFields, AttemptFields, Availability};
use crate::knowledge::Chosen;

/// A request that must not run twice goes on a connection that was used this lately, or on a new
/// one: an upstream may forget one that stands idle without a word.
const FRESH_CONNECTION: Duration = Duration::from_millis(900);

/// An answer whose head is there.
pub(super) struct Attempt {
    pub(super) sent: Sent,
    pub(super) chosen: Chosen,
    pub(super) head: response::Parts,
    pub(super) body: AttemptBody,
}

/// The body of an answer.
pub(super) enum AttemptBody {
    /// Gathered and found whole.
    Whole(Bytes),
    /// A stream, still on its connection.
    Stream(Incoming, Connection),
}

/// A send that ended without an answer that may be passed on, with an answer of the upstream
/// that it failed.
pub(super) struct Ended {
    pub(super) end: SendOutcome,
    pub(super) failure: Option<Box<FailureAnswer>>,
}

/// An upstream's whole answer that it failed.
pub(super) struct FailureAnswer {
    pub(super) head: response::Parts,
    pub(super) body: Bytes,
}

impl From<SendOutcome> for Ended {
    fn from(end: SendOutcome) -> Self {
        Self { end, failure: None }
    }
}

/// A send that is to be made.
pub(super) struct NewSend {
    pub(super) sent: Sent,
    pub(super) chosen: Chosen,
    /// How long it may take.
    pub(super) left: Duration,
    /// The event after which the upstream is to go on.
    pub(super) resume_after: Option<String>,
}

/// How long after a request's time is over its upstream's answer is still listened for. One that lets requests wait for
/// a place turns them away just then, and may ask for rest: its answer is a way, some milliseconds, behind. Above that it
/// is what a box with an eighth of a core needs to come to it.
const LISTENED_AFTER: Duration = Duration::from_millis(100);

/// Sends the turn to the chosen upstream. When its time is over, that is its end; what the upstream says right after is
/// heard in the background.
pub(super) async fn attempt(
    delivering: Arc<Delivering>,
    turn: Arc<Turn>,
    send: NewSend,
) -> Result<Attempt, Ended> {
    let tasks = Arc::clone(&delivering.tasks);
    let left = send.left;
    let mut sending = Box::pin(send_and_take(delivering, turn, send));
    let in_time = async { Some((&mut sending).await) };
    if let Some(ended) = in_time.or(after(left)).await {
        return ended;
    }
    let listening = async move {
        let heard = async { Some(sending.await) };
        // Nobody waits for it: what it says of its upstream was noted as it came.
        drop(heard.or(after(LISTENED_AFTER)).await);
    };
    tasks.spawn(listening).detach();
    Err(SendOutcome::TimedOut.into())
}

async fn after<T>(time: Duration) -> Option<T> {
    Timer::after(time).await;
    None
}

async fn send_and_take(
    delivering: Arc<Delivering>,
    turn: Arc<Turn>,
    send: NewSend,
) -> Result<Attempt, Ended> {
    let NewSend { sent, chosen, left, resume_after } = send;
    let request = outgoing(&delivering, &turn, &chosen, left, resume_after.as_deref());
    let (answer, connection) = exchange(&delivering, &turn, &chosen, request).await?;
    let (head, body) = take_answer(&delivering, &turn, &chosen, answer, connection).await?;
    Ok(Attempt { sent, chosen, head, body })
}

fn outgoing(
    delivering: &Delivering,
    turn: &Turn,
    chosen: &Chosen,
    left: Duration,
    resume_after: Option<&str>,
) -> Request<Body> {
    let mut request = Request::new(full_body(turn.body.clone()));
    *request.method_mut() = turn.head.method.clone();
    *request.uri_mut() = turn.head.uri.clone();
    *request.headers_mut() = turn.head.headers.clone();
    let fields = AttemptFields {
        upstream: &chosen.entry,
        time_left: left,
        customer: turn.customer.as_ref().map(|customer| &customer.name),
        priority: turn.priority,
        fetch_from: chosen.fetch_from,
        resume_after,
    };
    delivering.dialect.write_attempt(request.headers_mut(), &fields);
    request
}

async fn exchange(
    delivering: &Delivering,
    turn: &Turn,
    chosen: &Chosen,
    request: Request<Body>,
) -> Result<(Response<Incoming>, Connection), Ended> {
    let address = chosen.entry.address;
    let connecting = if turn.route.kind.is_repeatable() {
        delivering.pool.connection(address).await
    } else {
        delivering.pool.connection_used_within(address, FRESH_CONNECTION).await
    };
    let mut connection = connecting.map_err(|_| SendOutcome::NotConnected)?;
    // Connecting may have taken long, or the process may have been frozen meanwhile.
    if !delivering.may_still_be_sent(turn, chosen) {
        return Err(SendOutcome::NotSent.into());
    }
    match send(&mut connection, request).await {
        Ok(answer) => Ok((answer, connection)),
        Err(NotAnswered::Unsent(request)) if connection.reused => {
            // An idle connection that the upstream had closed says nothing about the upstream.
            connection = delivering.pool.connect(address).await.map_err(|_| SendOutcome::NotConnected)?;
            if !delivering.may_still_be_sent(turn, chosen) {
                return Err(SendOutcome::NotSent.into());
            }
            let answer = send(&mut connection, *request).await.map_err(|failure| failure.end())?;
            Ok((answer, connection))
        }
        Err(failure) => Err(failure.end().into()),
    }
}

enum NotAnswered {
    Unsent(Box<Request<Body>>),
    Ended(SendOutcome),
}

impl NotAnswered {
    const fn end(&self) -> SendOutcome {
        match self {
            Self::Unsent(_) => SendOutcome::NotSent,
            Self::Ended(end) => *end,
        }
    }
}

async fn send(
    connection: &mut Connection,
    request: Request<Body>,
) -> Result<Response<Incoming>, NotAnswered> {
    connection.send(request).await.map_err(|failure| match failure {
        SendFailure::NotSent(request) => NotAnswered::Unsent(request),
        SendFailure::Unknown(error) if error.is_parse() => NotAnswered::Ended(SendOutcome::InvalidResponse),
        SendFailure::Unknown(_) => NotAnswered::Ended(SendOutcome::Lost),
    })
}

/// Decides whether an answer may be passed on, and whether as it comes or only when seen whole.
async fn take_answer(
    delivering: &Arc<Delivering>,
    turn: &Turn,
    chosen: &Chosen,
    answer: Response<Incoming>,
    connection: Connection,
) -> Result<(response::Parts, AttemptBody), Ended> {
    let (head, body) = answer.into_parts();
    let fields = delivering.dialect.read_answer(&head);
    if fields.id != turn.call.id {
        // A late answer to an earlier request: nothing on this connection can be trusted.
        return Err(SendOutcome::InvalidResponse.into());
    }
    if !fields.is_another {
        delivering.note_said(turn, &chosen.entry, &fields);
    }
    if let Some(end) = not_run(&fields) {
        gather_and_return(delivering, &head, body, connection).await;
        return Err(end.into());
    }
    let is_success = head.status.is_success();
    if is_success && !fields.is_stamped {
        return Err(SendOutcome::InvalidResponse.into());
    }
    if is_success && turn.route.kind.is_stream() && is_event_stream(&head.headers) {
        return Ok((head, AttemptBody::Stream(body, connection)));
    }
    let whole = gather(delivering, &head, body, connection).await.map_err(|()| SendOutcome::Lost)?;
    if head.status.is_server_error() || promises_not_run(head.status) {
        let failure = Some(Box::new(FailureAnswer { head, body: whole }));
        return Err(Ended { end: SendOutcome::Failed, failure });
    }
    Ok((head, AttemptBody::Whole(whole)))
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Only an upstream that says so itself did not run a request.
const fn not_run(fields: &AnswerFields) -> Option<SendOutcome> {
    if fields.is_another {
        return Some(SendOutcome::Replaced);
    }
    if fields.not_run { Some(SendOutcome::Rejected) } else { None }
}

/// Statuses that promise that a request did not run. An upstream that answers with one without
/// saying that it did not run it is not believed.
pub(super) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

async fn gather(
    delivering: &Arc<Delivering>,
    head: &response::Parts,
    body: Incoming,
    connection: Connection,
) -> Result<Bytes, ()> {
    let whole = read_body(body, delivering.answer_bytes).await.map_err(|_| ())?;
    delivering.return_connection(&head.headers, connection);
    Ok(whole)
}

/// Reads the short answer of an upstream that did not run the request, so that its connection can
/// be used again; the request does not wait for it for long.
async fn gather_and_return(
    delivering: &Arc<Delivering>,
    head: &response::Parts,
    body: Incoming,
    connection: Connection,
) {
    const PATIENCE: Duration = Duration::from_millis(20);
    let reading = async {
        let _ = gather(delivering, head, body, connection).await;
    };
    let too_long = async {
        Timer::after(PATIENCE).await;
    };
    reading.or(too_long).await;
}

impl Delivering {
    /// Puts a connection whose answer was read to its end back for reuse, in the background.
    pub(super) fn return_connection(self: &Arc<Self>, headers: &HeaderMap, connection: Connection) {
        if closes(headers) {
            return;
        }
        let keep = kept_alive_for(headers);
        let delivering = Arc::clone(self);
        self.tasks
            .spawn(async move {
                match keep {
                    Some(keep) => delivering.pool.release_with_idle_timeout(connection, keep).await,
                    None => delivering.pool.release(connection).await,
                }
            })
            .detach();
    }

    /// Notes what an upstream says of itself in an answer to the turn.
    fn note_said(&self, turn: &Turn, upstream: &UpstreamEntry, fields: &AnswerFields) {
        if let Some(load) = fields.load {
            self.upstreams.load_said(upstream.hash, load);
        }
        let request = turn.call.id.as_ref().and_then(|id| id.to_str().ok());
        self.note_availability(request, upstream, fields.availability);
    }

    /// Notes what an upstream said of whether it wants further requests, in answer to a request if not to a question
    /// of this gateway's own.
    pub(crate) fn note_availability(
        &self,
        request: Option<&str>,
        upstream: &UpstreamEntry,
        said: Availability,
    ) {
        if let Some(rest) = said.rest {
            let spared = self.upstreams.asked_to_rest(upstream.hash, rest);
            self.metrics.rest_asked();
            self.log.rest_asked(request, &upstream.name, rest, spared);
        }
        if said.is_leaving && self.upstreams.leaves(upstream.hash) {
            self.metrics.leaving_said();
            self.log.leaving_said(request, &upstream.name);
        }
    }

    /// Whether the turn may be sent now: rules may have changed, or grown too old to act on, and so may the
    /// list of upstreams, or it may have been put under quarantine.
    fn may_still_be_sent(&self, turn: &Turn, chosen: &Chosen) -> bool {
        let is_in_time = bendhinge_clock::now() < turn.limit;
        let is_quarantined =
            || self.suspect(turn).is_some_and(|digest| self.quarantine.is_quarantined(digest));
        is_in_time
            && !is_quarantined()
            && turn.is_allowed(&self.rules)
            && self.upstreams.may_be_sent_to(chosen.entry.hash)
    }
}

fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// How long the upstream says it keeps an idle connection, less a margin for the way.
fn kept_alive_for(headers: &HeaderMap) -> Option<Duration> {
    const MARGIN: Duration = Duration::from_millis(300);
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    let kept = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(kept.saturating_sub(MARGIN))
}
