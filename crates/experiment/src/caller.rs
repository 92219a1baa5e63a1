//! A caller: a pooled HTTP client for the daemons' caller port.

use crate::sample::Outcome;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error as ClientError};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{CallerId, IndexVersion, Key};
use serde::Deserialize;
use serde_json::Value;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that an answer may take beyond the deadline before the caller stops waiting for it.
const PATIENCE: Duration = Duration::from_secs(2);
/// Idle connections kept to one daemon.
const IDLE_CONNECTIONS: usize = 4096;
/// Time after which an idle connection is closed.
const IDLE_TIME: Duration = Duration::from_secs(60);

/// Result of asking a daemon for a key.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why a daemon gave no key.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The exchange failed.
    #[snafu(display("get a key, daemon {peer}: {source}"))]
    Exchange {
        /// The daemon.
        peer: SocketAddr,
        /// What went wrong.
        source: Failure,
    },
    /// The answer carries no key.
    #[snafu(display("get a key, daemon {peer}: status {status} without a key"))]
    NoKey {
        /// The daemon.
        peer: SocketAddr,
        /// Status of the answer.
        status: u16,
    },
}

/// Why an exchange gave no whole answer.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// The request could not be composed.
    #[snafu(display("compose the request: {source}"))]
    Compose {
        /// What is wrong with it.
        source: hyper::http::Error,
    },
    /// The request could not be sent, or the connection ended before the answer.
    #[snafu(display("send the request: {source}"))]
    Send {
        /// What went wrong.
        source: ClientError,
    },
    /// The answer broke off.
    #[snafu(display("read the answer: {source}"))]
    Read {
        /// What went wrong.
        source: hyper::Error,
    },
    /// No answer arrived in time.
    #[snafu(display("no answer"))]
    Silence,
}

/// An answer of a daemon, decoded.
#[derive(Clone, Debug)]
pub struct Answer {
    /// How the request ended.
    pub outcome: Outcome,
    /// Id of the request.
    pub request: String,
    /// Share of the data that the items were taken from, from 0 to 1.
    pub coverage: f64,
    /// Snapshot that the items were taken from.
    pub index_version: Option<IndexVersion>,
    /// Key ranges that are not covered.
    pub missing: Vec<Range>,
    /// Items of a search.
    pub items: Vec<Item>,
    /// Result of a non-idempotent request.
    pub value: Value,
    /// Why there is no answer.
    pub why: String,
}

/// One item of a search.
#[derive(Clone, Debug, Deserialize)]
pub struct Item {
    /// Position in the key space.
    pub key: Key,
    /// What was found there.
    pub value: Value,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Document {
    request: String,
    #[serde(deserialize_with = "lenient")]
    status: Option<Outcome>,
    outcome: Option<Outcome>,
    coverage: f64,
    index_version: Option<IndexVersion>,
    missing: Vec<Range>,
    items: Vec<Item>,
    value: Value,
    title: String,
}

/// Reads the member `status`, which is a word on success and a number in a problem document.
fn lenient<'a, D: serde::Deserializer<'a>>(from: D) -> Result<Option<Outcome>, D::Error> {
    let value = Value::deserialize(from)?;
    Ok(serde_json::from_value(value).ok())
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Question {
    /// Path on the caller port, such as `/routes/dispatch/query`.
    pub path: String,
    /// Time in which an answer is wanted.
    pub deadline: Duration,
    /// Idempotency key of a non-idempotent request.
    pub key: Option<String>,
    /// JSON text.
    pub body: String,
}

/// A client with connections to any number of daemons; clones share them.
#[derive(Clone, Debug)]
pub struct Caller {
    name: CallerId,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// Makes a client for the caller of this name.
    pub fn new(name: CallerId) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIME)
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
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
        let question = Question {
            path,
            deadline,
            key: None,
            body,
        };
        self.ask(daemon, question).await
    }

    /// Sends a non-idempotent request under a key and waits for its answer.
    pub async fn execute(
        &self,
        daemon: SocketAddr,
        route: &str,
        key: &str,
        body: String,
        deadline: Duration,
    ) -> Answer {
        let path = format!("/routes/{route}/execute");
        let question = Question {
            path,
            deadline,
            key: Some(key.to_owned()),
            body,
        };
        self.ask(daemon, question).await
    }

