//! HTTP client for the daemons' caller port, with pooled connections.

mod answer;

pub use answer::{Answer, Item};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use monsoonring_configuration::id::CallerId;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// Time beyond the deadline for which the caller waits for an answer.
const GRACE: Duration = Duration::from_secs(2);
/// Maximum number of idle connections per daemon.
const MAX_IDLE_CONNECTIONS: usize = 4096;
/// Time after which the pool closes an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of requesting an idempotency key.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of requesting an idempotency key.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The HTTP exchange failed.
    #[snafu(display("get a key, daemon {peer}: {source}"))]
    Exchange {
        /// Caller address of the daemon.
        peer: SocketAddr,
        /// The error of the client or the connection.
        source: Failure,
    },
    /// The answer has no key.
    #[snafu(display("get a key, daemon {peer}: status {status} without a key"))]
    NoKey {
        /// Caller address of the daemon.
        peer: SocketAddr,
        /// HTTP status of the answer.
        status: u16,
    },
}

/// Why an exchange returned no complete answer.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// The request could not be built.
    #[snafu(display("compose the request: {source}"))]
    Compose {
        /// The invalid part of the request.
        source: hyper::http::Error,
    },
    /// The request could not be sent, or the connection was closed before the answer.
    #[snafu(display("send the request: {source}"))]
    Send {
        /// The error of the client or the connection.
        source: ClientError,
    },
    /// The connection was closed in the middle of the answer.
    #[snafu(display("read the answer: {source}"))]
    Read {
        /// The error of the client or the connection.
        source: hyper::Error,
    },
    /// No answer arrived in time.
    #[snafu(display("no answer"))]
    TimedOut,
}

/// A request to a daemon.
#[derive(Clone, Debug)]
pub struct Call {
    /// Path on the caller port, such as `/routes/dispatch/query`.
    pub path: String,
    /// Deadline of the request, relative to its sending.
    pub deadline: Duration,
    /// Idempotency key of a non-idempotent request.
    pub key: Option<String>,
    /// JSON body.
    pub body: String,
}

/// Client of any number of daemons. Clones share a connection pool.
#[derive(Clone, Debug)]
pub struct Caller {
    name: CallerId,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Creates a client that identifies itself as the caller `name`.
    pub fn new(name: CallerId) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .retry_canceled_requests(false)
            .build(connector);
        Self { name, client }
    }

    /// Sends a search to a route and waits for its answer.
    pub async fn query(
        &self,
        daemon: SocketAddr,
        route: &str,
        body: String,
        deadline: Duration,
    ) -> Answer {
        let path = format!("/routes/{route}/query");
        let call = Call {
            path,
            deadline,
            key: None,
            body,
        };
        self.send(daemon, call).await
    }

    /// Sends a non-idempotent request with an idempotency key and waits for its answer.
    pub async fn execute(
        &self,
        daemon: SocketAddr,
        route: &str,
        key: &str,
        body: String,
        deadline: Duration,
    ) -> Answer {
        let path = format!("/routes/{route}/execute");
        let call = Call {
            path,
            deadline,
            key: Some(key.to_owned()),
            body,
        };
        self.send(daemon, call).await
    }

    /// Requests an idempotency key for one non-idempotent request.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the daemon does not answer with a key.
    pub async fn key(&self, daemon: SocketAddr, route: &str, deadline: Duration) -> Result<String> {
        let call = Call {
            path: format!("/routes/{route}/keys"),
            deadline,
            key: None,
            body: String::new(),
        };
        let (head, _) = self
            .exchange(daemon, call)
            .await
            .context(ExchangeSnafu { peer: daemon })?;
        let key = head.headers.get("idempotency-key");
        let key = key.and_then(|key| key.to_str().ok());
        let missing = NoKeySnafu {
            peer: daemon,
            status: head.status.as_u16(),
        };
        Ok(key.context(missing)?.to_owned())
    }

    /// Returns whether a daemon reports that it is ready.
    pub async fn is_ready(&self, daemon: SocketAddr) -> bool {
        let Ok(address) = format!("http://{daemon}/ready").parse() else {
            return false;
        };
        let response = tokio::time::timeout(GRACE, self.client.get(address)).await;
        matches!(response, Ok(Ok(response)) if response.status().is_success())
    }

    /// Returns the number of members that a daemon considers alive or suspect.
    pub async fn members(&self, operator: SocketAddr) -> Option<usize> {
        let state = self.state(operator).await?;
        let members = state["members"].as_array()?;
        let serving = |member: &&Value| member["state"] == "alive" || member["state"] == "suspect";
        Some(members.iter().filter(serving).count())
    }

    /// Returns the state of a daemon from its operator port; `None` if it can't be read.
    pub async fn state(&self, operator: SocketAddr) -> Option<Value> {
        let address = format!("http://{operator}/state").parse().ok()?;
        let response = tokio::time::timeout(GRACE, self.client.get(address)).await;
        let (_, body) = read(response.ok()?.ok()?).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    async fn send(&self, daemon: SocketAddr, call: Call) -> Answer {
        let executes = call.key.is_some();
        match self.exchange(daemon, call).await {
            Ok((head, body)) => Answer::decode(head.status.is_success(), &body, executes),
            Err(failure) => Answer::from_failure(&failure, executes),
        }
    }

    async fn exchange(
        &self,
        daemon: SocketAddr,
        call: Call,
    ) -> Result<(hyper::http::response::Parts, Bytes), Failure> {
        let limit = call.deadline + GRACE;
        let request = self.compose(daemon, call).context(ComposeSnafu)?;
        let exchange = async {
            let response = self.client.request(request).await.context(SendSnafu)?;
            read(response).await
        };
        let timeout = tokio::time::timeout(limit, exchange);
        timeout.await.unwrap_or(TimedOutSnafu.fail())
    }

    fn compose(
        &self,
        daemon: SocketAddr,
        call: Call,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::post(format!("http://{daemon}{}", call.path))
            .header("monsoonring-caller", &*self.name)
            .header(
                "monsoonring-deadline-ms",
                call.deadline.as_millis().to_string(),
            );
        if let Some(key) = call.key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(call.body.into()))
    }
}

async fn read(
    response: Response<Incoming>,
) -> Result<(hyper::http::response::Parts, Bytes), Failure> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.context(ReadSnafu)?;
    Ok((head, body.to_bytes()))
}
