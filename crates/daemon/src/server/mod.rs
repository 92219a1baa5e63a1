//! An HTTP/1.1 server with limits on everything that the client controls.
//!
//! hyper reads and writes the messages. This module adds a limit on connections, the timeouts of
//! [`socket::Socket`], the stages of a stop, and [`Clients`], which bounds what all clients of a
//! process hold together. Each connection is one task that also handles its requests, so a
//! connection that closes drops the request in flight.

mod clients;
pub(crate) mod connection;
pub(crate) mod socket;
pub(crate) mod stop;

pub(crate) use clients::{Clients, Intake, Ticket};

use crate::metrics::label::Side;
use crate::metrics::{Metrics, label};
use crate::settings::Limits;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use monsoonring_decision::client::{Connections, ListenerId, Shed};
use prometheus_client::metrics::gauge::Gauge;
use slog::{Logger, warn};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use stop::{Stage, Watch};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Whether a connection is within the limit on connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitStatus {
    /// Within the limit.
    Within,
    /// Above the limit; its requests are refused.
    Exceeded,
}

/// Handles the requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request. The future is dropped if the client disconnects.
    fn handle(
        &self,
        request: Request<Incoming>,
        limit_status: LimitStatus,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;

    /// Called when a connection is above the limit.
    fn limit_exceeded(&self) {}

    /// Called when a stop cuts off a response before all of it was written.
    fn response_cut(&self) {}
}

/// Configuration of a server.
pub(crate) struct Server<H> {
    /// Handles the requests.
    pub(crate) handler: H,
    /// Limits and timeouts for clients.
    pub(crate) limits: Limits,
    /// Limits on connections.
    pub(crate) connections: Connections,
    /// What all clients of the process hold.
    pub(crate) clients: Arc<Clients>,
    /// Stage of the stop.
    pub(crate) stop: Watch,
    /// Who connects.
    pub(crate) side: Side,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) log: Logger,
}

struct Shared<H> {
    server: Server<H>,
    listener: ListenerId,
    open: Gauge,
    tasks: TaskTracker,
}

impl<H: Handler> Server<H> {
    /// Serves until the stop ends. The returned tracker completes when all connections are closed.
    pub(crate) fn start(self, listener: TcpListener) -> TaskTracker {
        let tasks = TaskTracker::new();
        let shared = Arc::new(Shared {
            listener: self.clients.listen(self.connections),
            open: self.metrics.open_connections(self.side),
            server: self,
            tasks: tasks.clone(),
        });
        tasks.spawn(accept(listener, shared));
        tasks
    }

    fn record_shed(&self, reason: Shed) {
        let label = label::Shed::new(self.side, reason);
        self.metrics.shed_connections.get_or_create(&label).inc();
    }
}

async fn accept<H: Handler>(listener: TcpListener, shared: Arc<Shared<H>>) {
    let mut stop = shared.server.stop.clone();
    let mut draining = pin!(stop.reached(Stage::Draining));
    loop {
        tokio::select! {
            biased;
            () = &mut draining => break,
            accepted = listener.accept() => handle_accept(accepted, &shared).await,
        }
    }
    // Closing the listener resets connections that the kernel has already accepted, so these are
    // served first.
    while let Some(accepted) = futures::FutureExt::now_or_never(listener.accept()) {
        if accepted.is_err() {
            break;
        }
        handle_accept(accepted, &shared).await;
    }
    shared.tasks.close();
}

async fn handle_accept<H: Handler>(
    accepted: std::io::Result<(TcpStream, SocketAddr)>,
    shared: &Arc<Shared<H>>,
) {
    match accepted {
        Ok((stream, peer)) => admit(stream, peer, shared).await,
        Err(error) => {
            // `accept` keeps failing while file descriptors are exhausted; without the pause this
            // loop would spin and fill the log.
            warn!(shared.server.log, "accepting failed"; "error" => %error);
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

async fn admit<H: Handler>(stream: TcpStream, peer: SocketAddr, shared: &Arc<Shared<H>>) {
    let server = &shared.server;
    let Some(ticket) = server.clients.open(shared.listener) else {
        return server.handler.limit_exceeded();
    };
    if ticket.is_excess() {
        server.handler.limit_exceeded();
    }
    let is_replacement = ticket.is_replacement();
    let connection = Connection {
        shared: shared.clone(),
        ticket: Arc::new(ticket),
        peer,
    };
    shared.open.inc();
    shared.tasks.spawn(async move {
        connection::serve(stream, &connection).await;
        connection.shared.open.dec();
    });
    if is_replacement {
        // The connection that is replaced closes before the next one is accepted.
        tokio::task::yield_now().await;
    }
}

/// A connection that is served.
struct Connection<H> {
    shared: Arc<Shared<H>>,
    ticket: Arc<Ticket>,
    peer: SocketAddr,
}
