//! Counters of the bytes between daemons.
//!
//! Bytes are counted at the socket, so that they include framing and encryption.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Counters of the bytes sent to and received from all peers; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    sent: Arc<AtomicU64>,
    received: Arc<AtomicU64>,
}

impl Meter {
    /// Returns the number of bytes sent since the process started.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received since the process started.
    pub fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    pub(crate) fn wrap(&self, stream: TcpStream) -> Metered {
        Metered {
            stream,
            meter: self.clone(),
        }
    }
}

/// A TCP stream that counts its bytes in a [`Meter`].
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
