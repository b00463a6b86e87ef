//! Answers that the router makes itself, in the form that chat client libraries parse.

use std::time::Duration;

use bendhinge_codes::{Ran, ResultCode};
use bendhinge_configuration::{Configuration, PoolKind};
use bendhinge_http::{Body, full_body};
use bendhinge_ids::RequestId;
use bendhinge_timeline::EventKind;
use bytes::Bytes;
use hyper::{HeaderMap, Response, StatusCode};
use rand::Rng;
use serde_json::json;

use super::Refused;
use crate::node::Node;

/// Header with whether the request ran: `yes`, `no` or `unknown`.
const RAN: &str = "x-bendhinge-ran";
/// Header with the request's number, for the time line.
const REQUEST: &str = "x-bendhinge-request";
/// Header with the box that answered.
const ROUTER: &str = "x-bendhinge-router";
/// Header with the result code.
const CODE: &str = "x-bendhinge-code";
/// Header by which client libraries know whether to retry by themselves.
const SHOULD_RETRY: &str = "x-should-retry";

/// Marks an answer with what became of its request.
pub(crate) fn mark(headers: &mut HeaderMap, node: &Node, request: RequestId, ran: Ran) {
    let value = |text: &str| text.parse().expect("names, digits and words are valid headers");
    headers.insert(RAN, value(ran.as_str()));
    headers.insert(REQUEST, value(&request.to_string()));
    headers.insert(ROUTER, value(node.life.name.as_str()));
}

pub(crate) fn refused(node: &Node, request: RequestId, refused: &Refused) -> Response<Body> {
    answer(node, request, refused.code, refused.detail.as_deref(), refused.retry_after)
}

/// The final answer of a request that is given up, at once.
pub(crate) fn failure(
    node: &Node,
    request: RequestId,
    code: ResultCode,
    detail: Option<&str>,
) -> Response<Body> {
    answer(node, request, code, detail, None)
}

fn answer(
    node: &Node,
    request: RequestId,
    code: ResultCode,
    detail: Option<&str>,
    retry_after: Option<Duration>,
) -> Response<Body> {
    node.metrics.result(code);
    let ran = code.ran().unwrap_or(Ran::No);
    node.note_request(request, EventKind::Told { code: code.to_string(), ran: ran.to_string() });
    let body = serde_json::to_vec(&error_object(request, code, detail)).expect("string keys");
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() =
        StatusCode::from_u16(code.http_status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = answer.headers_mut();
    headers.insert("content-type", "application/json".parse().expect("a valid header"));
    headers.insert(CODE, code.to_string().parse().expect("a valid header"));
    mark(headers, node, request, ran);
    invite(headers, code, retry_after);
    if code == ResultCode::RouterStopping {
        headers.insert("connection", "close".parse().expect("a valid header"));
    }
    answer
}

/// Says whether and when to come back.
fn invite(headers: &mut HeaderMap, code: ResultCode, retry_after: Option<Duration>) {
    if !code.invites_retry() {
        headers.insert(SHOULD_RETRY, "false".parse().expect("a valid header"));
        return;
    }
    let after = retry_after.unwrap_or_else(soon);
    let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
    headers.insert("retry-after", seconds.into());
    headers.insert("retry-after-ms", u64::try_from(after.as_millis()).unwrap_or(u64::MAX).into());
}

/// A time to come back after where nothing better is known, spread over a second.
fn soon() -> Duration {
    Duration::from_millis(rand::rng().random_range(500..1_500))
}

fn error_object(request: RequestId, code: ResultCode, detail: Option<&str>) -> serde_json::Value {
    let message = match detail {
        Some(detail) => format!("{} {detail} {}", code.means(), code.action()),
        None => format!("{} {}", code.means(), code.action()),
    };
    json!({ "error": {
        "message": message,
        "type": error_type(code),
        "param": null,
        "code": code.to_string(),
        "ran": code.ran().map_or("no", Ran::as_str),
        "request": request.to_string(),
    }})
}

/// The type by which chat client libraries tell errors apart.
const fn error_type(code: ResultCode) -> &'static str {
    match code.http_status() {
        401 => "authentication_error",
        404 => "not_found_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}

/// An event that tells the reader of a stream that it broke off.
pub(crate) fn error_event(request: RequestId, code: ResultCode) -> Bytes {
    Bytes::from(format!("data: {}\n\n", error_object(request, code, None)))
}

/// The models that are served.
pub(super) fn models(configuration: &Configuration) -> Response<Body> {
    let models = configuration.pools.values().filter_map(|pool| match &pool.kind {
        PoolKind::Model { model, .. } => {
            Some(json!({ "id": model, "object": "model", "created": 0, "owned_by": "bendhinge" }))
        }
        PoolKind::Service { .. } => None,
    });
    let list = json!({ "object": "list", "data": models.collect::<Vec<_>>() });
    let mut answer = Response::new(full_body(list.to_string()));
    answer.headers_mut().insert("content-type", "application/json".parse().expect("a valid header"));
    answer
}
