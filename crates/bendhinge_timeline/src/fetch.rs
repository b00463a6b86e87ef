//! Reading the records of running processes.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_http::{FetchError, Pool, Tasks, empty_body, fetch, run_until};
use bendhinge_timeline::RecordPage;
use hyper::Request;

const LARGEST_RECORD: usize = 64 << 20;
const TIME: Duration = Duration::from_secs(10);

/// What could be read.
pub(crate) struct Fetched {
    pub(crate) pages: Vec<RecordPage>,
    pub(crate) failures: Vec<Failure>,
}

/// A process that could not be read.
#[derive(Debug, thiserror::Error)]
#[error("{code}: {address}: {error}; what it recorded is not shown", code = ResultCode::RouterUnreachable)]
pub(crate) struct Failure {
    address: SocketAddr,
    error: FetchError,
}

pub(crate) fn records(routers: &[SocketAddr], key: &str, request: Option<&str>) -> Fetched {
    let tasks = Tasks::default();
    let pool = Pool::new(Arc::clone(&tasks), TIME, TIME);
    run_until(&tasks, NonZeroUsize::MIN, async {
        let mut fetched = Fetched { pages: Vec::new(), failures: Vec::new() };
        for address in routers {
            match record(&pool, *address, key, request).await {
                Ok(page) => fetched.pages.push(page),
                Err(error) => fetched.failures.push(Failure { address: *address, error }),
            }
        }
        fetched
    })
}

async fn record(
    pool: &Pool,
    address: SocketAddr,
    key: &str,
    request: Option<&str>,
) -> Result<RecordPage, FetchError> {
    let path = request.map_or_else(|| "/timeline".to_owned(), |id| format!("/timeline?request={id}"));
    let request = Request::get(path)
        .header("host", address.to_string())
        .header("authorization", format!("Bearer {key}"))
        .body(empty_body())
        .expect("the parts were made here");
    let fetched = fetch(pool, address, request, LARGEST_RECORD, TIME).await?;
    if !fetched.status.is_success() {
        return Err(FetchError::Status(fetched.status));
    }
    Ok(serde_json::from_slice(&fetched.body)?)
}
