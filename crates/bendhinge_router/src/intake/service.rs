//! Calls of plain services: any method, by path, bodies streamed both ways.

use std::sync::Arc;

use bendhinge_codes::ResultCode;
use bendhinge_delivery::Repeatable;
use bendhinge_http::Body;
use bendhinge_ids::ChatKey;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};

use super::{Call, Refused, admit, headers};
use crate::delivery::{Marking, Turn, TurnKind, deliver, streamed};
use crate::node::Node;

pub(super) async fn serve(
    node: &Arc<Node>,
    call: Call,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refused> {
    let (mut head, body) = request.into_parts();
    let (pool, _) = call.configuration.pool_for_path(head.uri.path()).ok_or_else(|| {
        Refused::because(ResultCode::UnknownModel, format!("The path is '{}'.", head.uri.path()))
    })?;
    let pool = Arc::clone(call.fleet.pools.get(pool).ok_or(ResultCode::UnknownModel)?);
    // Without a name each request goes its own way, which spreads them evenly.
    let chat = match headers::chat(&head.headers) {
        Some(name) => ChatKey::of(call.customer.as_str(), name),
        None => ChatKey(call.id.0),
    };
    let marking = marking(&call, &head.method, &head.headers)?;
    let admitted = admit(node, &call, &pool, chat, &head.headers)?;
    headers::to_upstream(&mut head.headers);
    if let Some(path) = head.uri.path_and_query() {
        head.uri = path.clone().into();
    }
    let turn = Turn {
        request: call.id,
        pool,
        chat,
        kind: TurnKind::Service,
        marking,
        engine_priority: call.engine_priority,
        head,
        body: streamed(body),
    };
    Ok(deliver(node, turn, admitted).await)
}

/// Calls are repeatable where their method is idempotent (RFC 9110, section 9.2.2) or their
/// caller says so. One with an idempotency key or the mark `never` runs at most once.
fn marking(call: &Call, method: &Method, headers: &HeaderMap) -> Result<Marking, Refused> {
    let repeat = headers::repeat(headers)?;
    let key = headers::idempotency_key(headers);
    match (repeat, key) {
        (Some(Repeatable::Yes), _) => Ok(Marking::Repeatable),
        (Some(Repeatable::Never), None) => Err(ResultCode::OnceNeedsKey.into()),
        (Some(Repeatable::Never), Some(key)) => {
            Ok(Marking::once(&call.customer, key, headers::declares_first(headers)))
        }
        (None, _) if method.is_idempotent() => Ok(Marking::Repeatable),
        (None, Some(key)) => Ok(Marking::once(&call.customer, key, headers::declares_first(headers))),
        (None, None) => Ok(Marking::SingleAttempt),
    }
}
