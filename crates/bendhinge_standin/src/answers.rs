//! Short forms of answers.

use bendhinge_http::{Body, full_body};
use hyper::{Response, StatusCode};
use serde::Serialize;

pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(value).expect("values here have string keys");
    let answer = Response::builder().status(status).header("content-type", "application/json");
    answer.body(full_body(bytes)).expect("headers here are valid")
}

pub(crate) fn text(status: StatusCode, text: impl Into<String>) -> Response<Body> {
    let mut answer = Response::new(full_body(text.into()));
    *answer.status_mut() = status;
    answer
}
