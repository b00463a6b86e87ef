//! Filters the headers of relayed requests and responses.

use bendhinge_http::remove_hop_by_hop_headers;
use hyper::Version;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderMap};
use hyper::http::response;

/// Removes the headers of a caller's request that are not forwarded to the upstream. The HTTP library sets
/// length and framing again.
pub(super) fn prepare_for_upstream(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
}

/// Prepares the head of an upstream's response for the caller: removes the headers that are not forwarded and
/// sets the gateway's own HTTP version, which decides how the body is framed.
pub(crate) fn prepare_for_caller(head: &mut response::Parts) {
    head.version = Version::HTTP_11;
    remove_hop_by_hop_headers(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
}
