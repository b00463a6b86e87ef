//! Headers on their way through.

use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::Repeatable;
use bendhinge_http::remove_hop_by_hop_headers;
use hyper::header::{AUTHORIZATION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response;
use hyper::{Method, Request, Version};

use super::Refused;

/// Whether a request may be sent more than once: `never` or `allowed`.
const REPEAT: &str = "x-bendhinge-repeat";
/// Which attempt of its caller's a request is; `1` declares that it was never sent before.
const ATTEMPT: &str = "x-bendhinge-attempt";
/// The time that the caller still has.
const DEADLINE: &str = "x-bendhinge-deadline-ms";
/// What the callers' chat is called.
const CHAT: &str = "x-bendhinge-chat";
/// The key under which a request runs at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Makes a caller's headers fit for an upstream: without what concerns the caller's connection,
/// its key, and the router's own headers. Length and framing are written anew by hyper.
pub(super) fn to_upstream(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    for name in [AUTHORIZATION, HOST, EXPECT, CONTENT_LENGTH] {
        headers.remove(name);
    }
    for name in [REPEAT, ATTEMPT, DEADLINE, CHAT, "x-priority", "x-request-id"] {
        headers.remove(name);
    }
}

/// Prepares the head of an upstream's response for the caller: removes the headers that are not forwarded and
/// sets the router's own HTTP version, which decides how the body is framed.
pub(crate) fn to_caller(head: &mut response::Parts) {
    head.version = Version::HTTP_11;
    remove_hop_by_hop_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
}

/// Refuses requests that a careful gateway does not pass on.
pub(super) fn check<B>(request: &Request<B>) -> Result<(), Refused> {
    let lengths = request.headers().get_all(CONTENT_LENGTH).iter().count();
    if lengths > 1 || lengths == 1 && request.headers().contains_key(TRANSFER_ENCODING) {
        return Err(ResultCode::AmbiguousLength.into());
    }
    let uri = request.uri();
    if request.method() == Method::CONNECT || !uri.path().starts_with('/') {
        return Err(Refused::because(ResultCode::MalformedRequest, "The request has no path."));
    }
    if has_dot_segment(uri.path()) {
        return Err(Refused::because(ResultCode::MalformedRequest, "The path has a dot segment."));
    }
    Ok(())
}

/// Whether an upstream could read the path as leading out of its prefix.
fn has_dot_segment(path: &str) -> bool {
    let plain = path
        .to_ascii_lowercase()
        .replace("%2e", ".")
        .replace("%2f", "/")
        .replace("%5c", "/")
        .replace('\\', "/");
    plain.split('/').any(|segment| segment == "." || segment == "..")
}

/// The time that the caller still has, if it says so.
pub(super) fn deadline(headers: &HeaderMap) -> Result<Option<Duration>, Refused> {
    let Some(value) = headers.get(DEADLINE) else { return Ok(None) };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    let refused = || {
        Refused::because(ResultCode::MalformedRequest, format!("{DEADLINE} is not a number of milliseconds."))
    };
    millis.map(|millis| Some(Duration::from_millis(millis))).ok_or_else(refused)
}

/// The name of the caller's chat, if it gives one.
pub(super) fn chat(headers: &HeaderMap) -> Option<&[u8]> {
    headers.get(CHAT).map(hyper::header::HeaderValue::as_bytes)
}

/// The idempotency key, if there is one.
pub(super) fn idempotency_key(headers: &HeaderMap) -> Option<&[u8]> {
    headers.get(IDEMPOTENCY_KEY).map(hyper::header::HeaderValue::as_bytes).filter(|key| !key.is_empty())
}

/// Whether the caller declares that it has not sent this request before.
pub(super) fn declares_first(headers: &HeaderMap) -> bool {
    headers.get(ATTEMPT).is_some_and(|value| value == "1")
}

/// What the caller says about sending the request more than once.
pub(super) fn repeat(headers: &HeaderMap) -> Result<Option<Repeatable>, Refused> {
    let Some(value) = headers.get(REPEAT) else { return Ok(None) };
    match value.as_bytes() {
        b"never" => Ok(Some(Repeatable::Never)),
        b"allowed" => Ok(Some(Repeatable::Yes)),
        _ => Err(Refused::because(
            ResultCode::MalformedRequest,
            format!("{REPEAT} is neither 'never' nor 'allowed'."),
        )),
    }
}
