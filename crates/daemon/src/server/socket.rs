//! A connection's socket with the timeouts that the HTTP library lacks.
//!
//! The library bounds the time from the end of one request to the end of the next one's head,
//! which is the idle timeout here. Two more bounds are needed: a head that has begun must come to
//! its end soon, and an answer must be read. Without the first, a caller that sends a byte now and
//! then holds a connection for the whole idle timeout; without the second, one that never reads
//! holds it for good, in a stop too. Either shows as connections that stay open while no request
//! is in flight.

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

/// What a connection is about, for both of its ends: the socket and the handler.
#[derive(Debug, Default)]
pub(super) struct Activity {
    working: AtomicBool,
    stalled: AtomicBool,
    requests: AtomicU64,
}

/// A request is being worked on as long as this lives.
pub(super) struct RequestGuard<'a>(&'a Activity);

impl Activity {
    /// Notes that the head of a request has come to its end.
    pub(super) fn begin_request(&self) -> RequestGuard<'_> {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.working.store(true, Ordering::Relaxed);
        RequestGuard(self)
    }

    /// Tells whether a part of an answer waits to be written.
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
    }
}

/// The time that the present head may take.
struct Head {
    /// Number of requests before it.
    after: u64,
    timer: Pin<Box<Sleep>>,
}

/// A socket that gives up on a head that does not end and on an answer that is not read.
pub(super) struct Socket {
    stream: TcpStream,
    activity: Arc<Activity>,
    header_timeout: Duration,
    write_timeout: Duration,
    head: Option<Head>,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    /// Wraps the socket of an accepted connection.
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>, limits: &Limits) -> Self {
        // Answers are written whole; waiting for more to send would only delay them. A socket that
        // refuses the option is served all the same.
        let _refused = stream.set_nodelay(true);
        Self {
            stream,
            activity,
            header_timeout: limits.header_timeout(),
            write_timeout: limits.write_timeout(),
            head: None,
            stalled: None,
        }
    }

    /// Starts the time of a head with its first byte.
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

    /// Passes on the result of writing; where nothing was written for too long, an error.
    fn check_write<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<Result<T>>,
    ) -> Poll<Result<T>> {
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
        Poll::Ready(Err(timed_out("the answer was not read")))
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
                if buffer.filled().len() > before {
                    self.start_head_timer();
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
        self.check_write(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.check_write(context, result)
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
