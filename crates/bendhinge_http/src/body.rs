//! Boxed request and response bodies, fully buffered or streamed.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bendhinge_buffers::{BudgetExceeded, Reservation};
use bytes::{Bytes, BytesMut};
use futures_lite::{FutureExt, Stream};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, SizeHint};
use smol::Timer;
use smol::channel::{Receiver, Sender, bounded};

/// An error while a body is read.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// The body type of all requests and responses created by this crate.
pub type Body = BoxBody<Bytes, BodyError>;

/// Creates a body from a buffer that is already complete.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(infallible).boxed()
}

/// Creates an empty body.
#[must_use]
pub fn empty_body() -> Body {
    http_body_util::Empty::new().map_err(infallible).boxed()
}

/// How long an error of a body is delayed. One poll is not enough: a stream may accept the data only when it is polled
/// again.
const FLUSH_TIME: Duration = Duration::from_millis(10);

/// Delays an error of the wrapped body. The server discards its write buffer when a body fails, so it
/// needs a chance to flush first.
struct FlushBeforeError<B> {
    body: B,
    error: Option<(BodyError, Timer)>,
}

/// Wraps `body` so that all data before an error is flushed to the client.
pub fn flush_before_error<B>(body: B) -> Body
where
    B: hyper::body::Body<Data = Bytes, Error = BodyError> + Unpin + Send + Sync + 'static,
{
    FlushBeforeError { body, error: None }.boxed()
}

impl<B> hyper::body::Body for FlushBeforeError<B>
where
    B: hyper::body::Body<Data = Bytes, Error = BodyError> + Unpin,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.error.is_none() {
            match Pin::new(&mut self.body).poll_frame(context) {
                // `Pending` makes the server flush.
                Poll::Ready(Some(Err(error))) => self.error = Some((error, Timer::after(FLUSH_TIME))),
                polled => return polled,
            }
        }
        if let Some((_, timer)) = &mut self.error
            && Pin::new(timer).poll(context).is_pending()
        {
            return Poll::Pending;
        }
        Poll::Ready(self.error.take().map(|(error, _)| Err(error)))
    }

    fn is_end_stream(&self) -> bool {
        self.error.is_none() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

fn infallible(error: Infallible) -> BodyError {
    match error {}
}

struct ChunkStream(Pin<Box<Receiver<io::Result<Bytes>>>>);

impl Stream for ChunkStream {
    type Item = Result<Frame<Bytes>, BodyError>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let chunk = self.0.as_mut().poll_next(context);
        chunk.map(|chunk| chunk.map(|bytes| bytes.map(Frame::data).map_err(Into::into)))
    }
}

/// Creates a body fed through a channel that holds `capacity` chunks. Sending an `Err` aborts the
/// connection, so the reader sees that the body is truncated; dropping the sender ends the body.
#[must_use]
pub fn channel_body(capacity: usize) -> (Sender<io::Result<Bytes>>, Body) {
    let (sender, receiver) = bounded(capacity);
    let body = StreamBody::new(ChunkStream(Box::pin(receiver)));
    (sender, BodyExt::boxed(body))
}

/// No data arrived within the read timeout.
#[derive(Debug, thiserror::Error)]
#[error("no more body data within {0:?}")]
struct ReadTimeoutError(Duration);

/// Fails the wrapped body if no frame arrives within the read timeout.
pub(crate) struct ReadTimeoutBody<B> {
    body: B,
    read_timeout: Duration,
    timer: Timer,
}

impl<B> ReadTimeoutBody<B> {
    /// Wraps `body`; each frame must arrive within `read_timeout` of the previous one.
    pub(crate) fn new(body: B, read_timeout: Duration) -> Self {
        Self { body, read_timeout, timer: Timer::after(read_timeout) }
    }
}

impl<B> hyper::body::Body for ReadTimeoutBody<B>
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
        let read_timeout = self.read_timeout;
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) {
            self.timer.set_after(read_timeout);
            return Poll::Ready(frame.map(|frame| frame.map_err(Into::into)));
        }
        let timed_out = Pin::new(&mut self.timer).poll(context).is_ready();
        if timed_out { Poll::Ready(Some(Err(ReadTimeoutError(read_timeout).into()))) } else { Poll::Pending }
    }
}

/// An error while a body is read into memory.
#[derive(Debug, thiserror::Error)]
pub enum ReadBodyError {
    /// The body exceeds the limit, in bytes.
    #[error("the body is longer than {0} bytes")]
    TooLong(usize),
    /// The body ended with an error.
    #[error("reading the body failed: {0}")]
    Broken(BodyError),
    /// The process has no memory for the body.
    #[error(transparent)]
    NoMemory(#[from] BudgetExceeded),
    /// The memory of the body is needed elsewhere.
    #[error("the memory of the body is needed elsewhere")]
    Revoked,
}

/// Reads a body of at most `limit` bytes into memory.
pub async fn read_body<B>(body: B, limit: usize) -> Result<Bytes, ReadBodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    read_body_reserved(body, limit, &Reservation::unlimited()).await
}

/// Reads a body of at most `limit` bytes into memory that is added to `reservation`.
pub async fn read_body_reserved<B>(
    body: B,
    limit: usize,
    reservation: &Reservation,
) -> Result<Bytes, ReadBodyError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BodyError>,
{
    let mut body = std::pin::pin!(body);
    let reading = async {
        let mut collected = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| ReadBodyError::Broken(error.into()))?;
            let Ok(data) = frame.into_data() else { continue };
            if collected.len() + data.len() > limit {
                return Err(ReadBodyError::TooLong(limit));
            }
            reservation.add(data.len())?;
            collected.extend_from_slice(&data);
        }
        Ok(collected.freeze())
    };
    let revoked = async {
        reservation.revoked().await;
        Err(ReadBodyError::Revoked)
    };
    reading.or(revoked).await
}
