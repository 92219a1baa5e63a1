//! Rules between the fields of a document.

use super::Fault;
use super::node::Node;
use super::tiling;
use crate::document::{Hedge, Kind};
use crate::id::BackendServerId;
use crate::limit;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};

/// Returns the violations of the rules, at least [`limit::FAULTS`] of them if there are more.
pub(super) fn faults(document: &Node<'_>) -> Vec<Fault> {
    let callers = document.items("callers");
    let routes = document.items("routes");
    let known_callers: HashSet<&str> = callers
        .iter()
        .filter_map(|caller| caller.read_field("name"))
        .collect();
    let mut faults = duplicates(names(&callers), "another caller");
    faults.extend(duplicates(names(&routes), "another route"));
    for route in &routes {
        if faults.len() > limit::FAULTS {
            break;
        }
        faults.extend(route_faults(route, &known_callers));
    }
    faults
}

fn route_faults(route: &Node<'_>, known_callers: &HashSet<&str>) -> Vec<Fault> {
    let groups = route.items("groups");
    let mut faults = caller_faults(route, known_callers);
    faults.extend(duplicates(names(&groups), "another group of the route"));
    faults.extend(server_faults(&groups));
    faults.extend(tiling::faults(route));
    faults.extend(deadline_faults(route));
    if route.read_field("kind") == Some(Kind::Execute) {
        faults.extend(execute_faults(route));
    }
    faults
}

fn caller_faults(route: &Node<'_>, known_callers: &HashSet<&str>) -> Vec<Fault> {
    let callers = route.items("callers");
    let mut faults: Vec<Fault> = callers
        .iter()
        .filter_map(|caller| Some((caller, caller.read::<&str>()?)))
        .filter(|(_, name)| !known_callers.contains(name))
        .map(|(caller, name)| {
            caller.fault(
                format!("there is no caller `{name}`"),
                "the name of one of the document's callers",
            )
        })
        .take(limit::FAULTS + 1)
        .collect();
    faults.extend(duplicates(callers, "another entry of the list"));
    faults
}

fn server_faults(groups: &[Node<'_>]) -> Vec<Fault> {
    let servers: Vec<Node<'_>> = groups
        .iter()
        .flat_map(|group| group.items("backend_servers"))
        .collect();
    let mut faults = Vec::new();
    let mut seen = HashMap::new();
    for server in &servers {
        if faults.len() > limit::FAULTS {
            break;
        }
        let Some(address) = server.read::<BackendServerId>() else {
            faults.extend(format_fault(server));
            continue;
        };
        faults.extend(address_fault(server, address));
        match seen.entry(address) {
            Entry::Vacant(entry) => {
                entry.insert(&server.path);
            }
            Entry::Occupied(entry) => faults.push(server.fault(
                format!("{address} is already listed at {}", entry.get()),
                "each backend server once in a route",
            )),
        }
    }
    faults
}

fn address_fault(server: &Node<'_>, address: BackendServerId) -> Option<Fault> {
    let ip = address.ip();
    let is_reachable = address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast();
    (!is_reachable).then(|| {
        server.fault(
            format!("{address} isn't an address to connect to"),
            "the IP and port on which the backend server listens",
        )
    })
}

/// Returns the fault of a string that isn't an address; the schema check reports other types.
fn format_fault(server: &Node<'_>) -> Option<Fault> {
    let text = server.read::<&str>()?;
    Some(server.fault(
        format!("{text:?} isn't an IP address with a port"),
        "an address such as \"10.1.2.3:7100\" or \"[2001:db8::1]:7100\"",
    ))
}

fn deadline_faults(route: &Node<'_>) -> Vec<Fault> {
    let Some(deadline) = route.read_field::<u64>("deadline_ms") else {
        return Vec::new();
    };
    let soft = route
        .field("soft_deadline")
        .and_then(|soft| soft.field("after_ms"));
    let connect = route
        .field("capacity")
        .and_then(|capacity| capacity.field("connect_ms"));
    [
        (soft, "the soft deadline"),
        (connect, "the time for a new connection"),
    ]
    .into_iter()
    .filter_map(|(node, label)| Some((node?, label)))
    .filter_map(|(node, label)| Some((node.read::<u64>()?, node, label)))
    .filter(|(time, _, _)| *time >= deadline)
    .map(|(time, node, label)| {
        node.fault(
            format!("{label}, {time} ms, isn't before the deadline, {deadline} ms"),
            format!("less than {deadline}"),
        )
    })
    .collect()
}

/// Finds hedging, partial answers and several groups on an execute route. Its requests run at most
/// once, at one backend server.
fn execute_faults(route: &Node<'_>) -> Vec<Fault> {
    let mut faults = Vec::new();
    if let Some(hedge) = route.field("hedge") {
        let percent = hedge.read::<Hedge>().map(|hedge| hedge.budget_percent);
        if percent.is_some_and(|percent| percent > 0.0) {
            faults.push(Fault::new(
                hedge.path.field("budget_percent"),
                "a hedge would run a non-idempotent request a second time",
                "0, or no `hedge` at all",
            ));
        }
    }
    if let Some(soft) = route.field("soft_deadline") {
        faults.push(soft.fault(
            "an execute route has no partial answers",
            "no `soft_deadline`",
        ));
    }
    let groups = route.items("groups").len();
    if groups > 1 {
        faults.push(Fault::new(
            route.path.field("groups"),
            format!("an execute route has {groups} groups"),
            "exactly one group, of which one backend server runs the request",
        ));
    }
    faults
}

fn names<'a>(nodes: &[Node<'a>]) -> Vec<Node<'a>> {
    nodes.iter().filter_map(|node| node.field("name")).collect()
}

/// Finds strings that occur more than once; `owner` describes what has the first one.
fn duplicates(nodes: Vec<Node<'_>>, owner: &str) -> Vec<Fault> {
    let mut seen = HashMap::new();
    let mut faults = Vec::new();
    for node in nodes {
        if faults.len() > limit::FAULTS {
            break;
        }
        let Some(name) = node.read::<&str>() else {
            continue;
        };
        if let Some(earlier) = seen.get(name) {
            faults.push(node.fault(
                format!("`{name}` is already the name of {owner} ({earlier})"),
                "a unique name",
            ));
        } else {
            seen.insert(name, node.path.clone());
        }
    }
    faults
}
