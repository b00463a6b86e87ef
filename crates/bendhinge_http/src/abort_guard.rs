//! Resets connections whose responses are truncated without framing that would show it.

use std::time::Duration;

use hyper::body::Body as _;
use hyper::{Response, Version};
use rustix::net::sockopt::set_socket_linger;
use smol::net::TcpStream;

use crate::{Body, BodyFraming};

/// The socket of a caller's connection, which is reset instead of closed while an unframed response is incomplete.
///
/// Callers of HTTP/1.0 take the end of their connection for the end of the response. The socket option holds even
/// if the process is killed in the middle of a response.
#[derive(Clone)]
pub(crate) struct AbortGuard(TcpStream);

impl AbortGuard {
    pub(crate) const fn new(stream: TcpStream) -> Self {
        Self(stream)
    }

    /// Makes the connection be reset unless `allow_close` is called, if `response` to a request of `version` is not
    /// framed.
    pub(crate) fn begin_response(&self, version: Version, response: &Response<Body>) {
        let is_framed = response.body().size_hint().exact().is_some();
        if !is_framed && BodyFraming::of_stream_to(version) == BodyFraming::UntilClose {
            // If this fails, the connection is closed regularly.
            let _ = set_socket_linger(&self.0, Some(Duration::ZERO));
        }
    }

    /// Lets the connection be closed regularly, because all responses are complete.
    pub(crate) fn allow_close(&self) {
        let _ = set_socket_linger(&self.0, None);
    }
}
