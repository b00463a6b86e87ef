//! Write timeout for clients that stop reading their responses.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;

/// A stream whose writes fail with `TimedOut` if the peer accepts no data within a timeout.
///
/// It does not limit buffered bytes; backpressure does, as a response body is only polled when the
/// write buffer has room.
pub(crate) struct WriteTimeoutStream<S> {
    stream: S,
    timeout: Duration,
    /// Started when a write blocks, cleared when one completes.
    timer: Option<Timer>,
}

impl<S> WriteTimeoutStream<S> {
    /// Wraps `stream`; a write may block for at most `timeout`.
    pub(crate) const fn new(stream: S, timeout: Duration) -> Self {
        Self { stream, timeout, timer: None }
    }

    /// Returns `written`, or `TimedOut` if writes have blocked for longer than the timeout.
    fn check_timeout(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let timeout = self.timeout;
        let timer = self.timer.get_or_insert_with(|| Timer::after(timeout));
        Pin::new(timer).poll(context).map(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeoutStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeoutStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_timeout(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.check_timeout(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
