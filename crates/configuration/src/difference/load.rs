//! Changes of the backend servers in use and of the routes' capacity.

use super::effect::{Amount, Effect};
use crate::document::{Document, Route};
use crate::id::{BackendServerId, RouteId};
use std::collections::BTreeMap;

/// Routes of each backend server.
type Assignments<'a> = BTreeMap<BackendServerId, Vec<&'a RouteId>>;

pub(super) fn effects(old: &Document, new: &Document) -> Vec<Effect> {
    let before = assignments(old);
    let after = assignments(new);
    let mut effects: Vec<Effect> = only_in_first(&before, &after)
        .map(|(backend_server, routes)| Effect::BackendServerIdle {
            backend_server,
            routes,
        })
        .collect();
    effects.extend(
        only_in_first(&after, &before).map(|(backend_server, routes)| Effect::BackendServerNew {
            backend_server,
            routes,
        }),
    );
    effects.extend(new.routes.iter().filter_map(|after| {
        let before = old.routes.iter().find(|before| before.name == after.name)?;
        capacity(before, after)
    }));
    effects
}

fn assignments(document: &Document) -> Assignments<'_> {
    let mut assignments = Assignments::new();
    for route in &document.routes {
        let servers = route.groups.iter().flat_map(|group| &group.backend_servers);
        for server in servers {
            assignments.entry(*server).or_default().push(&route.name);
        }
    }
    assignments
}

/// Returns the backend servers that are only in `first`, with their routes.
fn only_in_first(
    first: &Assignments<'_>,
    second: &Assignments<'_>,
) -> impl Iterator<Item = (BackendServerId, Vec<RouteId>)> {
    first
        .iter()
        .filter(|(server, _)| !second.contains_key(server))
        .map(|(server, routes)| (*server, routes.iter().map(|&route| route.clone()).collect()))
}

fn capacity(before: &Route, after: &Route) -> Option<Effect> {
    let slots = Amount::new(slots(before), slots(after));
    let connections = Amount::new(connections(before), connections(after));
    let smallest_group_slots =
        Amount::new(smallest_group_slots(before), smallest_group_slots(after));
    let changed = [slots, connections, smallest_group_slots]
        .iter()
        .any(Amount::is_changed);
    changed.then(|| Effect::Capacity {
        route: after.name.clone(),
        slots,
        smallest_group_slots,
        connections,
    })
}

fn servers(route: &Route) -> u64 {
    let groups = route.groups.iter();
    groups.map(|group| group.backend_servers.len() as u64).sum()
}

fn slots(route: &Route) -> u64 {
    servers(route) * u64::from(route.capacity.slots)
}

fn connections(route: &Route) -> u64 {
    servers(route) * u64::from(route.capacity.connections)
}

fn smallest_group_slots(route: &Route) -> u64 {
    let groups = route.groups.iter();
    let smallest = groups.map(|group| group.backend_servers.len() as u64).min();
    smallest.unwrap_or_default() * u64::from(route.capacity.slots)
}
