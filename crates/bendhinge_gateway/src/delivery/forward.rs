//! Forwards a request to a gateway that reaches the upstreams of its pool.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::{NotRun, SendOutcome};
use bendhinge_http::{Body, BodyFraming, Connection, SendFailure, full_body};
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, Response};
use smol::Timer;

use super::attempt::{
    ErrorResponse, MAX_CONNECTION_IDLE_TIME, UpstreamResponse, implies_not_run, is_event_stream,
};
use super::stream_source::ResponseSource;
use super::upstream_body::{UpstreamBody, read_complete_body};
use super::{Delivery, DeliveryContext, DeliveryError, InboundRequest, delay_until_next_list};
use crate::forwarding::ForwardGuard;
use crate::forwarding::headers::{self, ForwardRefusal, ForwardedFields};
use crate::state::{LinkState, SoftwareRule};

/// The number of gateways to which a request is sent in turn while none of them has run it.
const MAX_GATEWAYS: usize = 2;
/// How long after the deadline the response is still awaited. The other gateway has the same deadline, and its
/// response says whether the request ran.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);

/// A request that was forwarded to a gateway.
pub(super) struct ForwardedSend {
    /// The index among the gateways to which the request was forwarded.
    pub(super) number: usize,
    _guard: ForwardGuard,
}

/// The result of forwarding a request.
pub(super) enum ForwardOutcome {
    Response(Box<UpstreamResponse>),
    Failed(DeliveryError),
    /// The request did not run, since no gateway took it.
    NotForwarded,
}

/// Why a gateway did not deliver a response.
enum ForwardError {
    /// Nothing of the request was written.
    NotSent(NotRun),
    /// The request may have run.
    Lost(SendOutcome),
}

/// What became of a request on a connection.
enum Sent {
    Response(Response<Incoming>),
    /// No byte was written.
    Nothing(Box<Request<Body>>),
}

impl DeliveryContext {
    /// Whether requests to the pool are forwarded before anything is tried here.
    pub(super) fn forwards_at_once(&self, inbound: &InboundRequest) -> bool {
        self.forwarding.is_enabled()
            && inbound.forwarded.is_none()
            && matches!(self.upstreams.link_state(&inbound.pool), LinkState::Partitioned { .. })
            && self.forwarding.has_target(&inbound.pool)
    }
}

impl Delivery {
    /// Whether the request should be forwarded to another gateway. A request that was forwarded to this one is not.
    pub(super) fn should_forward(&self) -> bool {
        let DeliveryContext { forwarding, upstreams, .. } = &*self.context;
        if !forwarding.is_enabled() || self.inbound.forwarded.is_some() {
            return false;
        }
        match upstreams.link_state(&self.inbound.pool) {
            LinkState::Working => false,
            LinkState::Suspect => self.has_failed_to_connect,
            LinkState::Partitioned { .. } => true,
        }
    }

    /// Returns the error for a request that cannot be sent, since no connection to an upstream of the pool succeeds.
    pub(super) fn partition_error(&self) -> Option<DeliveryError> {
        let DeliveryContext { forwarding, upstreams, .. } = &*self.context;
        let is_cut_off = forwarding.is_enabled()
            && matches!(
                upstreams.link_state(&self.inbound.pool),
                LinkState::Partitioned { is_any_reached: false }
            );
        is_cut_off.then(|| self.retry_later(ResultCode::UpstreamNotReached, delay_until_next_list()))
    }

