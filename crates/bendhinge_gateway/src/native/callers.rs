//! Callers in the product's own interface.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderValue, RETRY_AFTER};
use hyper::http::request;
use serde_json::json;

use super::Native;
use super::headers::{CODE, DEADLINE, PROMPT, RAN, REQUEST, RESUME_AFTER};
use crate::dialect::{CallFields, CallerDialect, RefusalFields, header_text, read_prompt};

/// How the ids of a prompt's parts are written.
const ID_RADIX: u32 = 10;

impl CallerDialect for Native {
    fn read_call(&self, head: &request::Parts) -> Result<CallFields, String> {
        let headers = &head.headers;
        let deadline = header_text(headers, &DEADLINE)?.map(read_millis).transpose()?;
        let prompt = header_text(headers, &PROMPT)?.map(|text| read_prompt(text, ID_RADIX)).transpose()?;
        let key = header_text(headers, &AUTHORIZATION)?;
        Ok(CallFields {
            id: headers.get(REQUEST).cloned(),
            key: key.map(|value| value.strip_prefix("Bearer ").unwrap_or_default().to_owned()),
            deadline,
            prompt,
            resume_after: header_text(headers, &RESUME_AFTER)?.map(str::to_owned),
        })
    }

    fn write_refusal(&self, headers: &mut HeaderMap, refusal: &RefusalFields<'_>) -> Bytes {
        let RefusalFields { id, code, retry_after } = *refusal;
        let value = |text: &str| HeaderValue::from_str(text).expect("digits and words are valid headers");
        if let Some(id) = id {
            headers.insert(REQUEST, id.clone());
        }
        if let Some(after) = retry_after {
            let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
            headers.insert(RETRY_AFTER, seconds.into());
            headers.insert("retry-after-ms", u64::try_from(after.as_millis()).unwrap_or(u64::MAX).into());
        }
        headers.insert(CODE, value(&code.to_string()));
        let ran = code.ran().map_or("no", bendhinge_codes::Ran::as_str);
        headers.insert(RAN, value(ran));
        let message = format!("{} {}", code.means(), code.action());
        json!({ "error": { "code": code.to_string(), "message": message, "ran": ran } }).to_string().into()
    }

    fn ready_path(&self) -> &'static str {
        "/ready"
    }
}

fn read_millis(text: &str) -> Result<Duration, String> {
    let millis = text.parse().map_err(|_| format!("'{text}' is not a number of milliseconds"))?;
    Ok(Duration::from_millis(millis))
}
