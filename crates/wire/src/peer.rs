//! The calls that daemons make to each other.

use crate::channel::{Endpoint, Result as Opened, Stream};
use crate::message::{Declined, Request, Sections, Send, Sent};
use monsoonring_configuration::section::transfer::Base;
use monsoonring_decision::configuration::Version;
use monsoonring_decision::idempotency::lookup::{Answer, Question};
use monsoonring_decision::idempotency::{Handover, Key, Receipt};
use monsoonring_decision::member::{MemberId, Message, Page, Span};
use monsoonring_decision::outcome::Outcome;
use std::net::SocketAddr;
use std::time::Duration;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::task::JoinHandle;

/// Largest call or answer between daemons, in bytes. An answer over 160 backend servers has to fit.
const MAX_FRAME: usize = 64 * 1024 * 1024;

/// Time for which a call outlives the deadline of the request that it carries, so that the final
/// answer "the deadline has passed" still arrives in place of a call that was cut off.
pub const GRACE: Duration = Duration::from_millis(100);

/// What a daemon does for another.
#[tarpc::service]
pub trait Peer {
    /// Answers a probe, which carries what the sender passes on; `None` from a daemon that starts.
    async fn probe(message: Message) -> Option<Message>;

    /// Probes a third member for the sender; `None` where it did not answer.
    async fn probe_for(target: MemberId) -> Option<Message>;

    /// Returns a page of the member table.
    async fn page(span: Span) -> Option<Page>;

    /// Returns the document in force as it differs from the base, `None` where it is lesser than
    /// `least`.
    async fn sections(least: Version, base: Base) -> Option<Sections>;

    /// Runs a search at this home.
    async fn search(request: Request) -> Result<Outcome, Declined>;

    /// Issues a key at this home.
    async fn mint(request: Request) -> Result<Key, Declined>;

    /// Takes a send to the incarnation that its key names.
    async fn send(send: Send) -> Sent;

    /// Runs a non-idempotent request at this home, for the incarnation that holds its key's permit.
    async fn run(request: Request, key: String) -> Result<Outcome, Declined>;

    /// Tells what this daemon's ledger knows.
    async fn ask(question: Question) -> Answer;

    /// Takes the ledger of a daemon that stops.
    async fn take_over(handover: Handover) -> Option<Receipt>;
}

/// The transport that calls go over.
pub type Calls<Item, SinkItem> =
    Transport<Box<dyn Stream>, Item, SinkItem, Bincode<Item, SinkItem>>;

/// A client, and the task that carries its calls for as long as its stream is open.
#[derive(Debug)]
pub struct Connection {
    /// Makes the calls.
    pub client: PeerClient,
    dispatch: JoinHandle<()>,
}

impl Connection {
    /// Tells whether the stream has ended, so that every call would fail.
    pub fn is_closed(&self) -> bool {
        self.dispatch.is_finished()
    }
}

/// Opens a connection to a peer.
///
/// # Errors
///
/// Fails where no stream to the peer can be opened.
pub async fn connect(peer: SocketAddr, endpoint: &Endpoint) -> Opened<Connection> {
    let stream = endpoint.connect(peer).await?;
    let calls = transport(stream);
    let opened = PeerClient::new(tarpc::client::Config::default(), calls);
    let dispatch = tokio::spawn(async move {
        // An error ends the connection as its end does; each call on it hears of it.
        let _ = opened.dispatch.await;
    });
    let client = opened.client;
    Ok(Connection { client, dispatch })
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
