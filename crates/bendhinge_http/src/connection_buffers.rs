//! Accounts for what a server buffers of a client's connection: an incomplete request head, and data of responses that
//! the client has not read.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker, ready};

use bendhinge_buffers::Reservation;
use bytes::Bytes;
use futures_lite::{AsyncRead, AsyncWrite};
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};

use crate::limited_read::MAX_READ_BYTES;
use crate::{Body, BodyError};

/// The number of unread bytes of a response from which on no more of its body is taken.
const MAX_UNREAD_BYTES: usize = 16 << 10;

/// A request extension: the size of the request's head in bytes, as far as it was counted.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadBytes(pub usize);

/// What is buffered of a connection; cheap to clone.
#[derive(Clone)]
pub(crate) struct ConnectionBuffers(Arc<State>);

struct State {
    reservation: Reservation,
    max_head_bytes: usize,
    awaits_head: AtomicBool,
    head_bytes: AtomicUsize,
    /// Data of responses that is not written yet, in bytes.
    unread_bytes: AtomicUsize,
    /// Wakes the response body that waits until its data is written.
    body_waker: Mutex<Option<Waker>>,
}

impl ConnectionBuffers {
    pub(crate) fn new(reservation: Reservation, max_head_bytes: usize) -> Self {
        Self(Arc::new(State {
            reservation,
            max_head_bytes,
            awaits_head: AtomicBool::new(true),
            head_bytes: AtomicUsize::new(0),
            unread_bytes: AtomicUsize::new(0),
            body_waker: Mutex::new(None),
        }))
    }

    /// Whether a response body may hand over more data. If not, it is woken once it may.
    fn poll_unread(&self, context: &Context<'_>) -> Poll<()> {
        if self.0.unread_bytes.load(Ordering::Acquire) < MAX_UNREAD_BYTES {
            return Poll::Ready(());
        }
        *self.0.body_waker.lock().unwrap() = Some(context.waker().clone());
        // It may have been written meanwhile.
        let is_written = self.0.unread_bytes.load(Ordering::Acquire) < MAX_UNREAD_BYTES;
        if is_written { Poll::Ready(()) } else { Poll::Pending }
    }

    /// Counts bytes that were read.
    fn record_read(&self, bytes: usize) -> io::Result<()> {
        if !self.0.awaits_head.load(Ordering::Relaxed) {
            return Ok(());
        }
        // More than a head are bytes of a refused request's body, which the HTTP library discards.
        let counted = self.0.head_bytes.load(Ordering::Relaxed);
        let bytes = bytes.min(self.0.max_head_bytes.saturating_sub(counted));
        self.0.head_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.0.reservation.add(bytes).map_err(|exceeded| io::Error::new(io::ErrorKind::OutOfMemory, exceeded))
    }

    /// Records that the head of a request is complete, whose holder accounts for it from now on.
    pub(crate) fn begin_request(&self) -> HeadBytes {
        self.0.awaits_head.store(false, Ordering::Relaxed);
        let bytes = self.0.head_bytes.swap(0, Ordering::Relaxed);
        self.0.reservation.subtract(bytes);
        HeadBytes(bytes)
    }

    /// Waits until the memory of the connection is needed elsewhere.
    pub(crate) async fn revoked(&self) {
        self.0.reservation.revoked().await;
    }

    /// Returns `body` with its data accounted for until it is written to the client.
    pub(crate) fn account_for(&self, body: Body) -> Body {
        AccountedBody { body, buffers: self.clone() }.boxed()
    }
}

/// A response body whose data is accounted for.
struct AccountedBody {
    body: Body,
    buffers: ConnectionBuffers,
}

impl hyper::body::Body for AccountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        // While `Pending` is returned, the HTTP library writes what it has.
        ready!(self.buffers.poll_unread(context));
        let polled = Pin::new(&mut self.body).poll_frame(context);
        let Poll::Ready(Some(Ok(frame))) = polled else { return polled };
        let data = match frame.into_data() {
            Ok(data) => data,
            Err(frame) => return Poll::Ready(Some(Ok(frame))),
        };
        let unread = UnreadData::new(data, &self.buffers);
        Poll::Ready(Some(unread.map(|unread| Frame::data(Bytes::from_owner(unread))).map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for AccountedBody {
    fn drop(&mut self) {
        self.buffers.0.awaits_head.store(true, Ordering::Relaxed);
    }
}

/// Data of a response. The HTTP library drops it once it is written to the client.
struct UnreadData {
    data: Bytes,
    buffers: ConnectionBuffers,
}

impl UnreadData {
    fn new(data: Bytes, buffers: &ConnectionBuffers) -> io::Result<Self> {
        let reserved = buffers.0.reservation.add(data.len());
        reserved.map_err(|exceeded| io::Error::new(io::ErrorKind::OutOfMemory, exceeded))?;
        buffers.0.unread_bytes.fetch_add(data.len(), Ordering::AcqRel);
        Ok(Self { data, buffers: buffers.clone() })
    }
}

impl AsRef<[u8]> for UnreadData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl Drop for UnreadData {
    fn drop(&mut self) {
        let State { reservation, unread_bytes, body_waker, .. } = &*self.buffers.0;
        reservation.subtract(self.data.len());
        unread_bytes.fetch_sub(self.data.len(), Ordering::AcqRel);
        let waker = body_waker.lock().unwrap().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// A stream that accounts for the request heads that are read from it.
pub(crate) struct AccountedStream<S> {
    stream: S,
    buffers: ConnectionBuffers,
}

impl<S> AccountedStream<S> {
    pub(crate) const fn new(stream: S, buffers: ConnectionBuffers) -> Self {
        Self { stream, buffers }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for AccountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let length = buffer.len().min(MAX_READ_BYTES);
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]);
        if let Poll::Ready(Ok(bytes)) = &read {
            self.buffers.record_read(*bytes)?;
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for AccountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
