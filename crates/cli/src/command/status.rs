//! `monsoonring status`: what the daemons hold to be true, side by side.

use crate::arguments::Status;
use crate::exit::Code;
use crate::output::Output;
use crate::peer::{self, Peer, Step};
use crate::table::Table;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Formatter};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

/// The facts of `GET /state` that the command shows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct State {
    /// Revision of the configuration in force; none before the first. It has to be there: an answer
    /// without it comes from something else than a daemon and must not count as one that agrees.
    #[serde(deserialize_with = "Option::deserialize")]
    revision: Option<u64>,
    /// Digest of that configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    digest: Option<String>,
    /// The daemons that this one knows.
    #[serde(default)]
    members: Vec<Member>,
    /// Backend servers that get no new work.
    #[serde(default)]
    leaving: Vec<SocketAddr>,
    /// Requests refused since the start, by reason.
    #[serde(default)]
    refused: BTreeMap<String, u64>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Member {
    address: SocketAddr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    operator: Option<SocketAddr>,
    #[serde(default)]
    data_centre: String,
    #[serde(default)]
    state: String,
}

/// What one daemon said, or why it said nothing.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Answer {
    State(State),
    Unreachable(String),
    Unreadable(String),
}

/// What all the daemons said.
#[derive(Debug, Serialize)]
struct Report {
    agree: bool,
    revisions: BTreeSet<u64>,
    daemons: BTreeMap<SocketAddr, Answer>,
}

/// Reads the state of each daemon and reports it.
pub(crate) async fn run(status: Status, output: Output) -> Code {
    let timeout = Duration::from_millis(status.timeout_ms);
    let mut daemons = ask(status.daemons.into_iter().collect(), timeout).await;
    if status.all {
        let others = members(&daemons);
        daemons.append(&mut ask(others, timeout).await);
    }
    let report = Report::new(daemons);
    output.report(&report);
    report.code()
}

async fn ask(daemons: BTreeSet<SocketAddr>, timeout: Duration) -> BTreeMap<SocketAddr, Answer> {
    let mut exchanges = JoinSet::new();
    for address in daemons {
        let peer = Peer { address, timeout };
        exchanges.spawn(async move { (address, state(peer).await) });
    }
    exchanges.join_all().await.into_iter().collect()
}

async fn state(peer: Peer) -> Answer {
    let answer = match peer.get("/state").await {
        Ok(answer) => answer,
        Err(error) => return unanswered(&error),
    };
    if !answer.status.is_success() {
        return Answer::Unreadable(format!("status {}", answer.status.as_u16()));
    }
    match serde_json::from_slice(&answer.body) {
        Ok(state) => Answer::State(state),
        Err(error) => Answer::Unreadable(error.to_string()),
    }
}

fn unanswered(error: &peer::Error) -> Answer {
    let step: Step = error.step();
    match step {
        Step::Read => Answer::Unreadable(error.to_string()),
        Step::Compose | Step::Connect | Step::Send => Answer::Unreachable(error.to_string()),
    }
}

/// Returns the operator addresses of the members that have not been asked yet.
fn members(daemons: &BTreeMap<SocketAddr, Answer>) -> BTreeSet<SocketAddr> {
    daemons
        .values()
        .filter_map(Answer::state)
        .flat_map(|state| &state.members)
        .filter_map(|member| member.operator)
        .filter(|address| !daemons.contains_key(address))
        .collect()
}

impl Answer {
    fn state(&self) -> Option<&State> {
        match self {
            Self::State(state) => Some(state),
            Self::Unreachable(_) | Self::Unreadable(_) => None,
        }
    }

    fn silence(&self) -> Option<String> {
        match self {
            Self::State(_) => None,
            Self::Unreachable(why) => Some(format!("unreachable: {why}")),
            Self::Unreadable(why) => Some(format!("unreadable: {why}")),
        }
    }
}

impl State {
    fn cells(&self, address: SocketAddr) -> Vec<String> {
        let revision = self
            .revision
            .map_or_else(|| "none".to_owned(), |revision| revision.to_string());
        let leaving = self.leaving.iter().map(ToString::to_string);
        let refused = self.refused.iter();
        vec![
            address.to_string(),
            revision,
            self.members.len().to_string(),
            list(leaving),
            list(refused.map(|(reason, count)| format!("{reason} {count}"))),
        ]
    }
}

fn list(parts: impl Iterator<Item = String>) -> String {
    let parts: Vec<String> = parts.collect();
    if parts.is_empty() {
        "-".to_owned()
    } else {
        parts.join(", ")
    }
}

impl Report {
    /// Daemons agree where they name the same revision and, for one revision, the same digest.
    fn new(daemons: BTreeMap<SocketAddr, Answer>) -> Self {
        let in_force: BTreeSet<_> = daemons
            .values()
            .filter_map(Answer::state)
            .map(|state| (state.revision, state.digest.clone()))
            .collect();
        Self {
            agree: in_force.len() <= 1,
            revisions: in_force
                .iter()
                .filter_map(|(revision, _)| *revision)
                .collect(),
            daemons,
        }
    }

    fn code(&self) -> Code {
        if !self.agree {
            return Code::Disagreement;
        }
        if self.daemons.values().any(|answer| answer.state().is_none()) {
            return Code::Unreachable;
        }
        Code::Success
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let mut table = Table::new(&[
            "daemon",
            "revision",
            "members",
            "leaving backend servers",
            "refused",
        ]);
        for (address, answer) in &self.daemons {
            if let Some(state) = answer.state() {
                table.row(state.cells(*address));
            }
        }
        write!(f, "{table}")?;
        for (address, answer) in &self.daemons {
            if let Some(why) = answer.silence() {
                writeln!(f, "{address} {why}")?;
            }
        }
        if !self.agree {
            let revisions = list(self.revisions.iter().map(ToString::to_string));
            writeln!(
                f,
                "the daemons disagree on the configuration in force: revisions {revisions}"
            )?;
        }
        Ok(())
    }
}
