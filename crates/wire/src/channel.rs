//! Byte streams between daemons, encrypted and authenticated if a key is set.
//!
//! The handshake is Noise `NNpsk0`, implemented by `snow`: both ends prove that they hold the
//! pre-shared key before either reads a call, and the connection is then encrypted with session keys.
//! A task per connection encrypts and decrypts, so that the protocols above see an ordinary stream.
//!
//! Keys are rotated without downtime: the initiator uses its current key, and the responder accepts
//! its current and its previous key. Every daemon must accept a new key before any daemon uses it.

use crate::key::{Key, Ring};
use crate::meter::{Meter, Metered};
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Noise handshake: no static keys, and the pre-shared key is mixed in before the first message.
const PATTERN: &str = "Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s";

/// Largest Noise message, in bytes, as the protocol defines it.
const MAX_MESSAGE: usize = 65_535;

/// Length of the authentication tag of an encrypted message.
const TAG_BYTES: usize = 16;

/// Buffer between the encryption task and the protocol above, in bytes.
const PIPE_BYTES: usize = 256 * 1024;

/// Timeout of connecting and handshake together.
///
/// Without it, a peer that accepts the connection and then hangs would delay a query until the
/// query's deadline instead of letting it be forwarded to another home.
pub const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of opening or accepting a stream.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The TCP connection could not be established.
    #[snafu(display("connecting to peer {peer}: {source}"))]
    Connect {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Connecting and handshake took longer than [`OPEN_TIMEOUT`].
    #[snafu(display("opening a stream with peer {peer}: no answer within {OPEN_TIMEOUT:?}"))]
    Timeout {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The stream failed during the handshake.
    #[snafu(display("handshake with peer {peer}: {source}"))]
    Stream {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The peer closed the stream during the handshake.
    #[snafu(display("handshake with peer {peer}: connection closed"))]
    Closed {
        /// Address of the peer.
        peer: SocketAddr,
    },
    /// The handshake failed, as it does if the peer's response uses another key.
    #[snafu(display("handshake with peer {peer}: {source}"))]
    Handshake {
        /// Address of the peer.
        peer: SocketAddr,
        /// Error of the Noise library.
        source: snow::Error,
    },
    /// The initiator's first message matches none of the accepted keys.
    #[snafu(display("handshake with peer {peer}: the peer uses none of the accepted keys"))]
    UnknownKey {
        /// Address of the peer.
        peer: SocketAddr,
    },
}

/// Result of opening a stream.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Byte stream between two daemons.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// Opens and accepts a daemon's streams to its peers.
#[derive(Clone, Debug)]
pub struct Endpoint {
    local_ip: IpAddr,
    ring: Ring,
    meter: Meter,
}

impl Endpoint {
    /// Creates an endpoint that connects from `local_ip` with the keys of `ring`, counting bytes in
    /// `meter`.
    ///
    /// Binding to `local_ip` gives a daemon the same address in both directions, for firewalls and for
    /// its peers. The unspecified address leaves the choice to the operating system.
    pub fn new(local_ip: IpAddr, ring: Ring, meter: Meter) -> Self {
        Self {
            local_ip,
            ring,
            meter,
        }
    }

    /// Opens a stream to a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer can't be reached, does not answer within [`OPEN_TIMEOUT`] or does
    /// not accept the key.
    pub async fn connect(&self, peer: SocketAddr) -> Result<Box<dyn Stream>> {
        let connecting = async {
            let stream = dial(peer, self.local_ip)
                .await
                .context(ConnectSnafu { peer })?;
            let stream = self.prepare(stream, peer)?;
            match &self.ring.current {
                None => Ok(Box::new(stream) as Box<dyn Stream>),
                Some(key) => initiate(stream, key, peer).await,
            }
        };
        let result = timeout(OPEN_TIMEOUT, connecting).await;
        result.ok().context(TimeoutSnafu { peer })?
    }

    /// Accepts a stream that a peer has opened.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer does not complete the handshake within [`OPEN_TIMEOUT`] or uses
    /// none of the accepted keys.
    pub async fn accept(&self, stream: TcpStream, peer: SocketAddr) -> Result<Box<dyn Stream>> {
        let stream = self.prepare(stream, peer)?;
        if self.ring.current.is_none() {
            return Ok(Box::new(stream));
        }
        let result = timeout(OPEN_TIMEOUT, respond(stream, &self.ring, peer)).await;
        result.ok().context(TimeoutSnafu { peer })?
    }

    fn prepare(&self, stream: TcpStream, peer: SocketAddr) -> Result<Metered> {
        // Nagle's algorithm would delay small calls until the previous one is acknowledged.
        stream.set_nodelay(true).context(StreamSnafu { peer })?;
        Ok(self.meter.wrap(stream))
    }
}

async fn dial(peer: SocketAddr, local_ip: IpAddr) -> std::io::Result<TcpStream> {
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if !local_ip.is_unspecified() && local_ip.is_ipv4() == peer.is_ipv4() {
        socket.bind(SocketAddr::new(local_ip, 0))?;
    }
    socket.connect(peer).await
}

async fn initiate(stream: Metered, key: &Key, peer: SocketAddr) -> Result<Box<dyn Stream>> {
    let mut frames = framed(stream);
    let mut handshake = builder(key)
        .and_then(snow::Builder::build_initiator)
        .context(HandshakeSnafu { peer })?;
    let hello = handshake_message(&mut handshake, peer)?;
    frames.send(hello).await.context(StreamSnafu { peer })?;
    let response = next_frame(&mut frames, peer).await?;
    let mut payload = vec![0; MAX_MESSAGE];
    handshake
        .read_message(&response, &mut payload)
        .context(HandshakeSnafu { peer })?;
    let state = handshake
        .into_transport_mode()
        .context(HandshakeSnafu { peer })?;
    Ok(Box::new(spawn_cipher(frames, state)))
}

async fn respond(stream: Metered, ring: &Ring, peer: SocketAddr) -> Result<Box<dyn Stream>> {
    let mut frames = framed(stream);
    let hello = next_frame(&mut frames, peer).await?;
    let mut handshake = ring
        .accepted()
        .find_map(|key| read_hello(key, &hello))
        .context(UnknownKeySnafu { peer })?;
    let response = handshake_message(&mut handshake, peer)?;
    frames.send(response).await.context(StreamSnafu { peer })?;
    let state = handshake
        .into_transport_mode()
        .context(HandshakeSnafu { peer })?;
    Ok(Box::new(spawn_cipher(frames, state)))
}

/// Returns the responder's handshake state after `hello`, or `None` if `hello` uses another key.
fn read_hello(key: &Key, hello: &[u8]) -> Option<snow::HandshakeState> {
    let mut handshake = builder(key).ok()?.build_responder().ok()?;
    let mut payload = vec![0; MAX_MESSAGE];
    handshake.read_message(hello, &mut payload).ok()?;
    Some(handshake)
}

fn builder(key: &Key) -> Result<snow::Builder<'_>, snow::Error> {
    Ok(snow::Builder::new(PATTERN.parse()?).psk(0, key.bytes()))
}

fn handshake_message(handshake: &mut snow::HandshakeState, peer: SocketAddr) -> Result<Bytes> {
    let mut message = vec![0; MAX_MESSAGE];
    let length = handshake
        .write_message(&[], &mut message)
        .context(HandshakeSnafu { peer })?;
    message.truncate(length);
    Ok(message.into())
}

type Frames = Framed<Metered, LengthDelimitedCodec>;

fn framed(stream: Metered) -> Frames {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_MESSAGE)
        .new_framed(stream)
}

