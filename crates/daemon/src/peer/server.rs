//! Serves the calls of other daemons.

use crate::control;
use crate::node::Node;
use crate::server::{Clients, Ticket};
use futures::StreamExt;
use monsoonring_configuration::section::transfer::{Base, parts};
use monsoonring_decision::client::{Budget, Connections};
use monsoonring_decision::configuration::Version;
use monsoonring_decision::fact;
use monsoonring_decision::idempotency::lookup::{Finding, Lookup};
use monsoonring_decision::idempotency::{Handover, Key, Receipt, Refusal};
use monsoonring_decision::member::{BucketRange, MemberId, Message, Page};
use monsoonring_decision::outcome::Outcome;
use monsoonring_wire::channel::Endpoint;
use monsoonring_wire::message::{Rejection, Request, Sections, Send, SendReply};
use monsoonring_wire::peer::{self as wire, DEADLINE_GRACE, Peer};
use slog::warn;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tarpc::context::Context;
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept. `accept` fails if the process is out of file descriptors; retrying
/// at once would only use up processor time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Timeout of a probe on behalf of another member.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Serves peers until the process exits.
///
/// Opening a connection needs no key, so without a limit anyone who can reach the port could use up
/// the file descriptors that callers and backend servers need. A connection above the limit replaces
/// the one that has not finished its handshake for longest; it is closed if all others have. A
/// handshake may take a second.
pub(crate) async fn serve(
    node: Arc<Node>,
    listener: TcpListener,
    endpoint: Endpoint,
    max_connections: usize,
) {
    let connections = Connections {
        served: max_connections,
        excess: 0,
    };
    let clients = Clients::new(Budget::of(None));
    let id = clients.listen(connections);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let Some(ticket) = clients.open(id) else {
                    continue;
                };
                let is_replacement = ticket.is_replacement();
                let (node, endpoint) = (node.clone(), endpoint.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = serve_connection(node, stream, peer, endpoint, &ticket) => {}
                        _ = ticket.shed() => {}
                    }
                });
                if is_replacement {
                    // The connection that is replaced closes before the next one is accepted.
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                warn!(node.log(), "peer"; "what" => "accept", "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    node: Arc<Node>,
    stream: TcpStream,
    peer: SocketAddr,
    endpoint: Endpoint,
    ticket: &Ticket,
) {
    let stream = match endpoint.accept(stream, peer).await {
        Ok(stream) => stream,
        Err(error) => {
            warn!(node.log(), "peer"; "what" => "refused", "error" => %error);
            return;
        }
    };
    ticket.work();
    let open = node.open_connections();
    open.inc();
    let spawn = async |call| drop(tokio::spawn(call));
    wire::call_handlers(stream, Server(node).serve())
        .for_each(spawn)
        .await;
    open.dec();
}

/// Answers the calls of one peer.
#[derive(Clone)]
struct Server(Arc<Node>);

impl Server {
    fn control(&self) -> &control::Handle {
        self.0.control()
    }
}

impl Peer for Server {
    async fn probe(self, _: Context, message: Message) -> Option<Message> {
        self.control().probed(message).await
    }

    async fn probe_for(self, _: Context, target: MemberId) -> Option<Message> {
        let message = self.control().message(target).await?;
        self.0.probe(target, message, PROBE_TIMEOUT).await
    }

    async fn page(self, _: Context, range: BucketRange) -> Option<Page> {
        self.control().page(range).await
    }

    async fn sections(self, _: Context, min_version: Version, base: Base) -> Option<Sections> {
        let (version, sections) = self.control().sections(min_version).await?;
        let parts = parts(&sections, &base);
        Some(Sections { version, parts })
    }

    async fn search(self, context: Context, request: Request) -> Result<Outcome, Rejection> {
        let _in_flight = self.0.track_forwarded();
        let call = self
            .0
            .call(request, deadline(&context))
            .ok_or(Rejection::NotHome)?;
        self.0.search_forwarded(call).await
    }

    async fn mint(self, context: Context, request: Request) -> Result<Key, Rejection> {
        let call = self
            .0
            .call(request, deadline(&context))
            .ok_or(Rejection::NotHome)?;
        self.0.mint_here(&call).map_err(Rejection::Ledger)
    }

    async fn send(self, context: Context, send: Send) -> SendReply {
        let _in_flight = self.0.track_forwarded();
        match self.0.call(send.request, deadline(&context)) {
            Some(call) => self.0.send(call, send.key, send.send, true).await,
            None => SendReply::Refused(Refusal::Gone),
        }
    }

    async fn run(
        self,
        context: Context,
        request: Request,
        key: String,
    ) -> Result<Outcome, Rejection> {
        let _in_flight = self.0.track_forwarded();
        let call = self
            .0
            .call(request, deadline(&context))
            .ok_or(Rejection::NotHome)?;
        self.0.run_forwarded(call, key).await
    }

    async fn ask(self, _: Context, lookup: Lookup) -> Finding {
        self.0.answer(&lookup)
    }

    async fn hear(self, _: Context, entry: fact::Entry, from: MemberId) {
        self.control().send(control::Input::RemoteFact(entry, from));
    }

    async fn take_over(self, _: Context, handover: Handover) -> Option<Receipt> {
        self.0.take_over(handover)
    }
}

/// Returns the deadline of the request in a call, which is `DEADLINE_GRACE` before that of the call.
fn deadline(context: &Context) -> Instant {
    context
        .deadline
        .checked_sub(DEADLINE_GRACE)
        .unwrap_or(context.deadline)
}
