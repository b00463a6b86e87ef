//! Sends a request once to one upstream and reads the response until it can be relayed to the caller.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_delivery::{BodyEnd, NotRun, SendOutcome, UpstreamReport};
use bendhinge_fleet::UpstreamEntry;
use bendhinge_http::{Body, BodyFraming, ConnectError, Connection, SendFailure, full_body};
use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::http::response;
use hyper::{HeaderMap, Request, Response, StatusCode};
use smol::Timer;

use super::crash::has_crashed_at_close;
use super::measured_send::MeasuredSend;
use super::race::{PendingSend, SendRecord};
use super::stream_source::{ResponseSource, UpstreamSend};
use super::upstream_body::{EndedBody, UpstreamBody, drain_and_release, read_complete_body};
use super::{DeliveryContext, InboundRequest};
use crate::dialect::{Availability, ResponseFields, UpstreamRequestFields};
use crate::state::ChosenUpstream;

/// Maximum idle time of a reused connection for requests that must not run twice. Upstreams may close idle
/// connections without notice.
pub(super) const MAX_CONNECTION_IDLE_TIME: Duration = Duration::from_millis(900);

/// The response of an upstream, after its head has been received.
pub(super) struct UpstreamResponse {
    pub(super) source: ResponseSource,
    pub(super) head: response::Parts,
    pub(super) body: UpstreamBody,
    /// The send that raced the one that responded, if the response is a stream, which has no event yet.
    pub(super) hedge: Option<PendingSend>,
}

/// A failed attempt, with the upstream's error response, if there is one.
pub(super) struct SendError {
    pub(super) end: SendOutcome,
    pub(super) error_response: Option<Box<ErrorResponse>>,
    /// How the response body ended, if it was read.
    pub(super) body: Option<EndedBody>,
    /// Why no connection was established.
    pub(super) connect_failure: Option<ConnectFailure>,
    /// The status of the response, if there was one.
    pub(super) status: Option<StatusCode>,
}

/// Why no connection to an upstream was established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// The box of the upstream refused the connection.
    Refused,
    /// Nothing answered within the connect timeout.
    TimedOut,
    /// Another error, such as a reset connection or an unreachable network.
    Other,
}

impl ConnectFailure {
    /// The name used in logs and metrics.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::TimedOut => "timeout",
            Self::Other => "other",
        }
    }
}

impl From<&ConnectError> for ConnectFailure {
    fn from(error: &ConnectError) -> Self {
        match error {
            ConnectError::Timeout => Self::TimedOut,
            ConnectError::Io(error) if error.kind() == ErrorKind::ConnectionRefused => Self::Refused,
            ConnectError::Io(_) | ConnectError::Http(_) => Self::Other,
        }
    }
}

impl SendError {
    /// The error of a request for which no connection was established.
    fn not_connected(request: Request<Body>, error: &ConnectError) -> Self {
        Self { connect_failure: Some(error.into()), ..NotRun::not_connected(request).into() }
    }
}

/// A complete error response of an upstream.
pub(super) struct ErrorResponse {
    pub(super) head: response::Parts,
    pub(super) body: Bytes,
}

impl From<SendOutcome> for SendError {
    fn from(end: SendOutcome) -> Self {
        Self { end, error_response: None, body: None, connect_failure: None, status: None }
    }
}

impl From<NotRun> for SendError {
    fn from(evidence: NotRun) -> Self {
        SendOutcome::from(evidence).into()
    }
}

/// The parameters of an attempt.
pub(super) struct AttemptParams {
    pub(super) record: SendRecord,
    pub(super) measured: MeasuredSend,
    pub(super) chosen: ChosenUpstream,
    /// The time left until the request's deadline.
    pub(super) timeout: Duration,
    /// The ID of the last event that was received; the upstream resumes the stream after it.
    pub(super) resume_after: Option<String>,
}

/// How long a response is still read after the request's deadline, in the background. An upstream that queues
/// requests rejects them at the deadline, and its response may contain its load and a backoff.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Sends the request to the chosen upstream and waits for the response until the request's deadline. A
/// response that arrives shortly after the deadline only updates what is known about the upstream.
pub(super) async fn send_to_upstream(
    context: Arc<DeliveryContext>,
    inbound: Arc<InboundRequest>,
    params: AttemptParams,
) -> Result<UpstreamResponse, SendError> {
    let tasks = Arc::clone(&context.tasks);
    let timeout = params.timeout;
    let mut exchange_future = Box::pin(send_and_receive(context, inbound, params));
    let before_deadline = async { Some((&mut exchange_future).await) };
    if let Some(result) = before_deadline.or(none_after(timeout)).await {
        return result;
    }
    let late_response_task = async move {
        let late_result = async { Some(exchange_future.await) };
        // The response itself is dropped; its load and availability fields were recorded on arrival.
        drop(late_result.or(none_after(LATE_RESPONSE_TIMEOUT)).await);
    };
    tasks.spawn(late_response_task).detach();
    Err(SendOutcome::TimedOut.into())
}