async fn next_frame(frames: &mut Frames, peer: SocketAddr) -> Result<Bytes> {
    let frame = frames.next().await.context(ClosedSnafu { peer })?;
    Ok(frame.context(StreamSnafu { peer })?.freeze())
}

/// Spawns the task that encrypts and decrypts, and returns the unencrypted stream.
fn spawn_cipher(frames: Frames, state: snow::TransportState) -> DuplexStream {
    let (plain, inner) = tokio::io::duplex(PIPE_BYTES);
    tokio::spawn(run_cipher(frames, state, inner));
    plain
}

/// Encrypts and decrypts until either end closes or a message fails authentication. Both ends then see
/// a closed stream.
async fn run_cipher(mut frames: Frames, mut state: snow::TransportState, inner: DuplexStream) {
    let (mut reader, mut writer) = tokio::io::split(inner);
    let mut outgoing = vec![0; MAX_MESSAGE - TAG_BYTES];
    let mut encrypted = vec![0; MAX_MESSAGE];
    let mut decrypted = vec![0; MAX_MESSAGE];
    loop {
        tokio::select! {
            read = reader.read(&mut outgoing) => {
                let Ok(length @ 1..) = read else { return };
                let Ok(size) = state.write_message(&outgoing[..length], &mut encrypted) else { return };
                let frame = Bytes::copy_from_slice(&encrypted[..size]);
                if frames.send(frame).await.is_err() { return }
            }
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { return };
                let Ok(size) = state.read_message(&frame, &mut decrypted) else { return };
                if writer.write_all(&decrypted[..size]).await.is_err() { return }
            }
        }
    }
}
