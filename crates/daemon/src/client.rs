//! Connections over which the daemon asks others: one TCP connection, HTTP/1.1, no pool.
//!
//! Whoever asks decides how long opening may take and what a failure means; this only opens.

use bytes::Bytes;
use hyper::body::Body;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use std::convert::Infallible;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

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
    let stream = TcpStream::connect(peer).await;
    let stream = stream.context(ConnectSnafu { peer })?;
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
