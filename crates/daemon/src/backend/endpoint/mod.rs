//! What goes to a backend server beside its requests: cancellations, health and load.
//!
//! These go over one further connection for each backend server, so that they neither wait behind an
//! attempt nor take a connection from one.

#[cfg(test)]
mod tests;

use super::codec;
use crate::client;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::header::HOST;
use hyper::{Method, Request};
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use monsoonring_decision::attempt::AttemptId;
use monsoonring_decision::reply::{Load, Report};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

/// Time that a caller waits for an endpoint, which misleads or hangs now and then.
const ENDPOINT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an unanswered call closes its connection: ten times what its caller waits, more
/// than a busy machine lets a process wait for its turn.
const STALLED_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a call waits for those before it. A cancellation that comes later helps nobody.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest body of an endpoint, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

#[derive(Deserialize)]
struct HealthBody {
    status: String,
}

#[derive(Deserialize)]
struct LoadBody {
    busy: u32,
    slots: u32,
    queued: u32,
    #[serde(default)]
    index_versions: Vec<IndexVersion>,
    start: Option<Incarnation>,
}

/// Client for the endpoints of all backend servers of a route; clones share its connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct Endpoint {
    slots: Arc<Mutex<HashMap<BackendServerId, Slot>>>,
}

/// The one connection to a server, `None` where there is none now. Who holds the lock makes a call.
type Slot = Arc<tokio::sync::Mutex<Option<Connection>>>;

/// An open connection; closed when dropped.
#[derive(Debug)]
struct Connection {
    sender: client::Sender<Empty<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl Endpoint {
    /// Asks a backend server to cancel an attempt. Nothing rests on whether that succeeds: the
    /// attempt's own reply tells.
    pub(crate) async fn cancel(&self, backend_server: BackendServerId, attempt: AttemptId) {
        let path = format!("/attempts/{}", codec::attempt_text(attempt));
        self.call(Method::DELETE, backend_server, path).await;
    }

    /// Reads health and load; `None` where the server did not answer.
    pub(crate) async fn poll(&self, backend_server: BackendServerId) -> Option<Report> {
        let health: HealthBody = self.read(backend_server, "/health").await?;
        let draining = health.status == "draining";
        let load: Option<LoadBody> = self.read(backend_server, "/load").await;
        let Some(load) = load else {
            return Some(Report {
                draining,
                ..Report::default()
            });
        };
        Some(Report {
            load: Some(Load {
                busy: load.busy,
                slots: load.slots,
                queued: load.queued,
            }),
            index_versions: load.index_versions,
            start: load.start,
            draining,
        })
    }

    async fn read<T: DeserializeOwned>(&self, server: BackendServerId, path: &str) -> Option<T> {
        let body = self.call(Method::GET, server, path.to_owned()).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Makes one call. Calls to one server wait for each other: with a connection for each of them,
    /// a wave of cancellations would open as many as there are attempts, beyond the server's limit,
    /// and the server would refuse those that requests need.
    ///
    /// A call that nobody waits for any longer keeps its connection. Closed and replaced, it would
    /// count twice at a server that is stalled: three calls in 1.5 s left three connections there.
    async fn call(&self, method: Method, server: BackendServerId, path: String) -> Option<Bytes> {
        let slot = self.slots().entry(server).or_default().clone();
        let mut slot = timeout(QUEUE_TIMEOUT, slot.lock_owned()).await.ok()?;
        let (answer, answered) = oneshot::channel();
        tokio::spawn(async move {
            // Taken out meanwhile: a call that fails closes the connection.
            let open = slot.take().filter(|open| !open.sender.is_closed());
            let exchange = exchange(open, method, server, &path);
            if let Ok(Some((connection, body))) = timeout(STALLED_TIMEOUT, exchange).await {
                *slot = Some(connection);
                // Without a receiver the answer came too late for its caller.
                let _ = answer.send(body);
            }
        });
        timeout(ENDPOINT_TIMEOUT, answered).await.ok()?.ok()
    }

    /// Closes the connections to all servers but these.
    pub(crate) fn retain(&self, servers: &BTreeSet<BackendServerId>) {
        self.slots().retain(|server, _| servers.contains(server));
    }

    fn slots(&self) -> MutexGuard<'_, HashMap<BackendServerId, Slot>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn exchange(
    open: Option<Connection>,
    method: Method,
    server: BackendServerId,
    path: &str,
) -> Option<(Connection, Bytes)> {
    let mut connection = match open {
        Some(connection) => connection,
        None => Connection::open(server).await?,
    };
    let body = connection.call(method, server, path).await?;
    Some((connection, body))
}

impl Connection {
    async fn open(server: BackendServerId) -> Option<Self> {
        let (sender, driver) = client::open(server).await.ok()?;
        Some(Self {
            sender,
            _driver: client::drive(driver),
        })
    }

    async fn call(&mut self, method: Method, server: BackendServerId, path: &str) -> Option<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, server.to_string())
            .body(Empty::new())
            .ok()?;
        self.sender.ready().await.ok()?;
        let response = self.sender.send_request(request).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        Some(body.collect().await.ok()?.to_bytes())
    }
}
