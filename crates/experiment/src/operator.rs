//! What daemons tell operators, read by experiments: numbers and knowledge.

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

/// Time that a daemon may take to answer.
const LIMIT: Duration = Duration::from_secs(5);

/// Kind of the fact that a backend server is leaving.
pub const LEAVING: &str = "leaving backend server";
/// Kind of the fact that requests with a fingerprint crash backend servers.
pub const SUSPECT: &str = "crashing request";

const SENT: &str = "monsoonring_peer_sent_bytes_total";
const RECEIVED: &str = "monsoonring_peer_received_bytes_total";
const PROCESSOR: &str = "monsoonring_process_cpu_seconds_total";

/// Result of asking an operator port.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an operator port gave nothing of use.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The daemon did not answer in time, or not at all.
    #[snafu(display("ask {peer}{path}: no answer"))]
    Silence {
        /// The daemon.
        peer: SocketAddr,
        /// What was asked for.
        path: &'static str,
    },
    /// The state can't be read.
    #[snafu(display("read the state of {peer}: {source}"))]
    State {
        /// The daemon.
        peer: SocketAddr,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A number is missing from the metrics.
    #[snafu(display("read the metrics of {peer}: no {name}"))]
    Number {
        /// The daemon.
        peer: SocketAddr,
        /// Name of the number.
        name: &'static str,
    },
}

/// Counters of one daemon since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Numbers {
    /// Bytes sent to other daemons.
    pub sent: f64,
    /// Bytes received from other daemons.
    pub received: f64,
    /// Processor time, in seconds.
    pub processor: f64,
}

/// What a daemon knows.
#[derive(Clone, Debug, Deserialize)]
pub struct State {
    /// The configuration in force.
    pub configuration: Configuration,
    /// Members that serve.
    pub members: Vec<serde_json::Value>,
    /// Facts that spread between daemons.
    pub facts: Vec<Fact>,
    /// The routes with their homes.
    pub routes: Vec<Route>,
}

/// Which configuration is in force.
#[derive(Clone, Debug, Deserialize)]
pub struct Configuration {
    /// Its revision.
    pub revision: Option<Revision>,
}

/// One fact.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Fact {
    /// Its kind: [`LEAVING`], [`SUSPECT`] or another.
    pub what: String,
    /// What it is about: an address or a fingerprint.
    pub of: String,
    /// Start number of the process that leaves.
    pub version: u64,
}

/// One route as a daemon sees it.
#[derive(Clone, Debug, Deserialize)]
pub struct Route {
    /// Peer addresses of its homes.
    pub homes: Vec<SocketAddr>,
}

/// Asks operator ports; clones share connections.
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
    /// [`Error`] where the daemon does not answer or a counter is missing.
    pub async fn numbers(&self, peer: SocketAddr) -> Result<Numbers> {
        let body = self.get(peer, "/metrics").await?;
        let text = String::from_utf8_lossy(&body);
        Ok(Numbers {
            sent: number(&text, peer, SENT)?,
            received: number(&text, peer, RECEIVED)?,
            processor: number(&text, peer, PROCESSOR)?,
        })
    }

    /// Returns what a daemon knows.
    ///
    /// # Errors
    ///
    /// [`Error`] where the daemon does not answer or its state can't be read.
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
        let answer = tokio::time::timeout(LIMIT, exchange).await;
        answer.ok().flatten().context(SilenceSnafu { peer, path })
    }
}

fn number(text: &str, peer: SocketAddr, name: &'static str) -> Result<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|value| value.trim().parse().ok());
    value.context(NumberSnafu { peer, name })
}
