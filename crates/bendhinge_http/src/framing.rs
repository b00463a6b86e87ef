//! How a response marks the end of its body.

use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::{Method, StatusCode, Version};

/// How a response marks the end of its body (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BodyFraming {
    /// By its length, which may be implied by the request method or the status.
    Length,
    /// By the last chunk.
    Chunked,
    /// By closing the connection, which a sender that crashes does as well.
    UntilClose,
}

impl BodyFraming {
    /// Returns the framing of the response to a request with `method`.
    #[must_use]
    pub fn of_response(method: &Method, status: StatusCode, headers: &HeaderMap) -> Self {
        let has_no_body = *method == Method::HEAD
            || status.is_informational()
            || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        if has_no_body {
            Self::Length
        } else if headers.contains_key(TRANSFER_ENCODING) {
            if ends_with_chunked(headers) { Self::Chunked } else { Self::UntilClose }
        } else if headers.contains_key(CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    /// Returns the framing that a server gives to a body of unknown length in response to a request of `version`.
    #[must_use]
    pub fn of_stream_to(version: Version) -> Self {
        if version < Version::HTTP_11 { Self::UntilClose } else { Self::Chunked }
    }

    /// Whether the end of a complete body differs from a lost connection.
    #[must_use]
    pub const fn marks_end(self) -> bool {
        !matches!(self, Self::UntilClose)
    }

    /// The name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "close",
        }
    }
}

fn ends_with_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(TRANSFER_ENCODING).iter().filter_map(|value| value.to_str().ok());
    let last = codings.flat_map(|value| value.split(',')).next_back();
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
