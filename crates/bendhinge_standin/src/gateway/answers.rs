//! Parts of an upstream's answers.

use bendhinge_gateway::native::headers::{REQUEST, SIGNATURE};
use bendhinge_http::{Body, empty_body, full_body};
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};

use super::upstream::Upstream;

pub(super) fn first_half(event: &str) -> Bytes {
    Bytes::copy_from_slice(&event.as_bytes()[..event.len() / 2])
}

/// The event of a stream with this id, from an upstream with this software.
pub(super) fn versioned_event(request: &str, id: u32, software: &str) -> String {
    if software.is_empty() {
        return Upstream::expected_event(request, id);
    }
    format!("id: {id}\ndata: {request} {id} {software}\n\n")
}

pub(super) fn whole(id: &str) -> Response<Body> {
    Response::new(full_body(Upstream::expected_body(id)))
}

/// The whole answer, and `padding` bytes after it.
pub(super) fn padded(id: &str, padding: usize) -> Response<Body> {
    Response::new(full_body(Upstream::expected_body(id) + &"x".repeat(padding)))
}

pub(super) fn with_status(status: StatusCode) -> Response<Body> {
    let mut answer = Response::new(empty_body());
    *answer.status_mut() = status;
    answer
}

pub(super) fn signed(mut answer: Response<Body>, id: &str) -> Response<Body> {
    answer.headers_mut().insert(REQUEST, header_value(id));
    answer.headers_mut().insert(SIGNATURE, header_value(&format!("signed-{id}")));
    answer
}

pub(super) fn header_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("the text is printable: an id that was a header, or numbers")
}
