//! Reads files, and pages from the operator address of a router.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_http::{FetchError, Pool, Tasks, empty_body, fetch, run_until};
use hyper::Request;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Failure to read a file or a page of a router.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadError {
    #[error("{code}: {0}: {1}", code = ResultCode::RouterUnreachable)]
    Router(SocketAddr, FetchError),
    #[error("{code}: {0}: {1}", code = ResultCode::UnreadableFile)]
    File(PathBuf, std::io::Error),
}

/// Reads a file as text.
pub(crate) fn read_file(path: &Path) -> Result<String, ReadError> {
    std::fs::read_to_string(path).map_err(|error| ReadError::File(path.to_owned(), error))
}

/// Reads a key file and trims surrounding white space.
pub(crate) fn read_key(path: &Path) -> Result<String, ReadError> {
    read_file(path).map(|text| text.trim().to_owned())
}

/// Fetches the page at `path` from the operator address of a router.
pub(crate) fn fetch_page(router: SocketAddr, key: &str, path: &str) -> Result<String, ReadError> {
    let tasks = Tasks::default();
    let pool = Pool::new(Arc::clone(&tasks), REQUEST_TIMEOUT, REQUEST_TIMEOUT);
    let request = Request::get(path)
        .header("host", router.to_string())
        .header("authorization", format!("Bearer {key}"))
        .body(empty_body())
        .expect("the path and the headers are valid");
    let response = run_until(
        &tasks,
        NonZeroUsize::MIN,
        fetch(&pool, router, request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT),
    );
    let response = response.map_err(|error| ReadError::Router(router, error))?;
    if !response.status.is_success() {
        return Err(ReadError::Router(router, FetchError::Status(response.status)));
    }
    Ok(String::from_utf8_lossy(&response.body).into_owned())
}
