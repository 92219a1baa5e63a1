//! What a change does to callers, data and backend servers.

use crate::Range;
use crate::document::{Class, SoftDeadline};
use crate::id::{BackendServerId, CallerId, RouteId};
use derive_more::Display;
use serde::Serialize;

/// One thing that somebody will feel.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "effect")]
pub enum Effect {
    /// A caller may use more routes than before.
    #[display("caller {caller} gains {}", list(routes))]
    CallerGains {
        /// The caller.
        caller: CallerId,
        /// The routes that it gains.
        routes: Vec<RouteId>,
    },
    /// A caller may no longer use some routes.
    #[display("caller {caller} loses {}", list(routes))]
    CallerLoses {
        /// The caller.
        caller: CallerId,
        /// The routes that it loses.
        routes: Vec<RouteId>,
    },
    /// A caller's requests count more or less than before where there isn't room for all.
    #[display(
        "caller {caller} is admitted {} when there is not room for all, on {}",
        if to < from { "earlier" } else { "later" },
        list(routes)
    )]
    CallerReclassed {
        /// The caller.
        caller: CallerId,
        /// The class in the old document.
        from: Class,
        /// The class in the new document.
        to: Class,
        /// The routes that it uses.
        routes: Vec<RouteId>,
    },
    /// Requests that name no deadline have another one.
    #[display("route {route}: deadline {deadline_ms} in ms, for {}", list(callers))]
    Deadline {
        /// The route.
        route: RouteId,
        /// The callers that use the route.
        callers: Vec<CallerId>,
        /// The deadline in milliseconds.
        deadline_ms: Amount,
    },
    /// Partial answers come earlier, later, with another coverage, or no longer.
    #[display(
        "route {route}: {} (before: {}), for {}",
        partial(after),
        partial(before),
        list(callers)
    )]
    PartialAnswers {
        /// The route.
        route: RouteId,
        /// The callers that use the route.
        callers: Vec<CallerId>,
        /// The soft deadline in the old document.
        before: Option<SoftDeadline>,
        /// The soft deadline in the new document.
        after: Option<SoftDeadline>,
    },
    /// Keys are held by other backend servers than before, which must have the data by then.
    #[display(
        "route {route}: keys {keys} ({share_percent:.1} % of the data) {}",
        movement(from, to)
    )]
    KeysMoved {
        /// The route.
        route: RouteId,
        /// The keys.
        keys: Range,
        /// Part of the route's data that lies in the keys, in per cent, by the new weights.
        share_percent: f64,
        /// The backend servers that no longer hold the keys.
        from: Vec<BackendServerId>,
        /// The backend servers that hold the keys now and didn't before.
        to: Vec<BackendServerId>,
    },
    /// A route's key space has grown.
    #[display("route {route}: keys {keys} are new")]
    KeysAdded {
        /// The route.
        route: RouteId,
        /// The keys.
        keys: Range,
    },
    /// A route's key space has shrunk.
    #[display("route {route}: keys {keys} are no longer searched")]
    KeysRemoved {
        /// The route.
        route: RouteId,
        /// The keys.
        keys: Range,
    },
    /// A backend server has no work left on any route.
    #[display(
        "backend server {backend_server} loses all work (was on {})",
        list(routes)
    )]
    BackendServerIdle {
        /// The backend server.
        backend_server: BackendServerId,
        /// The routes that it worked for.
        routes: Vec<RouteId>,
    },
    /// A backend server that had no work gets some, and starts cold.
    #[display(
        "backend server {backend_server} gets its first work (on {})",
        list(routes)
    )]
    BackendServerNew {
        /// The backend server.
        backend_server: BackendServerId,
        /// The routes that it works for.
        routes: Vec<RouteId>,
    },
    /// A route has more or less room than before.
    #[display(
        "route {route}: slots {slots}, in the smallest group {smallest_group_slots}; \
         connections {connections}"
    )]
    Capacity {
        /// The route.
        route: RouteId,
        /// Requests at work at the same time, over all backend servers.
        slots: Amount,
        /// The same in the group that has fewest; it bounds a search, which needs every group.
        smallest_group_slots: Amount,
        /// Connections, over all backend servers.
        connections: Amount,
    },
}

/// A quantity before and after.
#[derive(Clone, Copy, Debug, Display, PartialEq, Serialize)]
#[display("{from} -> {to} ({percent:+.1} %)")]
pub struct Amount {
    /// The quantity in the old document.
    pub from: u64,
    /// The quantity in the new document.
    pub to: u64,
    /// The change, in per cent of the old quantity.
    pub percent: f64,
}

impl Amount {
    pub(super) fn new(from: u64, to: u64) -> Self {
        let whole = from.max(1) as f64;
        let percent = (to as f64 - from as f64) / whole * 100.0;
        Self { from, to, percent }
    }

    pub(super) fn is_changed(&self) -> bool {
        self.from != self.to
    }
}

fn list<T: ToString>(items: &[T]) -> String {
    if items.is_empty() {
        return "none".to_owned();
    }
    let names: Vec<String> = items.iter().map(ToString::to_string).collect();
    names.join(", ")
}

fn partial(soft: &Option<SoftDeadline>) -> String {
    match soft {
        Some(soft) => format!(
            "partial answers after {} ms from coverage {} on",
            soft.after_ms, soft.coverage
        ),
        None => "partial answers only at the deadline".to_owned(),
    }
}

fn movement(from: &[BackendServerId], to: &[BackendServerId]) -> String {
    match (from, to) {
        ([], to) => format!("are held by {} too", list(to)),
        (from, []) => format!("are no longer held by {}", list(from)),
        (from, to) => format!("move from {} to {}", list(from), list(to)),
    }
}
