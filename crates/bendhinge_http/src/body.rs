//! Bodies: one boxed type for requests and answers, whole or streamed.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_lite::Stream;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, SizeHint};
use smol::Timer;
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

/// A body whose error comes one turn late: the server drops what it still buffers when a body
/// fails, so it is first let flush that.
struct CutAfterFlush<B> {
    body: B,
    error: Option<BodyError>,
}

/// `body`, of which all that came before an error reaches the other side.
pub fn cut_after_flush<B>(body: B) -> Body
where
    B: hyper::body::Body<Data = Bytes, Error = BodyError> + Unpin + Send + Sync + 'static,
{
    CutAfterFlush { body, error: None }.boxed()
}

impl<B> hyper::body::Body for CutAfterFlush<B>
where
    B: hyper::body::Body<Data = Bytes, Error = BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match Pin::new(&mut self.body).poll_frame(context) {
            Poll::Ready(Some(Err(error))) => {
                self.error = Some(error);
                // Pending lets the server flush; it is to ask again right after.
                context.waker().wake_by_ref();
                Poll::Pending
            }
            polled => polled,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
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

/// Nothing more of a body came for so long.
#[derive(Debug, thiserror::Error)]
#[error("nothing more of it within {0:?}")]
struct SilentBody(Duration);

/// A body that fails if nothing of it comes for a while.
pub(crate) struct Impatient<B> {
    body: B,
    silence: Duration,
    next: Timer,
}

impl<B> Impatient<B> {
    /// `body`, of which each piece is to come within `silence` after the one before.
    pub(crate) fn new(body: B, silence: Duration) -> Self {
        Self { body, silence, next: Timer::after(silence) }
    }
}

impl<B> hyper::body::Body for Impatient<B>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
    B::Error: Into<BodyError>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let silence = self.silence;
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) {
            self.next.set_after(silence);
            return Poll::Ready(frame.map(|frame| frame.map_err(Into::into)));
        }
        let is_silent = Pin::new(&mut self.next).poll(context).is_ready();
        if is_silent { Poll::Ready(Some(Err(SilentBody(silence).into()))) } else { Poll::Pending }
    }
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