    /// Forwards the request to a gateway that is not known to be partitioned from the pool, and to a second one if the
    /// first does not take it.
    pub(super) async fn forward(&mut self, resume_after: Option<&str>) -> ForwardOutcome {
        let mut last_refusal = None;
        let mut tried: Vec<SocketAddr> = Vec::new();
        while tried.len() < MAX_GATEWAYS && !self.inbound.time_left().is_zero() {
            let Some(guard) = self.context.forwarding.choose(&self.inbound.pool, &tried) else { break };
            if !self.inbound.is_authorized(&self.context.rules) {
                return ForwardOutcome::Failed(DeliveryError::Code(
                    self.code_if_not_run(ResultCode::ViewNotFresh),
                ));
            }
            tried.push(guard.address);
            let number = self.log_line.record_forward(&guard);
            self.open_forward = Some(number);
            self.retry_state.begin_send();
            let response = match self.exchange_with_gateway(guard.address, resume_after).await {
                Ok(response) => response,
                Err(ForwardError::NotSent(evidence)) => {
                    self.context.forwarding.record_failure(guard.address);
                    self.record_forward_end(number, evidence.into());
                    self.retry_state.record_unrun_forward(evidence);
                    continue;
                }
                Err(ForwardError::Lost(end)) => return self.fail_forward(number, end),
            };
            let (response, connection) = response;
            let (head, body) = response.into_parts();
            let Some(refusal) = self.parse_refusal(&head) else {
                let send = ForwardedSend { number, _guard: guard };
                return self.receive_forwarded(head, body, connection, send).await;
            };
            self.open_forward = None;
            self.log_line.record_forward_refusal(number, refusal.code);
            self.context.metrics.count_forward("refused");
            let Some(evidence) = NotRun::refused(refusal.code) else {
                self.retry_state.record_forward(Some(SendOutcome::Lost));
                return ForwardOutcome::Failed(DeliveryError::Code(refusal.code));
            };
            self.retry_state.record_unrun_forward(evidence);
            if !may_try_another_gateway(refusal.code) {
                return self.fail_with_refusal(refusal);
            }
            last_refusal = Some(refusal);
        }
        match last_refusal {
            Some(refusal) => self.fail_with_refusal(refusal),
            None => ForwardOutcome::NotForwarded,
        }
    }

    /// Sends the request to the gateway at `address` and waits for the head of the response.
    async fn exchange_with_gateway(
        &self,
        address: SocketAddr,
        resume_after: Option<&str>,
    ) -> Result<(Response<Incoming>, Connection), ForwardError> {
        let mut idle = self.context.connection_pool.idle_connection(address, MAX_CONNECTION_IDLE_TIME);
        let mut request = None;
        loop {
            let connected = match idle.take() {
                Some(connection) => Some(connection),
                None => self.connect_to_gateway(address).await,
            };
            // Its fields depend on how long the connection took.
            let unsent = request.take().unwrap_or_else(|| self.forwarded_request(resume_after));
            let Some(mut connection) = connected else {
                return Err(ForwardError::NotSent(NotRun::not_connected(unsent)));
            };
            // The deadline or the lease may have expired while the connection was established.
            if self.inbound.time_left().is_zero() || !self.inbound.is_authorized(&self.context.rules) {
                return Err(ForwardError::NotSent(NotRun::withheld(unsent)));
            }
            match self.send_on(&mut connection, unsent).await? {
                Sent::Response(response) => return Ok((response, connection)),
                // The gateway closed an idle connection.
                Sent::Nothing(returned) if connection.reused => request = Some(*returned),
                Sent::Nothing(returned) => return Err(ForwardError::NotSent(NotRun::returned(returned))),
            }
        }
    }

    async fn connect_to_gateway(&self, address: SocketAddr) -> Option<Connection> {
        let stream = self.context.forwarding.connect(address).await?;
        self.context.connection_pool.connect_over(stream, address).await.ok()
    }

    /// Whether a response is to this request.
    fn is_to_request(&self, head: &response::Parts) -> bool {
        self.context.dialect.parse_response_head(head).id == self.inbound.fields.id
    }

    /// Returns the refusal in the response of a gateway, if it is one.
    fn parse_refusal(&self, head: &response::Parts) -> Option<ForwardRefusal> {
        let refusal = headers::parse_refusal(&head.headers)?;
        let is_consistent = head.status.as_u16() == refusal.code.http_status();
        (is_consistent && self.is_to_request(head)).then_some(refusal)
    }

    async fn send_on(
        &self,
        connection: &mut Connection,
        request: Request<Body>,
    ) -> Result<Sent, ForwardError> {
        let timeout = self.inbound.time_left() + RESPONSE_GRACE;
        let sending = async {
            match connection.send(request).await {
                Ok(response) => Ok(Sent::Response(response)),
                Err(SendFailure::NotSent(unsent)) => Ok(Sent::Nothing(unsent)),
                Err(SendFailure::Unknown(_)) => Err(ForwardError::Lost(SendOutcome::Lost)),
                Err(SendFailure::InvalidStatus(_)) => Err(ForwardError::Lost(SendOutcome::InvalidResponse)),
            }
        };
        let timed_out = async {
            Timer::after(timeout).await;
            Err(ForwardError::Lost(SendOutcome::TimedOut))
        };
        sending.or(timed_out).await
    }

