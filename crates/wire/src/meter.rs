//! Counting the bytes between daemons.
//!
//! Control has a budget in bytes a second; this is where it is measured, at the socket, so that
//! framing and sealing count too.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes sent to and received from all peers. Clones count together.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl Meter {
    /// Returns the bytes sent since the start.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the bytes received since the start.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    pub(crate) fn measure(&self, stream: TcpStream) -> Metered {
        Metered {
            stream,
            meter: self.clone(),
        }
    }
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub(crate) struct Metered {
    stream: TcpStream,
    meter: Meter,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let count = buffer.filled().len() - before;
        self.meter
            .received
            .fetch_add(count as u64, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if let Poll::Ready(Ok(count)) = written {
            self.meter.sent.fetch_add(count as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
