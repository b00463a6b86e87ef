//! What an adapter translates: how callers, upstreams and the platform's store spell what this
//! program decides about. An adapter decides, remembers and recovers nothing.

use std::net::SocketAddr;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_fleet::{Revision, UpstreamEntry};
use bendhinge_ids::{CustomerName, DataCentreName, UpstreamName};
use bendhinge_placement::{PartId, Prompt, PromptPart};
use bendhinge_routes::ServingRules;
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::{request, response};
use hyper::{HeaderMap, StatusCode};
use rustc_hash::FxHashSet;

/// What a caller's request says.
#[derive(Debug, Default)]
pub struct CallFields {
    /// Its number, as the caller wrote it; every answer carries it back.
    pub id: Option<HeaderValue>,
    /// The key that it carries.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// The parts of its prompt, where it has one.
    pub prompt: Option<Prompt>,
    /// The event after which the caller goes on with a stream that broke off.
    pub resume_after: Option<String>,
}

/// What the gateway says to an upstream beside what the caller said.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFields<'a> {
    /// The upstream that is meant, and no other at its address.
    pub upstream: &'a UpstreamEntry,
    /// How long the answer is waited for.
    pub time_left: Duration,
    /// Whose request it is.
    pub customer: Option<&'a CustomerName>,
    /// Its rank; 0 is the most urgent.
    pub priority: u8,
    /// Where the upstream should fetch what it lacks of the prompt.
    pub fetch_from: Option<SocketAddr>,
    /// The last event that the caller has of a stream that broke off.
    pub resume_after: Option<&'a str>,
}

/// What an upstream said of its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSaid {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Default)]
pub struct AnswerFields {
    /// The number of the request that it answers.
    pub id: Option<HeaderValue>,
    /// Whether it carries the upstream's signature.
    pub is_stamped: bool,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether it is not the upstream that was meant.
    pub is_another: bool,
    /// What it says of its load.
    pub load: Option<LoadSaid>,
    /// Whether it wants further requests.
    pub availability: Availability,
}

/// What an upstream said of whether it wants further requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// For how long it wants none from this gateway.
    pub rest: Option<Duration>,
    /// Whether it leaves.
    pub is_leaving: bool,
}

/// What an answer that the gateway makes itself says.
#[derive(Clone, Copy, Debug)]
pub struct RefusalFields<'a> {
    /// The request's number, if it had one.
    pub id: Option<&'a HeaderValue>,
    /// What happened.
    pub code: ResultCode,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// What is asked of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePart {
    /// Everything.
    All,
    /// The list of upstreams, and which data centres are drained.
    Upstreams,
    /// The serving rules.
    Rules,
    /// Which data centres are drained: little, read for the store's revision.
    Drained,
}

impl StorePart {
    /// Whether the list of upstreams is part of it.
    #[must_use]
    pub const fn has_upstreams(self) -> bool {
        matches!(self, Self::All | Self::Upstreams)
    }
}

/// A page of what the store holds.
#[derive(Debug, Default)]
pub struct StorePage {
    /// The store's revision when it was read.
    pub at: Revision,
    /// The document of the serving rules, if it is on the page.
    pub rules: Option<StoredRules>,
    /// The upstreams on the page.
    pub upstreams: Vec<UpstreamEntry>,
    /// The drained data centres on the page.
    pub drained: Vec<DataCentreName>,
    /// What stands where upstreams or drained data centres do, and is none.
    pub foreign: Vec<ForeignEntry>,
    /// The key after which the next page begins, if there is one.
    pub next_after: Option<String>,
}

/// What changed in the store since a revision.
#[derive(Debug, Default)]
pub struct StoreChanges {
    /// The revision up to which all changes are there.
    pub at: Revision,
    /// The changes in their order; an entry may have changed more than once.
    pub changes: Vec<StoreChange>,
}

/// A change of an entry of the store.
#[derive(Debug)]
pub struct StoreChange {
    /// The entry's key.
    pub key: String,
    /// What the entry is since then.
    pub entry: ChangedEntry,
}

/// What an entry of the store became.
#[derive(Debug)]
pub enum ChangedEntry {
    /// The document of the serving rules.
    Rules(StoredRules),
    /// An upstream.
    Upstream(UpstreamEntry),
    /// No upstream any more, or none at all: it is gone, or of another writer.
    NoUpstream {
        /// The upstream for which it stood, if its key names one.
        name: Option<UpstreamName>,
        /// What stands there now, if another writer wrote it.
        foreign: Option<ForeignEntry>,
    },
    /// Nothing that is read by its changes.
    Other,
}

/// What entries of the store became by the last change of each.
#[derive(Debug, Default)]
pub struct LatestChanges {
    /// The revision up to which all changes are there.
    pub at: Revision,
    /// The document of the serving rules, if it changed.
    pub rules: Option<StoredRules>,
    /// Upstreams that are new or differ.
    pub came: Vec<UpstreamEntry>,
    /// Upstreams whose entries are gone, or name no upstream any more.
    pub gone: Vec<UpstreamName>,
    /// Entries that name no upstream.
    pub foreign: Vec<ForeignEntry>,
    /// The keys of all entries that changed.
    pub keys: FxHashSet<String>,
}

impl StoreChanges {
    /// The last change of each entry, in their order.
    #[must_use]
    pub fn latest(self) -> LatestChanges {
        let mut latest = LatestChanges { at: self.at, ..LatestChanges::default() };
        let mut changes: Vec<ChangedEntry> = Vec::new();
        for change in self.changes.into_iter().rev() {
            if latest.keys.insert(change.key) {
                changes.push(change.entry);
            }
        }
        for entry in changes.into_iter().rev() {
            match entry {
                ChangedEntry::Rules(rules) => latest.rules = Some(rules),
                ChangedEntry::Upstream(upstream) => latest.came.push(upstream),
                ChangedEntry::NoUpstream { name, foreign } => {
                    latest.gone.extend(name);
                    latest.foreign.extend(foreign);
                }
                ChangedEntry::Other => {}
            }
        }
        latest
    }
}

