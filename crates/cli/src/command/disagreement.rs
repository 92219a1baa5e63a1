//! Where daemons see things differently, in sentences.
//!
//! For some seconds after each change this is how news spreads. A disagreement that stays is a
//! partition, a configuration that does not spread, or two documents under one revision.

use super::state::State;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Says all that the daemons see differently, and what each of them knows to be wrong with itself.
pub(super) fn among(states: &[(SocketAddr, &State)]) -> Vec<String> {
    let mut lines = versions(states);
    lines.extend(members(states));
    lines.extend(homes(states));
    lines.extend(leaving(states));
    lines.extend(
        states
            .iter()
            .flat_map(|(address, state)| own(*address, state)),
    );
    lines
}

fn versions(states: &[(SocketAddr, &State)]) -> Vec<String> {
    let mut by: BTreeMap<_, Vec<SocketAddr>> = BTreeMap::new();
    for (address, state) in states {
        let version = (state.revision, state.digest.clone());
        by.entry(version).or_default().push(*address);
    }
    if by.len() <= 1 {
        return Vec::new();
    }
    let line = |((revision, digest), at): ((Option<u64>, Option<String>), Vec<SocketAddr>)| {
        let revision = revision.map_or_else(
            || "no configuration".to_owned(),
            |revision| format!("revision {revision}, digest {}", digest.unwrap_or_default()),
        );
        format!("{revision}: in force at {}", list(&at))
    };
    by.into_iter().map(line).collect()
}

/// Members that some daemons see in one state, and some in another or not at all.
fn members(states: &[(SocketAddr, &State)]) -> Vec<String> {
    let mut seen: BTreeMap<SocketAddr, BTreeMap<&str, Vec<SocketAddr>>> = BTreeMap::new();
    for (at, state) in states {
        for member in &state.members {
            let by = seen.entry(member.address).or_default();
            by.entry(&member.state).or_default().push(*at);
        }
    }
    for by in seen.values_mut() {
        let known: BTreeSet<SocketAddr> = by.values().flatten().copied().collect();
        let others = states.iter().map(|(at, _)| *at);
        let others: Vec<_> = others.filter(|at| !known.contains(at)).collect();
        if !others.is_empty() {
            by.insert("not known", others);
        }
    }
    let differing = seen.into_iter().filter(|(_, by)| by.len() > 1);
    let line = |(member, by): (SocketAddr, BTreeMap<&str, Vec<SocketAddr>>)| {
        let parts = by
            .into_iter()
            .map(|(state, at)| format!("{state} at {}", list(&at)));
        let parts: Vec<String> = parts.collect();
        format!("member {member}: {}", parts.join("; "))
    };
    differing.map(line).collect()
}

/// Routes whose homes some daemons compute differently: they may hold more connections than they
/// should until they agree.
fn homes(states: &[(SocketAddr, &State)]) -> Vec<String> {
    let mut views: BTreeMap<&str, BTreeMap<&[SocketAddr], Vec<SocketAddr>>> = BTreeMap::new();
    for (at, state) in states {
        for (route, homes) in &state.homes {
            let by = views.entry(route).or_default();
            by.entry(homes).or_default().push(*at);
        }
    }
    let differing = views.into_iter().filter(|(_, by)| by.len() > 1);
    let line = |(route, by): (&str, BTreeMap<&[SocketAddr], Vec<SocketAddr>>)| {
        let parts = by.into_iter();
        let parts = parts.map(|(homes, at)| format!("{} at {}", list(homes), list(&at)));
        let parts: Vec<String> = parts.collect();
        format!("homes of {route}: {}", parts.join("; "))
    };
    differing.map(line).collect()
}

/// Backend servers that some homes of a route give no new work, and other homes do.
fn leaving(states: &[(SocketAddr, &State)]) -> Vec<String> {
    let all: BTreeSet<SocketAddr> = states
        .iter()
        .flat_map(|(_, state)| state.leaving.iter().copied())
        .collect();
    let line = |server: SocketAddr| {
        let serves = |state: &State| state.serves(server);
        let (told, untold): (Vec<_>, Vec<_>) = states
            .iter()
            .filter(|(_, state)| serves(state))
            .partition(|(_, state)| state.leaving.contains(&server));
        let addresses = |states: Vec<&(SocketAddr, &State)>| {
            list(&states.into_iter().map(|(at, _)| *at).collect::<Vec<_>>())
        };
        (!untold.is_empty()).then(|| {
            let (told, untold) = (addresses(told), addresses(untold));
            format!("backend server {server}: leaving at {told}, not at {untold}")
        })
    };
    all.into_iter().filter_map(line).collect()
}

fn own(address: SocketAddr, state: &State) -> Vec<String> {
    let mut lines = Vec::new();
    if state.isolated {
        lines.push(format!(
            "{address} is probably cut off: too many members died at once"
        ));
    }
    if state.conflicts > 0 {
        lines.push(format!(
            "{address} saw {} documents under a revision that another one has: publish again",
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
