//! Filters the headers of relayed requests and responses.

use bendhinge_http::drop_hop_by_hop;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderMap};

/// Removes the headers of a caller's request that are not forwarded to the upstream. The HTTP library sets
/// length and framing again.
pub(super) fn prepare_for_upstream(headers: &mut HeaderMap) {
    drop_hop_by_hop(headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
}

/// Removes the headers of an upstream's response that are not forwarded to the caller.
pub(crate) fn prepare_for_caller(headers: &mut HeaderMap) {
    drop_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
}
