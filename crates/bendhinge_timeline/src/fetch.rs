//! Fetches the event logs of running processes.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_http::{FetchError, Pool, Tasks, empty_body, fetch, run_until};
use bendhinge_timeline::EventLogPage;
use hyper::Request;

const MAX_PAGE_BYTES: usize = 64 << 20;
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Event logs that were fetched, and the failures.
pub(crate) struct FetchResults {
    pub(crate) pages: Vec<EventLogPage>,
    pub(crate) failures: Vec<FetchFailure>,
}

/// Failure to fetch the event log of a router.
#[derive(Debug, thiserror::Error)]
#[error("{code}: {address}: {error}; its events are missing from the timeline", code = ResultCode::RouterUnreachable)]
pub(crate) struct FetchFailure {
    address: SocketAddr,
    error: FetchError,
}

pub(crate) fn fetch_pages(routers: &[SocketAddr], key: &str, request: Option<&str>) -> FetchResults {
    let tasks = Tasks::default();
    let pool = Pool::new(Arc::clone(&tasks), FETCH_TIMEOUT, FETCH_TIMEOUT);
    run_until(&tasks, NonZeroUsize::MIN, async {
        let mut results = FetchResults { pages: Vec::new(), failures: Vec::new() };
        for address in routers {
            match fetch_page(&pool, *address, key, request).await {
                Ok(page) => results.pages.push(page),
                Err(error) => results.failures.push(FetchFailure { address: *address, error }),
            }
        }
        results
    })
}

async fn fetch_page(
    pool: &Pool,
    address: SocketAddr,
    key: &str,
    request: Option<&str>,
) -> Result<EventLogPage, FetchError> {
    let path = request.map_or_else(|| "/timeline".to_owned(), |id| format!("/timeline?request={id}"));
    let request = Request::get(path)
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {key}"))
        .body(empty_body())
        .expect("the path and the headers are valid");
    let response = fetch(pool, address, request, MAX_PAGE_BYTES, FETCH_TIMEOUT).await?;
    if !response.status.is_success() {
        return Err(FetchError::Status(response.status));
    }
    Ok(serde_json::from_slice(&response.body)?)
}
