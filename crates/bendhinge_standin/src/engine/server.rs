//! The engine's HTTP face.

use std::collections::{HashMap, VecDeque};
use std::io;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bendhinge_http::{Body, CloseConnection, Tasks, channel_body, empty_body, full_body, read_body};
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol::Timer;
use smol::channel::Sender;

use super::cache::PrefixCache;
use super::generate::Turn;
use super::slots::{Slot, Slots};
use crate::answers::{json, text};

const LARGEST_TURN: usize = 64 << 20;

/// How an engine behaves.
#[derive(Clone, Copy, Debug)]
pub struct EngineOptions {
    /// Requests run at once.
    pub slots: usize,
    /// Size of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Time to read a prompt token that is not cached, in microseconds.
    pub prefill_us: u64,
    /// Time to generate a token, in microseconds; 0 generates without any pause.
    pub decode_us: u64,
    /// How old the load report is, in milliseconds.
    pub report_lag_ms: u64,
    /// Whether orders below the highest fence seen are refused.
    pub checks_fence: bool,
}

/// Faults that can be switched on.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Turns are answered by 503.
    pub refuse: bool,
    /// The connection is cut after the turn was read, before the answer.
    pub cut_before_answer: bool,
    /// The connection is cut after this many tokens.
    pub cut_after_tokens: Option<u32>,
    /// A stream ends cleanly after this many tokens, without its end mark.
    pub end_after_tokens: Option<u32>,
    /// The answer is no JSON.
    pub garbage: bool,
    /// Every turn waits this long first, in milliseconds.
    pub delay_ms: u64,
}

/// What tests may look at.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineState {
    /// Turns in progress or queued.
    pub in_progress: u32,
    /// The most that were in progress at once.
    pub peak: u32,
    /// Turns begun.
    pub begun: u64,
    /// Turns whose caller went away.
    pub cancelled: u64,
    /// Turns begun, by idempotency key.
    pub runs: HashMap<String, u32>,
    /// The last order taken.
    pub order: Option<Order>,
    /// Names of headers seen with the last turn.
    pub headers_seen: Vec<String>,
}

/// An order as it arrives.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Order {
    /// Its fence.
    pub fence: u64,
    /// The model.
    pub model: String,
    /// Its version.
    pub version: u64,
}

struct Shared {
    state: EngineState,
    faults: Faults,
    cache: PrefixCache,
    history: VecDeque<(Instant, u32)>,
}

/// The stand-in.
#[derive(Clone)]
pub struct Engine {
    name: Arc<str>,
    options: EngineOptions,
    tasks: Tasks,
    slots: Slots,
    shared: Arc<Mutex<Shared>>,
}

impl Engine {
    /// An engine that answers as `name`.
    #[must_use]
    pub fn new(name: &str, options: EngineOptions, tasks: Tasks) -> Self {
        let shared = Shared {
            state: EngineState::default(),
            faults: Faults::default(),
            cache: PrefixCache::new(options.cache_tokens),
            history: VecDeque::new(),
        };
        let slots = Slots::new(options.slots);
        Self { name: name.into(), options, tasks, slots, shared: Arc::new(Mutex::new(shared)) }
    }

