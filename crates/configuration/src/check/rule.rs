//! The rules between the fields of a document.

use super::Fault;
use super::node::Node;
use super::tiling;
use crate::document::{Hedge, Kind};
use crate::id::BackendServerId;
use crate::limit;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};

/// Finds all breaches of the rules in a document, or more than are listed.
pub(super) fn faults(document: &Node<'_>) -> Vec<Fault> {
    let callers = document.items("callers");
    let routes = document.items("routes");
    let known: HashSet<&str> = callers
        .iter()
        .filter_map(|caller| caller.read_field("name"))
        .collect();
    let mut faults = repeated(names(&callers), "another caller");
    faults.extend(repeated(names(&routes), "another route"));
    for route in &routes {
        if faults.len() > limit::FAULTS {
            break;
        }
        faults.extend(route_faults(route, &known));
    }
    faults
}

fn route_faults(route: &Node<'_>, known: &HashSet<&str>) -> Vec<Fault> {
    let groups = route.items("groups");
    let mut faults = caller_faults(route, known);
    faults.extend(repeated(names(&groups), "another group of the route"));
    faults.extend(server_faults(&groups));
    faults.extend(tiling::faults(route));
    faults.extend(deadline_faults(route));
    if route.read_field("kind") == Some(Kind::Execute) {
        faults.extend(execute_faults(route));
    }
    faults
}

fn caller_faults(route: &Node<'_>, known: &HashSet<&str>) -> Vec<Fault> {
    let callers = route.items("callers");
    let mut faults: Vec<Fault> = callers
        .iter()
        .filter_map(|caller| Some((caller, caller.read::<&str>()?)))
        .filter(|(_, name)| !known.contains(name))
        .map(|(caller, name)| {
            caller.fault(
                format!("there is no caller `{name}`"),
                "the name of one of the document's callers",
            )
        })
        .take(limit::FAULTS + 1)
        .collect();
    faults.extend(repeated(callers, "another entry of the list"));
    faults
}

fn server_faults(groups: &[Node<'_>]) -> Vec<Fault> {
    let servers: Vec<Node<'_>> = groups
        .iter()
        .flat_map(|group| group.items("backend_servers"))
        .collect();
    let mut faults = Vec::new();
    let mut first = HashMap::new();
    for server in &servers {
        if faults.len() > limit::FAULTS {
            break;
        }
        let Some(address) = server.read::<BackendServerId>() else {
            faults.extend(spelling_fault(server));
            continue;
        };
        faults.extend(address_fault(server, address));
        match first.entry(address) {
            Entry::Vacant(entry) => {
                entry.insert(&server.path);
            }
            Entry::Occupied(entry) => faults.push(server.fault(
                format!("{address} already stands at {}", entry.get()),
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
            format!("nothing can be connected to at {address}"),
            "the IP and port on which the backend server listens",
        )
    })
}

/// A string that isn't an address; of other types the schema has already complained.
fn spelling_fault(server: &Node<'_>) -> Option<Fault> {
    let text = server.read::<&str>()?;
    Some(server.fault(
        format!("{text:?} isn't an IP address with a port"),
        "such as \"10.1.2.3:7100\" or \"[2001:db8::1]:7100\"",
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
    .filter_map(|(node, what)| Some((node?, what)))
    .filter_map(|(node, what)| Some((node.read::<u64>()?, node, what)))
    .filter(|(time, _, _)| *time >= deadline)
    .map(|(time, node, what)| {
        node.fault(
            format!("{what}, {time} ms, isn't before the deadline, {deadline} ms"),
            format!("less than {deadline}"),
        )
    })
    .collect()
}

/// What a non-idempotent route can't have: it runs at one backend server once, so it has no second
/// copy to race, no part of an answer, and no other group to ask.
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
            "an execute route has no partial answers that could be given earlier",
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

/// Finds the strings that stand a second time.
fn repeated(nodes: Vec<Node<'_>>, other: &str) -> Vec<Fault> {
    let mut first = HashMap::new();
    let mut faults = Vec::new();
    for node in nodes {
        if faults.len() > limit::FAULTS {
            break;
        }
        let Some(name) = node.read::<&str>() else {
            continue;
        };
        if let Some(earlier) = first.get(name) {
            faults.push(node.fault(
                format!("`{name}` is already the name of {other} ({earlier})"),
                "a name that stands only once",
            ));
        } else {
            first.insert(name, node.path.clone());
        }
    }
    faults
}
