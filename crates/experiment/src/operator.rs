//! Client of the daemons' operator port: reads metrics and state.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use monsoonring_configuration::id::Revision;
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a request to an operator port.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Kind of the fact that a backend server is leaving.
pub const LEAVING: &str = "leaving backend server";
/// Kind of the fact that requests with this fingerprint crash backend servers.
pub const SUSPECT: &str = "crashing request";

const SENT_BYTES: &str = "monsoonring_peer_sent_bytes_total";
const RECEIVED_BYTES: &str = "monsoonring_peer_received_bytes_total";
const CPU_SECONDS: &str = "monsoonring_process_cpu_seconds_total";

/// Result of a request to an operator port.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Error of a request to an operator port.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The daemon did not answer in time.
    #[snafu(display("ask {peer}{path}: no answer"))]
    NoAnswer {
        /// Operator address of the daemon.
        peer: SocketAddr,
        /// Path of the request.
        path: &'static str,
    },
    /// The state could not be decoded.
    #[snafu(display("read the state of {peer}: {source}"))]
    State {
        /// Operator address of the daemon.
        peer: SocketAddr,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// A metric is missing or not a number.
    #[snafu(display("read the metrics of {peer}: no {name}"))]
    MissingMetric {
        /// Operator address of the daemon.
        peer: SocketAddr,
        /// Name of the metric.
        name: &'static str,
    },
}

/// Counters of one daemon since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Bytes sent to other daemons.
    pub sent: f64,
    /// Bytes received from other daemons.
    pub received: f64,
    /// Processor time, in seconds.
    pub processor: f64,
}

/// State of a daemon, as `/state` returns it.
#[derive(Clone, Debug, Deserialize)]
pub struct State {
    /// The active configuration.
    pub configuration: Configuration,
    /// Members that the daemon knows.
    pub members: Vec<serde_json::Value>,
    /// Facts that the daemons gossip.
    pub facts: Vec<Fact>,
    /// The routes with their homes.
    pub routes: Vec<Route>,
}

/// The active configuration.
#[derive(Clone, Debug, Deserialize)]
pub struct Configuration {
    /// Revision of the document; `None` before the first document.
    pub revision: Option<Revision>,
}

/// A fact that the daemons gossip.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Fact {
    /// Its kind: [`LEAVING`], [`SUSPECT`] or another.
    pub what: String,
    /// Subject of the fact: an address or a fingerprint.
    pub of: String,
    /// Version of the fact; for [`LEAVING`], the start number of the process.
    pub version: u64,
}

/// A route in a daemon's state.
#[derive(Clone, Debug, Deserialize)]
pub struct Route {
    /// Peer addresses of its homes.
    pub homes: Vec<SocketAddr>,
}

/// Client of operator ports. Clones share a connection pool.
#[derive(Clone, Debug)]
pub struct Operator {
    client: Client<HttpConnector, Empty<Bytes>>,
}

impl Default for Operator {
    fn default() -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }
}

impl Operator {
    /// Returns the counters of a daemon.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the daemon does not answer or a counter is missing.
    pub async fn counters(&self, peer: SocketAddr) -> Result<Counters> {
        let body = self.get(peer, "/metrics").await?;
        let text = String::from_utf8_lossy(&body);
        Ok(Counters {
            sent: counter(&text, peer, SENT_BYTES)?,
            received: counter(&text, peer, RECEIVED_BYTES)?,
            processor: counter(&text, peer, CPU_SECONDS)?,
        })
    }

    /// Returns the state of a daemon.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the daemon does not answer or its state can't be decoded.
    pub async fn state(&self, peer: SocketAddr) -> Result<State> {
        let body = self.get(peer, "/state").await?;
        serde_json::from_slice(&body).context(StateSnafu { peer })
    }

    async fn get(&self, peer: SocketAddr, path: &'static str) -> Result<Bytes> {
        let exchange = async {
            let uri = format!("http://{peer}{path}").parse().ok()?;
            let response = self.client.get(uri).await.ok()?;
            let body = response.into_body().collect().await.ok()?;
            Some(body.to_bytes())
        };
        let answer = tokio::time::timeout(REQUEST_TIMEOUT, exchange).await;
        answer.ok().flatten().context(NoAnswerSnafu { peer, path })
    }
}

fn counter(text: &str, peer: SocketAddr, name: &'static str) -> Result<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|value| value.trim().parse().ok());
    value.context(MissingMetricSnafu { peer, name })
}
