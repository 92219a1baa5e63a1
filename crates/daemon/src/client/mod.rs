//! Opens single HTTP/1.1 client connections, without a pool.
//!
//! Timeouts for opening, and the handling of failures, are up to the caller.

mod framing;
#[cfg(test)]
mod tests;

pub use framing::Body;
pub(crate) use framing::Meter;

use bytes::Bytes;
use hyper::client::conn::{TrySendError, http1};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::TcpKeepalive;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Unanswered TCP keepalive probes after which an idle connection is closed.
const KEEPALIVE_PROBES: f64 = 2.0;
const MIN_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Statuses of final responses.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Failure to open a connection.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The TCP connection failed.
    #[snafu(display("connecting to {peer}: {source}"))]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The peer accepted the connection, but the HTTP handshake failed.
    #[snafu(display("HTTP handshake with {peer}: {source}"))]
    Handshake {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
}

/// Result of opening a connection.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Performs the I/O of a connection over a stream while it is polled.
pub type Connection<T, B> = http1::Connection<TokioIo<framing::Stream<T>>, B>;

/// Performs the I/O of a TCP connection while it is polled.
pub type Driver<B> = Connection<TcpStream, B>;

/// Sends requests over a connection, which closes if a response exceeds a limit beside its body.
#[derive(Debug)]
pub struct Sender<B> {
    requests: http1::SendRequest<B>,
    meter: Arc<framing::Meter>,
}

impl<B: hyper::body::Body + 'static> Sender<B> {
    /// Waits until the connection can take a request.
    ///
    /// # Errors
    ///
    /// Fails if the connection has closed.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.requests.ready().await
    }

    /// Returns whether the connection can take a request.
    pub fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    /// Returns whether the connection has closed.
    pub fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes first. The error contains the request if none of it was written.
    pub async fn try_send_request(
        &mut self,
        mut request: Request<B>,
    ) -> std::result::Result<Response<Body>, TrySendError<Request<B>>> {
        let meter = self.meter.clone();
        hyper::ext::on_informational(&mut request, move |_| meter.record_interim_response());
        self.meter.reset();
        let response = self.requests.try_send_request(request).await?;
        Ok(response.map(|body| Body::new(body, self.meter.clone())))
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection closes first.
    pub async fn send_request(&mut self, request: Request<B>) -> hyper::Result<Response<Body>> {
        let response = self.try_send_request(request).await;
        response.map_err(TrySendError::into_error)
    }

    /// Returns whether the last response exceeded a limit beside its body.
    pub fn is_limit_exceeded(&self) -> bool {
        self.meter.is_exceeded()
    }
}

/// Returns whether a status is that of a final response. hyper also accepts higher numbers, which HTTP does not define
/// (RFC 9110, section 15), and `101`, which no request here asks for.
pub fn is_final(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

/// Opens a connection.
///
/// # Errors
///
/// Fails if the peer does not accept the connection or the handshake fails.
pub async fn open<B>(peer: SocketAddr) -> Result<(Sender<B>, Driver<B>)>
where
    B: hyper::body::Body<Data = Bytes, Error = Infallible> + 'static,
{
    handshake(connect(peer).await?, peer).await
}

/// Opens a connection that closes if data is not acknowledged within `ack_timeout`, or if the peer
/// does not answer keepalive probes while the connection is idle.
///
/// # Errors
///
/// Fails if the peer does not accept the connection, an option can't be set, or the handshake
/// fails.
pub async fn open_with_keepalive<B>(
    peer: SocketAddr,
    ack_timeout: Duration,
) -> Result<(Sender<B>, Driver<B>)>
where
    B: hyper::body::Body<Data = Bytes, Error = Infallible> + 'static,
{
    let stream = connect(peer).await?;
    let socket = socket2::SockRef::from(&stream);
    let result = socket.set_tcp_user_timeout(Some(ack_timeout));
    result.context(ConnectSnafu { peer })?;
    // Keepalive intervals are in whole seconds, at least one.
    let interval = ack_timeout
        .div_f64(KEEPALIVE_PROBES)
        .max(MIN_KEEPALIVE_INTERVAL);
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES as u32);
    let result = socket.set_tcp_keepalive(&keepalive);
    result.context(ConnectSnafu { peer })?;
    handshake(stream, peer).await
}

async fn connect(peer: SocketAddr) -> Result<TcpStream> {
    TcpStream::connect(peer)
        .await
        .context(ConnectSnafu { peer })
}

async fn handshake<B>(stream: TcpStream, peer: SocketAddr) -> Result<(Sender<B>, Driver<B>)>
where
    B: hyper::body::Body<Data = Bytes, Error = Infallible> + 'static,
{
    stream.set_nodelay(true).context(ConnectSnafu { peer })?;
    let opened = handshake_over(stream).await;
    opened.context(HandshakeSnafu { peer })
}

/// Opens a connection over a stream.
///
/// # Errors
///
/// Fails if the handshake fails.
pub(crate) async fn handshake_over<T, B>(stream: T) -> hyper::Result<(Sender<B>, Connection<T, B>)>
where
    T: AsyncRead + AsyncWrite + Unpin,
    B: hyper::body::Body<Data = Bytes, Error = Infallible> + 'static,
{
    let meter = Arc::new(framing::Meter::default());
    let stream = framing::Stream::new(stream, meter.clone());
    let (requests, connection) = http1::Builder::new()
        .max_buf_size(framing::MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    Ok((Sender { requests, meter }, connection))
}

/// Drives a connection in a task, which is aborted when the handle is dropped.
pub fn drive<B>(driver: Driver<B>) -> AbortOnDropHandle<()>
where
    B: hyper::body::Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    AbortOnDropHandle::new(tokio::spawn(async move {
        // An error closes the connection; the next request on it finds it closed.
        let _ = driver.await;
    }))
}
