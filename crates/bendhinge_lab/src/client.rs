//! A caller: sends turns and calls, and judges what comes back.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bendhinge_http::{Body, Pool, SendFailure, full_body};
use bendhinge_standin::engine::expected_answer;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};
use serde_json::{Value, json};
use smol::Timer;

/// One message of a chat.
#[derive(Clone, Debug)]
pub struct Message {
    /// `system`, `user` or `assistant`.
    pub role: &'static str,
    /// Its text.
    pub content: String,
}

/// A turn to be sent.
#[derive(Clone, Debug)]
pub struct ChatTurn {
    /// The model.
    pub model: String,
    /// The conversation; the last message is the user's.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Tokens of the answer.
    pub max_tokens: u32,
    /// Headers besides the key.
    pub headers: Vec<(&'static str, String)>,
}

impl ChatTurn {
    /// The first turn of a chat, with one message.
    #[must_use]
    pub fn first(model: &str, text: &str, stream: bool, max_tokens: u32) -> Self {
        let messages = vec![Message { role: "user", content: text.to_owned() }];
        Self { model: model.to_owned(), messages, stream, max_tokens, headers: Vec::new() }
    }

    fn body(&self) -> String {
        let messages =
            self.messages.iter().map(|message| json!({ "role": message.role, "content": message.content }));
        let turn = json!({
            "model": self.model,
            "messages": messages.collect::<Vec<_>>(),
            "stream": self.stream,
            "max_tokens": self.max_tokens,
        });
        turn.to_string()
    }

    fn expected(&self) -> String {
        let last = self.messages.last().map_or("", |message| message.content.as_str());
        expected_answer(last, self.max_tokens)
    }
}

/// What came back for a turn or a call.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The status; 0 if there was no answer.
    pub status: u16,
    /// The result code, if the router made the answer itself.
    pub code: Option<String>,
    /// Whether the request ran, as the caller was told.
    pub ran: Option<String>,
    /// Whether an answer was whole by its own framing and end mark.
    pub whole: bool,
    /// Whether a whole answer was the one to this very request.
    pub own: bool,
    /// The answer's text.
    pub content: String,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Which engine served it.
    pub served_by: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Time to the first piece of the answer.
    pub first: Duration,
    /// Time to its end.
    pub total: Duration,
}

impl Outcome {
    /// Whether the caller has its whole own answer.
    #[must_use]
    pub const fn served(&self) -> bool {
        self.status == 200 && self.whole && self.own
    }

    /// Whether the caller has something that looks whole and is not its own answer.
    #[must_use]
    pub const fn wrong(&self) -> bool {
        self.status == 200 && self.whole && !self.own
    }
}

/// A caller with a customer's key.
#[derive(Clone)]
pub struct Caller {
    /// Its connections.
    pub pool: Arc<Pool>,
    /// Its key.
    pub key: String,
    /// How long it waits for the whole answer.
    pub patience: Duration,
}

impl Caller {
    /// A caller of the examples' customer `customer`.
    #[must_use]
    pub fn new(pool: &Arc<Pool>, customer: &str) -> Self {
        Self { pool: Arc::clone(pool), key: format!("demo-key-{customer}"), patience: Duration::from_mins(1) }
    }

    /// Sends a turn to the router at `router`.
    pub async fn chat(&self, router: SocketAddr, turn: &ChatTurn) -> Outcome {
        let mut request = Request::post("/v1/chat/completions").header("content-type", "application/json");
        for (name, value) in &turn.headers {
            request = request.header(*name, value);
        }
        let request = request.body(full_body(turn.body())).expect("a valid request");
        let mut outcome = self.send(router, request).await;
        if outcome.status == 200 {
            if turn.stream {
                read_stream(&mut outcome);
            } else {
                read_whole(&mut outcome);
            }
            outcome.own = outcome.content == turn.expected();
        }
        outcome
    }

