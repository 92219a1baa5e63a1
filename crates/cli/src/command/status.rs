//! `monsoonring status`: what the daemons hold to be true, side by side.

use crate::arguments::Status;
use crate::command::state::{self, Answer, State};
use crate::exit::Code;
use crate::output::Output;
use crate::peer::Peer;
use crate::table::Table;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Formatter};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;

const HEADINGS: [&str; 6] = [
    "daemon",
    "ready",
    "revision",
    "members",
    "leaving backend servers",
    "refused",
];

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
    let mut exchanges = JoinSet::new();
    for address in status.daemons {
        let peer = Peer { address, timeout };
        exchanges.spawn(async move { (address, state::ask(peer).await) });
    }
    let daemons = exchanges.join_all().await.into_iter().collect();
    let report = Report::new(daemons);
    output.report(&report);
    report.code()
}

impl Report {
    /// Daemons agree where they name the same revision and, for one revision, the same digest.
    fn new(daemons: BTreeMap<SocketAddr, Answer>) -> Self {
        let states = daemons.values().filter_map(Answer::state);
        let in_force: BTreeSet<_> = states
            .map(|state| (state.revision, state.digest.clone()))
            .collect();
        let revisions = in_force.iter().filter_map(|(revision, _)| *revision);
        Self {
            agree: in_force.len() <= 1,
            revisions: revisions.collect(),
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
        let mut table = Table::new(&HEADINGS);
        for (address, answer) in &self.daemons {
            if let Some(state) = answer.state() {
                table.row(cells(*address, state));
            }
        }
        write!(f, "{table}")?;
        for (address, answer) in &self.daemons {
            if let Some(why) = answer.silence() {
                writeln!(f, "{address} {why}")?;
            }
        }
        if !self.agree {
            let revisions = list(self.revisions.iter());
            writeln!(
                f,
                "the daemons disagree on the configuration in force: revisions {revisions}"
            )?;
        }
        Ok(())
    }
}

fn cells(address: SocketAddr, state: &State) -> Vec<String> {
    let none = || "none".to_owned();
    let reason = state.not_ready_because.as_ref();
    let refused = state.refused.as_ref().map(|refused| {
        let counts = refused.iter();
        list(counts.map(|(reason, count)| format!("{reason} {count}")))
    });
    vec![
        address.to_string(),
        reason.map_or_else(|| "yes".to_owned(), |reason| format!("no: {reason}")),
        state
            .revision
            .map_or_else(none, |revision| revision.to_string()),
        state.members.len().to_string(),
        list(state.leaving.iter()),
        refused.unwrap_or_else(|| "not known".to_owned()),
    ]
}

fn list<T: ToString>(parts: impl Iterator<Item = T>) -> String {
    let parts: Vec<String> = parts.map(|part| part.to_string()).collect();
    if parts.is_empty() {
        "-".to_owned()
    } else {
        parts.join(", ")
    }
}
