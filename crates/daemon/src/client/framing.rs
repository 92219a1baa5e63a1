//! Bounds what a message contains beside its body.
//!
//! hyper skips interim responses, leading zeros and spaces of a chunk's size, and bounds neither their number nor their
//! total size, so a peer that sends them without end would keep the task of its connection busy, and with it the thread.
//! [`Stream`] counts the bytes that arrive after a request and [`Body`] those that belong to the body of the response. The
//! stream fails when the difference exceeds a limit.

use bytes::{Buf, Bytes};
use hyper::body::{Frame, Incoming, SizeHint};
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Interim responses accepted before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// Largest read buffer of a connection, which also bounds a head and a frame of a body.
pub(super) const MAX_BUFFER_BYTES: usize = 128 * 1024;

/// Bytes accepted that are not in the body: a head, and a frame and a buffer of the body that were read but not taken.
pub(super) const MAX_BYTES: usize = 3 * MAX_BUFFER_BYTES;

/// Bytes accepted on top of [`MAX_BYTES`] per byte of the body: the framing of a chunk of one byte.
const MAX_BYTES_PER_BODY_BYTE: usize = 5;

/// Counts what arrives in response to one request, or of one request.
#[derive(Debug, Default)]
pub(crate) struct Meter {
    interim_responses: AtomicUsize,
    bytes: AtomicUsize,
    body_bytes: AtomicUsize,
}

impl Meter {
    /// Starts over; call before a request is sent, or before the body of one is read.
    pub(crate) fn reset(&self) {
        for count in [&self.interim_responses, &self.bytes, &self.body_bytes] {
            count.store(0, Ordering::Relaxed);
        }
    }

    pub(super) fn record_interim_response(&self) {
        self.interim_responses.fetch_add(1, Ordering::Relaxed);
    }

    /// Records bytes that arrived.
    pub(crate) fn record(&self, bytes: usize) {
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Records bytes of the body.
    pub(crate) fn record_body(&self, bytes: usize) {
        self.body_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns whether the message since the last [`Self::reset`] exceeds a limit.
    pub(super) fn is_exceeded(&self) -> bool {
        let body_bytes = self.body_bytes.load(Ordering::Relaxed);
        let others = self
            .bytes
            .load(Ordering::Relaxed)
            .saturating_sub(body_bytes);
        self.interim_responses.load(Ordering::Relaxed) > MAX_INTERIM_RESPONSES
            || others > MAX_BYTES.saturating_add(body_bytes.saturating_mul(MAX_BYTES_PER_BODY_BYTE))
    }

    /// Fails if a limit is exceeded.
    pub(crate) fn check(&self) -> Result<()> {
        match self.is_exceeded() {
            true => Err(Error::new(
                ErrorKind::InvalidData,
                "too many interim responses, or too many bytes beside the body",
            )),
            false => Ok(()),
        }
    }
}

/// The body of a response, which counts the bytes that it delivers.
#[derive(Debug)]
pub struct Body {
    inner: Incoming,
    meter: Arc<Meter>,
}

impl Body {
    pub(super) fn new(inner: Incoming, meter: Arc<Meter>) -> Self {
        Self { inner, meter }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        if let Some(Ok(frame)) = &frame {
            let bytes = frame.data_ref().map_or(0, Buf::remaining);
            self.meter.record_body(bytes);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// A stream that fails when a response exceeds a limit.
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
        let bytes = buffer.filled().len() - before;
        self.meter.record(bytes);
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
