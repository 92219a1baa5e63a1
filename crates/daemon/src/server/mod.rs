//! An HTTP/1.1 server with bounds on everything that the other side controls.
//!
//! The library reads and writes the messages. What is added here is when to give up: a limit on
//! connections, the timeouts of [`socket::Socket`], and the stages of a stop. Each connection is
//! one task, and a request is handled inside it, so that a connection that ends drops the request
//! with it and nothing has to be told to anybody.

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

/// Connections above the limit that still get a refusal in words, as a divisor of the limit.
const EXCESS_DIVISOR: usize = 8;

/// Connections above the limit that get a refusal in words even where the limit is tiny.
const MIN_EXCESS: usize = 8;

/// Pause after a failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Whether a connection is within the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LimitStatus {
    /// It is.
    Within,
    /// It is not; requests on it are to be refused.
    Exceeded,
}

/// Answers the requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the other side goes away.
    fn handle(
        &self,
        request: Request<Incoming>,
        limit_status: LimitStatus,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;

    /// Hears that a connection was above the limit.
    fn exceeded(&self) {}

    /// Hears that a stop cut an answer off that had not been written whole.
    fn answer_cut(&self) {}
}

/// A server before it is started.
pub(crate) struct Server<H> {
    /// Answers the requests.
    pub(crate) handler: H,
    /// Bounds on what the other side can take.
    pub(crate) limits: Limits,
    /// Stages of the stop.
    pub(crate) stop: Watch,
    /// Number of open connections.
    pub(crate) gauge: Gauge,
    /// The log.
    pub(crate) log: Logger,
}

struct Shared<H> {
    server: Server<H>,
    open: AtomicUsize,
    tasks: TaskTracker,
}

impl<H: Handler> Server<H> {
    /// Serves until the stop has come to its end. The tracker that is returned is done when no
    /// connection is left.
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
    // Connections that the kernel has accepted are reset when the listener is closed, and callers
    // that were told of no stop would see their requests cut off. They are served to the end.
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
            // Without file descriptors, `accept` fails again at once: the loop would spin and the
            // log fill up. The pause leaves time for connections to end.
            warn!(shared.server.log, "accepting failed"; "error" => %error);
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

fn admit<H: Handler>(stream: TcpStream, shared: &Arc<Shared<H>>) {
    let permit = Permit::take(shared);
    let limit = shared.server.limits.max_connections;
    let excess = MIN_EXCESS.max(limit / EXCESS_DIVISOR);
    let limit_status = match permit.number {
        number if number <= limit => LimitStatus::Within,
        number if number <= limit + excess => LimitStatus::Exceeded,
        _ => return shared.server.handler.exceeded(),
    };
    if limit_status == LimitStatus::Exceeded {
        shared.server.handler.exceeded();
    }
    shared.tasks.spawn(async move {
        connection::serve(stream, &permit.shared.server, limit_status).await;
    });
}

/// A connection's permit among the open ones; it is free again when this is dropped.
struct Permit<H> {
    shared: Arc<Shared<H>>,
    number: usize,
}

impl<H> Permit<H> {
    fn take(shared: &Arc<Shared<H>>) -> Self {
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
