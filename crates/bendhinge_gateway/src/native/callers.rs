//! The native protocol between callers and the gateway.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderValue, RETRY_AFTER};
use hyper::http::request;
use serde_json::json;

use super::Native;
use super::headers::{CODE, DEADLINE, PROMPT, RAN, REQUEST, RESUME_AFTER, RESUMES};
use crate::dialect::{CallerDialect, ErrorResponseFields, RequestFields, header_text, parse_prompt};

/// The radix of prompt part IDs.
const ID_RADIX: u32 = 10;

impl CallerDialect for Native {
    fn parse_request(&self, head: &request::Parts) -> Result<RequestFields, String> {
        let headers = &head.headers;
        let timeout = header_text(headers, &DEADLINE)?.map(parse_millis).transpose()?;
        let prompt = header_text(headers, &PROMPT)?.map(|text| parse_prompt(text, ID_RADIX)).transpose()?;
        let key = header_text(headers, &AUTHORIZATION)?;
        Ok(RequestFields {
            id: headers.get(REQUEST).cloned(),
            key: key.map(|value| value.strip_prefix("Bearer ").unwrap_or_default().to_owned()),
            timeout,
            prompt,
            resume_after: header_text(headers, &RESUME_AFTER)?.map(str::to_owned),
            resumes: headers.get(RESUMES).cloned(),
        })
    }

    fn write_error_response(&self, headers: &mut HeaderMap, fields: &ErrorResponseFields<'_>) -> Bytes {
        let ErrorResponseFields { id, code, retry_after } = *fields;
        let header_value =
            |text: &str| HeaderValue::from_str(text).expect("codes and words are valid header values");
        if let Some(id) = id {
            headers.insert(REQUEST, id.clone());
        }
        if let Some(after) = retry_after {
            let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, seconds.into());
            headers.insert("retry-after-ms", u64::try_from(after.as_millis()).unwrap_or(u64::MAX).into());
        }
        headers.insert(CODE, header_value(&code.to_string()));
        let ran = code.ran().map_or("no", bendhinge_codes::Ran::as_str);
        headers.insert(RAN, header_value(ran));
        let message = format!("{} {}", code.means(), code.action());
        json!({ "error": { "code": code.to_string(), "message": message, "ran": ran } }).to_string().into()
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

fn parse_millis(text: &str) -> Result<Duration, String> {
    let millis = text.parse().map_err(|_| format!("'{text}' is not a number of milliseconds"))?;
    Ok(Duration::from_millis(millis))
}
