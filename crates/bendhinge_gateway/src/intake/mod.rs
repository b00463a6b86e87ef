//! Accepts callers' requests: reads and authorizes them, and passes them on to delivery.

mod buffers;
pub(crate) mod headers;

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_http::{Body, HeadBytes, full_body};
use bendhinge_ids::{Instant, NameHash, PoolName, hash_to_fraction};
use bendhinge_routes::{CallerLimits, Customer, Route};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64;

use self::buffers::RequestBuffers;
use crate::delivery::{DeliveryContext, InboundRequest, deliver};
use crate::dialect::{ErrorResponseFields, RequestFields};
use crate::forwarding;
use crate::forwarding::headers::{ForwardRefusal, ForwardedFields};
use crate::lifecycle::Lifecycle;
use crate::quarantine::Suspect;
use crate::state::ActiveRules;

/// A request that the gateway answers itself, with the response for the caller.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refusal {
    pub(crate) code: ResultCode,
    /// Whether the request was passed on to delivery, which then has written its log line.
    pub(crate) was_sent: bool,
    /// The retry delay, if it is more specific than the default.
    pub(crate) retry_after: Option<Duration>,
    /// What is quarantined, if the request is refused because of that.
    pub(crate) suspect: Option<Suspect>,
}

impl Refusal {
    /// Creates the refusal of a request that was not sent, with a retry delay.
    pub(crate) const fn with_retry_after(code: ResultCode, retry_after: Duration) -> Self {
        Self { code, was_sent: false, retry_after: Some(retry_after), suspect: None }
    }

    /// Whether the framing of further requests on the connection cannot be trusted.
    const fn is_malformed(self) -> bool {
        matches!(self.code, ResultCode::MalformedRequest | ResultCode::AmbiguousLength)
    }
}

/// Creates the refusal of a request that was not sent.
impl From<ResultCode> for Refusal {
    fn from(code: ResultCode) -> Self {
        Self { code, was_sent: false, retry_after: None, suspect: None }
    }
}

/// The shared state that request handling uses.
pub(crate) struct Intake {
    pub(crate) context: Arc<DeliveryContext>,
    pub(crate) lifecycle: Arc<Lifecycle>,
}

/// Handles one request of a caller.
pub(crate) async fn handle(intake: Arc<Intake>, request: Request<Incoming>) -> Response<Body> {
    respond(&intake, request, None).await
}

/// Handles one request that another gateway forwards.
pub(crate) async fn handle_forwarded(intake: Arc<Intake>, mut request: Request<Incoming>) -> Response<Body> {
    let Some(forwarded) = forwarding::headers::take_request(request.headers_mut()) else {
        return intake.refuse(None, ResultCode::MalformedRequest.into(), true);
    };
    intake.context.metrics.count_forwarded_request();
    respond(&intake, request, Some(forwarded)).await
}

