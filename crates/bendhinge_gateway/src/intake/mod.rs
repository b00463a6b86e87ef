//! The duty of intake: callers' requests up to the decision to serve them.

pub(crate) mod headers;

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_http::{Body, ReadBodyError, full_body, read_body};
use bendhinge_ids::{Instant, PoolName, RequestDigest, hash_to_fraction};
use bendhinge_routes::{CallerLimits, Customer, Route};
use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use smol::Timer;
use xxhash_rust::xxh3::xxh3_64;

use crate::delivery::{Delivering, Turn, deliver};
use crate::dialect::{CallFields, RefusalFields};
use crate::knowledge::RulesInForce;
use crate::lifecycle::Lifecycle;

/// A request that gets no upstream's answer, with what its caller is told.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Refused {
    pub(crate) code: ResultCode,
    /// Whether it was sent, so that its line was written by whoever sent it.
    pub(crate) was_sent: bool,
    /// When to come back, where that is known better than soon.
    pub(crate) retry_after: Option<Duration>,
    /// Which requests are the same, where it is for these that it is refused.
    pub(crate) digest: Option<RequestDigest>,
}

impl Refused {
    /// A request that was not sent, whose caller is told when to come back.
    pub(crate) const fn until(code: ResultCode, retry_after: Duration) -> Self {
        Self { code, was_sent: false, retry_after: Some(retry_after), digest: None }
    }

    /// Whether nothing that comes behind the request on its connection can be trusted.
    const fn is_malformed(self) -> bool {
        matches!(self.code, ResultCode::MalformedRequest | ResultCode::AmbiguousLength)
    }
}

/// A request that was not sent.
impl From<ResultCode> for Refused {
    fn from(code: ResultCode) -> Self {
        Self { code, was_sent: false, retry_after: None, digest: None }
    }
}

/// What intake needs of the other duties.
pub(crate) struct Intake {
    pub(crate) delivering: Arc<Delivering>,
    pub(crate) lifecycle: Arc<Lifecycle>,
}

/// Answers one request of a caller.
pub(crate) async fn handle(intake: Arc<Intake>, request: Request<Incoming>) -> Response<Body> {
    let began = bendhinge_clock::now();
    let (head, body) = request.into_parts();
    // The HTTP library drops a length that stands before a transfer coding; what comes behind
    // such a request could be part of it to another reader, and is not read (RFC 9112, 6.1).
    let ends_connection = head.headers.contains_key(TRANSFER_ENCODING);
    let call = intake.delivering.dialect.read_call(&head);
    let id = call.as_ref().ok().and_then(|call| call.id.clone());
    let served = match call {
        Ok(call) => intake.serve(head, body, call, began).await,
        Err(_) => Err(ResultCode::MalformedRequest.into()),
    };
    let is_malformed = served.as_ref().is_err_and(|refused| refused.is_malformed());
    let mut answer = match served {
        Ok(answer) => answer,
        Err(refused) => intake.refuse(id.as_ref(), refused),
    };
    if is_malformed || ends_connection || intake.lifecycle.is_stopping() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// What a request may do, by the rules in force.
struct Allowed {
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
        call: CallFields,
        began: Instant,
    ) -> Result<Response<Body>, Refused> {
        check_form(&head)?;
        if !self.lifecycle.accepts_requests() {
            return Err(ResultCode::RouterStopping.into());
        }
        let tie_breaker = rand::rng().random();
        let current = self.delivering.rules.current_or_first(call.deadline).await;
        let current = current.ok_or(ResultCode::NoConfiguration)?;
        let allowed = allow(&current, &head, &call)?;
        if allowed.customer.is_some() && !self.delivering.rules.may_be_acted_on() {
            return Err(ResultCode::ViewNotFresh.into());
        }
        drop(current);
        let in_progress = self.lifecycle.begin_request();
        let limit =
            began + call.deadline.map_or(allowed.route.timeout, |left| left.min(allowed.route.timeout));
        let body = read(body, &allowed.limits, limit).await?;
        headers::to_upstream(&mut head.headers);
        let customer_priority = allowed.customer.as_ref().and_then(|customer| customer.priority);
        let turn = Turn {
            priority: customer_priority.unwrap_or(allowed.route.priority),
            call,
            route: allowed.route,
            pool: allowed.pool,
            customer: allowed.customer,
            head,
            body,
            began,
            limit,
            tie_breaker,
            digest: OnceLock::new(),
        };
        deliver(&self.delivering, turn, in_progress).await
    }

    fn refuse(&self, id: Option<&HeaderValue>, refused: Refused) -> Response<Body> {
        let Refused { code, was_sent, retry_after, digest } = refused;
        let delivering = &self.delivering;
        delivering.metrics.count_result(code);
        let retry_after = retry_after.or_else(|| code.invites_retry().then(soon));
        if !was_sent {
            let rules_age = delivering.rules.age(bendhinge_clock::now());
            let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
            delivering.log.request_refused(id, code, digest, rules_age, retry_after);
        }
        let mut answer = Response::new(full_body(Bytes::new()));
        *answer.status_mut() =
            StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let body =
            delivering.dialect.write_refusal(answer.headers_mut(), &RefusalFields { id, code, retry_after });
        *answer.body_mut() = full_body(body);
        answer
    }
}

