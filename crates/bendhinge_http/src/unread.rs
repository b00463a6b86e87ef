//! Callers that do not read: what is kept for one is held for a bounded time.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::Timer;

/// A connection on which writing fails once the other side has taken nothing for a while.
///
/// How much is kept for it is bounded elsewhere: the next piece of an answer is only asked for when there is room for
/// it, and until then the upstream's own connection is not read either.
pub(crate) struct CutIfUnread<S> {
    stream: S,
    patience: Duration,
    /// Runs while what was to be written is not taken.
    waiting: Option<Timer>,
}

impl<S> CutIfUnread<S> {
    /// `stream`, whose other side may take nothing for `patience`.
    pub(crate) const fn new(stream: S, patience: Duration) -> Self {
        Self { stream, patience, waiting: None }
    }

    /// `written`, or an error if the other side has taken nothing for too long.
    fn unless_too_long(
        &mut self,
        written: Poll<io::Result<usize>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.waiting = None;
            return written;
        }
        let patience = self.patience;
        let waiting = self.waiting.get_or_insert_with(|| Timer::after(patience));
        Pin::new(waiting).poll(context).map(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CutIfUnread<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CutIfUnread<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.unless_too_long(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, pieces);
        self.unless_too_long(written, context)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
