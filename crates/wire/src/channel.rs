//! Streams between daemons, sealed if keys are set.
//!
//! The handshake is Noise `NNpsk0` by the library `snow`: both ends prove that they hold the key
//! before any byte of a call is read, and all that follows is encrypted with keys of that
//! connection alone. The sealed stream is handed on as an ordinary stream (a pump task en- and
//! decrypts), so that the protocols above need not know of it.
//!
//! During a change of keys a daemon accepts two. The opener offers its current key; an acceptor takes
//! that also where it is only its further one. So every daemon has to accept a key before any offers it.

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

/// Pattern of the handshake: no static keys, both ends prove the pre-shared key at once.
const PATTERN: &str = "Noise_NNpsk0_25519_ChaChaPoly_BLAKE2s";

/// Largest Noise message, in bytes; the library fixes it.
const MAX_MESSAGE: usize = 65_535;

/// Bytes that the seal adds to a message.
const SEAL_BYTES: usize = 16;

/// Buffer between the pump and the protocol above, in bytes.
const PIPE_BYTES: usize = 256 * 1024;

/// Time that connecting and the handshake may take together.
///
/// A peer that accepts and then says nothing would otherwise hold the caller's query until its own
/// deadline; the query is better passed to another home.
pub const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a stream could not be opened.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The peer did not accept the connection.
    #[snafu(display("connecting to peer {peer}: {source}"))]
    Connect {
        /// The peer.
        peer: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The peer did not answer in time.
    #[snafu(display("opening a stream with peer {peer}: no answer within {OPEN_TIMEOUT:?}"))]
    Timeout {
        /// The peer.
        peer: SocketAddr,
    },
    /// The stream ended in the handshake.
    #[snafu(display("handshake with peer {peer}: {source}"))]
    Stream {
        /// The peer.
        peer: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// The peer closed the stream in the handshake.
    #[snafu(display("handshake with peer {peer}: closed"))]
    Closed {
        /// The peer.
        peer: SocketAddr,
    },
    /// The peer does not hold any of the keys.
    #[snafu(display("handshake with peer {peer}: {source}"))]
    Handshake {
        /// The peer.
        peer: SocketAddr,
        /// What the library said.
        source: snow::Error,
    },
    /// The peer holds none of the accepted keys.
    #[snafu(display("handshake with peer {peer}: it holds none of the accepted keys"))]
    UnknownKey {
        /// The peer.
        peer: SocketAddr,
    },
}

/// Result of opening a stream.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A stream of bytes between two daemons.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// One daemon's end of all streams to others.
#[derive(Clone, Debug)]
pub struct Endpoint {
    own: IpAddr,
    ring: Ring,
    meter: Meter,
}

impl Endpoint {
    /// Makes an end that opens streams from the address `own` and knows the keys of `ring`.
    ///
    /// Firewalls and peers see a daemon under one IP number in both directions; the unspecified
    /// address leaves the choice to the system.
    /// `meter` counts the bytes.
    pub fn new(own: IpAddr, ring: Ring, meter: Meter) -> Self {
        Self { own, ring, meter }
    }

    /// Opens a stream to a peer.
    ///
    /// # Errors
    ///
    /// Fails where the peer can't be reached, does not answer in time or does not hold the key.
    pub async fn connect(&self, peer: SocketAddr) -> Result<Box<dyn Stream>> {
        let opening = async {
            let stream = dial(peer, self.own).await.context(ConnectSnafu { peer })?;
            let stream = self.prepare(stream, peer)?;
            match &self.ring.current {
                None => Ok(Box::new(stream) as Box<dyn Stream>),
                Some(key) => initiate(stream, key, peer).await,
            }
        };
        let opened = timeout(OPEN_TIMEOUT, opening).await;
        opened.ok().context(TimeoutSnafu { peer })?
    }

    /// Takes a stream that a peer has opened.
    ///
    /// # Errors
    ///
    /// Fails where the peer does not finish the handshake in time or holds none of the keys.
    pub async fn accept(&self, stream: TcpStream, peer: SocketAddr) -> Result<Box<dyn Stream>> {
        let stream = self.prepare(stream, peer)?;
        if self.ring.current.is_none() {
            return Ok(Box::new(stream));
        }
        let taken = timeout(OPEN_TIMEOUT, respond(stream, &self.ring, peer)).await;
        taken.ok().context(TimeoutSnafu { peer })?
    }

    fn prepare(&self, stream: TcpStream, peer: SocketAddr) -> Result<Metered> {
        // Small calls would wait for the acknowledgement of the one before.
        stream.set_nodelay(true).context(StreamSnafu { peer })?;
        Ok(self.meter.measure(stream))
    }
}

async fn dial(peer: SocketAddr, own: IpAddr) -> std::io::Result<TcpStream> {
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if !own.is_unspecified() && own.is_ipv4() == peer.is_ipv4() {
        socket.bind(SocketAddr::new(own, 0))?;
    }
    socket.connect(peer).await
}

async fn initiate(stream: Metered, key: &Key, peer: SocketAddr) -> Result<Box<dyn Stream>> {
    let mut frames = framed(stream);
    let mut handshake = builder(key)
        .and_then(snow::Builder::build_initiator)
        .context(HandshakeSnafu { peer })?;
    let hello = write(&mut handshake, peer)?;
    frames.send(hello).await.context(StreamSnafu { peer })?;
    let answer = next(&mut frames, peer).await?;
    let mut payload = vec![0; MAX_MESSAGE];
    handshake
        .read_message(&answer, &mut payload)
        .context(HandshakeSnafu { peer })?;
    let state = handshake
        .into_transport_mode()
        .context(HandshakeSnafu { peer })?;
    Ok(Box::new(pump(frames, state)))
}

async fn respond(stream: Metered, ring: &Ring, peer: SocketAddr) -> Result<Box<dyn Stream>> {
    let mut frames = framed(stream);
    let hello = next(&mut frames, peer).await?;
    let mut handshake = ring
        .accepted()
        .find_map(|key| recognize(key, &hello))
        .context(UnknownKeySnafu { peer })?;
    let answer = write(&mut handshake, peer)?;
    frames.send(answer).await.context(StreamSnafu { peer })?;
    let state = handshake
        .into_transport_mode()
        .context(HandshakeSnafu { peer })?;
    Ok(Box::new(pump(frames, state)))
}

/// Returns the handshake that goes on from `hello`, if it was made with `key`.
fn recognize(key: &Key, hello: &[u8]) -> Option<snow::HandshakeState> {
    let mut handshake = builder(key).ok()?.build_responder().ok()?;
    let mut payload = vec![0; MAX_MESSAGE];
    handshake.read_message(hello, &mut payload).ok()?;
    Some(handshake)
}

fn builder(key: &Key) -> Result<snow::Builder<'_>, snow::Error> {
    Ok(snow::Builder::new(PATTERN.parse()?).psk(0, key.bytes()))
}

