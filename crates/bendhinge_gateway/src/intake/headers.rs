//! Headers on their way through.

use bendhinge_http::remove_hop_by_hop_headers;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderMap};

/// Makes a caller's headers fit for an upstream. Length and framing are written anew by the HTTP
/// library.
pub(super) fn to_upstream(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
}

/// Makes an upstream's headers fit for the caller.
pub(crate) fn to_caller(headers: &mut HeaderMap) {
    remove_hop_by_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
}
