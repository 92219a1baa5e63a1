//! Reads a daemon's state from its operator port.
//!
//! Fields of `GET /state` that the command does not show are ignored, so that an older command works
//! with a newer daemon. The counts of refusals come from `GET /metrics`.

use crate::peer::{self, Peer, Step};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Prefix of the metric lines that count refusals.
const REFUSALS_PREFIX: &str = "monsoonring_refusals_total{";

/// Kind of the facts that hold the fingerprint of a request that crashes backend servers.
const CRASHING_REQUEST: &str = "crashing request";

/// State of a daemon, as far as the command shows it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct State {
    /// Address by which the other daemons know this one.
    pub(crate) address: Option<SocketAddr>,
    /// Why the daemon is not ready for requests; `None` if it is ready.
    pub(crate) not_ready_because: Option<String>,
    /// Whether so many members died together that this daemon is more likely the one cut off.
    pub(crate) isolated: bool,
    /// Revision of the configuration in force; `None` before the first.
    pub(crate) revision: Option<u64>,
    /// Digest of the configuration in force; `None` before the first.
    pub(crate) digest: Option<String>,
    /// Documents seen that have the same revision as a different document.
    pub(crate) conflicts: u64,
    /// Additional state of a gateway; `None` for a daemon with the product's own interface.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) gateway: Option<Gateway>,
    /// The members that this daemon knows.
    pub(crate) members: Vec<Member>,
    /// Homes of each route, as computed by this daemon.
    pub(crate) homes: BTreeMap<String, Vec<SocketAddr>>,
    /// Backend servers of the routes that this daemon is a home of, including leaving ones.
    #[serde(skip)]
    served: BTreeSet<SocketAddr>,
    /// Backend servers that are leaving and get no new work from this daemon.
    pub(crate) leaving: BTreeSet<SocketAddr>,
    /// Fingerprints of the requests that are refused because they crash backend servers.
    pub(crate) crashing: BTreeSet<String>,
    /// Requests refused or failed since the daemon's start, highest count first; `None` if the metrics
    /// could not be read.
    pub(crate) refused: Option<Vec<Refusal>>,
}

/// Additional state of a gateway.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Gateway {
    /// Milliseconds since the configuration came into force; `None` before the first.
    pub(crate) age_ms: Option<u64>,
    /// Source of the configuration and the backend servers, and whether it is lost.
    pub(crate) source: String,
    /// Counts of registered backend servers.
    pub(crate) registry: Registry,
    /// Hosts among which connections and retries are divided.
    pub(crate) hosts: u64,
    /// Remaining retry budget by set of shards, at the shard with the least.
    pub(crate) retries_left: BTreeMap<String, f64>,
}

/// Counts of backend servers in a gateway's registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Registry {
    pub(crate) registered: u64,
    pub(crate) doubted: u64,
    pub(crate) usable: u64,
}

/// A member, as seen by the daemon that reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) address: SocketAddr,
    #[serde(default)]
    pub(crate) data_centre: String,
    #[serde(default)]
    pub(crate) state: String,
}

/// Count of the requests that were refused or failed for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Refusal {
    /// Label of the reason, as in the metric.
    pub(crate) reason: String,
    /// The route; empty if the request failed before its route was known.
    pub(crate) route: String,
    /// The caller's class; empty if the request failed before its caller was known.
    pub(crate) class: String,
    /// Requests since the daemon's start.
    pub(crate) count: u64,
}

impl State {
    /// Returns whether the backend server belongs to a route that this daemon is a home of.
    pub(crate) fn serves(&self, server: SocketAddr) -> bool {
        self.served.contains(&server)
    }
}

/// A daemon's state, or why it could not be read.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Answer {
    /// The daemon's state.
    State(Box<State>),
    /// The daemon could not be reached.
    Unreachable(String),
    /// The answer could not be read or parsed.
    Unreadable(String),
}

impl Answer {
    /// Returns the state, or `None` if it could not be read.
    pub(crate) fn state(&self) -> Option<&State> {
        match self {
            Answer::State(state) => Some(state),
            Answer::Unreachable(_) | Answer::Unreadable(_) => None,
        }
    }

    /// Returns why the state could not be read, or `None` if it could.
    pub(crate) fn error(&self) -> Option<String> {
        match self {
            Answer::State(_) => None,
            Answer::Unreachable(error) => Some(format!("unreachable: {error}")),
            Answer::Unreadable(error) => Some(format!("unreadable: {error}")),
        }
    }
}

/// Fetches a daemon's state.
pub(crate) async fn fetch(peer: Peer) -> Answer {
    let answer = match peer.get("/state").await {
        Ok(answer) => answer,
        Err(error) => return failed(&error),
    };
    if !answer.status.is_success() {
        return Answer::Unreadable(format!("status {}", answer.status.as_u16()));
    }
    match serde_json::from_slice::<Document>(&answer.body) {
        Ok(document) => Answer::State(Box::new(document.state(fetch_refusals(peer).await))),
        Err(error) => Answer::Unreadable(error.to_string()),
    }
}

