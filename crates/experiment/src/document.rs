//! Generates documents with a given number of backend servers.

use monsoonring_configuration::Range;
use monsoonring_configuration::document::{
    Caller, Capacity, Class, Document, Group, Hedge, Kind, Retry, Route,
};
use monsoonring_configuration::id::BackendServerId;
use std::net::Ipv4Addr;

/// Backend servers of each group.
pub const REPLICAS: usize = 3;
/// Groups of a route at design size.
pub const GROUPS: usize = 160;

const KEYS_PER_GROUP: u64 = 1_000;
const CALLER: &str = "dispatcher";
/// The discard port, on which nothing listens, so connections are refused immediately.
const CLOSED_PORT: u16 = 9;
const FIRST_HOST: u32 = 0x7f01_0000;

/// Returns a valid document with at least `servers` backend servers, in routes of `groups_per_route`
/// groups of [`REPLICAS`]. The addresses are loopback addresses on which nothing listens.
pub fn sized(servers: usize, groups_per_route: usize, capacity: Capacity) -> Document {
    let groups = servers.div_ceil(REPLICAS);
    let routes = (0..groups).step_by(groups_per_route);
    Document {
        callers: vec![Caller {
            name: CALLER.into(),
            class: Class::Normal,
            token_sha256: None,
        }],
        routes: routes
            .map(|first| route(first, groups_per_route.min(groups - first), capacity))
            .collect(),
    }
}

fn route(first: usize, groups: usize, capacity: Capacity) -> Route {
    Route {
        name: format!("route-{first}").into(),
        kind: Kind::Search,
        callers: vec![CALLER.into()],
        deadline_ms: 360,
        soft_deadline: None,
        hedge: Hedge::default(),
        retry: Retry::default(),
        capacity,
        max_body_bytes: 64 * 1_024,
        minimum_index_version: 0,
        keys: Range::new(0, groups as u64 * KEYS_PER_GROUP),
        groups: (0..groups).map(|index| group(first, index)).collect(),
    }
}

fn group(first: usize, index: usize) -> Group {
    let start = index as u64 * KEYS_PER_GROUP;
    let server = (first + index) * REPLICAS;
    Group {
        name: format!("group-{index}").into(),
        keys: Range::new(start, start + KEYS_PER_GROUP),
        weight: 1.0,
        backend_servers: (server..server + REPLICAS).map(address).collect(),
    }
}

fn address(server: usize) -> BackendServerId {
    let host = FIRST_HOST + u32::try_from(server).unwrap_or(u32::MAX - FIRST_HOST);
    BackendServerId::from((Ipv4Addr::from(host), CLOSED_PORT))
}
