//! A socket with the timeouts that hyper lacks.
//!
//! hyper limits the time from the end of one request to the end of the next head, which serves as
//! the idle timeout. This socket adds a timeout for a head once its first byte has arrived, and one
//! for a client that does not read its response. Without the first, a client that sends single
//! bytes occupies a connection for the whole idle timeout; without the second, one that never reads
//! occupies it for good and blocks a stop. It also measures what the client holds: the head that it
//! has begun, and the responses that it has not read.

use super::clients::Ticket;
use crate::settings::Limits;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

/// State of a connection, shared by its socket and its handler.
#[derive(Debug)]
pub(super) struct Activity {
    ticket: Arc<Ticket>,
    working: AtomicBool,
    stalled: AtomicBool,
    /// Whether what is left to write is discarded when the connection closes.
    discards: AtomicBool,
    requests: AtomicU64,
}

/// Marks a request as in progress until dropped.
pub(super) struct RequestGuard<'a>(&'a Activity);

impl Activity {
    /// Creates the state of a new connection.
    pub(super) fn new(ticket: Arc<Ticket>) -> Self {
        Self {
            ticket,
            working: AtomicBool::default(),
            stalled: AtomicBool::default(),
            discards: AtomicBool::default(),
            requests: AtomicU64::default(),
        }
    }

    /// Discards what is left to write when the connection closes. The kernel would keep it for the client.
    pub(super) fn discard(&self) {
        self.discards.store(true, Ordering::Relaxed);
    }

    /// Records that the head of a request is complete.
    pub(super) fn begin_request(&self) -> RequestGuard<'_> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.working.store(true, Ordering::Relaxed);
        self.ticket.meter().reset();
        self.ticket.work();
        RequestGuard(self)
    }

    /// Returns whether part of a response is waiting to be written.
    pub(super) fn is_write_stalled(&self) -> bool {
        self.stalled.load(Ordering::Relaxed)
    }

    fn is_working(&self) -> bool {
        self.working.load(Ordering::Relaxed)
    }

    fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        self.0.working.store(false, Ordering::Relaxed);
        self.0.ticket.answer();
    }
}

/// Timeout of the head that is being read.
struct Head {
    /// Number of requests before this one, which identifies it.
    after: u64,
    timer: Pin<Box<Sleep>>,
}

/// A socket that fails if a head is not completed or a response is not read in time.
pub(super) struct Socket {
    stream: TcpStream,
    activity: Arc<Activity>,
    header_timeout: Duration,
    write_timeout: Duration,
    head: Option<Head>,
    stalled: Option<Pin<Box<Sleep>>>,
    /// Bytes that were left to write the last time.
    left: usize,
}

impl Socket {
    /// Wraps the socket of an accepted connection.
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>, limits: &Limits) -> Self {
        // Each response is written in one piece, so Nagle's algorithm would only delay it. A socket
        // that refuses the option works without it.
        let _refused = stream.set_nodelay(true);
        Self {
            stream,
            activity,
            header_timeout: limits.header_timeout(),
            write_timeout: limits.write_timeout(),
            head: None,
            stalled: None,
            left: 0,
        }
    }

    /// Starts the timeout of a head at its first byte.
    fn start_head_timer(&mut self) {
        let after = self.activity.requests();
        let timer_running = self.head.as_ref().is_some_and(|head| head.after == after);
        if !self.activity.is_working() && !timer_running {
            let timer = Box::pin(sleep(self.header_timeout));
            self.head = Some(Head { after, timer });
        }
    }

    fn check_head(&mut self, context: &mut Context<'_>) -> Poll<Result<()>> {
        let after = self.activity.requests();
        if self.activity.is_working() {
            return Poll::Pending;
        }
        match &mut self.head {
            Some(head) if head.after == after => {
                ready!(head.timer.as_mut().poll(context));
                Poll::Ready(Err(timed_out("the request head took too long")))
            }
            _ => Poll::Pending,
        }
    }

    /// Records bytes of a head, or of a body with its framing. hyper accepts leading zeros of a chunk's size without
    /// end.
    fn receive(&mut self, bytes: usize) -> Result<()> {
        let ticket = &self.activity.ticket;
        if self.activity.is_working() {
            ticket.meter().record(bytes);
            return ticket.meter().check();
        }
        if ticket.receive_head(bytes) {
            return Ok(());
        }
        let reason = "no memory for the request head";
        Err(Error::new(ErrorKind::OutOfMemory, reason))
    }

    /// Returns the result of writing some of `offered` bytes, or an error if no progress was made within the write
    /// timeout.
    fn check_write(
        &mut self,
        context: &mut Context<'_>,
        offered: usize,
        result: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        let taken = match &result {
            Poll::Ready(Ok(taken)) => *taken,
            _ => 0,
        };
        let left = offered - taken;
        if left > 0 || self.left > 0 {
            self.activity.ticket.deliver(left, taken);
        }
        self.left = left;
        self.activity
            .stalled
            .store(result.is_pending(), Ordering::Relaxed);
        if result.is_ready() {
            self.stalled = None;
            return result;
        }
        let timeout = self.write_timeout;
        let timer = self.stalled.get_or_insert_with(|| Box::pin(sleep(timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(timed_out("the client did not read the response")))
    }
}

fn timed_out(reason: &'static str) -> Error {
    Error::new(ErrorKind::TimedOut, reason)
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Pending => self.check_head(context),
            Poll::Ready(result) => {
                let bytes = buffer.filled().len() - before;
                if bytes > 0 {
                    self.start_head_timer();
                    self.receive(bytes)?;
                }
                Poll::Ready(result)
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_write(context, bytes.len(), result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        let offered = slices.iter().map(|slice| slice.len()).sum();
        self.check_write(context, offered, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.activity.discards.load(Ordering::Relaxed) {
            // A socket that refuses the option is closed as usual.
            let _refused = self.stream.set_zero_linger();
        }
    }
}