    /// Gets a key for one non-idempotent request.
    ///
    /// # Errors
    ///
    /// [`Error`] where the daemon does not answer with a key.
    pub async fn key(&self, daemon: SocketAddr, route: &str, deadline: Duration) -> Result<String> {
        let question = Question {
            path: format!("/routes/{route}/keys"),
            deadline,
            key: None,
            body: String::new(),
        };
        let (head, _) = self
            .exchange(daemon, question)
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

    /// Tells whether a daemon says that it is ready.
    pub async fn ready(&self, daemon: SocketAddr) -> bool {
        let Ok(address) = format!("http://{daemon}/ready").parse() else {
            return false;
        };
        let response = tokio::time::timeout(PATIENCE, self.client.get(address)).await;
        matches!(response, Ok(Ok(response)) if response.status().is_success())
    }

    /// Returns the number of members that a daemon knows, from its operator port.
    pub async fn members(&self, operator: SocketAddr) -> Option<usize> {
        let state = self.state(operator).await?;
        Some(state["members"].as_array()?.len())
    }

    /// Returns what a daemon says of itself on its operator port.
    pub async fn state(&self, operator: SocketAddr) -> Option<Value> {
        let address = format!("http://{operator}/state").parse().ok()?;
        let response = tokio::time::timeout(PATIENCE, self.client.get(address)).await;
        let (_, body) = read(response.ok()?.ok()?).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    async fn ask(&self, daemon: SocketAddr, question: Question) -> Answer {
        let executes = question.key.is_some();
        match self.exchange(daemon, question).await {
            Ok((head, body)) => decode(head.status.is_success(), &body, executes),
            Err(failure) => unanswered(&failure, executes),
        }
    }

    async fn exchange(
        &self,
        daemon: SocketAddr,
        question: Question,
    ) -> Result<(hyper::http::response::Parts, Bytes), Failure> {
        let patience = question.deadline + PATIENCE;
        let request = self.compose(daemon, question).context(ComposeSnafu)?;
        let exchange = async {
            let response = self.client.request(request).await.context(SendSnafu)?;
            read(response).await
        };
        let timeout = tokio::time::timeout(patience, exchange);
        timeout.await.unwrap_or(SilenceSnafu.fail())
    }

    fn compose(
        &self,
        daemon: SocketAddr,
        question: Question,
    ) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
        let mut request = Request::post(format!("http://{daemon}{}", question.path))
            .header("monsoonring-caller", &*self.name)
            .header(
                "monsoonring-deadline-ms",
                question.deadline.as_millis().to_string(),
            );
        if let Some(key) = question.key {
            request = request.header("idempotency-key", key);
        }
        request.body(Full::new(question.body.into()))
    }
}

async fn read(
    response: Response<Incoming>,
) -> Result<(hyper::http::response::Parts, Bytes), Failure> {
    let (head, body) = response.into_parts();
    let body = body.collect().await.context(ReadSnafu)?;
    Ok((head, body.to_bytes()))
}

fn decode(success: bool, body: &[u8], executes: bool) -> Answer {
    let document: Document = serde_json::from_slice(body).unwrap_or_default();
    let stated = if success {
        document.status
    } else {
        document.outcome
    };
    let possible = |outcome: &Outcome| outcome.is_answer() == success;
    Answer {
        outcome: stated.filter(possible).unwrap_or(unclear(executes)),
        request: document.request,
        coverage: document.coverage,
        index_version: document.index_version,
        missing: document.missing,
        items: document.items,
        value: document.value,
        why: document.title,
    }
}

/// An answer that can't be understood proves nothing about a non-idempotent request.
fn unclear(executes: bool) -> Outcome {
    if executes {
        Outcome::Unknown
    } else {
        Outcome::Failed
    }
}

fn unanswered(failure: &Failure, executes: bool) -> Answer {
    let outcome = match failure {
        Failure::Silence => Outcome::Silent,
        Failure::Send { source } if source.is_connect() => Outcome::Unreachable,
        Failure::Compose { .. } => Outcome::Unreachable,
        Failure::Send { .. } | Failure::Read { .. } => unclear(executes),
    };
    Answer::without(outcome, failure.to_string())
}

impl Answer {
    /// Makes the answer to a request that was not sent for want of a key.
    pub fn not_run(error: &Error) -> Self {
        Self::without(Outcome::NotRun, error.to_string())
    }

    fn without(outcome: Outcome, why: String) -> Self {
        Self {
            outcome,
            request: String::new(),
            coverage: 0.0,
            index_version: None,
            missing: Vec::new(),
            items: Vec::new(),
            value: Value::Null,
            why,
        }
    }
}