    fn forwarded_request(&self, resume_after: Option<&str>) -> Request<Body> {
        let InboundRequest { head, body, route, .. } = &*self.inbound;
        let mut request = Request::new(full_body(body.clone()));
        *request.method_mut() = head.method.clone();
        *request.uri_mut() = head.uri.clone();
        *request.headers_mut() = head.headers.clone();
        let held_rules = self.context.rules.held_version(bendhinge_clock::now());
        let fields = ForwardedFields {
            from: self.context.forwarding.own_address(),
            time_left: self.inbound.time_left(),
            max_attempts: self.retry_state.attempts_left(route.max_attempts),
            was_counted: self.is_counted,
            rules_revision: held_rules.map_or(0, |held| held.version.document().0),
            resume_after: resume_after.map(str::to_owned),
            software: match self.software_rule() {
                SoftwareRule::Only(software) => Some(software),
                SoftwareRule::Any | SoftwareRule::Settled => None,
            },
        };
        headers::write_request(request.headers_mut(), &fields);
        request
    }

    /// Receives the response of an upstream that another gateway relays. One that states that the request did not run is no
    /// evidence of that unless it is a refusal.
    async fn receive_forwarded(
        &mut self,
        head: response::Parts,
        body: Incoming,
        connection: Connection,
        send: ForwardedSend,
    ) -> ForwardOutcome {
        if !self.is_to_request(&head) || implies_not_run(head.status) {
            return self.fail_forward(send.number, SendOutcome::InvalidResponse);
        }
        self.open_forward = None;
        self.context.metrics.count_forward("responded");
        let framing = BodyFraming::of_response(&self.inbound.head.method, head.status, &head.headers);
        let is_stream =
            head.status.is_success() && self.inbound.route.kind.is_stream() && is_event_stream(&head.headers);
        if is_stream {
            // The gateway that relays the stream has resumed it as often as it may be.
            self.retry_state.record_forward(None);
            let body = UpstreamBody::Stream(body, framing, connection);
            let source = ResponseSource::Gateway(send);
            return ForwardOutcome::Response(Box::new(UpstreamResponse { source, head, body, hedge: None }));
        }
        let timeout = self.inbound.time_left() + RESPONSE_GRACE;
        let reading = async {
            let read = read_complete_body(&self.context, &head, framing, body, connection).await;
            read.map_err(|_| SendOutcome::Lost)
        };
        let timed_out = async {
            Timer::after(timeout).await;
            Err(SendOutcome::TimedOut)
        };
        let (bytes, ended) = match reading.or(timed_out).await {
            Ok(read) => read,
            Err(end) => return self.fail_forward(send.number, end),
        };
        if head.status.is_success() {
            let body = UpstreamBody::Complete(bytes, ended);
            let source = ResponseSource::Gateway(send);
            return ForwardOutcome::Response(Box::new(UpstreamResponse { source, head, body, hedge: None }));
        }
        self.log_line.record_forward_body_end(send.number, ended.end);
        ForwardOutcome::Failed(DeliveryError::ErrorResponse(Box::new(ErrorResponse { head, body: bytes })))
    }

    pub(super) fn record_forward_end(&mut self, number: usize, end: SendOutcome) {
        self.open_forward = None;
        self.log_line.record_forward_end(number, end);
        self.context.metrics.count_forward(end.as_str());
    }

    /// Ends a request that may have run at another gateway, which had all attempts that were left.
    pub(super) fn fail_forward(&mut self, number: usize, end: SendOutcome) -> ForwardOutcome {
        self.record_forward_end(number, end);
        self.retry_state.record_forward(Some(end));
        let is_past_deadline = self.inbound.time_left().is_zero();
        ForwardOutcome::Failed(DeliveryError::Code(self.retry_state.final_code(is_past_deadline)))
    }

    /// Passes the refusal of another gateway on to the caller as it is, unless the request may have run before.
    fn fail_with_refusal(&self, refusal: ForwardRefusal) -> ForwardOutcome {
        let ForwardRefusal { code, retry_after } = refusal;
        ForwardOutcome::Failed(match retry_after {
            Some(retry_after) => self.retry_later(code, retry_after),
            None => DeliveryError::Code(self.code_if_not_run(code)),
        })
    }
}

/// Whether a gateway refused a request for a reason that need not hold at another one.
const fn may_try_another_gateway(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::UpstreamNotReached
            | ResultCode::RouterStopping
            | ResultCode::NoConfiguration
            | ResultCode::NoUpstream
            | ResultCode::ViewNotFresh
    )
}
