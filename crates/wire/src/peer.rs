//! RPC service that daemons offer each other, with its client and server.

use crate::channel::{Endpoint, Result as ChannelResult, Stream};
use crate::codec::{Codec, MAX_FRAME, RejectUnknown};
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

/// Limit of concurrent calls on one connection. A client's own limit is half of it.
const MAX_CONCURRENT_CALLS: usize = 2_000;

/// Time by which a call outlives the deadline of the request that it carries. It leaves time for the
/// response that reports the missed deadline.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(100);

/// Calls that a daemon serves for its peers.
///
/// Two versions run side by side during a rolling upgrade. Methods are therefore only added, at the
/// end, and messages never change: an extension is a new message in a new method. A snapshot test of
/// the encoded messages guards against unintended changes.
#[tarpc::service]
pub trait Peer {
    /// Answers a probe and exchanges gossip; returns `None` while the daemon is starting.
    async fn probe(message: Message) -> Option<Message>;

    /// Probes another member for the sender; returns `None` if that member did not answer.
    async fn probe_for(target: MemberId) -> Option<Message>;

    /// Returns the first page of the member table for the buckets of `span`.
    async fn page(span: BucketRange) -> Option<Page>;

    /// Returns the current configuration relative to `base`, or `None` if it is older than `least`.
    async fn sections(least: Version, base: Base) -> Option<Sections>;

    /// Runs a search at this home.
    async fn search(request: Request) -> Result<Outcome, Rejection>;

    /// Issues an idempotency key at this home.
    async fn mint(request: Request) -> Result<Key, Rejection>;

    /// Forwards a non-idempotent request to the incarnation that its key names.
    async fn send(send: Send) -> SendReply;

    /// Runs a non-idempotent request at this home, on behalf of the incarnation that holds the permit
    /// of its key.
    async fn run(request: Request, key: String) -> Result<Outcome, Rejection>;

    /// Looks up a key in this daemon's idempotency ledger.
    async fn ask(question: Lookup) -> Finding;

    /// Takes over the idempotency ledger of a daemon that is shutting down.
    async fn take_over(handover: Handover) -> Option<Receipt>;

    /// Receives a fact that another home of a route has just recorded, before gossip delivers it.
    async fn hear(entry: fact::Entry, from: MemberId);
}

/// Codec of the client: encodes calls and decodes responses.
pub type ClientCodec = Bincode<Response<PeerResponse>, ClientMessage<PeerRequest>>;

/// Codec of the server: decodes calls and encodes responses.
pub type ServerCodec = Codec<PeerRequest, Response<PeerResponse>>;

/// Client of a peer and the state of its connection.
#[derive(Clone, Debug)]
pub struct Connection {
    client: PeerClient,
    closed: Arc<AtomicBool>,
}

impl Connection {
    /// Returns the client for calls on this connection.
    pub fn client(&self) -> &PeerClient {
        &self.client
    }

    /// Returns whether the connection has closed, so that every further call fails.
    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }
}

/// Opens a connection to a peer.
///
/// # Errors
///
/// Returns an error if no stream to the peer can be opened.
pub async fn connect(peer: SocketAddr, endpoint: &Endpoint) -> ChannelResult<Connection> {
    let stream = endpoint.connect(peer).await?;
    let transport = tarpc::serde_transport::new(framed(stream), ClientCodec::default());
    let new = PeerClient::new(tarpc::client::Config::default(), transport);
    let closed = Arc::new(AtomicBool::new(false));
    let (dispatch, flag) = (new.dispatch, closed.clone());
    tokio::spawn(async move {
        // The calls in flight return the error too and are reported with more context.
        let _error = dispatch.await;
        flag.store(true, Ordering::Relaxed);
    });
    let client = new.client;
    Ok(Connection { client, closed })
}

/// Returns a stream of handlers, one for each call that arrives on `stream`.
///
/// `server` is the result of [`Peer::serve`]. The caller spawns each handler, so that calls run
/// concurrently.
pub fn call_handlers<S>(
    stream: Box<dyn Stream>,
    server: S,
) -> impl futures::Stream<Item = impl Future<Output = ()>>
where
    S: Serve<Req = PeerRequest, Resp = PeerResponse> + Clone,
{
    let transport = tarpc::serde_transport::new(framed(stream), ServerCodec::default());
    BaseChannel::with_defaults(transport)
        .max_concurrent_requests(MAX_CONCURRENT_CALLS)
        .execute(RejectUnknown(server))
}

/// Splits a stream into length-prefixed messages of at most [`MAX_FRAME`] bytes.
pub fn framed(stream: Box<dyn Stream>) -> Framed<Box<dyn Stream>, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream)
}
