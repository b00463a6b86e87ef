//! The native protocol between the gateway and upstreams.

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
    Availability, ParseError, ReportedLoad, ResponseFields, UpstreamDialect, UpstreamRequestFields,
    customer_header, insert_header, parse_retry_after,
};

#[derive(Deserialize)]
struct CachedPartItem {
    part: u64,
    tokens: u32,
}

impl UpstreamDialect for Native {
    fn write_request_headers(&self, headers: &mut HeaderMap, fields: &UpstreamRequestFields<'_>) {
        for name in [AUTHORIZATION, CUSTOMER, UPSTREAM, PRIORITY, FETCH_FROM] {
            headers.remove(name);
        }
        insert_header(headers, DEADLINE, &fields.time_left.as_millis().max(1).to_string());
        insert_header(headers, UPSTREAM, fields.upstream.name.as_str());
        insert_header(headers, PRIORITY, &fields.priority.to_string());
        if let Some(customer) = fields.customer.and_then(customer_header) {
            headers.insert(CUSTOMER, customer);
        }
        if let Some(source) = fields.fetch_from {
            insert_header(headers, FETCH_FROM, &source.to_string());
        }
        if let Some(after) = fields.resume_after {
            insert_header(headers, RESUME_AFTER, after);
        }
    }

    fn parse_response_head(&self, head: &response::Parts) -> ResponseFields {
        let headers = &head.headers;
        ResponseFields {
            id: headers.get(REQUEST).cloned(),
            is_signed: headers.contains_key(SIGNATURE),
            not_executed: headers.get(RAN).is_some_and(|value| value == "no"),
            is_misdirected: head.status == StatusCode::MISDIRECTED_REQUEST,
            load: headers.get(LOAD).and_then(parse_load),
            availability: self.parse_availability(head.status, headers),
        }
    }

    fn parse_availability(&self, status: StatusCode, headers: &HeaderMap) -> Availability {
        let is_leaving = headers.get(LEAVING).is_some_and(|value| value == "yes");
        Availability { backoff: parse_retry_after(status, headers), is_leaving }
    }

    fn cached_parts_path(&self) -> &'static str {
        "/v1/kept"
    }

    fn parse_cached_parts(&self, body: &[u8]) -> Result<Vec<PromptPart>, ParseError> {
        let items: Vec<CachedPartItem> = serde_json::from_slice(body)
            .map_err(|error| ParseError::new("list of cached prompt parts", &error))?;
        let part = |item: CachedPartItem| PromptPart {
            id: bendhinge_placement::PartId(item.part),
            tokens: item.tokens,
        };
        Ok(items.into_iter().map(part).collect())
    }
}

fn parse_load(value: &HeaderValue) -> Option<ReportedLoad> {
    let mut figures = value.to_str().ok()?.split(',').map(|figure| figure.parse().ok());
    let (running, waiting) = (figures.next()??, figures.next()??);
    Some(ReportedLoad {
        running,
        waiting,
        slots: figures.next().flatten(),
        pace_percent: figures.next().flatten(),
    })
}
