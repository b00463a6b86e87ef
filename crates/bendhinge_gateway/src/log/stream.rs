//! What is logged of streams: the measurements of a relayed one, and which one a request resumes.

use bendhinge_codes::ResultCode;
use bendhinge_delivery::{Pause, StreamTiming};
use bendhinge_ids::NameHash;
use serde::Serialize;

use super::whole_millis;
use crate::delivery::Cut;
use crate::dialect::RequestFields;

/// What is logged of a relayed stream. Values of zero are omitted, other than those of a pause.
#[derive(Default, Serialize)]
pub(super) struct StreamFields {
    #[serde(skip_serializing_if = "Option::is_none")]
    first_event_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pause_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pause_at_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    beside_requests: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    beside_tokens: Option<u64>,
}

impl StreamFields {
    pub(super) fn new(timing: &StreamTiming) -> Self {
        let first_event_ms = timing.first_event().map(whole_millis);
        let pause = timing.longest_pause().filter(|pause| whole_millis(pause.length) > 0);
        let Some(Pause { offset, length, concurrent }) = pause else {
            return Self { first_event_ms, ..Self::default() };
        };
        let non_zero = |count: u64| Some(count).filter(|count| *count > 0);
        Self {
            first_event_ms,
            pause_ms: Some(whole_millis(length)),
            pause_at_ms: Some(whole_millis(offset)),
            beside_requests: non_zero(concurrent.requests),
            beside_tokens: non_zero(concurrent.tokens),
        }
    }
}

/// What is logged of a response that ended before it was complete.
#[derive(Serialize)]
pub(super) struct CutFields {
    by: &'static str,
    silent_ms: u64,
    not_resumed: &'static str,
    /// The revision of the rules in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    rules: Option<u64>,
}

impl CutFields {
    pub(super) fn new(cut: &Cut, rules_revision: Option<u64>) -> Self {
        Self {
            by: cut.cause.as_str(),
            silent_ms: whole_millis(cut.silence),
            not_resumed: cut.obstacle.as_str(),
            rules: rules_revision,
        }
    }
}

/// What is logged of a request that resumes a stream.
#[derive(Default, Serialize)]
pub(super) struct ResumptionFields {
    #[serde(skip_serializing_if = "Option::is_none")]
    resumes: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    resume_after: Option<String>,
    /// Hash of the software that began the stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    began_software: Option<String>,
    /// Why the stream was not resumed within the response.
    #[serde(skip_serializing_if = "Option::is_none")]
    resume_code: Option<String>,
}

impl ResumptionFields {
    pub(super) fn new(fields: &RequestFields) -> Self {
        let resumes = fields.resumes.as_ref().and_then(|id| id.to_str().ok());
        Self {
            resumes: resumes.map(shortened),
            resume_after: fields.resume_after.as_deref().map(shortened),
            began_software: None,
            resume_code: None,
        }
    }

    pub(super) fn set_began_software(&mut self, software: NameHash) {
        self.began_software = Some(format!("{:016x}", software.0));
    }

    pub(super) fn set_resume_code(&mut self, code: ResultCode) {
        self.resume_code = Some(code.to_string());
    }

    pub(super) fn clear_resume_code(&mut self) {
        self.resume_code = None;
    }
}

/// Truncates a caller's text to a length suitable for a log line.
fn shortened(text: &str) -> String {
    const MAX_BYTES: usize = 64;
    text[..text.floor_char_boundary(MAX_BYTES)].to_owned()
}