    /// Answers one request.
    pub async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, "/v1/chat/completions") => self.complete(request).await,
            (Method::GET, "/v1/load") => self.load(),
            (Method::GET, "/v1/cache_events") => self.cache_events(&request),
            (Method::GET, "/control/state") => json(StatusCode::OK, &self.shared.lock().unwrap().state),
            (Method::POST, "/v1/orders") => self.with_body(request, Self::take_order).await,
            (Method::PUT, "/control/faults") => self.with_body(request, Self::set_faults).await,
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn with_body(
        &self,
        request: Request<Incoming>,
        then: fn(&Self, &[u8]) -> Response<Body>,
    ) -> Response<Body> {
        match read_body(request.into_body(), LARGEST_TURN).await {
            Ok(body) => then(self, &body),
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn set_faults(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.shared.lock().unwrap().faults = faults;
                text(StatusCode::OK, "")
            }
            Err(error) => text(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }

    fn take_order(&self, body: &[u8]) -> Response<Body> {
        let order = match serde_json::from_slice::<Order>(body) {
            Ok(order) => order,
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let mut shared = self.shared.lock().unwrap();
        let highest = shared.state.order.as_ref().map_or(0, |order| order.fence);
        if self.options.checks_fence && order.fence < highest {
            return text(StatusCode::CONFLICT, highest.to_string());
        }
        let same = shared
            .state
            .order
            .as_ref()
            .is_some_and(|old| old.model == order.model && old.version == order.version);
        if !same {
            shared.cache.clear();
        }
        shared.state.order = Some(order);
        text(StatusCode::OK, "")
    }

    fn load(&self) -> Response<Body> {
        let mut shared = self.shared.lock().unwrap();
        let shown = Instant::now().checked_sub(Duration::from_millis(self.options.report_lag_ms));
        while shared.history.len() > 1 && shown.is_some_and(|shown| shared.history[1].0 <= shown) {
            shared.history.pop_front();
        }
        let in_progress = match shared.history.front() {
            Some((since, count)) if shown.is_some_and(|shown| *since <= shown) => *count,
            _ => 0,
        };
        let fence = shared.state.order.as_ref().map_or(0, |order| order.fence);
        json(
            StatusCode::OK,
            &json!({ "in_progress": in_progress, "fence": fence, "lag_ms": self.options.report_lag_ms }),
        )
    }

    fn cache_events(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = request
            .uri()
            .query()
            .and_then(|query| query.strip_prefix("after="))
            .and_then(|text| text.parse().ok());
        json(StatusCode::OK, &self.shared.lock().unwrap().cache.events_after(after.unwrap_or(0)))
    }

    async fn complete(&self, request: Request<Incoming>) -> Response<Body> {
        let (head, body) = request.into_parts();
        let priority =
            number_header(&head.headers, "x-priority").and_then(|number| u8::try_from(number).ok());
        let turn = match read_body(body, LARGEST_TURN).await {
            Ok(bytes) => serde_json::from_slice::<Turn>(&bytes),
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let turn = match turn {
            Ok(turn) => turn,
            Err(error) => return text(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let faults = self.note_begun(&head.headers);
        if faults.refuse {
            return text(StatusCode::SERVICE_UNAVAILABLE, "refused");
        }
        let running = Running::new(self);
        Timer::after(Duration::from_millis(faults.delay_ms)).await;
        let slot = self.slots.take(priority.unwrap_or(0)).await;
        if faults.cut_before_answer {
            return cut();
        }
        let cached = self.prefill(&turn).await;
        if faults.garbage {
            return text(StatusCode::OK, "{ this is no JSON");
        }
        let resume_from = number_header(&head.headers, "x-resume-from").unwrap_or(0);
        let job = Job { engine: self.clone(), turn, cached, faults, resume_from, _slot: slot, running };
        if job.turn.stream { job.stream() } else { job.whole().await }
    }

    fn note_begun(&self, headers: &hyper::HeaderMap) -> Faults {
        let mut shared = self.shared.lock().unwrap();
        shared.state.begun += 1;
        shared.state.headers_seen = headers.keys().map(ToString::to_string).collect();
        if let Some(key) = headers.get("idempotency-key").and_then(|key| key.to_str().ok()) {
            *shared.state.runs.entry(key.to_owned()).or_default() += 1;
        }
        shared.faults
    }

    /// Reads the prompt, and gives how many of its tokens were cached.
    async fn prefill(&self, turn: &Turn) -> u64 {
        let cached = self.shared.lock().unwrap().cache.reuse(&turn.prefixes());
        let fresh = turn.prompt_tokens().saturating_sub(cached);
        pause(fresh * self.options.prefill_us).await;
        cached
    }
}

fn number_header(headers: &hyper::HeaderMap, name: &str) -> Option<u32> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

async fn pause(micros: u64) {
    if micros > 0 {
        Timer::after(Duration::from_micros(micros)).await;
    }
}

fn cut() -> Response<Body> {
    let mut answer = Response::new(empty_body());
    answer.extensions_mut().insert(CloseConnection);
    answer
}

/// Counts a turn as in progress until dropped.
struct Running {
    engine: Engine,
    finished: bool,
}

impl Running {
    fn new(engine: &Engine) -> Self {
        let mut shared = engine.shared.lock().unwrap();
        shared.state.in_progress += 1;
        shared.state.peak = shared.state.peak.max(shared.state.in_progress);
        let count = shared.state.in_progress;
        shared.history.push_back((Instant::now(), count));
        drop(shared);
        Self { engine: engine.clone(), finished: false }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut shared = self.engine.shared.lock().unwrap();
        shared.state.in_progress -= 1;
        let count = shared.state.in_progress;
        shared.history.push_back((Instant::now(), count));
        if !self.finished {
            shared.state.cancelled += 1;
        }
    }
}

/// One turn on its slot.
struct Job {
    engine: Engine,
    turn: Turn,
    cached: u64,
    faults: Faults,
    /// The first token that is sent; a stream that broke is resumed there.
    resume_from: u32,
    _slot: Slot,
    running: Running,
}

impl Job {
    async fn whole(mut self) -> Response<Body> {
        let tokens = self.turn.tokens();
        pause(tokens.len() as u64 * self.engine.options.decode_us).await;
        let content = tokens.concat();
        self.remember(&content);
        let answer = json!({
            "id": "chatcmpl-standin",
            "object": "chat.completion",
            "created": 0,
            "model": self.turn.model,
            "choices": [{ "index": 0, "finish_reason": "stop", "message": { "role": "assistant", "content": content } }],
            "usage": self.usage(),
            "served_by": self.engine.name.as_ref(),
        });
        self.running.finished = true;
        let bytes = serde_json::to_vec(&answer).expect("string keys");
        if self.faults.cut_after_tokens.is_some() {
            return cut_in_body(bytes).await;
        }
        let answer = Response::builder().header("content-type", "application/json");
        answer.body(full_body(bytes)).expect("valid headers")
    }

    fn usage(&self) -> serde_json::Value {
        let prompt = self.turn.prompt_tokens();
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": self.turn.max_tokens,
            "total_tokens": prompt + u64::from(self.turn.max_tokens),
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }

    fn remember(&self, content: &str) {
        let prefixes = self.turn.prefixes();
        let whole = prefixes.last().copied().unwrap_or(super::PrefixHash::EMPTY).with("assistant", content);
        let tokens = self.turn.prompt_tokens() + u64::from(self.turn.max_tokens);
        self.engine.shared.lock().unwrap().cache.store(&prefixes, whole, tokens);
    }

    fn stream(self) -> Response<Body> {
        const DEPTH: usize = 32;
        let (sender, body) = channel_body(DEPTH);
        let tasks = Arc::clone(&self.engine.tasks);
        tasks.spawn(async move { self.send_tokens(&sender).await }).detach();
        let answer = Response::builder()
            .header("content-type", "text/event-stream")
            .header("cache-control", "no-cache");
        answer.body(body).expect("valid headers")
    }

    async fn send_tokens(mut self, sender: &Sender<io::Result<Bytes>>) {
        let tokens = self.turn.tokens();
        for (number, token) in (0_u32..).zip(&tokens) {
            if number < self.resume_from {
                continue;
            }
            if self.faults.cut_after_tokens == Some(number) {
                let _ = sender.send(Err(io::Error::other("cut"))).await;
                return;
            }
            if self.faults.end_after_tokens == Some(number) {
                return;
            }
            pause(self.engine.options.decode_us).await;
            let delta =
                json!({ "choices": [{ "index": 0, "delta": { "content": token }, "finish_reason": null }] });
            if self.send_event(sender, &delta.to_string()).await.is_err() {
                return;
            }
        }
        self.remember(&tokens.concat());
        let last = json!({
            "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
            "usage": self.usage(),
            "served_by": self.engine.name.as_ref(),
        });
        let sent = self.send_event(sender, &last.to_string()).await;
        if sent.is_ok() && self.send_event(sender, "[DONE]").await.is_ok() {
            self.running.finished = true;
        }
    }

    async fn send_event(
        &self,
        sender: &Sender<io::Result<Bytes>>,
        data: &str,
    ) -> Result<(), smol::channel::SendError<io::Result<Bytes>>> {
        sender.send(Ok(Bytes::from(format!("data: {data}\n\n")))).await
    }
}

async fn cut_in_body(bytes: Vec<u8>) -> Response<Body> {
    let (sender, body) = channel_body(2);
    let length = bytes.len();
    let _ = sender.send(Ok(Bytes::from(bytes).slice(..length / 2))).await;
    let _ = sender.send(Err(io::Error::other("cut"))).await;
    let answer =
        Response::builder().header("content-length", length).header("content-type", "application/json");
    answer.body(body).expect("valid headers")
}
