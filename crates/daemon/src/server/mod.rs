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
pub(crate) enum Standing {
    /// It is.
    Within,
    /// It is not; requests on it are to be refused.
    Excess,
}

/// Answers the requests of a server.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request. The future is dropped when the other side goes away.
    fn handle(
        &self,
        request: Request<Incoming>,
        standing: Standing,
    ) -> impl Future<Output = Response<Full<Bytes>>> + Send;

    /// Hears that a connection was above the limit.
    fn exceeded(&self) {}
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
    let mut finishing = pin!(stop.reached(Stage::Finishing));
    loop {
        tokio::select! {
            biased;
            () = &mut finishing => break,
            accepted = listener.accept() => take(accepted, &shared).await,
        }
    }
    // Connections that the kernel has accepted are reset when the listener is closed, and callers
    // that were told of no stop would see their requests cut off. They are served to the end.
    while let Some(accepted) = futures::FutureExt::now_or_never(listener.accept()) {
        if accepted.is_err() {
            break;
        }
        take(accepted, &shared).await;
    }
    shared.tasks.close();
}

async fn take<H: Handler>(
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
    let place = Place::take(shared);
    let limit = shared.server.limits.max_connections;
    let excess = MIN_EXCESS.max(limit / EXCESS_DIVISOR);
    let standing = match place.number {
        number if number <= limit => Standing::Within,
        number if number <= limit + excess => Standing::Excess,
        _ => return shared.server.handler.exceeded(),
    };
    if standing == Standing::Excess {
        shared.server.handler.exceeded();
    }
    shared.tasks.spawn(async move {
        connection::serve(stream, &place.shared.server, standing).await;
    });
}

/// A connection's place among the open ones; it is free again when this is dropped.
struct Place<H> {
    shared: Arc<Shared<H>>,
    number: usize,
}

impl<H> Place<H> {
    fn take(shared: &Arc<Shared<H>>) -> Self {
        shared.server.gauge.inc();
        Self {
            number: shared.open.fetch_add(1, Ordering::Relaxed) + 1,
            shared: shared.clone(),
        }
    }
}

impl<H> Drop for Place<H> {
    fn drop(&mut self) {
        self.shared.open.fetch_sub(1, Ordering::Relaxed);
        self.shared.server.gauge.dec();
    }
}
