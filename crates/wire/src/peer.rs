//! The calls that daemons make to each other.

use crate::channel::{Endpoint, Result as Opened, Stream};
use crate::codec::{Codec, MAX_FRAME, Tolerant};
use crate::message::{Rejection, Request, Sections, Send, SendReply};
use monsoonring_configuration::section::transfer::Base;
use monsoonring_decision::configuration::Version;
use monsoonring_decision::fact;
use monsoonring_decision::idempotency::lookup::{Finding, Lookup};
use monsoonring_decision::idempotency::{Handover, Key, Receipt};
use monsoonring_decision::member::{BucketRange, MemberId, Message, Page};
use monsoonring_decision::outcome::Outcome;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tarpc::server::{BaseChannel, Channel, Serve};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::{Framed, LengthDelimitedCodec};
use tarpc::{ClientMessage, Response};

/// Most calls of one peer that are worked on at the same time; a client makes no more than half of it.
const MAX_CALLS: usize = 2_000;

/// Time for which a call outlives the deadline of the request that it carries, so that the final
/// answer "the deadline has passed" still arrives in place of a call that was cut off.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// What a daemon does for another.
///
/// Two versions run beside each other during a roll-out. So methods are only ever added, at the end,
/// and a message never changes: what has to say more is a new message in a new method. A golden file of
/// the bytes of each shows a change that was not meant.
#[tarpc::service]
pub trait Peer {
    /// Answers a probe, which carries what the sender passes on; `None` from a daemon that starts.
    async fn probe(message: Message) -> Option<Message>;

    /// Probes a third member for the sender; `None` where it did not answer.
    async fn probe_for(target: MemberId) -> Option<Message>;

    /// Returns a page of the member table.
    async fn page(span: BucketRange) -> Option<Page>;

    /// Returns the document in force as it differs from the base, `None` where it is lesser than
    /// `least`.
    async fn sections(least: Version, base: Base) -> Option<Sections>;

    /// Runs a search at this home.
    async fn search(request: Request) -> Result<Outcome, Rejection>;

    /// Issues a key at this home.
    async fn mint(request: Request) -> Result<Key, Rejection>;

    /// Takes a send to the incarnation that its key names.
    async fn send(send: Send) -> SendReply;

    /// Runs a non-idempotent request at this home, for the incarnation that holds its key's permit.
    async fn run(request: Request, key: String) -> Result<Outcome, Rejection>;

    /// Tells what this daemon's ledger knows.
    async fn ask(question: Lookup) -> Finding;

    /// Takes the ledger of a daemon that stops.
    async fn take_over(handover: Handover) -> Option<Receipt>;

    /// Takes a fact that another home of a route has just found, ahead of its way with the probes.
    async fn hear(entry: fact::Entry, from: MemberId);
}

/// How the opener of a connection writes calls and reads answers.
pub type ClientCodec = Bincode<Response<PeerResponse>, ClientMessage<PeerRequest>>;

/// How the acceptor of a connection reads calls and writes answers.
pub type ServerCodec = Codec<PeerRequest, Response<PeerResponse>>;

/// A client, and whether it can still be used.
#[derive(Clone, Debug)]
pub struct Connection {
    client: PeerClient,
    ended: Arc<AtomicBool>,
}

impl Connection {
    /// Returns the client.
    pub fn client(&self) -> &PeerClient {
        &self.client
    }

    /// Tells whether the stream has ended. Every call on it would fail.
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

/// Opens a connection to a peer.
///
/// # Errors
///
/// Fails where no stream to the peer can be opened.
pub async fn connect(peer: SocketAddr, endpoint: &Endpoint) -> Opened<Connection> {
    let stream = endpoint.connect(peer).await?;
    let calls = tarpc::serde_transport::new(framed(stream), ClientCodec::default());
    let new = PeerClient::new(tarpc::client::Config::default(), calls);
    let ended = Arc::new(AtomicBool::new(false));
    let (dispatch, flag) = (new.dispatch, ended.clone());
    tokio::spawn(async move {
        // Whoever calls is told of the error too, and says so with more context.
        let _error = dispatch.await;
        flag.store(true, Ordering::Relaxed);
    });
    let client = new.client;
    Ok(Connection { client, ended })
}

/// Returns the answering of each call that comes on a stream, until the stream ends.
///
/// `server` is what [`Peer::serve`] makes. Each answering runs on its own and has to be spawned.
pub fn call_handlers<S>(
    stream: Box<dyn Stream>,
    server: S,
) -> impl futures::Stream<Item = impl Future<Output = ()>>
where
    S: Serve<Req = PeerRequest, Resp = PeerResponse> + Clone,
{
    let calls = tarpc::serde_transport::new(framed(stream), ServerCodec::default());
    BaseChannel::with_defaults(calls)
        .max_concurrent_requests(MAX_CALLS)
        .execute(Tolerant(server))
}

/// Cuts a stream into messages.
pub fn framed(stream: Box<dyn Stream>) -> Framed<Box<dyn Stream>, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream)
}
