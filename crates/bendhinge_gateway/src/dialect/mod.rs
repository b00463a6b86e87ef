//! Interface to the protocols of callers, upstreams and the store. An implementation only translates between
//! these protocols and the types of this module; it holds no state and makes no decisions.

mod store;

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_fleet::{Revision, UpstreamEntry};
use bendhinge_ids::CustomerName;
use bendhinge_placement::{PartId, Prompt, PromptPart};
use bendhinge_routes::ServingRules;
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::{request, response};
use hyper::{HeaderMap, StatusCode};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};

pub use self::store::{
    ChangedEntry, ForeignEntry, LatestChanges, StoreChange, StoreChanges, StorePage, StorePart, StoredRules,
};

/// The fields of a caller's request.
#[derive(Debug, Default)]
pub struct RequestFields {
    /// The request ID as sent by the caller, which every response repeats.
    pub id: Option<HeaderValue>,
    /// The API key.
    pub key: Option<String>,
    /// How long the caller waits for a response.
    pub timeout: Option<Duration>,
    /// The prompt.
    pub prompt: Option<Prompt>,
    /// The ID of the last event that the caller received of an interrupted stream.
    pub resume_after: Option<String>,
    /// The ID of the request that brought the first event of that stream.
    pub resumes: Option<HeaderValue>,
}

impl RequestFields {
    /// Returns the ID of the request that began the stream: the one that is resumed, or this one.
    pub(crate) fn began_by(&self) -> Option<&HeaderValue> {
        let resumed = self.resumes.as_ref().filter(|_| self.resume_after.is_some());
        resumed.or(self.id.as_ref())
    }
}

/// The fields that the gateway adds to a request to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequestFields<'a> {
    /// The upstream instance that the request is for. Another instance at the same address has to reject it.
    pub upstream: &'a UpstreamEntry,
    /// How long the gateway waits for the response.
    pub time_left: Duration,
    /// The customer that sent the request.
    pub customer: Option<&'a CustomerName>,
    /// The priority; 0 is the highest.
    pub priority: u8,
    /// The upstream to fetch missing prompt parts from.
    pub fetch_from: Option<SocketAddr>,
    /// The ID of the last event that the caller received of an interrupted stream.
    pub resume_after: Option<&'a str>,
}

/// The load that an upstream reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// The number of requests in progress.
    pub running: u32,
    /// The number of queued requests.
    pub waiting: u32,
    /// The number of requests that can run at once.
    pub slots: Option<u32>,
    /// How long work takes at present, in percent of the usual. Only upstreams that share their box with
    /// other work report it.
    pub pace_percent: Option<u32>,
}

/// The fields in the head of an upstream's response.
#[derive(Debug, Default)]
pub struct ResponseFields {
    /// The ID of the request.
    pub id: Option<HeaderValue>,
    /// Whether the response has the signature of the upstream.
    pub is_signed: bool,
    /// Whether the upstream states that it did not execute the request.
    pub not_executed: bool,
    /// Whether the request reached an upstream other than the intended one.
    pub is_misdirected: bool,
    /// The reported load.
    pub load: Option<ReportedLoad>,
    /// Whether the upstream accepts further requests.
    pub availability: Availability,
}

/// Whether an upstream accepts further requests, as reported by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// How long this gateway should send no requests.
    pub backoff: Option<Duration>,
    /// Whether the upstream is leaving.
    pub is_leaving: bool,
}

/// The fields of an error response that the gateway generates.
#[derive(Clone, Copy, Debug)]
pub struct ErrorResponseFields<'a> {
    /// The request ID, if the request had one.
    pub id: Option<&'a HeaderValue>,
    /// The result code.
    pub code: ResultCode,
    /// How long the caller should wait before it retries.
    pub retry_after: Option<Duration>,
}

/// An error while parsing a message or document.
#[derive(Debug, thiserror::Error)]
#[error("cannot parse {subject}: {reason}")]
pub struct ParseError {
    /// What was parsed.
    pub subject: &'static str,
    /// Why it is invalid.
    pub reason: String,
}

impl ParseError {
    /// Creates an error for `subject`.
    pub fn new(subject: &'static str, reason: &(impl ToString + ?Sized)) -> Self {
        Self { subject, reason: reason.to_string() }
    }
}

/// Returns the value of a header, if present, or an error message if it is not text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, String> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| format!("{name} is not text"))
}

