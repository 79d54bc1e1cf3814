//! A stream wrapper that reports received bytes and completed flushes to a connection's tracker.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};

use crate::connections::ConnectionTracker;

/// A stream that reports non-empty reads and completed flushes to its tracker.
pub(crate) struct TrackedStream<S> {
    stream: S,
    tracker: Rc<ConnectionTracker>,
}

impl<S> TrackedStream<S> {
    pub fn new(stream: S, tracker: Rc<ConnectionTracker>) -> Self {
        Self { stream, tracker }
    }

    /// Returns the stream itself.
    pub fn into_inner(self) -> S {
        self.stream
    }

    fn record_written(&self, result: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = result {
            self.tracker.record_written_bytes(*bytes);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if let Poll::Ready(Ok(bytes)) = result
            && bytes > 0
        {
            self.tracker.record_received_bytes(bytes);
        }
        result
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buffer);
        self.record_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.record_written(&result);
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(result, Poll::Ready(Ok(()))) {
            self.tracker.record_flush();
        }
        result
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
