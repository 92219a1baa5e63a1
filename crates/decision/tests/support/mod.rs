//! Builds routes, servers and reports for the tests of this crate.

#![allow(dead_code, reason = "each test file uses a part")]

use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::{BackendServerId, Incarnation};
use monsoonring_decision::reply::{Load, Report};
use std::net::SocketAddr;
use std::time::Duration;

pub(crate) const SLOTS: u32 = 3;
pub(crate) const CONNECTIONS: u32 = 64;

/// Returns the address of the test server with this number.
pub(crate) fn server(number: u16) -> BackendServerId {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

/// Returns a route with `groups` groups of `replicas` servers, numbered from 0 in order.
pub(crate) fn route(groups: u16, replicas: u16) -> Route {
    let group = |index: u16| {
        let first = index * replicas;
        let servers: Vec<_> = (first..first + replicas).map(server).collect();
        serde_json::json!({
            "name": format!("group-{index}"),
            "keys": {"start": index, "end": index + 1},
            "backend_servers": servers,
        })
    };
    let route = serde_json::json!({
        "name": "dispatch",
        "kind": "search",
        "callers": ["dispatcher"],
        "deadline_ms": 1_000,
        "capacity": {"slots": SLOTS, "connections": CONNECTIONS},
        "keys": {"start": 0, "end": groups},
        "groups": (0..groups).map(group).collect::<Vec<_>>(),
    });
    serde_json::from_value(route).expect("the route follows the schema")
}

pub(crate) fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Returns a report that contains only an incarnation.
pub(crate) fn started(start: Incarnation) -> Report {
    Report {
        start: Some(start),
        ..Report::default()
    }
}

/// Returns a report that contains only the load, with `busy` requests in progress.
pub(crate) fn loaded(busy: u32) -> Report {
    let load = Load {
        busy,
        slots: SLOTS,
        queued: 0,
    };
    Report {
        load: Some(load),
        ..Report::default()
    }
}
