//! `monsoonring status`: compares the states of several daemons.

use crate::arguments::Status;
use crate::command::disagreement;
use crate::command::state::{self, Answer, Gateway, Registry, State};
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

const GATEWAY_HEADINGS: [&str; 6] = [
    "gateway",
    "configuration for",
    "from",
    "usable backend servers",
    "hosts",
    "retries left",
];

/// States of all daemons, and how they differ.
#[derive(Debug, Serialize)]
struct Report {
    agree: bool,
    revisions: BTreeSet<u64>,
    disagreements: Vec<String>,
    daemons: BTreeMap<SocketAddr, Answer>,
}

/// Fetches the state of each daemon concurrently and reports all of them.
pub(crate) async fn run(status: Status, output: Output) -> Code {
    let timeout = Duration::from_millis(status.timeout_ms);
    let mut exchanges = JoinSet::new();
    for address in status.daemons {
        let peer = Peer { address, timeout };
        exchanges.spawn(async move { (address, state::fetch(peer).await) });
    }
    let daemons = exchanges.join_all().await.into_iter().collect();
    let report = Report::new(daemons);
    output.report(&report);
    report.code()
}

impl Report {
    /// Compares the states. Daemons agree if they have the same revision and digest in force.
    fn new(daemons: BTreeMap<SocketAddr, Answer>) -> Self {
        let states: Vec<(SocketAddr, &State)> = daemons
            .iter()
            .filter_map(|(address, answer)| Some((*address, answer.state()?)))
            .collect();
        let in_force: BTreeSet<_> = states
            .iter()
            .map(|(_, state)| (state.revision, state.digest.clone()))
            .collect();
        let revisions = in_force.iter().filter_map(|(revision, _)| *revision);
        let disagreements = disagreement::describe(&states);
        Self {
            agree: in_force.len() <= 1,
            revisions: revisions.collect(),
            disagreements,
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
                table.add_row(cells(*address, state));
            }
        }
        write!(f, "{table}")?;
        for (address, answer) in &self.daemons {
            if let Some(error) = answer.error() {
                writeln!(f, "{address} {error}")?;
            }
        }
        write_gateways(&self.daemons, f)?;
        write_members(&self.daemons, f)?;
        write_refused(&self.daemons, f)?;
        for line in &self.disagreements {
            writeln!(f, "{line}")?;
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
    let reason = state.not_ready_because.as_ref();
    vec![
        address.to_string(),
        reason.map_or_else(|| "yes".to_owned(), |reason| format!("no: {reason}")),
        state
            .revision
            .map_or_else(|| "none".to_owned(), |revision| revision.to_string()),
        member_counts(state),
        list(state.leaving.iter()),
        refusal_counts(state),
    ]
}

/// Returns the number of members by state.
fn member_counts(state: &State) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for member in &state.members {
        *counts.entry(&member.state).or_default() += 1;
    }
    list(
        counts
            .iter()
            .map(|(state, count)| format!("{count} {state}")),
    )
}

/// Returns the number of refused requests by reason, over all routes.
fn refusal_counts(state: &State) -> String {
    let Some(refused) = &state.refused else {
        return "not known".to_owned();
    };
    let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
    for refusal in refused {
        *counts.entry(&refusal.reason).or_default() += refusal.count;
    }
    list(
        counts
            .iter()
            .map(|(reason, count)| format!("{reason} {count}")),
    )
}

/// Writes a table of the gateways: age and source of their configuration, registry and retry budgets.
fn write_gateways(daemons: &BTreeMap<SocketAddr, Answer>, f: &mut Formatter<'_>) -> fmt::Result {
    let mut table = Table::new(&GATEWAY_HEADINGS);
    let mut any = false;
    for (address, answer) in daemons {
        let gateway = answer.state().and_then(|state| state.gateway.as_ref());
        if let Some(gateway) = gateway {
            any = true;
            table.add_row(gateway_cells(*address, gateway));
        }
    }
    if any { write!(f, "\n{table}") } else { Ok(()) }
}

fn gateway_cells(address: SocketAddr, gateway: &Gateway) -> Vec<String> {
    let seconds = |ms: u64| format!("{:.1} s", Duration::from_millis(ms).as_secs_f64());
    let Registry {
        registered,
        doubted,
        usable,
    } = gateway.registry;
    let left = gateway.retries_left.iter();
    vec![
        address.to_string(),
        gateway.age_ms.map_or_else(|| "none".to_owned(), seconds),
        gateway.source.clone(),
        format!("{usable} of {registered}, {doubted} doubted"),
        gateway.hosts.to_string(),
        list(left.map(|(set, left)| format!("{set} {left:.1}"))),
    ]
}

/// Writes a table of the members that a daemon does not see as alive.
fn write_members(daemons: &BTreeMap<SocketAddr, Answer>, f: &mut Formatter<'_>) -> fmt::Result {
    let mut table = Table::new(&["member", "data centre", "state", "as seen by"]);
    let mut any = false;
    for (address, answer) in daemons {
        let members = answer.state().map_or(&[][..], |state| &state.members);
        for member in members.iter().filter(|member| member.state != "alive") {
            any = true;
            table.add_row(vec![
                member.address.to_string(),
                member.data_centre.clone(),
                member.state.clone(),
                address.to_string(),
            ]);
        }
    }
    if any { write!(f, "\n{table}") } else { Ok(()) }
}

/// Writes a table of the refused requests by reason, route and class.
fn write_refused(daemons: &BTreeMap<SocketAddr, Answer>, f: &mut Formatter<'_>) -> fmt::Result {
    let mut table = Table::new(&["refused", "route", "class", "count", "by"]);
    let mut any = false;
    for (address, answer) in daemons {
        let refused = answer.state().and_then(|state| state.refused.as_ref());
        for refusal in refused.into_iter().flatten() {
            any = true;
            table.add_row(vec![
                refusal.reason.clone(),
                or_dash(&refusal.route),
                or_dash(&refusal.class),
                refusal.count.to_string(),
                address.to_string(),
            ]);
        }
    }
    if any { write!(f, "\n{table}") } else { Ok(()) }
}

fn or_dash(text: &str) -> String {
    if text.is_empty() { "-" } else { text }.to_owned()
}

fn list<T: ToString>(parts: impl Iterator<Item = T>) -> String {
    let parts: Vec<String> = parts.map(|part| part.to_string()).collect();
    if parts.is_empty() {
        "-".to_owned()
    } else {
        parts.join(", ")
    }
}
