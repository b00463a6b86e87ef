//! Bodies: one boxed type for requests and answers, whole or streamed.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_lite::Stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use smol::channel::{Receiver, Sender, bounded};

/// Whatever can go wrong while a body is read.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body type of all requests and answers made here.
pub type Body = BoxBody<Bytes, BodyError>;

/// A body that is there whole.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(never).boxed()
}

/// A body without content.
#[must_use]
pub fn empty_body() -> Body {
    http_body_util::Empty::new().map_err(never).boxed()
}

fn never(error: Infallible) -> BodyError {
    match error {}
}

struct Pieces(Pin<Box<Receiver<io::Result<Bytes>>>>);

impl Stream for Pieces {
    type Item = Result<Frame<Bytes>, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let piece = self.0.as_mut().poll_next(context);
        piece.map(|piece| piece.map(|bytes| bytes.map(Frame::data).map_err(Into::into)))
    }
}

/// A body fed through a channel of `depth` pieces. An `Err` cuts the connection, so that the
/// reader sees that the body is not whole; dropping the sender ends the body.
#[must_use]
pub fn channel_body(depth: usize) -> (Sender<io::Result<Bytes>>, Body) {
    let (sender, receiver) = bounded(depth);
    let body = StreamBody::new(Pieces(Box::pin(receiver)));
    (sender, BodyExt::boxed(body))
}

/// Why a body could not be gathered.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError {
    /// It is longer than the reader allows.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// It broke off.
    #[error("the body broke off: {0}")]
    Broken(BodyError),
}

/// Gathers a body of at most `limit` bytes.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, ReadBodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let mut body = std::pin::pin!(body);
    let mut gathered = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| ReadBodyError::Broken(error.into()))?;
        let Ok(data) = frame.into_data() else { continue };
        if gathered.len() + data.len() > limit {
            return Err(ReadBodyError::TooLong(limit));
        }
        gathered.extend_from_slice(&data);
    }
    Ok(gathered.freeze())
}
