//! Events of the timeline: state changes of a process and decisions about a request.

use std::fmt;

use bendhinge_ids::{EventSequence, Incarnation};
use serde::{Deserialize, Serialize};

/// Identity of one run of a process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    /// Name of the box that the process runs on.
    pub name: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
}

/// Reference to the event in another process that caused an event, by way of a message.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EventLink {
    /// Process that recorded the causing event.
    pub process: ProcessId,
    /// Sequence number of the causing event.
    pub sequence: EventSequence,
}

/// Type of an event, with its details.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "event")]
#[expect(missing_docs, reason = "the field names are self-explanatory")]
pub enum EventKind {
    /// The process started to serve requests.
    Started { version: String },
    /// The process was asked to stop.
    Stopping,
    /// The process detected that its execution had been suspended.
    Woke,
    /// A confirmed configuration was received and is not in force yet.
    ConfigurationHeard { revision: u64, digest: String, from: String },
    /// A configuration came into force in this process.
    ConfigurationInForce { revision: u64, digest: String },
    /// A configuration document was rejected.
    ConfigurationRefused { reason: String, from: String },
    /// A newer member list was received.
    ListChanged { revision: u64, routers: usize, upstreams: usize, from: String },
    /// The set of routers that count requests for upstreams changed.
    CountingRoutersChanged { routers: usize },
    /// An upstream became unreachable, or reachable again.
    UpstreamHealth { upstream: String, reachable: bool },
    /// An engine accepted an order.
    OrderTaken { upstream: String, fence: u64 },
    /// A request was received.
    Received { customer: String, pool: String, chat: String },
    /// The request was rejected or failed; records the result returned to the caller.
    Told { code: String, ran: String },
    /// A permit was requested from the router that counts requests for the upstream.
    PermitAsked { upstream: String, owner: String },
    /// This router granted a permit.
    PermitGranted { upstream: String, in_progress: u32 },
    /// This router denied a permit.
    PermitDenied { upstream: String, reason: String },
    /// A permit was received from another router.
    PermitReceived { upstream: String },
    /// A claim on an idempotency key was requested from its owner.
    ClaimAsked { owner: String },
    /// This router decided on a claim on an idempotency key.
    ClaimDecided { claim: String },
    /// An upstream was selected for the request.
    Placed { upstream: String, reason: String },
    /// An attempt to send the request to an upstream started.
    AttemptStarted { upstream: String, number: u32 },
    /// An attempt ended without a complete response.
    AttemptEnded { upstream: String, end: String },
    /// The response head was forwarded to the caller.
    Answered { upstream: String, status: u16 },
    /// The complete response was forwarded to the caller.
    Finished { upstream: String },
    /// The caller disconnected before the end of the response; the request was cancelled.
    CallerLeft { upstream: String },
}

/// Entry of an event log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number of the event within its process.
    pub sequence: EventSequence,
    /// Time of the event in microseconds since the Unix epoch, by the clock of its box.
    pub at_micros: u64,
    /// ID of the request that the event belongs to, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Event in another process that caused this one, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<EventLink>,
    /// Type of the event, with its details.
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
