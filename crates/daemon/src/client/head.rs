//! Bounds the head of a response.
//!
//! hyper skips interim responses and bounds neither their number nor their total size, so a peer that sends them without
//! end would keep the task of its connection busy, and with it the thread. [`Stream`] counts what arrives between a
//! request and the end of the response's head, and fails when that exceeds a limit.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Interim responses accepted before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Bytes accepted until the head of the final response is complete. hyper's own limit for one head is 408 KiB, and it may
/// read as much of the body before it reports the head.
pub(super) const MAX_BYTES: usize = 1024 * 1024;

/// Counts the heads that arrive in response to one request.
#[derive(Debug, Default)]
pub(super) struct Meter {
    /// Whether a response's head is expected.
    is_expected: AtomicBool,
    interim_responses: AtomicUsize,
    bytes: AtomicUsize,
}

impl Meter {
    /// Starts counting; call before a request is sent.
    pub(super) fn begin(&self) {
        self.interim_responses.store(0, Ordering::Relaxed);
        self.bytes.store(0, Ordering::Relaxed);
        self.is_expected.store(true, Ordering::Relaxed);
    }

    /// Stops counting; call when the head of the final response is complete.
    pub(super) fn end(&self) {
        self.is_expected.store(false, Ordering::Relaxed);
    }

    pub(super) fn record_interim_response(&self) {
        self.interim_responses.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns whether the heads since the last [`Self::begin`] exceed a limit.
    pub(super) fn is_exceeded(&self) -> bool {
        self.interim_responses.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
            || self.bytes.load(Ordering::Relaxed) > MAX_BYTES
    }

    fn record_bytes(&self, bytes: usize) {
        if self.is_expected.load(Ordering::Relaxed) {
            self.bytes.fetch_add(bytes, Ordering::Relaxed);
        }
    }

    fn check(&self) -> Result<()> {
        match self.is_expected.load(Ordering::Relaxed) && self.is_exceeded() {
            true => Err(Error::new(
                ErrorKind::InvalidData,
                "too many interim responses, or a head that is too long",
            )),
            false => Ok(()),
        }
    }
}

/// A stream that fails when the head of a response exceeds a limit.
#[derive(Debug)]
pub struct Stream<T> {
    inner: T,
    meter: Arc<Meter>,
}

impl<T> Stream<T> {
    pub(super) fn new(inner: T, meter: Arc<Meter>) -> Self {
        Self { inner, meter }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Stream<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        self.meter.check()?;
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        self.meter.record_bytes(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Stream<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
