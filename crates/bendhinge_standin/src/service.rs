//! A stand-in for a plain service: receipts, deadline status, bulletins.
//!
//! It echoes what it was sent, counts how often each idempotency key ran, and has faults to
//! switch on by `PUT /control/faults`.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bendhinge_http::{Body, CloseConnection, channel_body, full_body, read_body};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode, Version};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::answers::{json, text};

const LARGEST_ORDER: usize = 64 << 10;

/// Faults that can be switched on.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Work takes this long, in milliseconds.
    pub delay_ms: u64,
    /// The connection is cut after the work was done, before its answer.
    pub cut_before_answer: bool,
    /// The connection is cut in the middle of the answer.
    pub cut_in_answer: bool,
    /// The connection is closed after the head of an answer, which does not say where its body ends.
    pub head_only: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    in_progress: u32,
    runs: HashMap<String, u32>,
}

/// The stand-in.
#[derive(Clone, Debug)]
pub struct Service {
    name: Arc<str>,
    state: Arc<Mutex<State>>,
}

impl Service {
    /// A service that answers as `name`.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self { name: name.into(), state: Arc::default() }
    }

    /// Answers one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        match (request.method().clone(), request.uri().path()) {
            (Method::GET, "/v1/load") => self.load(),
            (Method::GET, "/control/runs") => json(StatusCode::OK, &self.state.lock().unwrap().runs),
            (Method::PUT, "/control/faults") => match read_body(request.into_body(), LARGEST_ORDER).await {
                Ok(body) => self.set_faults(&body),
                Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => self.work(request).await,
        }
    }

    fn load(&self) -> Response<Body> {
        let in_progress = self.state.lock().unwrap().in_progress;
        json(StatusCode::OK, &serde_json::json!({ "in_progress": in_progress, "fence": 0 }))
    }

    fn set_faults(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.state.lock().unwrap().faults = faults;
                text(StatusCode::OK, "")
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    async fn work(&self, request: Request<Incoming>) -> Response<Body> {
        let faults = {
            let mut state = self.state.lock().unwrap();
            if let Some(key) = request.headers().get("idempotency-key").and_then(|key| key.to_str().ok()) {
                *state.runs.entry(key.to_owned()).or_default() += 1;
            }
            state.in_progress += 1;
            state.faults
        };
        let _done = Done(Arc::clone(&self.state));
        Timer::after(Duration::from_millis(faults.delay_ms)).await;
        if faults.cut_before_answer || faults.cut_in_answer {
            return cut_answer(faults.cut_in_answer).await;
        }
        if faults.head_only {
            return head_only();
        }
        self.echo(request)
    }

    fn echo(&self, request: Request<Incoming>) -> Response<Body> {
        let answer = Response::builder()
            .header("x-served-by", self.name.as_ref())
            .header("x-method", request.method().as_str())
            .header("x-path", request.uri().path_and_query().map_or("", |path| path.as_str()))
            .header("x-headers-seen", header_names(&request));
        let content_type = request.headers().get("content-type").cloned();
        let answer = match content_type {
            Some(kind) => answer.header("content-type", kind),
            None => answer,
        };
        let body = if request.method() == Method::GET {
            full_body(format!("{} answers {}\n", self.name, request.uri().path()))
        } else {
            request.into_body().map_err(Into::into).boxed()
        };
        answer.body(body).expect("echoed headers are valid")
    }
}

fn header_names(request: &Request<Incoming>) -> String {
    let names: Vec<&str> = request.headers().keys().map(hyper::header::HeaderName::as_str).collect();
    names.join(",")
}

/// An answer whose connection is cut in its middle, or before its head.
async fn cut_answer(in_middle: bool) -> Response<Body> {
    let (sender, body) = channel_body(2);
    let _ = sender.send(Ok(Bytes::from_static(b"half an answ"))).await;
    let _ = sender.send(Err(std::io::Error::other("cut"))).await;
    let mut answer = Response::new(body);
    if !in_middle {
        answer.extensions_mut().insert(CloseConnection);
    }
    answer
}

/// An answer without a body, length or chunks.
fn head_only() -> Response<Body> {
    let (_, body) = channel_body(1);
    let mut answer = Response::new(body);
    *answer.version_mut() = Version::HTTP_10;
    answer
}

struct Done(Arc<Mutex<State>>);

impl Drop for Done {
    fn drop(&mut self) {
        self.0.lock().unwrap().in_progress -= 1;
    }
}
