//! Headers on their way through.

use bendhinge_http::drop_hop_by_hop;
use hyper::header::{CONTENT_LENGTH, EXPECT, HeaderMap};

/// Makes a caller's headers fit for an upstream. Length and framing are written anew by the HTTP
/// library.
pub(super) fn to_upstream(headers: &mut HeaderMap) {
    drop_hop_by_hop(headers);
    headers.remove(EXPECT);
    headers.remove(CONTENT_LENGTH);
}

/// Makes an upstream's headers fit for the caller.
pub(crate) fn to_caller(headers: &mut HeaderMap) {
    drop_hop_by_hop(headers);
    headers.remove(CONTENT_LENGTH);
}