/// An entry of another writer: it names nothing that could be used, and hides nothing else.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ForeignEntry {
    /// Its key, as far as it can be read.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

impl ForeignEntry {
    /// An entry with what is `why` wrong with it; both are cut to the length of a line.
    pub fn new(mut key: String, why: &impl ToString) -> Self {
        /// Keys can be some 200 bytes, and an error can hold a part of the value.
        const LONGEST: usize = 160;
        let mut why = why.to_string();
        for text in [&mut key, &mut why] {
            text.truncate(text.floor_char_boundary(LONGEST));
        }
        Self { key, why }
    }
}

/// The document of the serving rules as stored.
#[derive(Debug)]
pub struct StoredRules {
    /// The revision of its last change.
    pub revision: Revision,
    /// The document.
    pub document: Bytes,
}

/// Why something could not be translated.
#[derive(Debug, thiserror::Error)]
#[error("{what} cannot be read: {why}")]
pub struct TranslateError {
    /// What it is.
    pub what: &'static str,
    /// What is wrong with it.
    pub why: String,
}

impl TranslateError {
    /// An error about `what`.
    pub fn new(what: &'static str, why: &(impl ToString + ?Sized)) -> Self {
        Self { what, why: why.to_string() }
    }
}

/// The text of a header, if it is there; `Err` says that it is none.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a str>, String> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| format!("{name} is not text"))
}

/// Sets a header. Names, numbers and addresses are valid values, and an event's id came in a header
/// or a line; anything else is left out.
pub fn put_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// The rest that an upstream asks for when it turns a request away: `Retry-After` of a 503 or 429, in seconds, whole or
/// with a fraction. Of several the longest counts. A date is not read, since it says nothing without the time of day,
/// which boxes do not agree on; what is no number asks for nothing.
#[must_use]
pub fn read_rest(status: StatusCode, headers: &HeaderMap) -> Option<Duration> {
    if !matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return None;
    }
    let asked = headers.get_all(RETRY_AFTER).iter().filter_map(|value| read_seconds(value.to_str().ok()?));
    asked.max().filter(|rest| !rest.is_zero())
}

/// Reads digits with at most one point among them.
fn read_seconds(text: &str) -> Option<Duration> {
    let text = text.trim();
    if !text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.') {
        return None;
    }
    // What is too long for its type is as long as can be.
    Some(Duration::try_from_secs_f64(text.parse().ok()?).unwrap_or(Duration::MAX))
}

/// Reads `ID:TOKENS,ID:TOKENS`, the ids in `radix`; `Err` says that it is something else.
pub fn read_prompt(text: &str, radix: u32) -> Result<Prompt, String> {
    let parts = text.split(',').map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        let id = u64::from_str_radix(id, radix).ok()?;
        Some(PromptPart { id: PartId(id), tokens: tokens.parse().ok()? })
    });
    let parts = parts.collect::<Option<Vec<_>>>();
    parts.map(Prompt::new).ok_or_else(|| format!("'{text}' is not a list of parts"))
}

/// How callers spell their requests, and how they are answered.
pub trait CallerDialect {
    /// Reads the head of a request; `Err` says what is wrong with it.
    fn read_call(&self, head: &request::Parts) -> Result<CallFields, String>;
    /// Writes the headers and gives the body of an answer that the gateway makes itself.
    fn write_refusal(&self, headers: &mut HeaderMap, refusal: &RefusalFields<'_>) -> Bytes;
    /// The path at which a balancer asks whether the gateway is ready.
    fn ready_path(&self) -> &'static str;
}

/// How upstreams spell theirs.
pub trait UpstreamDialect {
    /// Takes out of a caller's headers what callers may not say, and puts in what the gateway says.
    fn write_attempt(&self, headers: &mut HeaderMap, fields: &AttemptFields<'_>);
    /// Reads the head of an answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerFields;
    /// Reads what the head of any answer says of whether the upstream wants further requests.
    fn read_availability(&self, status: StatusCode, headers: &HeaderMap) -> Availability;
    /// The path at which an upstream lists the parts of prompts that it keeps.
    fn kept_path(&self) -> &'static str;
    /// Reads such a list.
    fn read_kept(&self, body: &[u8]) -> Result<Vec<PromptPart>, TranslateError>;
}

/// How the platform's store spells what it holds.
pub trait StoreDialect {
    /// The path of the first page of `part`, or of the one that begins after a key.
    fn page_path(&self, part: StorePart, after: Option<&str>) -> String;
    /// Reads a page. The document of the rules may be left out if its revision is `known`.
    fn read_page(&self, body: &[u8], known: Option<Revision>) -> Result<StorePage, TranslateError>;
    /// The path of all that changed since a revision.
    fn changes_path(&self, since: Revision) -> String;
    /// Reads such an answer.
    fn read_changes(&self, body: &[u8]) -> Result<StoreChanges, TranslateError>;
    /// Reads the document of the serving rules.
    fn read_rules(&self, document: &[u8]) -> Result<ServingRules, TranslateError>;
}

/// Everything that an adapter translates.
pub trait Dialect: CallerDialect + UpstreamDialect + StoreDialect + Send + Sync + 'static {}

impl<T: CallerDialect + UpstreamDialect + StoreDialect + Send + Sync + 'static> Dialect for T {}
