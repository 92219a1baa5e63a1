//! An HTTP/1.1 server with limits on everything that the client controls.
//!
//! hyper reads and writes the messages. This module adds a limit on connections, the timeouts of
//! [`socket::Socket`], and the stages of a stop. Each connection is one task that also handles its
//! requests, so a connection that closes drops the request in flight.

pub(crate) mod connection;
pub(crate) mod socket;
pub(crate) mod stop;

use crate::settings::Limits;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use prometheus_client::metrics::gauge::Gauge;
use slog::{Logger, warn};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use stop::{Stage, Watch};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

/// Connections above the limit that still get a response with a refusal, as a divisor of the limit.
const EXCESS_DIVISOR: usize = 8;

/// Minimum number of connections above the limit that get a response with a refusal.
const MIN_EXCESS: usize = 8;

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
    /// Stage of the stop.
    pub(crate) stop: Watch,
    pub(crate) gauge: Gauge,
    pub(crate) log: Logger,
}

struct Shared<H> {
    server: Server<H>,
    open: AtomicUsize,
    tasks: TaskTracker,
}

impl<H: Handler> Server<H> {
    /// Serves until the stop ends. The returned tracker completes when all connections are closed.
    pub(crate) fn start(self, listener: TcpListener) -> TaskTracker {
        let tasks = TaskTracker::new();
        let shared = Arc::new(Shared {
            server: self,
            open: AtomicUsize::new(0),
            tasks: tasks.clone(),
        });
        tasks.spawn(accept(listener, shared));
        tasks
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
        Ok((stream, _)) => admit(stream, shared),
        Err(error) => {
            // `accept` keeps failing while file descriptors are exhausted; without the pause this
            // loop would spin and fill the log.
            warn!(shared.server.log, "accepting failed"; "error" => %error);
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

fn admit<H: Handler>(stream: TcpStream, shared: &Arc<Shared<H>>) {
    let permit = Permit::acquire(shared);
    let limit = shared.server.limits.max_connections;
    let excess = MIN_EXCESS.max(limit / EXCESS_DIVISOR);
    let limit_status = match permit.number {
        number if number <= limit => LimitStatus::Within,
        number if number <= limit + excess => LimitStatus::Exceeded,
        _ => return shared.server.handler.limit_exceeded(),
    };
    if limit_status == LimitStatus::Exceeded {
        shared.server.handler.limit_exceeded();
    }
    shared.tasks.spawn(async move {
        connection::serve(stream, &permit.shared.server, limit_status).await;
    });
}

/// Counts an open connection until dropped.
struct Permit<H> {
    shared: Arc<Shared<H>>,
    number: usize,
}

impl<H> Permit<H> {
    fn acquire(shared: &Arc<Shared<H>>) -> Self {
        shared.server.gauge.inc();
        Self {
            number: shared.open.fetch_add(1, Ordering::Relaxed) + 1,
            shared: shared.clone(),
        }
    }
}

impl<H> Drop for Permit<H> {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
        self.shared.server.gauge.dec();
    }
}