/// Sets a header. Has no effect if `value` is not a valid header value.
pub fn insert_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Returns a customer's name as the value of a header, in UTF-8, or `None` if it cannot be sent unchanged: recipients
/// strip blanks at its ends, and control characters are not allowed (RFC 9110, section 5.5).
#[must_use]
pub fn customer_header(name: &CustomerName) -> Option<HeaderValue> {
    let name = name.as_str();
    let is_stripped = name.starts_with([' ', '\t']) || name.ends_with([' ', '\t']);
    HeaderValue::from_bytes(name.as_bytes()).ok().filter(|_| !is_stripped)
}

/// Returns the backoff that an upstream requests with `Retry-After` in a 503 or 429 response, in seconds with an
/// optional fraction. If there are several headers, the longest one counts. Dates are ignored, since the clocks of
/// boxes are not synchronized, and so are invalid values.
#[must_use]
pub fn parse_retry_after(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if !matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return None;
    }
    let backoffs =
        headers.get_all(RETRY_AFTER).iter().filter_map(|value| parse_seconds(value.to_str().ok()?));
    backoffs.max().filter(|backoff| !backoff.is_zero())
}

/// Parses a number of seconds, which has only digits and at most one decimal point.
fn parse_seconds(text: &str) -> Option<Duration> {
    let text = text.trim();
    if !text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    // A value that is too large for `Duration` is clamped.
    Some(Duration::try_from_secs_f64(text.parse().ok()?).unwrap_or(Duration::MAX))
}

/// Parses prompt parts of the form `ID:TOKENS,ID:TOKENS` with IDs in the given radix. The error is a message for
/// the caller.
pub fn parse_prompt(text: &str, radix: u32) -> Result<Prompt, String> {
    let parts = text.split(',').map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        let id = u64::from_str_radix(id, radix).ok()?;
        Some(PromptPart { id: PartId(id), tokens: tokens.parse().ok()? })
    });
    let parts = parts.collect::<Option<Vec<_>>>();
    parts.map(Prompt::new).ok_or_else(|| format!("'{text}' is not a list of ID:TOKENS pairs"))
}

/// The protocol between callers and the gateway.
pub trait CallerDialect {
    /// Parses the head of a request. The error describes the invalid header.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestFields, String>;
    /// Writes the headers of an error response and returns its body.
    fn write_error_response(&self, headers: &mut HeaderMap, fields: &ErrorResponseFields<'_>) -> Bytes;
    /// Returns the path of the readiness check.
    fn ready_path(&self) -> &'static str;
}

/// The protocol between the gateway and upstreams.
pub trait UpstreamDialect {
    /// Removes the headers that callers must not set, and adds those of the gateway.
    fn write_request_headers(&self, headers: &mut HeaderMap, fields: &UpstreamRequestFields<'_>);
    /// Parses the head of a response.
    fn parse_response_head(&self, head: &response::Parts) -> ResponseFields;
    /// Parses from the head of any response whether the upstream accepts further requests.
    fn parse_availability(&self, status: StatusCode, headers: &HeaderMap) -> Availability;
    /// Returns the path at which an upstream lists its cached prompt parts.
    fn cached_parts_path(&self) -> &'static str;
    /// Parses a list of cached prompt parts.
    fn parse_cached_parts(&self, body: &[u8]) -> Result<Vec<PromptPart>, ParseError>;
}

/// The protocol of the store.
pub trait StoreDialect {
    /// Returns the path of the first page of `part`, or of the page that starts after a key.
    fn page_path(&self, part: StorePart, after: Option<&str>) -> String;
    /// Parses a page. The rules document may be omitted if its revision is `held_revision`.
    fn parse_page(&self, body: &[u8], held_revision: Option<Revision>) -> Result<StorePage, ParseError>;
    /// Returns the path of the changes since a revision.
    fn changes_path(&self, since: Revision) -> String;
    /// Parses a list of changes.
    fn parse_changes(&self, body: &[u8]) -> Result<StoreChanges, ParseError>;
    /// Parses the serving rules.
    fn parse_rules(&self, document: &[u8]) -> Result<ServingRules, ParseError>;
}

/// The protocols of one platform.
pub trait Dialect: CallerDialect + UpstreamDialect + StoreDialect + Send + Sync + 'static {}

impl<T: CallerDialect + UpstreamDialect + StoreDialect + Send + Sync + 'static> Dialect for T {}

/// The bytes that are not encoded in the value of a query field: those that are unreserved, and the slash (RFC 3986,
/// sections 2.3 and 3.4).
const QUERY_VALUE: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~').remove(b'/');

/// Encodes a text, such as a key of another writer, as the value of a field in a query.
#[must_use]
pub fn encode_query_value(text: &str) -> impl Display + '_ {
    utf8_percent_encode(text, QUERY_VALUE)
}
