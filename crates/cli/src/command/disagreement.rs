//! Describes where the states of several daemons differ.
//!
//! Daemons differ for some seconds after each change, until gossip has reached all of them. A lasting
//! difference indicates a network partition, a configuration that does not spread, or two documents
//! with the same revision.

use super::state::State;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Returns a line for each difference between the daemons, and for each problem that a daemon reports
/// about itself.
pub(super) fn describe(states: &[(SocketAddr, &State)]) -> Vec<String> {
    let mut lines = versions(states);
    lines.extend(members(states));
    lines.extend(homes(states));
    lines.extend(leaving(states));
    lines.extend(
        states
            .iter()
            .flat_map(|(address, state)| reported(*address, state)),
    );
    lines
}

/// Returns a line for each configuration in force if there are several.
fn versions(states: &[(SocketAddr, &State)]) -> Vec<String> {
    let mut versions: BTreeMap<_, Vec<SocketAddr>> = BTreeMap::new();
    for (address, state) in states {
        let version = (state.revision, state.digest.clone());
        versions.entry(version).or_default().push(*address);
    }
    if versions.len() <= 1 {
        return Vec::new();
    }
    let line = |((revision, digest), at): ((Option<u64>, Option<String>), Vec<SocketAddr>)| {
        let revision = revision.map_or_else(
            || "no configuration".to_owned(),
            |revision| format!("revision {revision}, digest {}", digest.unwrap_or_default()),
        );
        format!("{revision}: in force at {}", list(&at))
    };
    versions.into_iter().map(line).collect()
}

/// Returns a line for each member that daemons see in different states, or that only some know.
fn members(states: &[(SocketAddr, &State)]) -> Vec<String> {
    let mut views: BTreeMap<SocketAddr, BTreeMap<&str, Vec<SocketAddr>>> = BTreeMap::new();
    for (at, state) in states {
        for member in &state.members {
            let by_state = views.entry(member.address).or_default();
            by_state.entry(&member.state).or_default().push(*at);
        }
    }
    for by_state in views.values_mut() {
        let known: BTreeSet<SocketAddr> = by_state.values().flatten().copied().collect();
        let others = states.iter().map(|(at, _)| *at);
        let others: Vec<_> = others.filter(|at| !known.contains(at)).collect();
        if !others.is_empty() {
            by_state.insert("not known", others);
        }
    }
    let differing = views.into_iter().filter(|(_, by_state)| by_state.len() > 1);
    let line = |(member, by_state): (SocketAddr, BTreeMap<&str, Vec<SocketAddr>>)| {
        let parts = by_state
            .into_iter()
            .map(|(state, at)| format!("{state} at {}", list(&at)));
        let parts: Vec<String> = parts.collect();
        format!("member {member}: {}", parts.join("; "))
    };
    differing.map(line).collect()
}

/// Returns a line for each route whose homes the daemons compute differently. Until they agree, they
/// may hold more connections than intended.
fn homes(states: &[(SocketAddr, &State)]) -> Vec<String> {
    let mut views: BTreeMap<&str, BTreeMap<&[SocketAddr], Vec<SocketAddr>>> = BTreeMap::new();
    for (at, state) in states {
        for (route, homes) in &state.homes {
            let by_homes = views.entry(route).or_default();
            by_homes.entry(homes).or_default().push(*at);
        }
    }
    let differing = views.into_iter().filter(|(_, by_homes)| by_homes.len() > 1);
    let line = |(route, by_homes): (&str, BTreeMap<&[SocketAddr], Vec<SocketAddr>>)| {
        let parts = by_homes.into_iter();
        let parts = parts.map(|(homes, at)| format!("{} at {}", list(homes), list(&at)));
        let parts: Vec<String> = parts.collect();
        format!("homes of {route}: {}", parts.join("; "))
    };
    differing.map(line).collect()
}

/// Returns a line for each backend server that only some of the homes that use it treat as leaving.
fn leaving(states: &[(SocketAddr, &State)]) -> Vec<String> {
    let all: BTreeSet<SocketAddr> = states
        .iter()
        .flat_map(|(_, state)| state.leaving.iter().copied())
        .collect();
    let line = |server: SocketAddr| {
        let serves = |state: &State| state.serves(server);
        let (aware, unaware): (Vec<_>, Vec<_>) = states
            .iter()
            .filter(|(_, state)| serves(state))
            .partition(|(_, state)| state.leaving.contains(&server));
        let addresses = |states: Vec<&(SocketAddr, &State)>| {
            list(&states.into_iter().map(|(at, _)| *at).collect::<Vec<_>>())
        };
        (!unaware.is_empty()).then(|| {
            let (aware, unaware) = (addresses(aware), addresses(unaware));
            format!("backend server {server}: leaving at {aware}, not at {unaware}")
        })
    };
    all.into_iter().filter_map(line).collect()
}

/// Returns the problems that a daemon reports about itself.
fn reported(address: SocketAddr, state: &State) -> Vec<String> {
    let mut lines = Vec::new();
    if state.isolated {
        lines.push(format!(
            "{address} is probably cut off: too many members died at once"
        ));
    }
    if state.conflicts > 0 {
        lines.push(format!(
            "{address} saw {} documents that share a revision with another one: publish again",
            state.conflicts
        ));
    }
    if !state.crashing.is_empty() {
        let requests: Vec<&str> = state.crashing.iter().map(String::as_str).collect();
        lines.push(format!(
            "{address} refuses requests that crash backend servers: {}",
            requests.join(", ")
        ));
    }
    lines
}

fn list(addresses: &[SocketAddr]) -> String {
    let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    addresses.join(", ")
}
