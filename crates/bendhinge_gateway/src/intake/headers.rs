//! Filters the headers of relayed requests and responses.

use bendhinge_http::remove_hop_by_hop_headers;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderMap};

/// Removes the headers of a caller's request that are not forwarded to the upstream. The HTTP library sets
/// length and framing again.
pub(super) fn prepare_for_upstream(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
}

/// Removes the headers of an upstream's response that are not forwarded to the caller.
pub(crate) fn prepare_for_caller(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
}
