//! The native protocols: HTTP headers, serving rules in INI and store pages in JSON.
//!
//! Adapters for other platforms replace this module. The tests use it.

mod callers;
mod rules;
mod store;
mod upstreams;

pub use rules::SCHEMA as RULES_SCHEMA;

/// The native implementation of the protocols.
#[derive(Clone, Copy, Debug)]
pub struct Native;

/// The headers of the native protocols.
pub mod headers {
    use hyper::header::HeaderName;

    /// The request ID.
    pub const REQUEST: HeaderName = HeaderName::from_static("x-bendhinge-request");
    /// How long the sender waits for the response, in milliseconds.
    pub const DEADLINE: HeaderName = HeaderName::from_static("x-bendhinge-deadline-ms");
    /// The parts of a prompt as `ID:TOKENS`, separated by commas.
    pub const PROMPT: HeaderName = HeaderName::from_static("x-bendhinge-prompt");
    /// The ID of the event after which to resume a stream.
    pub const RESUME_AFTER: HeaderName = HeaderName::from_static("last-event-id");
    /// The ID of the request that brought the first event of the stream to resume.
    pub const RESUMES: HeaderName = HeaderName::from_static("x-bendhinge-resumes");
    /// The name of the upstream that the request is for.
    pub const UPSTREAM: HeaderName = HeaderName::from_static("x-bendhinge-upstream");
    /// The customer that sent the request.
    pub const CUSTOMER: HeaderName = HeaderName::from_static("x-bendhinge-customer");
    /// The priority of a request; 0 is the highest.
    pub const PRIORITY: HeaderName = HeaderName::from_static("x-bendhinge-priority");
    /// The address of the upstream to fetch missing prompt parts from.
    pub const FETCH_FROM: HeaderName = HeaderName::from_static("x-bendhinge-fetch-from");
    /// The signature of the upstream that sent a response.
    pub const SIGNATURE: HeaderName = HeaderName::from_static("x-bendhinge-signature");
    /// Whether the request was executed: `yes`, `no` or `unknown`.
    pub const RAN: HeaderName = HeaderName::from_static("x-bendhinge-ran");
    /// The load of an upstream as `RUNNING,WAITING`.
    pub const LOAD: HeaderName = HeaderName::from_static("x-bendhinge-load");
    /// `yes` if the upstream is leaving.
    pub const LEAVING: HeaderName = HeaderName::from_static("x-bendhinge-leaving");
    /// The result code of an error response from the gateway.
    pub const CODE: HeaderName = HeaderName::from_static("x-bendhinge-code");
}
