//! Client for the management endpoints of backend servers: cancellation, health and load.
//!
//! Each backend server has one connection for these calls, separate from those for attempts, so
//! that neither delays the other.

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

/// Time that a caller waits for a response.
const ENDPOINT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an unanswered call closes its connection. Much longer than
/// [`ENDPOINT_TIMEOUT`], so that a server that is stalled for a moment keeps its connection.
const STALLED_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a call waits for earlier calls to the same server; a later cancellation is useless.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response body, in bytes.
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
    connections: Arc<Mutex<HashMap<BackendServerId, SharedConnection>>>,
}

/// The connection to a server, `None` while there is none. A call holds the lock until it is done.
type SharedConnection = Arc<tokio::sync::Mutex<Option<Connection>>>;

/// An open connection; dropping it closes it.
#[derive(Debug)]
struct Connection {
    sender: client::Sender<Empty<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl Endpoint {
    /// Asks a backend server to cancel an attempt. The attempt's own response shows whether that
    /// succeeded.
    pub(crate) async fn cancel(&self, backend_server: BackendServerId, attempt: AttemptId) {
        let path = format!("/attempts/{}", codec::attempt_text(attempt));
        self.call(Method::DELETE, backend_server, path).await;
    }

    /// Reads health and load; returns `None` if the server does not respond.
    pub(crate) async fn poll(&self, backend_server: BackendServerId) -> Option<Report> {
        let health: HealthBody = self.get(backend_server, "/health").await?;
        let draining = health.status == "draining";
        let load: Option<LoadBody> = self.get(backend_server, "/load").await;
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

    async fn get<T: DeserializeOwned>(&self, server: BackendServerId, path: &str) -> Option<T> {
        let body = self.call(Method::GET, server, path.to_owned()).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Makes one call; calls to the same server are queued. With a connection per call, many
    /// simultaneous cancellations would exceed the server's connection limit, and it would refuse
    /// connections for attempts.
    ///
    /// The call keeps its connection after its caller has timed out. A stalled server would count a
    /// closed connection and its replacement as two.
    async fn call(&self, method: Method, server: BackendServerId, path: String) -> Option<Bytes> {
        let shared = self.connections().entry(server).or_default().clone();
        let mut shared = timeout(QUEUE_TIMEOUT, shared.lock_owned()).await.ok()?;
        let (tx, rx) = oneshot::channel();
        tokio::spawn(async move {
            // Taken out of its slot during the call, so that a failure closes the connection.
            let open = shared.take().filter(|open| !open.sender.is_closed());
            let exchange = exchange(open, method, server, &path);
            if let Ok(Some((connection, body))) = timeout(STALLED_TIMEOUT, exchange).await {
                *shared = Some(connection);
                // A missing receiver means that the caller has timed out.
                let _ = tx.send(body);
            }
        });
        timeout(ENDPOINT_TIMEOUT, rx).await.ok()?.ok()
    }

    /// Closes the connections to all other servers.
    pub(crate) fn retain(&self, servers: &BTreeSet<BackendServerId>) {
        self.connections()
            .retain(|server, _| servers.contains(server));
    }

    fn connections(&self) -> MutexGuard<'_, HashMap<BackendServerId, SharedConnection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
        let is_success = response.status().is_success();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES);
        let body = body.collect().await.ok()?.to_bytes();
        is_success.then_some(body)
    }
}