fn write(handshake: &mut snow::HandshakeState, peer: SocketAddr) -> Result<Bytes> {
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

async fn next(frames: &mut Frames, peer: SocketAddr) -> Result<Bytes> {
    let frame = frames.next().await.context(ClosedSnafu { peer })?;
    Ok(frame.context(StreamSnafu { peer })?.freeze())
}

/// Starts the task that en- and decrypts, and returns the plain end.
fn pump(frames: Frames, state: snow::TransportState) -> DuplexStream {
    let (plain, inner) = tokio::io::duplex(PIPE_BYTES);
    tokio::spawn(run(frames, state, inner));
    plain
}

/// Runs until either end closes or a message fails its check; both ends then see a closed stream.
async fn run(mut frames: Frames, mut state: snow::TransportState, inner: DuplexStream) {
    let (mut reader, mut writer) = tokio::io::split(inner);
    let mut outgoing = vec![0; MAX_MESSAGE - SEAL_BYTES];
    let mut sealed = vec![0; MAX_MESSAGE];
    let mut opened = vec![0; MAX_MESSAGE];
    loop {
        tokio::select! {
            read = reader.read(&mut outgoing) => {
                let Ok(length @ 1..) = read else { return };
                let Ok(size) = state.write_message(&outgoing[..length], &mut sealed) else { return };
                let frame = Bytes::copy_from_slice(&sealed[..size]);
                if frames.send(frame).await.is_err() { return }
            }
            frame = frames.next() => {
                let Some(Ok(frame)) = frame else { return };
                let Ok(size) = state.read_message(&frame, &mut opened) else { return };
                if writer.write_all(&opened[..size]).await.is_err() { return }
            }
        }
    }
}
