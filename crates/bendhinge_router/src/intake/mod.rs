//! The duty of intake: callers' requests up to the decision to serve them.

pub(crate) mod answers;
mod chat;
pub(crate) mod headers;
mod service;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bendhinge_admission::{CustomerIndex, RefusalReason};
use bendhinge_codes::ResultCode;
use bendhinge_configuration::Configuration;
use bendhinge_http::Body;
use bendhinge_ids::{ChatKey, CustomerName, RequestId};
use bendhinge_timeline::EventKind;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};
use opentelemetry::KeyValue;

use crate::admission::{self, Admitted};
use crate::membership::{Fleet, FleetPool};
use crate::node::Node;

/// A request that is not served, with what its caller is told.
#[derive(Debug)]
pub(crate) struct Refused {
    code: ResultCode,
    detail: Option<String>,
    retry_after: Option<Duration>,
}

impl Refused {
    fn because(code: ResultCode, detail: impl Into<String>) -> Self {
        Self { code, detail: Some(detail.into()), retry_after: None }
    }
}

impl From<ResultCode> for Refused {
    fn from(code: ResultCode) -> Self {
        Self { code, detail: None, retry_after: None }
    }
}

/// Answers one request of a caller.
pub(crate) async fn handle(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let id = node.new_request();
    let _in_progress = match InProgress::begin(&node) {
        Ok(in_progress) => in_progress,
        Err(code) => return answers::failure(&node, id, code, None),
    };
    match serve(&node, id, request).await {
        Ok(answer) => answer,
        Err(refused) => answers::refused(&node, id, &refused),
    }
}

/// Counts a request until its answer's head is made; its body is bounded by admission.
struct InProgress(Arc<Node>);

impl InProgress {
    fn begin(node: &Arc<Node>) -> Result<Self, ResultCode> {
        let before = node.in_progress.fetch_add(1, Ordering::Relaxed);
        let this = Self(Arc::clone(node));
        if before >= node.settings.limits.in_progress {
            return Err(ResultCode::TooManyConnections);
        }
        Ok(this)
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The caller's identity and the fleet as it was when the request came.
pub(crate) struct Call {
    pub(crate) id: RequestId,
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) configuration: Arc<Configuration>,
    pub(crate) customer: CustomerName,
    pub(crate) customer_index: CustomerIndex,
    pub(crate) engine_priority: u8,
    pub(crate) class: String,
}

async fn serve(
    node: &Arc<Node>,
    id: RequestId,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refused> {
    if node.is_stopping() && node.settings.limits.stop_grace.is_zero() {
        return Err(ResultCode::RouterStopping.into());
    }
    headers::check(&request)?;
    let fleet = node.fleet();
    let configuration = fleet.configuration.clone().ok_or(ResultCode::NoConfiguration)?;
    let call = identify(id, fleet, configuration, request.headers())?;
    match (request.method(), request.uri().path()) {
        (&Method::POST, "/v1/chat/completions") => chat::serve(node, call, request).await,
        (&Method::GET, "/v1/models") => Ok(answers::models(&call.configuration)),
        (_, "/v1/chat/completions" | "/v1/models") => Err(ResultCode::MethodNotAllowed.into()),
        _ => service::serve(node, call, request).await,
    }
}

fn identify(
    id: RequestId,
    fleet: Arc<Fleet>,
    configuration: Arc<Configuration>,
    headers: &HeaderMap,
) -> Result<Call, Refused> {
    let key = headers.get("authorization").and_then(|value| value.to_str().ok());
    let key = key.and_then(|text| text.strip_prefix("Bearer ")).ok_or(ResultCode::NoKey)?;
    let (name, customer) = configuration.find_customer_by_key(key.trim()).ok_or(ResultCode::NoKey)?;
    let customer_index = *fleet.customers.get(name).ok_or(ResultCode::NoKey)?;
    let engine_priority = configuration.classes.get(&customer.class).map_or(0, |class| class.engine_priority);
    let (name, class) = (name.clone(), customer.class.to_string());
    Ok(Call { id, fleet, configuration, customer: name, customer_index, engine_priority, class })
}

/// Lets a request in, or refuses it.
fn admit(
    node: &Arc<Node>,
    call: &Call,
    pool: &FleetPool,
    chat: ChatKey,
    headers: &HeaderMap,
) -> Result<Admitted, Refused> {
    if !node.is_fresh() {
        return Err(ResultCode::ViewNotFresh.into());
    }
    let deadline = headers::deadline(headers)?;
    node.metrics
        .requests
        .add(1, &[KeyValue::new("pool", pool.name.to_string()), KeyValue::new("class", call.class.clone())]);
    let received = EventKind::Received {
        customer: call.customer.to_string(),
        pool: pool.name.to_string(),
        chat: format!("{:016x}", chat.0),
    };
    node.note_request(call.id, received);
    admission::admit(node, pool, &call.customer, call.customer_index, deadline).map_err(|refusal| {
        let code = match refusal.reason {
            RefusalReason::CustomerLimitReached => ResultCode::CustomerAtLimit,
            RefusalReason::ShareExceeded => ResultCode::ClassOverShare,
            RefusalReason::DeadlineUnreachable => ResultCode::DeadlineCannotBeMet,
        };
        Refused { code, detail: None, retry_after: Some(refusal.retry_after) }
    })
}
