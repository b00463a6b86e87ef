//! Upstreams in the product's own interface.

use bendhinge_placement::PromptPart;
use hyper::StatusCode;
use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use hyper::http::response;
use serde::Deserialize;

use super::Native;
use super::headers::{
    CUSTOMER, DEADLINE, FETCH_FROM, LEAVING, LOAD, PRIORITY, RAN, REQUEST, RESUME_AFTER, SIGNATURE, UPSTREAM,
};
use crate::dialect::{
    AnswerFields, AttemptFields, Availability, LoadSaid, TranslateError, UpstreamDialect, put_header,
    read_rest,
};

#[derive(Deserialize)]
struct Kept {
    part: u64,
    tokens: u32,
}

impl UpstreamDialect for Native {
    fn write_attempt(&self, headers: &mut HeaderMap, fields: &AttemptFields<'_>) {
        for name in [AUTHORIZATION, CUSTOMER, UPSTREAM, PRIORITY, FETCH_FROM] {
            headers.remove(name);
        }
        put_header(headers, DEADLINE, &fields.time_left.as_millis().max(1).to_string());
        put_header(headers, UPSTREAM, fields.upstream.name.as_str());
        put_header(headers, PRIORITY, &fields.priority.to_string());
        if let Some(customer) = fields.customer {
            put_header(headers, CUSTOMER, customer.as_str());
        }
        if let Some(source) = fields.fetch_from {
            put_header(headers, FETCH_FROM, &source.to_string());
        }
        if let Some(after) = fields.resume_after {
            put_header(headers, RESUME_AFTER, after);
        }
    }

    fn read_answer(&self, head: &response::Parts) -> AnswerFields {
        let headers = &head.headers;
        AnswerFields {
            id: headers.get(REQUEST).cloned(),
            is_stamped: headers.contains_key(SIGNATURE),
            not_run: headers.get(RAN).is_some_and(|value| value == "no"),
            is_another: head.status == StatusCode::MISDIRECTED_REQUEST,
            load: headers.get(LOAD).and_then(read_load),
            availability: self.read_availability(head.status, headers),
        }
    }

    fn read_availability(&self, status: StatusCode, headers: &HeaderMap) -> Availability {
        let is_leaving = headers.get(LEAVING).is_some_and(|value| value == "yes");
        Availability { rest: read_rest(status, headers), is_leaving }
    }

    fn kept_path(&self) -> &'static str {
        "/v1/kept"
    }

    fn read_kept(&self, body: &[u8]) -> Result<Vec<PromptPart>, TranslateError> {
        let kept: Vec<Kept> =
            serde_json::from_slice(body).map_err(|error| TranslateError::new("a list of parts", &error))?;
        let part =
            |kept: Kept| PromptPart { id: bendhinge_placement::PartId(kept.part), tokens: kept.tokens };
        Ok(kept.into_iter().map(part).collect())
    }
}

fn read_load(value: &HeaderValue) -> Option<LoadSaid> {
    let (running, waiting) = value.to_str().ok()?.split_once(',')?;
    Some(LoadSaid { running: running.parse().ok()?, waiting: waiting.parse().ok()? })
}
