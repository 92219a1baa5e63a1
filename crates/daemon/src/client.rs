//! Connections over which the daemon asks others: one TCP connection, HTTP/1.1, no pool.
//!
//! Whoever asks decides how long opening may take and what a failure means; this only opens.

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

/// Probes of an idle connection without an answer until it counts as ended, and the shortest time between two
/// that the system knows.
const KEEPALIVE_PROBES: f64 = 2.0;
const MIN_KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Why a connection could not be opened.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Nobody took it.
    #[snafu(display("connecting to {peer}: {source}"))]
    Connect {
        /// Who should have.
        peer: SocketAddr,
        /// What the operating system says.
        source: std::io::Error,
    },
    /// It was taken and ended.
    #[snafu(display("HTTP handshake with {peer}: {source}"))]
    Handshake {
        /// Who took it.
        peer: SocketAddr,
        /// What the library says.
        source: hyper::Error,
    },
}

/// Result of opening.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Sends requests over a connection.
pub type Sender<B> = http1::SendRequest<B>;

/// Moves the bytes of a connection, as long as it is polled.
pub type Driver<B> = http1::Connection<TokioIo<TcpStream>, B>;

/// Opens a connection.
///
/// # Errors
///
/// It could not be opened.
pub async fn open<B>(peer: SocketAddr) -> Result<(Sender<B>, Driver<B>)>
where
    B: Body<Data = Bytes, Error = Infallible> + 'static,
{
    handshake(connect(peer).await?, peer).await
}

/// Opens a connection that ends when what is sent over it is not acknowledged within a time, or when the other
/// end is gone while nothing is sent.
///
/// # Errors
///
/// It could not be opened.
pub async fn open_with_keepalive<B>(
    peer: SocketAddr,
    ack_timeout: Duration,
) -> Result<(Sender<B>, Driver<B>)>
where
    B: Body<Data = Bytes, Error = Infallible> + 'static,
{
    let stream = connect(peer).await?;
    let socket = socket2::SockRef::from(&stream);
    let set = socket.set_tcp_user_timeout(Some(ack_timeout));
    set.context(ConnectSnafu { peer })?;
    // The system asks the other end while nothing is sent; it counts whole seconds.
    let interval = ack_timeout
        .div_f64(KEEPALIVE_PROBES)
        .max(MIN_KEEPALIVE_INTERVAL);
    let keepalive = TcpKeepalive::new()
        .with_time(interval)
        .with_interval(interval)
        .with_retries(KEEPALIVE_PROBES as u32);
    let set = socket.set_tcp_keepalive(&keepalive);
    set.context(ConnectSnafu { peer })?;
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

/// Drives a connection in a task of its own, which ends with the handle.
pub fn drive<B>(driver: Driver<B>) -> AbortOnDropHandle<()>
where
    B: Body<Data = Bytes, Error = Infallible> + Send + 'static,
{
    AbortOnDropHandle::new(tokio::spawn(async move {
        // An error ends the connection, which the next request on it finds closed.
        let _ = driver.await;
    }))
}