async fn none_after<T>(time: Duration) -> Option<T> {
    Timer::after(time).await;
    None
}

async fn send_and_receive(
    context: Arc<DeliveryContext>,
    inbound: Arc<InboundRequest>,
    params: AttemptParams,
) -> Result<UpstreamResponse, SendError> {
    let AttemptParams { record, measured, chosen, timeout, resume_after } = params;
    let request = build_request(&context, &inbound, &chosen, timeout, resume_after.as_deref());
    let exchange = async {
        let (response, connection) = send_with_reconnect(&context, &inbound, &chosen, request).await?;
        let status = response.status();
        let received = receive_response(&context, &inbound, &chosen, response, connection).await;
        received.map_err(|error| SendError { status: Some(status), ..error })
    };
    let received = exchange.await;
    if received.as_ref().is_err_and(|error| error.error_response.is_none()) {
        chosen.guard.record_no_response();
    }
    let (head, body) = received?;
    let source = ResponseSource::Upstream(Box::new(UpstreamSend { record, measured, chosen }));
    Ok(UpstreamResponse { source, head, body, hedge: None })
}

fn build_request(
    context: &DeliveryContext,
    inbound: &InboundRequest,
    chosen: &ChosenUpstream,
    timeout: Duration,
    resume_after: Option<&str>,
) -> Request<Body> {
    let mut request = Request::new(full_body(inbound.body.clone()));
    *request.method_mut() = inbound.head.method.clone();
    *request.uri_mut() = inbound.head.uri.clone();
    *request.headers_mut() = inbound.head.headers.clone();
    let fields = UpstreamRequestFields {
        upstream: &chosen.entry,
        time_left: timeout,
        customer: inbound.customer.as_ref().map(|customer| &customer.name),
        priority: inbound.priority,
        fetch_from: chosen.fetch_from,
        resume_after,
    };
    context.dialect.write_request_headers(request.headers_mut(), &fields);
    request
}

fn record_link(context: &Arc<DeliveryContext>, chosen: &ChosenUpstream, is_connected: bool) {
    if is_connected {
        context.record_connected(&chosen.entry);
    } else {
        context.record_connect_failure(&chosen.entry);
    }
}

async fn send_with_reconnect(
    context: &Arc<DeliveryContext>,
    inbound: &InboundRequest,
    chosen: &ChosenUpstream,
    request: Request<Body>,
) -> Result<(Response<Incoming>, Connection), SendError> {
    let address = chosen.entry.address;
    let connecting = if inbound.route.kind.is_retryable() {
        context.connection_pool.connection(address).await
    } else {
        context.connection_pool.connection_used_within(address, MAX_CONNECTION_IDLE_TIME).await
    };
    if !connecting.as_ref().is_ok_and(|connection| connection.reused) {
        record_link(context, chosen, connecting.is_ok());
    }
    let mut connection = match connecting {
        Ok(connection) => connection,
        Err(error) => return Err(SendError::not_connected(request, &error)),
    };
    // The deadline or the lease may have expired while the connection was established or the process was
    // suspended.
    if !context.may_be_sent(inbound, chosen) {
        return Err(NotRun::withheld(request).into());
    }
    match send_on(&mut connection, request).await {
        Ok(response) => Ok((response, connection)),
        Err(ExchangeError::NotSent(request)) if connection.reused => {
            // The upstream closed an idle connection, which is no sign of a failure.
            let reconnecting = context.connection_pool.connect(address).await;
            record_link(context, chosen, reconnecting.is_ok());
            connection = match reconnecting {
                Ok(connection) => connection,
                Err(error) => return Err(SendError::not_connected(*request, &error)),
            };
            if !context.may_be_sent(inbound, chosen) {
                return Err(NotRun::withheld(request).into());
            }
            let response = send_on(&mut connection, *request).await?;
            Ok((response, connection))
        }
        Err(failure) => Err(failure.into()),
    }
}

enum ExchangeError {
    NotSent(Box<Request<Body>>),
    Ended(SendOutcome),
}

impl From<ExchangeError> for SendError {
    fn from(error: ExchangeError) -> Self {
        match error {
            ExchangeError::NotSent(request) => NotRun::returned(request).into(),
            ExchangeError::Ended(end) => end.into(),
        }
    }
}

async fn send_on(
    connection: &mut Connection,
    request: Request<Body>,
) -> Result<Response<Incoming>, ExchangeError> {
    connection.send(request).await.map_err(|failure| match failure {
        SendFailure::NotSent(request) => ExchangeError::NotSent(request),
        SendFailure::InvalidStatus(_) => ExchangeError::Ended(SendOutcome::InvalidResponse),
        SendFailure::Unknown(error) if error.is_parse() => ExchangeError::Ended(SendOutcome::InvalidResponse),
        SendFailure::Unknown(_) => ExchangeError::Ended(SendOutcome::Lost),
    })
}