/// A time to come back after, spread so that the refused do not return together.
fn soon() -> Duration {
    Duration::from_millis(rand::rng().random_range(80..250))
}

fn allow(current: &RulesInForce, head: &request::Parts, call: &CallFields) -> Result<Allowed, Refused> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).unwrap_or_default();
    let rules = &current.rules;
    let route = rules.routes.find(host, head.uri.path()).ok_or(ResultCode::UnknownModel)?;
    let customer = authenticate(current, route, call)?;
    let pool = route.split.pool_at(split_point(call)).ok_or(ResultCode::NoUpstream)?;
    Ok(Allowed { route: Arc::clone(route), pool: pool.clone(), customer, limits: rules.limits })
}

/// Finds whose request it is. A key that nobody holds is refused even where none is needed.
fn authenticate(
    current: &RulesInForce,
    route: &Route,
    call: &CallFields,
) -> Result<Option<Arc<Customer>>, Refused> {
    let customers = &current.rules.customers;
    match &call.key {
        Some(key) if customers.requires_key() => match customers.find_by_key(key) {
            Some(customer) => Ok(Some(Arc::clone(customer))),
            None => Err(ResultCode::NoKey.into()),
        },
        None if customers.requires_key() && !route.allow_anonymous => Err(ResultCode::NoKey.into()),
        _ => Ok(None),
    }
}

/// A point from 0 up to 1 for dividing traffic: the same wherever the same request comes.
fn split_point(call: &CallFields) -> f64 {
    match &call.id {
        Some(id) => hash_to_fraction(xxh3_64(id.as_bytes())),
        None => rand::rng().random(),
    }
}

/// Refuses requests that two readers could read differently.
fn check_form(head: &request::Parts) -> Result<(), Refused> {
    let lengths = head.headers.get_all(CONTENT_LENGTH).iter().count();
    if lengths > 1 || lengths == 1 && head.headers.contains_key(TRANSFER_ENCODING) {
        return Err(ResultCode::AmbiguousLength.into());
    }
    let hosts = head.headers.get_all(HOST).iter().count();
    if hosts != 1 || !head.uri.path().starts_with('/') {
        return Err(ResultCode::MalformedRequest.into());
    }
    Ok(())
}

async fn read(body: Incoming, limits: &CallerLimits, limit: Instant) -> Result<Bytes, Refused> {
    let reading = async {
        read_body(body, limits.max_body_bytes).await.map_err(|error| {
            Refused::from(match error {
                ReadBodyError::TooLong(_) => ResultCode::BodyTooLarge,
                ReadBodyError::Broken(_) => ResultCode::MalformedRequest,
            })
        })
    };
    let too_long = async {
        Timer::after(limit.since(bendhinge_clock::now())).await;
        Err(ResultCode::SlowCaller.into())
    };
    reading.or(too_long).await
}
