//! What a host that handed a search on may still do itself.

use super::{Connection, Error, Relay};
use crate::clock::Clock;
use bytes::Bytes;
use hyper::Request;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use test_case::test_case;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio_util::task::AbortOnDropHandle;

/// A stream that takes all that is written, and then fails.
struct Failing {
    error: ErrorKind,
    written: bool,
    reader: Option<Waker>,
}

impl AsyncRead for Failing {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        _: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.written {
            return Poll::Ready(Err(self.error.into()));
        }
        self.reader = Some(context.waker().clone());
        Poll::Pending
    }
}

impl AsyncWrite for Failing {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.written = true;
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Returns a connection to another host that takes a request and then fails.
async fn connection(error: ErrorKind) -> Connection {
    let stream = Failing {
        error,
        written: false,
        reader: None,
    };
    let result = http1::handshake(TokioIo::new(stream)).await;
    let (sender, driver) = result.expect("it takes all that is written");
    let driver = tokio::spawn(async move {
        let _ = driver.await;
    });
    // Until it is driven it is not ready.
    tokio::task::yield_now().await;
    Connection {
        sender,
        _driver: AbortOnDropHandle::new(driver),
    }
}

// Symptom: of each shard up to twice as many servers run a search as its route allows.
// Events:  a host hands a search on, and its connection times out: what it sent arrived, and the acknowledgement
//          was lost on a way that is cut one way; or the search was at work for seconds at a host that lost
//          power. The host fans the search out itself.
// Cause:   a connection that timed out was taken for a sign that nothing had arrived.
#[test_case(ErrorKind::TimedOut; "timed_out")]
#[test_case(ErrorKind::ConnectionReset; "reset")]
#[tokio::test]
async fn search_connection_fails_after_the_request_was_sent(error: ErrorKind) {
    let host = SocketAddr::from(([127, 0, 0, 1], 9));
    let relay = Relay::new(12, Clock::start(), Arc::new(Notify::new()));
    relay.set_strength(host, 50);
    relay.release(host, connection(error).await);
    let request = Request::get("/map/1").body(()).expect("it is proper");
    let ((head, ()), body) = (request.into_parts(), Bytes::new());
    let search = relay.search(&head, &body, 7, Duration::from_secs(5));
    let (_, answer) = search.await.expect("there is one to ask");
    let error = answer.expect_err("there is no answer");
    assert!(error.may_have_started(), "{error}");
}

// The other way about: where nothing was sent the search is still this host's.
#[tokio::test]
async fn search_connection_refused_may_run_on_this_host() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let host = listener.local_addr().expect("it is bound");
    drop(listener);
    let relay = Relay::new(12, Clock::start(), Arc::new(Notify::new()));
    relay.set_strength(host, 50);
    let request = Request::get("/map/1").body(()).expect("it is proper");
    let ((head, ()), body) = (request.into_parts(), Bytes::new());
    let search = relay.search(&head, &body, 7, Duration::from_secs(5));
    let (_, answer) = search.await.expect("there is one to ask");
    let error = answer.expect_err("nobody listens");
    assert!(matches!(error, Error::Connect { .. }), "{error}");
    assert!(!error.may_have_started());
}