    /// Calls a plain service; the answer's own text stays in `content`.
    pub async fn call(
        &self,
        router: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&'static str, String)],
        body: String,
    ) -> Outcome {
        let mut request = Request::builder().method(method.clone()).uri(path);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let expected = body.clone();
        let request = request.body(full_body(body)).expect("a valid request");
        let mut outcome = self.send(router, request).await;
        outcome.own = method == Method::GET || outcome.content == expected;
        outcome
    }

    /// Sends any request with this caller's key and gathers what comes back.
    pub async fn send(&self, router: SocketAddr, mut request: Request<Body>) -> Outcome {
        let began = Instant::now();
        let headers = request.headers_mut();
        headers.insert("host", router.to_string().parse().expect("a valid header"));
        headers.insert("authorization", format!("Bearer {}", self.key).parse().expect("a valid header"));
        let exchange = async {
            match self.exchange(router, request).await {
                Some((answer, connection)) => gather(answer, connection, &self.pool, began).await,
                None => Outcome::default(),
            }
        };
        let too_long = async {
            Timer::after(self.patience).await;
            Outcome::default()
        };
        let mut outcome = exchange.or(too_long).await;
        outcome.total = began.elapsed();
        outcome
    }

    async fn exchange(
        &self,
        router: SocketAddr,
        request: Request<Body>,
    ) -> Option<(Response<Incoming>, bendhinge_http::Connection)> {
        let mut connection = self.pool.connection(router).await.ok()?;
        match connection.send(request).await {
            Ok(answer) => Some((answer, connection)),
            Err(SendFailure::NotSent(request)) => {
                let mut connection = self.pool.connect(router).await.ok()?;
                let answer = connection.send(*request).await.ok()?;
                Some((answer, connection))
            }
            Err(SendFailure::Unknown(_) | SendFailure::InvalidStatus(_)) => None,
        }
    }
}

async fn gather(
    answer: Response<Incoming>,
    connection: bendhinge_http::Connection,
    pool: &Pool,
    began: Instant,
) -> Outcome {
    let (head, mut body) = answer.into_parts();
    let header = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let mut outcome = Outcome {
        status: head.status.as_u16(),
        code: header("x-bendhinge-code"),
        ran: header("x-bendhinge-ran"),
        retry_after_ms: header("retry-after-ms").and_then(|text| text.parse().ok()),
        headers: head.headers.clone(),
        ..Outcome::default()
    };
    let mut bytes = Vec::new();
    loop {
        match body.frame().await {
            None => break,
            Some(Err(_)) => {
                outcome.content = String::from_utf8_lossy(&bytes).into_owned();
                return outcome;
            }
            Some(Ok(frame)) => {
                if bytes.is_empty() {
                    outcome.first = began.elapsed();
                }
                if let Some(data) = frame.data_ref() {
                    bytes.extend_from_slice(data);
                }
            }
        }
    }
    outcome.whole = true;
    outcome.content = String::from_utf8_lossy(&bytes).into_owned();
    pool.release(connection).await;
    outcome
}

fn read_whole(outcome: &mut Outcome) {
    let answer: Value = serde_json::from_str(&outcome.content).unwrap_or_default();
    read_usage(outcome, &answer);
    let content = answer["choices"][0]["message"]["content"].as_str();
    outcome.content = content.map(str::to_owned).unwrap_or_default();
}

fn read_stream(outcome: &mut Outcome) {
    let text = std::mem::take(&mut outcome.content);
    let mut done = false;
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if data == "[DONE]" {
            done = true;
            continue;
        }
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        if let Some(code) = event["error"]["code"].as_str() {
            outcome.code = Some(code.to_owned());
        }
        outcome.content.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        if event["usage"].is_object() {
            read_usage(outcome, &event);
        }
    }
    outcome.whole &= done;
}

fn read_usage(outcome: &mut Outcome, answer: &Value) {
    outcome.prompt_tokens = answer["usage"]["prompt_tokens"].as_u64().unwrap_or(0);
    outcome.cached_tokens = answer["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap_or(0);
    outcome.served_by = answer["served_by"].as_str().map(str::to_owned).unwrap_or_default();
}
