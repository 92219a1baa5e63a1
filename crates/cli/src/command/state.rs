//! What a daemon says of itself on its operator port.
//!
//! `GET /state` has more than the command shows; what isn't here is passed over, so that an older
//! command works with a newer daemon. The counts of refusals come from `GET /metrics`.

use crate::peer::{self, Peer, Step};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

const REFUSALS: &str = "monsoonring_refusals_total{reason=\"";

/// The facts that the command shows.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct State {
    /// Why the daemon should not be sent requests, if that is so.
    pub(crate) not_ready_because: Option<String>,
    /// Revision of the configuration in force; none before the first.
    pub(crate) revision: Option<u64>,
    /// Digest of that configuration.
    pub(crate) digest: Option<String>,
    /// The daemons that this one knows.
    pub(crate) members: Vec<Member>,
    /// Backend servers that get no new work from this daemon.
    pub(crate) leaving: BTreeSet<SocketAddr>,
    /// Requests refused or failed since the start, by reason; none where the metrics aren't to be
    /// had.
    pub(crate) refused: Option<BTreeMap<String, u64>>,
}

/// A daemon as another one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Member {
    address: SocketAddr,
    #[serde(default)]
    data_centre: String,
    #[serde(default)]
    state: String,
}

/// What one daemon said, or why it said nothing.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Answer {
    /// It said this.
    State(State),
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
        Ok(document) => Answer::State(document.state(refused(peer).await)),
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
    not_ready_because: Option<String>,
    #[serde(default)]
    members: Vec<Member>,
    #[serde(default)]
    routes: Vec<Route>,
}

#[derive(Deserialize)]
struct Configuration {
    #[serde(deserialize_with = "Option::deserialize")]
    revision: Option<u64>,
    #[serde(default)]
    digest: Option<String>,
}

#[derive(Deserialize)]
struct Route {
    /// Nothing where the daemon is no home of the route.
    home: Option<Home>,
}

#[derive(Deserialize)]
struct Home {
    #[serde(default)]
    backend_servers: Vec<BackendServer>,
}

#[derive(Deserialize)]
struct BackendServer {
    server: SocketAddr,
    #[serde(default)]
    leaving: bool,
}

impl Document {
    fn state(self, refused: Option<BTreeMap<String, u64>>) -> State {
        let homes = self.routes.into_iter().filter_map(|route| route.home);
        let servers = homes.flat_map(|home| home.backend_servers);
        let leaving = servers.filter(|server| server.leaving);
        State {
            not_ready_because: self.not_ready_because,
            revision: self.configuration.revision,
            digest: self.configuration.digest,
            members: self.members,
            leaving: leaving.map(|server| server.server).collect(),
            refused,
        }
    }
}

async fn refused(peer: Peer) -> Option<BTreeMap<String, u64>> {
    let answer = peer.get("/metrics").await.ok()?;
    let text = answer.status.is_success().then_some(answer.body)?;
    let text = String::from_utf8_lossy(&text);
    Some(text.lines().filter_map(refusal).collect())
}

/// Reads a line such as `monsoonring_refusals_total{reason="overload"} 3`.
fn refusal(line: &str) -> Option<(String, u64)> {
    let (reason, count) = line.strip_prefix(REFUSALS)?.split_once("\"} ")?;
    Some((reason.to_owned(), count.trim().parse().ok()?))
}
