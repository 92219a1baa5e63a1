//! What a daemon says of itself on its operator port.
//!
//! `GET /state` has more than the command shows; what isn't here is passed over, so that an older
//! command works with a newer daemon. The counts of refusals come from `GET /metrics`.

use crate::peer::{self, Peer, Step};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const REFUSALS: &str = "monsoonring_refusals_total{";

/// How a fact is called that keeps requests away.
const CRASHING: &str = "crashing request";

/// The facts that the command shows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct State {
    /// Address under which the other daemons know this one.
    pub(crate) address: Option<SocketAddr>,
    /// Why the daemon should not be sent requests, if that is so.
    pub(crate) not_ready_because: Option<String>,
    /// Whether so many others died at once that the daemon is more likely cut off itself.
    pub(crate) isolated: bool,
    /// Revision of the configuration in force; none before the first.
    pub(crate) revision: Option<u64>,
    /// Digest of that configuration.
    pub(crate) digest: Option<String>,
    /// Documents seen that share a revision with another.
    pub(crate) conflicts: u64,
    /// What a gateway adds; none of a daemon with the product's own interface.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) gateway: Option<Gateway>,
    /// The daemons that this one knows.
    pub(crate) members: Vec<Member>,
    /// Homes of each route, as this daemon computes them.
    pub(crate) homes: BTreeMap<String, Vec<SocketAddr>>,
    /// Backend servers that this daemon sends work to, or would if they were not leaving.
    #[serde(skip)]
    served: BTreeSet<SocketAddr>,
    /// Backend servers that get no new work from this daemon.
    pub(crate) leaving: BTreeSet<SocketAddr>,
    /// Fingerprints of requests that are refused because they crash backend servers.
    pub(crate) crashing: BTreeSet<String>,
    /// Requests refused or failed since the start, most first; none where the metrics aren't to be
    /// had.
    pub(crate) refused: Option<Vec<Refusal>>,
}

/// What a gateway says of what it knows and from whom.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Gateway {
    /// Milliseconds for which the configuration has been in force; none before the first.
    pub(crate) age_ms: Option<u64>,
    /// Where configuration and backend servers come from, and whether that can't be reached.
    pub(crate) source: String,
    /// The registered backend servers.
    pub(crate) registry: Registry,
    /// Hosts that it divides connections and retries among.
    pub(crate) hosts: u64,
    /// Retries that could be made now, by set of shards, at the shard that has fewest left.
    pub(crate) retries_left: BTreeMap<String, f64>,
}

/// How many backend servers are registered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Registry {
    pub(crate) registered: u64,
    pub(crate) doubted: u64,
    pub(crate) usable: u64,
}

/// A daemon as another one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Member {
    pub(crate) address: SocketAddr,
    #[serde(default)]
    pub(crate) data_centre: String,
    #[serde(default)]
    pub(crate) state: String,
}

/// A number of requests that were refused or failed for one reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Refusal {
    /// Why.
    pub(crate) reason: String,
    /// The route; empty where none was known yet.
    pub(crate) route: String,
    /// The caller's class; empty where the caller was not known yet.
    pub(crate) class: String,
    /// How many.
    pub(crate) count: u64,
}

impl State {
    /// Tells whether the daemon is a home that sends work to a backend server.
    pub(crate) fn serves(&self, server: SocketAddr) -> bool {
        self.served.contains(&server)
    }
}

/// What one daemon said, or why it said nothing.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Answer {
    /// It said this.
    State(Box<State>),
    /// It could not be reached.
    Unreachable(String),
    /// Its answer could not be read.
    Unreadable(String),
}

impl Answer {
    /// Returns the state, where there is one.
    pub(crate) fn state(&self) -> Option<&State> {
        match self {
            Answer::State(state) => Some(state),
            Answer::Unreachable(_) | Answer::Unreadable(_) => None,
        }
    }

    /// Returns why there is no state.
    pub(crate) fn silence(&self) -> Option<String> {
        match self {
            Answer::State(_) => None,
            Answer::Unreachable(why) => Some(format!("unreachable: {why}")),
            Answer::Unreadable(why) => Some(format!("unreadable: {why}")),
        }
    }
}

/// Asks a daemon for its state.
pub(crate) async fn ask(peer: Peer) -> Answer {
    let answer = match peer.get("/state").await {
        Ok(answer) => answer,
        Err(error) => return unanswered(&error),
    };
    if !answer.status.is_success() {
        return Answer::Unreadable(format!("status {}", answer.status.as_u16()));
    }
    match serde_json::from_slice::<Document>(&answer.body) {
        Ok(document) => Answer::State(Box::new(document.state(refused(peer).await))),
        Err(error) => Answer::Unreadable(error.to_string()),
    }
}

fn unanswered(error: &peer::Error) -> Answer {
    match error.step() {
        Step::Read => Answer::Unreadable(error.to_string()),
        Step::Compose | Step::Connect | Step::Send => Answer::Unreachable(error.to_string()),
    }
}

/// The body of `GET /state`. The configuration and its revision have to be there: an answer without
/// them comes from something else than a daemon, and must not count as one that agrees.
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
    /// Nothing where the daemon is no home of the route.
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
    /// Returns what only a gateway says.
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
        let crashing = self.facts.into_iter().filter(|fact| fact.what == CRASHING);
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

async fn refused(peer: Peer) -> Option<Vec<Refusal>> {
    let answer = peer.get("/metrics").await.ok()?;
    let text = answer.status.is_success().then_some(answer.body)?;
    let text = String::from_utf8_lossy(&text);
    let mut refused: Vec<Refusal> = text.lines().filter_map(refusal).collect();
    refused.sort_by(|left, right| {
        let names = |refusal: &Refusal| (refusal.reason.clone(), refusal.route.clone());
        (right.count, names(left)).cmp(&(left.count, names(right)))
    });
    Some(refused)
}

/// Reads a line such as `monsoonring_refusals_total{route="map",class="urgent",reason="overload"} 3`.
/// The values are names of the configuration and of the daemon, which need no escapes.
fn refusal(line: &str) -> Option<Refusal> {
    let (labels, count) = line.strip_prefix(REFUSALS)?.split_once("} ")?;
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
