//! Events: changes of state, and the decisions on a request.

use std::fmt;

use bendhinge_ids::{EventSequence, Incarnation};
use serde::{Deserialize, Serialize};

/// One life of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    /// Its box.
    pub name: String,
    /// Which life.
    pub incarnation: Incarnation,
}

/// The event of another process from which a message came.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EventLink {
    /// The process.
    pub process: ProcessId,
    /// Its event.
    pub sequence: EventSequence,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
#[expect(missing_docs, reason = "the fields' names say what they are")]
pub enum EventKind {
    /// The process began to serve.
    Started { version: String },
    /// The process was asked to stop.
    Stopping,
    /// The process found that it had been frozen.
    Woke,
    /// A confirmed configuration was heard and settles.
    ConfigurationHeard { revision: u64, digest: String, from: String },
    /// A configuration is in force here.
    ConfigurationInForce { revision: u64, digest: String },
    /// A document was refused.
    ConfigurationRefused { reason: String, from: String },
    /// A newer list of members was heard.
    ListChanged { revision: u64, routers: usize, upstreams: usize, from: String },
    /// The set of routers that count for upstreams changed.
    CountingRoutersChanged { routers: usize },
    /// An upstream stopped answering, or answers again.
    UpstreamHealth { upstream: String, reachable: bool },
    /// An engine took an order.
    OrderTaken { upstream: String, fence: u64 },
    /// A request came in.
    Received { customer: String, pool: String, chat: String },
    /// The request was refused or failed; what the caller was told.
    Told { code: String, ran: String },
    /// A router that counts was asked for a permit.
    PermitAsked { upstream: String, owner: String },
    /// This router counted a request.
    PermitGranted { upstream: String, in_progress: u32 },
    /// This router denied a permit.
    PermitDenied { upstream: String, reason: String },
    /// A permit was received.
    PermitReceived { upstream: String },
    /// An idempotency key was asked for.
    ClaimAsked { owner: String },
    /// This router decided on an idempotency key.
    ClaimDecided { claim: String },
    /// An upstream was chosen.
    Placed { upstream: String, reason: String },
    /// An attempt began.
    AttemptStarted { upstream: String, number: u32 },
    /// An attempt ended without a whole answer.
    AttemptEnded { upstream: String, end: String },
    /// The answer's head was passed on.
    Answered { upstream: String, status: u16 },
    /// The whole answer was passed on.
    Finished { upstream: String },
    /// The caller went away first; its work was cancelled.
    CallerLeft { upstream: String },
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Its number in its process.
    pub sequence: EventSequence,
    /// Microseconds since 1970 by its box's clock.
    pub at_micros: u64,
    /// The request concerned, if one is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// The event of another process that it follows from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EventLink>,
    /// What happened.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl fmt::Display for EventKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = serde_json::to_value(self).map_err(|_| fmt::Error)?;
        let fields = value.as_object().ok_or(fmt::Error)?;
        let name = fields.get("event").and_then(|name| name.as_str()).unwrap_or_default();
        formatter.write_str(name)?;
        for (field, value) in fields.iter().filter(|(field, _)| *field != "event") {
            match value.as_str() {
                Some(text) => write!(formatter, " {field}={text}")?,
                None => write!(formatter, " {field}={value}")?,
            }
        }
        Ok(())
    }
}
