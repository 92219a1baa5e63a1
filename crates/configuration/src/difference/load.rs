//! Which backend servers have work, and how much room there is.

use super::effect::{Amount, Effect};
use crate::document::{Document, Route};
use crate::id::{BackendServerId, RouteId};
use std::collections::BTreeMap;

type Work<'a> = BTreeMap<BackendServerId, Vec<&'a RouteId>>;

pub(super) fn effects(old: &Document, new: &Document) -> Vec<Effect> {
    let before = work(old);
    let after = work(new);
    let mut effects: Vec<Effect> = only(&before, &after)
        .map(|(backend_server, routes)| Effect::BackendServerIdle {
            backend_server,
            routes,
        })
        .collect();
    effects.extend(only(&after, &before).map(|(backend_server, routes)| {
        Effect::BackendServerNew {
            backend_server,
            routes,
        }
    }));
    effects.extend(new.routes.iter().filter_map(|after| {
        let before = old.routes.iter().find(|before| before.name == after.name)?;
        capacity(before, after)
    }));
    effects
}

fn work(document: &Document) -> Work<'_> {
    let mut work = Work::new();
    for route in &document.routes {
        let servers = route.groups.iter().flat_map(|group| &group.backend_servers);
        for server in servers {
            work.entry(*server).or_default().push(&route.name);
        }
    }
    work
}

/// The backend servers that have work on one side and none on the other.
fn only(
    side: &Work<'_>,
    other: &Work<'_>,
) -> impl Iterator<Item = (BackendServerId, Vec<RouteId>)> {
    side.iter()
        .filter(|(server, _)| !other.contains_key(server))
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