fn failed(error: &peer::Error) -> Answer {
    match error.step() {
        Step::Read => Answer::Unreadable(error.to_string()),
        Step::Compose | Step::Connect | Step::Send => Answer::Unreachable(error.to_string()),
    }
}

/// Body of `GET /state`. The configuration and its revision are required: an answer without them does
/// not come from a daemon, and must not count as agreement.
#[derive(Deserialize)]
struct Document {
    configuration: Configuration,
    #[serde(default)]
    address: Option<SocketAddr>,
    #[serde(default)]
    not_ready_because: Option<String>,
    #[serde(default)]
    isolated: bool,
    #[serde(default)]
    members: Vec<Member>,
    #[serde(default)]
    routes: Vec<Route>,
    #[serde(default)]
    facts: Vec<Fact>,
    registry: Option<Registry>,
    #[serde(default)]
    hosts: Option<u64>,
}

#[derive(Deserialize)]
struct Configuration {
    #[serde(deserialize_with = "Option::deserialize")]
    revision: Option<u64>,
    #[serde(default)]
    digest: Option<String>,
    #[serde(default)]
    conflicts: u64,
    #[serde(default)]
    age_ms: Option<u64>,
    #[serde(default)]
    source: Option<String>,
}

#[derive(Deserialize)]
struct Route {
    #[serde(default)]
    name: String,
    #[serde(default)]
    homes: Vec<SocketAddr>,
    /// `None` if the daemon is not a home of the route.
    home: Option<Home>,
}

#[derive(Deserialize)]
struct Home {
    #[serde(default)]
    retries_left: Option<f64>,
    #[serde(default)]
    backend_servers: Vec<BackendServer>,
}

#[derive(Deserialize)]
struct BackendServer {
    server: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

#[derive(Deserialize)]
struct Fact {
    #[serde(default)]
    what: String,
    #[serde(default)]
    of: String,
}

impl Document {
    /// Returns the additional state of a gateway, or `None` if the daemon is not a gateway.
    fn gateway(&self) -> Option<Gateway> {
        let left = self.routes.iter().filter_map(|route| {
            let left = route.home.as_ref()?.retries_left?;
            Some((route.name.clone(), left))
        });
        Some(Gateway {
            age_ms: self.configuration.age_ms,
            source: self.configuration.source.clone()?,
            registry: self.registry.unwrap_or_default(),
            hosts: self.hosts.unwrap_or_default(),
            retries_left: left.collect(),
        })
    }

    fn state(self, refused: Option<Vec<Refusal>>) -> State {
        let gateway = self.gateway();
        let homes = self.routes.iter();
        let homes = homes.map(|route| (route.name.clone(), route.homes.clone()));
        let homes = homes.collect();
        let served = self.routes.into_iter().filter_map(|route| route.home);
        let servers: Vec<_> = served.flat_map(|home| home.backend_servers).collect();
        let leaving = servers.iter().filter(|server| server.leaving);
        let crashing = self
            .facts
            .into_iter()
            .filter(|fact| fact.what == CRASHING_REQUEST);
        State {
            address: self.address,
            not_ready_because: self.not_ready_because,
            isolated: self.isolated,
            revision: self.configuration.revision,
            digest: self.configuration.digest,
            conflicts: self.configuration.conflicts,
            gateway,
            members: self.members,
            homes,
            served: servers.iter().map(|server| server.server).collect(),
            leaving: leaving.map(|server| server.server).collect(),
            crashing: crashing.map(|fact| fact.of).collect(),
            refused,
        }
    }
}

/// Reads the counts of refusals from the daemon's metrics, highest count first.
async fn fetch_refusals(peer: Peer) -> Option<Vec<Refusal>> {
    let answer = peer.get("/metrics").await.ok()?;
    let text = answer.status.is_success().then_some(answer.body)?;
    let text = String::from_utf8_lossy(&text);
    let mut refused: Vec<Refusal> = text.lines().filter_map(parse_refusal).collect();
    refused.sort_by(|left, right| {
        let names = |refusal: &Refusal| (refusal.reason.clone(), refusal.route.clone());
        (right.count, names(left)).cmp(&(left.count, names(right)))
    });
    Some(refused)
}

/// Parses a line such as `monsoonring_refusals_total{route="map",class="urgent",reason="overload"} 3`.
/// The label values are names that never need escapes.
fn parse_refusal(line: &str) -> Option<Refusal> {
    let (labels, count) = line.strip_prefix(REFUSALS_PREFIX)?.split_once("} ")?;
    let label = |name: &str| {
        let mut labels = labels.split(',').filter_map(|label| label.split_once('='));
        let found = labels.find(|(found, _)| *found == name);
        found.map(|(_, value)| value.trim_matches('"').to_owned())
    };
    Some(Refusal {
        reason: label("reason")?,
        route: label("route").unwrap_or_default(),
        class: label("class").unwrap_or_default(),
        count: count.trim().parse().ok()?,
    })
}
