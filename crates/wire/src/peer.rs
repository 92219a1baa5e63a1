//! The calls that daemons make to each other.

use crate::channel::{self, Stream};
use crate::key::Ring;
use crate::message::Request;
use monsoonring_decision::outcome::Outcome;
use std::net::SocketAddr;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;

/// Largest call or answer between daemons, in bytes. An answer over 160 backend servers has to fit.
const MAX_FRAME: usize = 64 * 1024 * 1024;

/// What a daemon does for another.
#[tarpc::service]
pub trait Peer {
    /// Runs a search at this home; `None` where this daemon does not serve the route.
    async fn search(request: Request) -> Option<Outcome>;
}

/// The transport that calls go over.
pub type Calls<Item, SinkItem> =
    Transport<Box<dyn Stream>, Item, SinkItem, Bincode<Item, SinkItem>>;

/// Opens a client to a peer.
///
/// # Errors
///
/// Fails where no stream to the peer can be opened.
pub async fn connect(peer: SocketAddr, ring: &Ring) -> channel::Result<PeerClient> {
    let stream = channel::connect(peer, ring).await?;
    let calls = transport(stream);
    Ok(PeerClient::new(tarpc::client::Config::default(), calls).spawn())
}

/// Makes the transport for one stream.
pub fn transport<Item, SinkItem>(stream: Box<dyn Stream>) -> Calls<Item, SinkItem>
where
    Item: for<'de> serde::Deserialize<'de>,
    SinkItem: serde::Serialize,
{
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream);
    tarpc::serde_transport::new(codec, Bincode::default())
}
