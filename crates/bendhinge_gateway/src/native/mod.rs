//! The product's own interface: its headers, its rules in INI, its store pages in JSON.
//!
//! It is what an adapter for another platform stands in for, and what the tests run on.

mod callers;
mod rules;
mod store;
mod upstreams;

pub use rules::SCHEMA as RULES_SCHEMA;

/// The product's own spelling.
#[derive(Clone, Copy, Debug)]
pub struct Native;

/// The product's own headers.
pub mod headers {
    use hyper::header::HeaderName;

    /// A request's number.
    pub const REQUEST: HeaderName = HeaderName::from_static("x-bendhinge-request");
    /// The time that the caller still has, in milliseconds.
    pub const DEADLINE: HeaderName = HeaderName::from_static("x-bendhinge-deadline-ms");
    /// The parts of a prompt, `NUMBER:TOKENS` separated by commas.
    pub const PROMPT: HeaderName = HeaderName::from_static("x-bendhinge-prompt");
    /// The event after which a stream goes on.
    pub const RESUME_AFTER: HeaderName = HeaderName::from_static("last-event-id");
    /// The upstream that is meant.
    pub const UPSTREAM: HeaderName = HeaderName::from_static("x-bendhinge-upstream");
    /// Whose request it is.
    pub const CUSTOMER: HeaderName = HeaderName::from_static("x-bendhinge-customer");
    /// How urgent a request is; 0 is the most urgent.
    pub const PRIORITY: HeaderName = HeaderName::from_static("x-bendhinge-priority");
    /// From where the upstream should fetch what it lacks of the prompt.
    pub const FETCH_FROM: HeaderName = HeaderName::from_static("x-bendhinge-fetch-from");
    /// An upstream's signature under an answer.
    pub const SIGNATURE: HeaderName = HeaderName::from_static("x-bendhinge-signature");
    /// Whether the request ran: `yes`, `no` or `unknown`.
    pub const RAN: HeaderName = HeaderName::from_static("x-bendhinge-ran");
    /// An upstream's load, `RUNNING,WAITING`.
    pub const LOAD: HeaderName = HeaderName::from_static("x-bendhinge-load");
    /// That the upstream leaves: `yes`.
    pub const LEAVING: HeaderName = HeaderName::from_static("x-bendhinge-leaving");
    /// The result code of an answer that the gateway makes itself.
    pub const CODE: HeaderName = HeaderName::from_static("x-bendhinge-code");
}
