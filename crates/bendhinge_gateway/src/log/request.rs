//! The one line of a request that was let in: every send, and how it all ended.

use bendhinge_codes::ResultCode;
use bendhinge_delivery::{RetryState, SendOutcome};
use bendhinge_ids::{Instant, RequestDigest};
use serde::Serialize;

use super::{Log, millis};
use crate::delivery::Turn;
use crate::knowledge::Chosen;

#[derive(Serialize)]
struct Send {
    upstream: String,
    why: &'static str,
    load: f32,
    mean_load: f32,
    #[serde(skip_serializing_if = "is_zero")]
    missing: u32,
    at_ms: u64,
    list_age_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    end: Option<&'static str>,
    #[serde(skip_serializing_if = "is_false")]
    fetched: bool,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the form that the library asks for")]
const fn is_false(flag: &bool) -> bool {
    !*flag
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the form that the library asks for")]
const fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// What is gathered of a request until its line is written.
pub(crate) struct RequestLine {
    request: String,
    route: String,
    began: Instant,
    sends: Vec<Send>,
    digest: Option<RequestDigest>,
}

impl RequestLine {
    pub(crate) fn new(turn: &Turn) -> Self {
        let request = turn.call.id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or_default();
        Self {
            request: request.to_owned(),
            route: turn.route.name.clone(),
            began: turn.began,
            sends: Vec::new(),
            digest: None,
        }
    }

    fn at_ms(&self) -> u64 {
        millis(bendhinge_clock::now().since(self.began))
    }

    /// It is sent; gives the number of the send.
    pub(crate) fn sent(&mut self, chosen: &Chosen) -> usize {
        let at_ms = self.at_ms();
        self.sends.push(Send {
            upstream: chosen.entry.name.to_string(),
            why: chosen.reason.as_str(),
            load: chosen.load,
            mean_load: chosen.mean_load,
            missing: chosen.missing,
            at_ms,
            list_age_ms: millis(chosen.list_age),
            end: None,
            fetched: chosen.fetch_from.is_some(),
        });
        self.sends.len() - 1
    }

    /// It is the request that others of this digest are, too.
    pub(crate) const fn same_as(&mut self, digest: RequestDigest) {
        self.digest = Some(digest);
    }

    /// The send of that number ended without an answer that is passed on.
    pub(crate) fn send_ended(&mut self, number: usize, end: SendOutcome) {
        if let Some(send) = self.sends.get_mut(number) {
            send.end = Some(end.as_str());
        }
    }

    fn write(
        &mut self,
        log: &Log,
        outcome: &str,
        status: u16,
        code: Option<ResultCode>,
        course: &RetryState,
    ) {
        #[derive(Serialize)]
        struct Fields<'a> {
            request: &'a str,
            route: &'a str,
            outcome: &'a str,
            status: u16,
            #[serde(skip_serializing_if = "Option::is_none")]
            code: Option<String>,
            ms: u64,
            #[serde(skip_serializing_if = "Option::is_none")]
            digest: Option<String>,
            sends: &'a [Send],
            ran: &'static str,
        }
        let fields = Fields {
            request: &self.request,
            route: &self.route,
            outcome,
            status,
            code: code.map(|code| code.to_string()),
            ms: self.at_ms(),
            digest: self.digest.map(|digest| digest.to_string()),
            sends: &self.sends,
            ran: if code.is_none() { "yes" } else { course.ran().as_str() },
        };
        log.line("request", fields);
    }

    /// Its answer was passed on, or it was given up.
    pub(crate) fn ended(&mut self, log: &Log, status: u16, code: Option<ResultCode>, course: &RetryState) {
        self.write(log, "answered", status, code, course);
    }

    /// Its caller left.
    pub(crate) fn caller_left(&mut self, log: &Log, course: &RetryState) {
        self.write(log, "caller_left", 0, None, course);
    }
}
