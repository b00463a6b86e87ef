//! Limits on what is read from a connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use bendhinge_buffers::Reservation;
use futures_lite::{AsyncRead, AsyncWrite};

/// The number of reads in a row after which the stream yields to other tasks. While a peer always has data ready, the HTTP
/// library reads on within one poll, for instance interim responses, which would block the thread.
const MAX_READS_IN_A_ROW: u32 = 32;

/// The maximum number of bytes before the head of a response is complete, with interim responses. It exceeds what the HTTP
/// library reads at once, since the beginning of the body may come with the head.
const MAX_HEAD_BYTES: usize = 1 << 20;

/// The maximum number of bytes that are read at once, which bounds the read buffer of the HTTP library.
pub(crate) const MAX_READ_BYTES: usize = 8 << 10;

/// The bytes that are read before the head of a response is complete.
#[derive(Clone, Debug)]
pub(crate) struct HeadAllowance(Arc<State>);

#[derive(Debug)]
struct State {
    /// The bytes that may still be read, or `UNLIMITED`.
    rest: AtomicUsize,
    /// The bytes that were read.
    reservation: Reservation,
}

impl HeadAllowance {
    /// The value while no response head is awaited.
    const UNLIMITED: usize = usize::MAX;

    pub(crate) fn new(reservation: Reservation) -> Self {
        Self(Arc::new(State { rest: AtomicUsize::new(Self::UNLIMITED), reservation }))
    }

    /// Starts to count, since the head of a response is awaited.
    pub(crate) fn begin(&self) {
        self.0.rest.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Ends to count, since the head of the response is complete.
    pub(crate) fn end(&self) {
        self.0.rest.store(Self::UNLIMITED, Ordering::Relaxed);
        self.0.reservation.subtract(MAX_HEAD_BYTES);
    }

    /// Waits until the memory for the head is needed elsewhere.
    pub(crate) async fn revoked(&self) {
        self.0.reservation.revoked().await;
    }

    /// Counts bytes; returns `Err` if they exceed the allowance.
    fn take(&self, bytes: usize) -> io::Result<()> {
        let allowance = self.0.rest.load(Ordering::Relaxed);
        if allowance == Self::UNLIMITED {
            return Ok(());
        }
        let Some(rest) = allowance.checked_sub(bytes) else {
            let message = format!("no response head within {MAX_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        };
        self.0.rest.store(rest, Ordering::Relaxed);
        let reserved = self.0.reservation.add(bytes);
        reserved.map_err(|exceeded| io::Error::new(io::ErrorKind::InvalidData, exceeded))
    }
}

/// A stream whose reads yield to other tasks, and fail if they exceed the allowance for a response head.
pub(crate) struct LimitedReadStream<S> {
    stream: S,
    allowance: HeadAllowance,
    reads_in_a_row: u32,
}

impl<S> LimitedReadStream<S> {
    pub(crate) const fn new(stream: S, allowance: HeadAllowance) -> Self {
        Self { stream, allowance, reads_in_a_row: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedReadStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.reads_in_a_row == MAX_READS_IN_A_ROW {
            self.reads_in_a_row = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buffer.len().min(MAX_READ_BYTES);
        let read = Pin::new(&mut self.stream).poll_read(context, &mut buffer[..length]);
        match &read {
            Poll::Ready(Ok(bytes)) => {
                self.reads_in_a_row += 1;
                self.allowance.take(*bytes)?;
            }
            _ => self.reads_in_a_row = 0,
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedReadStream<S> {
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
