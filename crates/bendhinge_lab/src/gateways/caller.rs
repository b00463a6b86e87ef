//! A caller that judges every answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_gateway::native::headers::{
    CODE, DEADLINE, PROMPT, RAN, REQUEST, RESUME_AFTER, RESUMES, SIGNATURE,
};
use bendhinge_http::{Body, Pool, SendFailure, full_body};
use bendhinge_standin::gateway::Upstream;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, HOST, HeaderMap};
use hyper::{Method, Request, Response, StatusCode, Version};
use smol::Timer;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its number.
    pub id: String,
    /// Its host.
    pub host: &'static str,
    /// Its path.
    pub path: &'static str,
    /// Its key.
    pub key: Option<String>,
    /// The parts of its prompt, where it has one.
    pub prompt: Option<String>,
    /// How long its caller waits, as it says.
    pub deadline: Duration,
    /// Its body.
    pub body: String,
    /// The HTTP version in which it is sent.
    pub version: Version,
    /// Further headers.
    pub extra_headers: Vec<(&'static str, &'static str)>,
    /// The stream that it resumes.
    pub resumption: Option<Resumption>,
}

/// A stream that a call resumes.
#[derive(Clone, Debug)]
pub struct Resumption {
    /// The request that brought its first event; `None` if the caller does not name it.
    pub request: Option<String>,
    /// The ID of its last event.
    pub last_event: u32,
}

impl Call {
    /// A call with a number of its own.
    #[must_use]
    pub fn new(path: &'static str, key: &str) -> Self {
        Self {
            id: format!("{:016x}", rand::random::<u64>()),
            host: "fleet.example",
            path,
            key: Some(key.to_owned()),
            prompt: None,
            deadline: Duration::from_secs(5),
            body: String::new(),
            version: Version::HTTP_11,
            extra_headers: Vec::new(),
            resumption: None,
        }
    }

    /// A call for a stream.
    #[must_use]
    pub fn stream(path: &'static str, key: &str) -> Self {
        let own = rand::random::<u32>();
        Self { prompt: Some(format!("1:2000,2:6000,{own}:500")), ..Self::new(path, key) }
    }

    pub(super) fn request(&self) -> Request<Body> {
        let mut request = Request::new(full_body(self.body.clone()));
        *request.method_mut() = Method::POST;
        *request.version_mut() = self.version;
        *request.uri_mut() = self.path.parse().expect("paths of tests are valid");
        let headers = request.headers_mut();
        let value = |text: &str| text.parse().expect("values of tests are valid");
        headers.insert(HOST, value(self.host));
        headers.insert(REQUEST, value(&self.id));
        headers.insert(DEADLINE, value(&self.deadline.as_millis().to_string()));
        for (name, text) in &self.extra_headers {
            headers.insert(*name, value(text));
        }
        if let Some(Resumption { request, last_event }) = &self.resumption {
            headers.insert(RESUME_AFTER, value(&last_event.to_string()));
            if let Some(request) = request {
                headers.insert(RESUMES, value(request));
            }
        }
        if let Some(key) = &self.key {
            headers.insert(AUTHORIZATION, value(&format!("Bearer {key}")));
        }
        if let Some(prompt) = &self.prompt {
            headers.insert(PROMPT, value(prompt));
        }
        request
    }
}

/// What the caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// The whole right answer.
    Whole,
    /// An answer of the gateway itself, or an upstream's that it failed.
    Status(u16),
    /// No answer, or one that visibly broke off.
    Broken,
    /// No end of the answer in the time that it waited.
    GaveUp,
    /// Something that no caller may ever see.
    Wrong(String),
}

/// What came back.
#[derive(Clone, Debug)]
pub struct Answer {
    /// What it comes to.
    pub told: Told,
    /// Its headers, if there was a head.
    pub headers: HeaderMap,
}

impl Answer {
    /// The result code, if the gateway made the answer.
    #[must_use]
    pub fn code(&self) -> Option<&str> {
        self.headers.get(CODE).and_then(|value| value.to_str().ok())
    }

    /// What is said of whether the request ran.
    #[must_use]
    pub fn ran(&self) -> Option<&str> {
        self.headers.get(RAN).and_then(|value| value.to_str().ok())
    }
}

/// A caller.
#[derive(Clone)]
pub struct GatewayCaller {
    pool: Arc<Pool>,
}

impl GatewayCaller {
    /// A caller with connections of its own.
    #[must_use]
    pub const fn new(pool: Arc<Pool>) -> Self {
        Self { pool }
    }

    /// Sends a call to the gateway at `address` and waits for its answer for `patience`.
    pub async fn send(&self, address: SocketAddr, call: &Call, patience: Duration) -> Answer {
        let sending = self.exchange(address, call);
        let giving_up = async {
            Timer::after(patience).await;
            Answer { told: Told::GaveUp, headers: HeaderMap::new() }
        };
        sending.or(giving_up).await
    }

    async fn exchange(&self, address: SocketAddr, call: &Call) -> Answer {
        let broken = || Answer { told: Told::Broken, headers: HeaderMap::new() };
        let Ok(mut connection) = self.pool.connection(address).await else { return broken() };
        let answer = match connection.send(call.request()).await {
            Ok(answer) => answer,
            Err(SendFailure::NotSent(request)) => {
                let Ok(fresh) = self.pool.connect(address).await else { return broken() };
                connection = fresh;
                let Ok(answer) = connection.send(*request).await else { return broken() };
                answer
            }
            Err(SendFailure::Unknown(_)) => return broken(),
            Err(SendFailure::InvalidStatus(status)) => {
                return Answer { told: Told::Wrong(format!("status {status}")), headers: HeaderMap::new() };
            }
        };
        let headers = answer.headers().clone();
        let told = judge(call, answer).await;
        if matches!(told, Told::Whole | Told::Status(_)) {
            self.pool.release(connection).await;
        }
        Answer { told, headers }
    }
}

async fn judge(call: &Call, answer: Response<Incoming>) -> Told {
    let (head, body) = answer.into_parts();
    let id = head.headers.get(REQUEST).and_then(|value| value.to_str().ok());
    if id.is_some_and(|id| id != call.id) {
        return Told::Wrong(format!("the answer is another's: {id:?}"));
    }
    let mut body = std::pin::pin!(body);
    let mut read = Vec::new();
    loop {
        match body.frame().await {
            None => break,
            Some(Err(_)) => return partial(call, &read),
            Some(Ok(frame)) => read.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
        }
    }
    if head.status != StatusCode::OK {
        return Told::Status(head.status.as_u16());
    }
    if !head.headers.contains_key(SIGNATURE) {
        return Told::Wrong("a success without the upstream's signature".to_owned());
    }
    if read == expected(call).as_bytes() {
        return Told::Whole;
    }
    Told::Wrong(format!("a whole answer that is not right: {:?}", String::from_utf8_lossy(&read)))
}

/// A broken answer may lack its end and nothing else.
fn partial(call: &Call, read: &[u8]) -> Told {
    if expected(call).as_bytes().starts_with(read) {
        return Told::Broken;
    }
    Told::Wrong(format!("a broken answer that is not right: {:?}", String::from_utf8_lossy(read)))
}

/// The number of events in the stand-in's streams.
pub(super) const EVENTS: u32 = 12;

fn expected(call: &Call) -> String {
    if call.prompt.is_none() {
        return Upstream::expected_body(&call.id);
    }
    (0..EVENTS).map(|id| Upstream::expected_event(&call.id, id)).collect()
}