async fn respond(
    intake: &Intake,
    request: Request<Incoming>,
    forwarded: Option<ForwardedFields>,
) -> Response<Body> {
    let received_at = bendhinge_clock::now();
    let (head, body) = request.into_parts();
    let is_forwarded = forwarded.is_some();
    // The HTTP library drops a `Content-Length` that precedes `Transfer-Encoding`. To prevent request
    // smuggling, the connection is closed after such a request (RFC 9112, section 6.1).
    let ends_connection = head.headers.contains_key(TRANSFER_ENCODING);
    let fields = intake.context.dialect.parse_request(&head);
    let id = fields.as_ref().ok().and_then(|fields| fields.id.clone());
    let result = match fields {
        Ok(fields) => intake.serve(head, body, fields, forwarded, received_at).await,
        Err(_) => Err(ResultCode::MalformedRequest.into()),
    };
    let is_malformed = result.as_ref().is_err_and(|refusal| refusal.is_malformed());
    let mut response = match result {
        Ok(mut response) => {
            // An upstream's response must not look like one of the gateway.
            forwarding::headers::remove(response.headers_mut());
            response
        }
        Err(refusal) => intake.refuse(id.as_ref(), refusal, is_forwarded),
    };
    if is_malformed || ends_connection || intake.lifecycle.is_stopping() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The route, pool, customer and limits of a request, according to the rules in force.
struct Authorization {
    route: Arc<Route>,
    pool: PoolName,
    customer: Option<Arc<Customer>>,
    limits: CallerLimits,
}

impl Intake {
    async fn serve(
        &self,
        mut head: request::Parts,
        body: Incoming,
        mut fields: RequestFields,
        forwarded: Option<ForwardedFields>,
        received_at: Instant,
    ) -> Result<Response<Body>, Refusal> {
        validate_head(&head)?;
        if let Some(forwarded) = &forwarded {
            fields.timeout = Some(forwarded.time_left);
            fields.resume_after.clone_from(&forwarded.resume_after);
        }
        if !self.lifecycle.accepts_requests() {
            return Err(ResultCode::RouterStopping.into());
        }
        let tie_breaker = rand::rng().random();
        let current = self.context.rules.current_or_wait(fields.timeout).await;
        let current = current.ok_or(ResultCode::NoConfiguration)?;
        if forwarded.as_ref().is_some_and(|forwarded| self.holds_older_rules(forwarded.rules_revision)) {
            return Err(ResultCode::ViewNotFresh.into());
        }
        // A split of the route leads to the pool in which the stream began.
        let split_id = if self.context.streams.is_enabled() { fields.began_by() } else { fields.id.as_ref() };
        let authorization = authorize(&current, &head, &fields, split_id)?;
        if authorization.customer.is_some() && !self.context.rules.is_within_lease() {
            return Err(ResultCode::ViewNotFresh.into());
        }
        drop(current);
        let in_progress = self.lifecycle.begin_request();
        let deadline = received_at
            + fields
                .timeout
                .map_or(authorization.route.timeout, |time_left| time_left.min(authorization.route.timeout));
        let customer = authorization.customer.as_ref().map(|customer| NameHash::of(customer.name.as_str()));
        let head_bytes = head.extensions.get::<HeadBytes>().copied().unwrap_or_default();
        let buffers = RequestBuffers::new(&self.context.buffers, customer, head_bytes);
        let body = buffers.read_body(body, &authorization.limits, deadline, &self.context.tasks).await?;
        // The accept period may have ended while the body was received.
        if !self.lifecycle.accepts_requests() {
            return Err(ResultCode::RouterStopping.into());
        }
        headers::prepare_for_upstream(&mut head.headers);
        let customer_priority = authorization.customer.as_ref().and_then(|customer| customer.priority);
        let inbound = InboundRequest {
            priority: customer_priority.unwrap_or(authorization.route.priority),
            fields,
            route: authorization.route,
            pool: authorization.pool,
            customer: authorization.customer,
            head,
            body,
            _buffers: buffers.pin(),
            received_at,
            deadline,
            tie_breaker,
            forwarded,
            digest: OnceLock::new(),
            part_digests: OnceLock::new(),
        };
        deliver(&self.context, inbound, in_progress).await
    }

    /// Whether the rules held are older than those of `revision`.
    fn holds_older_rules(&self, revision: u64) -> bool {
        let held = self.context.rules.held_version(bendhinge_clock::now());
        held.is_none_or(|held| held.version.document().0 < revision)
    }

    fn refuse(&self, id: Option<&HeaderValue>, refusal: Refusal, is_forwarded: bool) -> Response<Body> {
        let Refusal { code, was_sent, retry_after, suspect } = refusal;
        let context = &self.context;
        context.metrics.count_result(code);
        let retry_after = retry_after.or_else(|| code.invites_retry().then(default_retry_after));
        if !was_sent {
            let rules_age = context.rules.age(bendhinge_clock::now());
            let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
            context.log.request_refused(id, code, suspect, rules_age, retry_after);
        }
        let mut response = Response::new(full_body(Bytes::new()));
        *response.status_mut() =
            StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let body = context
            .dialect
            .write_error_response(response.headers_mut(), &ErrorResponseFields { id, code, retry_after });
        *response.body_mut() = full_body(body);
        if is_forwarded {
            let refusal = ForwardRefusal { code, retry_after };
            forwarding::headers::write_refusal(response.headers_mut(), refusal);
        }
        response
    }
}

/// Retry delay of requests whose route or customer is not served. Only another version of the rules can change that.
const RULES_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Returns a random retry delay so that callers refused together do not return together.
fn default_retry_after() -> Duration {
    Duration::from_millis(rand::rng().random_range(80..250))
}

fn authorize(
    current: &ActiveRules,
    head: &request::Parts,
    fields: &RequestFields,
    split_id: Option<&HeaderValue>,
) -> Result<Authorization, Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let rules = &current.rules;
    let route = rules.routes.find(host, head.uri.path()).ok_or(ResultCode::UnknownModel)?;
    let customer = authenticate(current, route, fields)?;
    let pool = route.split.pool_at(split_point(split_id));
    let pool = pool.ok_or(Refusal::with_retry_after(ResultCode::RouteNotServed, RULES_RETRY_DELAY))?;
    Ok(Authorization { route: Arc::clone(route), pool: pool.clone(), customer, limits: rules.limits })
}

/// Returns the customer of a request. An unknown key is refused even if the route allows anonymous requests.
fn authenticate(
    current: &ActiveRules,
    route: &Route,
    fields: &RequestFields,
) -> Result<Option<Arc<Customer>>, Refusal> {
    let customers = &current.rules.customers;
    match &fields.key {
        Some(key) if customers.requires_key() => match customers.find_by_key(key) {
            Some(customer) => Ok(Some(Arc::clone(customer))),
            None if customers.is_left_out(key) => {
                Err(Refusal::with_retry_after(ResultCode::CustomerNotServed, RULES_RETRY_DELAY))
            }
            None => Err(ResultCode::NoKey.into()),
        },
        None if customers.requires_key() && !route.allow_anonymous => Err(ResultCode::NoKey.into()),
        _ => Ok(None),
    }
}

/// Returns a number in `[0, 1)` for the traffic split, which is equal for equal request IDs on all gateways.
fn split_point(id: Option<&HeaderValue>) -> f64 {
    match id {
        Some(id) => hash_to_fraction(xxh3_64(id.as_bytes())),
        None => rand::rng().random(),
    }
}

/// Refuses requests whose framing or target is ambiguous.
fn validate_head(head: &request::Parts) -> Result<(), Refusal> {
    let length_count = head.headers.get_all(CONTENT_LENGTH).iter().count();
    if length_count > 1 || length_count == 1 && head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(ResultCode::AmbiguousLength.into());
    }
    let host_count = head.headers.get_all(HOST).iter().count();
    if host_count != 1 || !head.uri.path().starts_with('/') {
        return Err(ResultCode::MalformedRequest.into());
    }
    Ok(())
}
