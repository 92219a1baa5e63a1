//! What goes to a backend server beside its requests: cancellations, health and load.
//!
//! These go over one further connection for each backend server, so that they neither wait behind an
//! attempt nor take a connection from one. It is one at most, as placement counts on: calls to a server
//! wait for each other.

#[cfg(test)]
mod tests;

use super::codec;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use monsoonring_decision::attempt::AttemptId;
use monsoonring_decision::reply::{Load, Report};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::collections::{BTreeSet, HashMap};
use std::sync::{Arc, PoisonError};
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::time::timeout;

/// Idle connections kept to one backend server.
const IDLE_CONNECTIONS: usize = 1;

/// Time that an endpoint may take. It misleads or hangs now and then, and nothing waits for it.
const ENDPOINT_TIMEOUT: Duration = Duration::from_millis(500);

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

/// The turn to call one backend server.
type Turn = Arc<Mutex<()>>;

/// Client for the endpoints of all backend servers of a route.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    client: Client<HttpConnector, Empty<Bytes>>,
    turns: Arc<std::sync::Mutex<HashMap<BackendServerId, Turn>>>,
}

impl Endpoint {
    /// Makes a client without connections.
    pub(crate) fn new() -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .build_http();
        let turns = Arc::default();
        Self { client, turns }
    }

    fn turn(&self, server: BackendServerId) -> Turn {
        let mut turns = self.turns.lock().unwrap_or_else(PoisonError::into_inner);
        turns.entry(server).or_default().clone()
    }

    /// Forgets the servers that are not among these.
    pub(crate) fn retain(&self, servers: &BTreeSet<BackendServerId>) {
        let mut turns = self.turns.lock().unwrap_or_else(PoisonError::into_inner);
        turns.retain(|server, _| servers.contains(server));
    }

    /// Asks a backend server to cancel an attempt. Nothing rests on whether that succeeds: the
    /// attempt's own reply tells.
    pub(crate) async fn cancel(&self, backend_server: BackendServerId, attempt: AttemptId) {
        let path = format!("/attempts/{}", codec::attempt_text(attempt));
        self.call(Method::DELETE, backend_server, &path).await;
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
        let body = self.call(Method::GET, server, path).await?;
        serde_json::from_slice(&body).ok()
    }

    /// Makes one call, or none if its turn does not come in time: behind a server that hangs, calls
    /// would otherwise pile up and be made long after they are of use.
    async fn call(&self, method: Method, server: BackendServerId, path: &str) -> Option<Bytes> {
        let turn = self.turn(server);
        let exchange = async {
            let _turn = turn.lock().await;
            self.exchange(method, server, path).await
        };
        timeout(ENDPOINT_TIMEOUT, exchange).await.ok()?
    }

    async fn exchange(&self, method: Method, server: BackendServerId, path: &str) -> Option<Bytes> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{server}{path}"))
            .body(Empty::new())
            .ok()?;
        let response = self.client.request(request).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await
            .ok()?;
        Some(body.to_bytes())
    }
}
