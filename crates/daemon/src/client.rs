//! Opens single HTTP/1.1 client connections, without a pool.
//!
//! Timeouts for opening, and the handling of failures, are up to the caller.

use bytes::Bytes;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::TcpKeepalive;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// Unanswered TCP keepalive probes after which an idle connection is closed.
const KEEPALIVE_PROBES: f64 = 2.0;
const MIN_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

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

/// Sends requests over a connection.
pub type Sender<B> = http1::SendRequest<B>;

/// Performs the I/O of a connection while it is polled.
pub type Driver<B> = http1::Connection<TokioIo<TcpStream>, B>;

/// Opens a connection.
///
/// # Errors
///
/// Fails if the peer does not accept the connection or the handshake fails.
pub async fn open<B>(peer: SocketAddr) -> Result<(Sender<B>, Driver<B>)>
where
    B: Body<Data = Bytes, Error = Infallible> + 'static,
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
    B: Body<Data = Bytes, Error = Infallible> + 'static,
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
    B: Body<Data = Bytes, Error = Infallible> + 'static,
{
    stream.set_nodelay(true).context(ConnectSnafu { peer })?;
    let opened = http1::handshake(TokioIo::new(stream)).await;
    opened.context(HandshakeSnafu { peer })
}

/// Drives a connection in a task, which is aborted when the handle is dropped.
pub fn drive<B>(driver: Driver<B>) -> AbortOnDropHandle<()>
where
    B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    AbortOnDropHandle::new(tokio::spawn(async move {
        // An error closes the connection; the next request on it finds it closed.
        let _ = driver.await;
    }))
}
