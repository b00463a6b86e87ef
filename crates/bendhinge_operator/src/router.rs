//! Reading a router's operators' address.

use std::net::SocketAddr;
use std::num::NonZeroUsize;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use bendhinge_codes::ResultCode;
use bendhinge_http::{FetchError, Pool, Tasks, empty_body, fetch, run_until};
use hyper::Request;

const TIME: Duration = Duration::from_secs(10);
const LARGEST: usize = 16 << 20;

/// Why a router or a file could not be read.
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

/// Reads a key file: its text without the line end.
pub(crate) fn read_key(path: &Path) -> Result<String, ReadError> {
    read_file(path).map(|text| text.trim().to_owned())
}

/// Reads a page of a router.
pub(crate) fn page(router: SocketAddr, key: &str, path: &str) -> Result<String, ReadError> {
    let tasks = Tasks::default();
    let pool = Pool::new(Arc::clone(&tasks), TIME, TIME);
    let request = Request::get(path)
        .header("host", router.to_string())
        .header("authorization", format!("Bearer {key}"))
        .body(empty_body())
        .expect("the parts were made here");
    let fetched = run_until(&tasks, NonZeroUsize::MIN, fetch(&pool, router, request, LARGEST, TIME));
    let fetched = fetched.map_err(|error| ReadError::Router(router, error))?;
    if !fetched.status.is_success() {
        return Err(ReadError::Router(router, FetchError::Status(fetched.status)));
    }
    Ok(String::from_utf8_lossy(&fetched.body).into_owned())
}