/// Decides whether a response is relayed to the caller, and if so as a stream or after it was read
/// completely.
async fn receive_response(
    context: &Arc<DeliveryContext>,
    inbound: &InboundRequest,
    chosen: &ChosenUpstream,
    response: Response<Incoming>,
    connection: Connection,
) -> Result<(response::Parts, UpstreamBody), SendError> {
    let (head, body) = response.into_parts();
    let fields = context.dialect.parse_response_head(&head);
    if fields.id != inbound.fields.id {
        // The response belongs to an earlier request, so the connection can no longer be trusted.
        return Err(SendOutcome::InvalidResponse.into());
    }
    if !fields.is_misdirected {
        context.record_reported_state(inbound, chosen, &fields);
    }
    let framing = BodyFraming::of_response(&inbound.head.method, head.status, &head.headers);
    let report = UpstreamReport {
        status: head.status.as_u16(),
        is_to_request: fields.id == inbound.fields.id,
        not_executed: fields.not_executed,
        is_misdirected: fields.is_misdirected,
    };
    if let Some(evidence) = NotRun::reported(report) {
        drain_and_release(context, &head, framing, body, connection).await;
        return Err(evidence.into());
    }
    let is_success = head.status.is_success();
    if is_success && !fields.is_signed {
        return Err(SendOutcome::InvalidResponse.into());
    }
    if is_success && inbound.route.kind.is_stream() && is_event_stream(&head.headers) {
        return Ok((head, UpstreamBody::Stream(body, framing, connection)));
    }
    let (complete_body, ended) = read_complete_body(context, &head, framing, body, connection).await?;
    if is_success && ended.end == BodyEnd::Empty {
        return Err(SendError { body: Some(ended), ..SendOutcome::Lost.into() });
    }
    if is_success
        && !framing.marks_end()
        && has_crashed_at_close(context, &chosen.entry, Duration::ZERO).await
    {
        let ended = EndedBody { framing, end: BodyEnd::Failed };
        return Err(SendError { body: Some(ended), ..SendOutcome::Lost.into() });
    }
    if head.status.is_server_error() || implies_not_run(head.status) {
        let error_response = Some(Box::new(ErrorResponse { head, body: complete_body }));
        return Err(SendError { error_response, body: Some(ended), ..SendOutcome::Failed.into() });
    }
    Ok((head, UpstreamBody::Complete(complete_body, ended)))
}

pub(super) fn is_event_stream(headers: &HeaderMap) -> bool {
    let content_type = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}

/// Whether the status implies that the request did not run. Such a status is not relayed if the upstream does
/// not also report explicitly that it did not run the request.
pub(super) fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

impl DeliveryContext {
    /// Records the load and the availability that an upstream reports in a response.
    fn record_reported_state(
        &self,
        inbound: &InboundRequest,
        chosen: &ChosenUpstream,
        fields: &ResponseFields,
    ) {
        if let Some(load) = fields.load {
            self.upstreams.record_load(chosen.entry.hash, load, chosen.mean_load);
        }
        let request_id = inbound.fields.id.as_ref().and_then(|id| id.to_str().ok());
        self.record_availability(request_id, &chosen.entry, fields.availability);
    }

    /// Records the availability that an upstream reports, in response to a caller's request or, if
    /// `request_id` is `None`, to a request of this gateway.
    pub(crate) fn record_availability(
        &self,
        request_id: Option<&str>,
        upstream: &UpstreamEntry,
        availability: Availability,
    ) {
        if let Some(requested_backoff) = availability.backoff {
            let effective_backoff = self.upstreams.record_backoff(upstream.hash, requested_backoff);
            self.metrics.count_backoff_request();
            self.log.backoff_requested(request_id, &upstream.name, requested_backoff, effective_backoff);
        }
        if availability.is_leaving && self.upstreams.record_leaving(upstream.hash) {
            self.metrics.count_drain_announcement();
            self.log.drain_announced(request_id, &upstream.name);
        }
    }

    /// Whether the request may still be sent. Since the upstream was chosen, the deadline may have passed,
    /// the rules or the upstream list may have changed or expired, or the request may have been quarantined.
    fn may_be_sent(&self, inbound: &InboundRequest, chosen: &ChosenUpstream) -> bool {
        let is_before_deadline = bendhinge_clock::now() < inbound.deadline;
        let is_quarantined = || self.quarantine.is_quarantined(self.suspects(inbound));
        is_before_deadline
            && !is_quarantined()
            && inbound.is_authorized(&self.rules)
            && self.upstreams.is_available(&chosen.entry)
    }
}
