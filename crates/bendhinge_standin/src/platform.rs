//! A stand-in for the platform: configuration that can only be read, with revisions and a
//! watch, a lagging list of members, a count of calls, and faults to switch on.
//!
//! | Path | Meaning |
//! | --- | --- |
//! | `GET /v1/config?after=R&wait_ms=W` | the document, once its revision is above `R`; 304 after `W` |
//! | `GET /v1/members?after=R&wait_ms=W` | the list, likewise |
//! | `PUT /control/config` | what an operator does: publish; `if-revision: R` makes it conditional |
//! | `PUT /control/members` | the platform's own change of its list |
//! | `PUT /control/faults` | see [`Faults`] |
//! | `GET /control/calls` | calls counted, a waiting watch as one |

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bendhinge_http::{Body, read_body};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use smol::Timer;

use crate::answers::{json, text};

const LARGEST_VALUE: usize = 1 << 20;
const POLL: Duration = Duration::from_millis(10);

/// Faults that can be switched on.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every read is answered by 503.
    pub down: bool,
    /// Reads show what was there when this was switched on.
    pub stale: bool,
    /// Changes of the list show this much later, in milliseconds.
    pub list_lag_ms: u64,
}

/// Calls counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of the configuration.
    pub config: u64,
    /// Reads of the list.
    pub members: u64,
}

#[derive(Clone, Debug, Default)]
struct Value {
    revision: u64,
    bytes: Vec<u8>,
    visible_from: Option<Instant>,
}

#[derive(Debug, Default)]
struct Key {
    versions: Vec<Value>,
    frozen: Option<Value>,
}

impl Key {
    fn newest(&self) -> Value {
        self.versions.last().cloned().unwrap_or_default()
    }

    fn visible(&self) -> Value {
        if let Some(frozen) = &self.frozen {
            return frozen.clone();
        }
        let now = Instant::now();
        let shown =
            self.versions.iter().rev().find(|value| value.visible_from.is_none_or(|from| from <= now));
        shown.cloned().unwrap_or_default()
    }

    fn publish(&mut self, bytes: Vec<u8>, lag: Duration) -> u64 {
        let revision = self.newest().revision + 1;
        self.versions.push(Value { revision, bytes, visible_from: Some(Instant::now() + lag) });
        revision
    }
}

#[derive(Debug, Default)]
struct State {
    config: Key,
    members: Key,
    faults: Faults,
    calls: Calls,
}

/// The stand-in.
#[derive(Clone, Debug, Default)]
pub struct Platform {
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Answers one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::GET, "/v1/config") => {
                self.watch(&request, |state| &mut state.config, |calls| &mut calls.config).await
            }
            (Method::GET, "/v1/members") => {
                self.watch(&request, |state| &mut state.members, |calls| &mut calls.members).await
            }
            (Method::GET, "/control/calls") => json(StatusCode::OK, &self.state.lock().unwrap().calls),
            (Method::PUT, control) => {
                let condition = condition(&request);
                match read_body(request.into_body(), LARGEST_VALUE).await {
                    Ok(body) => self.control(control, condition, &body),
                    Err(error) => text(StatusCode::PAYLOAD_TOO_LARGE, error.to_string()),
                }
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn watch(
        &self,
        request: &Request<Incoming>,
        key: fn(&mut State) -> &mut Key,
        calls: fn(&mut Calls) -> &mut u64,
    ) -> Response<Body> {
        let query = query(request);
        let number = |name| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(number("wait_ms"));
        *calls(&mut self.state.lock().unwrap().calls) += 1;
        loop {
            let (down, value) = {
                let mut state = self.state.lock().unwrap();
                (state.faults.down, key(&mut state).visible())
            };
            if down {
                return text(StatusCode::SERVICE_UNAVAILABLE, "down");
            }
            if value.revision > number("after") {
                return valued(value);
            }
            if Instant::now() >= until {
                return text(StatusCode::NOT_MODIFIED, "");
            }
            Timer::after(POLL).await;
        }
    }

    fn control(&self, path: &str, condition: Option<u64>, body: &[u8]) -> Response<Body> {
        let mut state = self.state.lock().unwrap();
        match path {
            "/control/config" => {
                let present = state.config.newest().revision;
                if condition.is_some_and(|expected| expected != present) {
                    return text(StatusCode::PRECONDITION_FAILED, present.to_string());
                }
                let revision = state.config.publish(body.to_vec(), Duration::ZERO);
                text(StatusCode::OK, revision.to_string())
            }
            "/control/members" => {
                let lag = Duration::from_millis(state.faults.list_lag_ms);
                let revision = state.members.publish(body.to_vec(), lag);
                text(StatusCode::OK, revision.to_string())
            }
            "/control/faults" => match serde_json::from_slice::<Faults>(body) {
                Ok(faults) => {
                    state.set_faults(faults);
                    text(StatusCode::OK, "")
                }
                Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
            },
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl State {
    fn set_faults(&mut self, faults: Faults) {
        self.faults = faults;
        for key in [&mut self.config, &mut self.members] {
            let newest = key.newest();
            key.frozen = match key.frozen.take() {
                Some(frozen) if faults.stale => Some(frozen),
                None if faults.stale => Some(newest),
                _ => None,
            };
        }
    }
}

fn valued(value: Value) -> Response<Body> {
    let answer = Response::builder().header("x-revision", value.revision);
    answer.body(bendhinge_http::full_body(value.bytes)).expect("a number is a valid header")
}

fn condition(request: &Request<Incoming>) -> Option<u64> {
    request.headers().get("if-revision")?.to_str().ok()?.parse().ok()
}

fn query(request: &Request<Incoming>) -> HashMap<String, String> {
    let query = request.uri().query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| (name.to_owned(), value.to_owned())).collect()
}
