//! The body of a response that consists of relayed events.

use std::io;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll};

use bendhinge_http::{Body, BodyError, flush_before_error};
use bytes::Bytes;
use futures_lite::{Stream, StreamExt, stream};
use hyper::body::Frame;

use super::relay::Relay;

type Chunks = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// A response body that consists of the chunks of a relay.
struct RelayBody {
    /// Never contended; the mutex makes the body `Sync`, as the HTTP library requires.
    chunks: Mutex<Chunks>,
}

/// Returns the response body for `relay`.
pub(super) fn relay_body(relay: Relay) -> Body {
    let chunks = stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next_events().await?;
        Some((chunk, relay))
    });
    flush_before_error(RelayBody { chunks: Mutex::new(chunks.boxed()) })
}

impl hyper::body::Body for RelayBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = self.chunks.get_mut().unwrap().poll_next(context);
        polled.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data).map_err(BodyError::from)))
    }
}
