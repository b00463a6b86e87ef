//! Parsing of the gateway log lines that concern requests and the gateway's state.

use serde::Deserialize;

use crate::StreamMeasurements;

/// An attempt to send a request to an upstream.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct SendAttempt {
    /// Name of the upstream.
    pub upstream: String,
    /// Reason for choosing this upstream.
    pub why: String,
    /// Estimated number of requests at the upstream.
    pub load: f32,
    /// Time of the send, in milliseconds since the request's arrival.
    pub at_ms: u64,
    /// How the send ended, unless its answer was forwarded to the caller.
    pub end: Option<String>,
    /// Status of the upstream's response, if that was not passed on.
    pub status: Option<u16>,
    /// Why nothing was written to the connection: `withheld` or `returned`.
    pub unsent: Option<String>,
    /// Why no connection was established: `refused`, `timeout` or `other`.
    pub connect: Option<String>,
    /// Time since any gateway had a response from the upstream, in milliseconds, if no connection was established.
    pub responded_ms: Option<u64>,
    /// How the end of the answer's body was marked: `length`, `chunked` or `close`.
    pub framing: Option<String>,
    /// How the answer's body ended; `complete` unless it was cut.
    pub body_end: Option<String>,
    /// Hash of the upstream's software, if those of its pool run several versions.
    pub software: Option<String>,
    /// Events of an interrupted stream that were relayed from it.
    pub events: Option<u64>,
}

/// What is known of a stream that is resumed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Resumption {
    /// The request that brought the first event, as its caller says.
    pub resumes: Option<String>,
    /// The ID of the last event that the caller received.
    pub resume_after: Option<String>,
    /// Hash of the software that began the stream.
    pub began_software: Option<String>,
    /// Result code that says why the stream was not resumed within the response.
    pub resume_code: Option<String>,
}

/// Why the answer ended before it was complete.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Cut {
    /// What ended its source: `upstream`, `gateway` or `deadline`.
    pub by: String,
    /// How long the source had sent nothing, in milliseconds.
    pub silent_ms: u64,
    /// Why nothing went on with the answer.
    pub not_resumed: String,
    /// Revision of the rules in force.
    pub rules: Option<u64>,
}

/// An attempt to forward a request to another gateway.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ForwardAttempt {
    /// Address of the other gateway for peers.
    pub gateway: String,
    /// Time since the request's arrival, in milliseconds.
    pub at_ms: u64,
    /// How it ended, unless the other gateway relayed a response.
    pub end: Option<String>,
    /// Result code with which the other gateway refused the request.
    pub code: Option<String>,
}

/// Event recorded by a log line.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
#[expect(clippy::large_enum_variant, reason = "most lines of a log are requests")]
pub enum Event {
    /// A completed request that was sent to at least one upstream.
    Request {
        /// ID of the request.
        request: String,
        /// Route that the request matched.
        route: String,
        /// Final outcome of the request.
        outcome: String,
        /// HTTP status returned to the caller.
        status: u16,
        /// Result code of the gateway, if the gateway produced the answer itself.
        code: Option<String>,
        /// Total duration, in milliseconds.
        ms: u64,
        /// Send attempts, in order.
        sends: Vec<SendAttempt>,
        /// Attempts to forward the request, in order.
        #[serde(default)]
        forwards: Vec<ForwardAttempt>,
        /// Address of the gateway that forwarded the request to this one.
        forwarded_by: Option<String>,
        /// Whether an upstream executed the request.
        ran: String,
        /// Digest shared by all attempts of the same request; set if a connection was lost while
        /// this attempt was in progress.
        digest: Option<String>,
        /// The stream that the request resumes.
        #[serde(flatten)]
        resumption: Resumption,
        /// Measurements of the relayed stream.
        #[serde(flatten)]
        stream: StreamMeasurements,
        /// Why the answer ended before it was complete.
        cut: Option<Cut>,
    },
    /// A request that was rejected without being sent.
    Refused {
        /// ID of the request.
        request: String,
        /// Result code of the rejection.
        code: String,
        /// Time since the rules were last confirmed to be current, in milliseconds.
        rules_age_ms: Option<u64>,
        /// Digest shared by all attempts of the same request; set if this attempt was rejected
        /// because of earlier ones.
        digest: Option<String>,
    },
    /// An upstream crashed while processing a request.
    Crash {
        /// ID of the request.
        request: String,
        /// Digest shared by all attempts of the same request.
        digest: String,
        /// Name of the upstream.
        upstream: String,
    },
    /// A new revision of the rules or the upstreams was received.
    Belief {
        /// Which of the two changed.
        what: String,
        /// Revision in the store.
        revision: u64,
        /// Source of the update.
        from: String,
    },
    /// A dependency of the gateway became unavailable or available again.
    Dependency {
        /// Name of the dependency.
        what: String,
        /// Whether the dependency is available.
        there: bool,
        /// Reason for the unavailability.
        detail: String,
    },
    /// The gateway backs off from an upstream.
    UpstreamRests {
        /// Name of the upstream.
        upstream: String,
        /// How the last send to the upstream ended.
        end: String,
    },
    /// A partition between the gateway and the upstreams of a pool began or is over.
    Partition {
        /// Name of the pool.
        pool: String,
        /// Whether the partition began.
        partitioned: bool,
    },
    /// Log lines were dropped.
    LinesDropped {
        /// Number of dropped lines.
        dropped: u64,
    },
    /// Any other event.
    #[serde(other)]
    Other,
}

/// Event with its gateway and time.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Name of the gateway that logged the event.
    pub gateway: String,
    /// Time of the event, in milliseconds of the clock of the gateway's box.
    pub time_ms: u64,
    /// The logged event.
    pub event: Event,
}

#[derive(Deserialize)]
struct LogLine {
    t: u64,
    #[serde(flatten)]
    event: Event,
}

/// Parses the lines of a log and skips malformed ones. If a line has text before its JSON, the
/// last word of that text names the gateway; otherwise `gateway` does.
#[must_use]
pub fn read_log(gateway: &str, text: &str) -> Vec<Entry> {
    text.lines().filter_map(|line| parse_line(gateway, line)).collect()
}

fn parse_line(gateway: &str, line: &str) -> Option<Entry> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let LogLine { t, event } = serde_json::from_str(json).ok()?;
    let gateway = prefix.split_whitespace().next_back().unwrap_or(gateway);
    Some(Entry { gateway: gateway.to_owned(), time_ms: t, event })
}
