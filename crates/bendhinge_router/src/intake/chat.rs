//! Turns of chats: `POST /v1/chat/completions`.

use std::borrow::Cow;
use std::sync::Arc;

use bendhinge_buffers::{Owner, Reservation};
use bendhinge_codes::ResultCode;
use bendhinge_delivery::Repeatable;
use bendhinge_http::{Body, ReadBodyError, read_body_reserved};
use bendhinge_ids::ChatKey;
use bytes::Bytes;
use futures_lite::FutureExt;
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use serde::Deserialize;
use serde_json::value::RawValue;
use smol::Timer;

use super::{Call, Refused, admit, headers};
use crate::delivery::{Marking, Turn, TurnBody, TurnKind, deliver};
use crate::node::Node;

/// What the router reads of a turn; the rest passes through unread.
#[derive(Debug, Deserialize)]
struct ChatRequest<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(borrow, default)]
    prompt_cache_key: Option<Cow<'a, str>>,
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
struct MessageRole<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
}

pub(super) async fn serve(
    node: &Arc<Node>,
    call: Call,
    request: Request<Incoming>,
) -> Result<Response<Body>, Refused> {
    let (mut head, body) = request.into_parts();
    let bytes = read(node, body).await?;
    let turn = parse(&bytes)?;
    let (pool, _) = call.configuration.pool_for_model(&turn.model).ok_or_else(|| {
        Refused::because(ResultCode::UnknownModel, format!("The model is '{}'.", turn.model))
    })?;
    let pool = Arc::clone(call.fleet.pools.get(pool).ok_or(ResultCode::UnknownModel)?);
    let chat = chat_key(&call, &head.headers, &turn);
    let marking = marking(&call, &head.headers)?;
    let kind = if turn.stream == Some(true) { TurnKind::Stream } else { TurnKind::Whole };
    let admitted = admit(node, &call, &pool, chat, &head.headers)?;
    headers::to_upstream(&mut head.headers);
    head.uri = "/v1/chat/completions".parse().expect("a valid path");
    let turn = Turn {
        request: call.id,
        pool,
        chat,
        kind,
        marking,
        engine_priority: call.engine_priority,
        head,
        body: TurnBody::Whole(bytes.clone()),
    };
    Ok(deliver(node, turn, admitted).await)
}

async fn read(node: &Node, body: Incoming) -> Result<Bytes, Refused> {
    let limits = node.settings.limits;
    let reservation = node.buffers.open(Owner::Customer(None));
    let reading = async {
        read_body_reserved(body, limits.body_bytes, &reservation).await.map_err(|error| match error {
            ReadBodyError::TooLong(_) => ResultCode::BodyTooLarge.into(),
            ReadBodyError::NoMemory(_) | ReadBodyError::Revoked => ResultCode::BuffersFull.into(),
            ReadBodyError::Broken(error) => {
                Refused::because(ResultCode::MalformedRequest, format!("The body broke off: {error}."))
            }
        })
    };
    let too_long = async {
        Timer::after(limits.body).await;
        Err(ResultCode::SlowCaller.into())
    };
    let data = reading.or(too_long).await?;
    reservation.pin();
    Ok(Bytes::from_owner(ReservedBytes { data, _reservation: reservation }))
}

/// A body whose memory is accounted for as long as any part of it is in use.
struct ReservedBytes {
    data: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

fn parse(bytes: &[u8]) -> Result<ChatRequest<'_>, Refused> {
    let parsed = serde_json::from_slice::<ChatRequest<'_>>(bytes);
    let turn = parsed.map_err(|error| Refused::because(ResultCode::MalformedRequest, format!("{error}.")))?;
    if turn.messages.is_empty() {
        return Err(Refused::because(ResultCode::MalformedRequest, "There are no messages."));
    }
    Ok(turn)
}

/// What all turns of the chat have in common: the caller's own name for it, or else all
/// messages up to the first of the user, which later turns repeat.
fn chat_key(call: &Call, headers: &HeaderMap, turn: &ChatRequest<'_>) -> ChatKey {
    let customer = call.customer.as_str();
    if let Some(name) = headers::chat(headers) {
        return ChatKey::of(customer, name);
    }
    if let Some(name) = &turn.prompt_cache_key {
        return ChatKey::of(customer, name.as_bytes());
    }
    let mut opening = String::new();
    for message in &turn.messages {
        opening.push_str(message.get());
        let role = serde_json::from_str::<MessageRole<'_>>(message.get());
        if role.is_ok_and(|message| message.role == "user") {
            break;
        }
    }
    ChatKey::of(customer, opening.as_bytes())
}

/// Turns are repeatable unless their caller says otherwise.
fn marking(call: &Call, headers: &HeaderMap) -> Result<Marking, Refused> {
    if headers::repeat(headers)? != Some(Repeatable::Never) {
        return Ok(Marking::Repeatable);
    }
    let key = headers::idempotency_key(headers).ok_or(ResultCode::OnceNeedsKey)?;
    Ok(Marking::once(&call.customer, key, headers::declares_first(headers)))
}
