//! Effects of a change on callers, data and backend servers.

use crate::Range;
use crate::document::{Class, SoftDeadline};
use crate::id::{BackendServerId, CallerId, RouteId};
use derive_more::Display;
use serde::Serialize;

/// Effect of a new document.
#[derive(Clone, Debug, Display, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "effect")]
pub enum Effect {
    /// A caller may use more routes than before.
    #[display("caller {caller} gains {}", list(routes))]
    CallerGains {
        /// Name of the caller.
        caller: CallerId,
        /// Routes that it may use now and could not use before.
        routes: Vec<RouteId>,
    },
    /// A caller may no longer use some routes.
    #[display("caller {caller} loses {}", list(routes))]
    CallerLoses {
        /// Name of the caller.
        caller: CallerId,
        /// Routes that it may no longer use.
        routes: Vec<RouteId>,
    },
    /// A caller has another class and so another priority under overload.
    #[display(
        "caller {caller} is admitted {} under overload, on {}",
        if to < from { "earlier" } else { "later" },
        list(routes)
    )]
    CallerReclassed {
        /// Name of the caller.
        caller: CallerId,
        /// Class in the old document.
        from: Class,
        /// Class in the new document.
        to: Class,
        /// Routes that the caller may use.
        routes: Vec<RouteId>,
    },
    /// Requests that don't set a deadline have another one.
    #[display("route {route}: deadline {deadline_ms} in ms, for {}", list(callers))]
    Deadline {
        /// Name of the route.
        route: RouteId,
        /// Callers that may use the route.
        callers: Vec<CallerId>,
        /// Deadline, in milliseconds.
        deadline_ms: Amount,
    },
    /// The soft deadline of a route was added, changed or removed.
    #[display(
        "route {route}: {} (before: {}), for {}",
        partial(after),
        partial(before),
        list(callers)
    )]
    PartialAnswers {
        /// Name of the route.
        route: RouteId,
        /// Callers that may use the route.
        callers: Vec<CallerId>,
        /// Soft deadline in the old document.
        before: Option<SoftDeadline>,
        /// Soft deadline in the new document.
        after: Option<SoftDeadline>,
    },
    /// Keys move to other backend servers, which need the data before the document is published.
    #[display(
        "route {route}: keys {keys} ({share_percent:.1} % of the data) {}",
        movement(from, to)
    )]
    KeysMoved {
        /// Name of the route.
        route: RouteId,
        /// Range of the moved keys.
        keys: Range,
        /// Share of the route's data in the range, in per cent, computed from the new weights.
        share_percent: f64,
        /// Backend servers that no longer hold the keys.
        from: Vec<BackendServerId>,
        /// Backend servers that hold the keys now and didn't before.
        to: Vec<BackendServerId>,
    },
    /// A route's key space has grown.
    #[display("route {route}: keys {keys} are new")]
    KeysAdded {
        /// Name of the route.
        route: RouteId,
        /// Range of the added keys.
        keys: Range,
    },
    /// A route's key space has shrunk.
    #[display("route {route}: keys {keys} are no longer searched")]
    KeysRemoved {
        /// Name of the route.
        route: RouteId,
        /// Range of the removed keys.
        keys: Range,
    },
    /// No route uses a backend server any more.
    #[display(
        "backend server {backend_server} loses all work (was on {})",
        list(routes)
    )]
    BackendServerIdle {
        /// Address of the backend server.
        backend_server: BackendServerId,
        /// Routes that used it.
        routes: Vec<RouteId>,
    },
    /// A route uses a backend server that no route used before. Its caches are cold.
    #[display(
        "backend server {backend_server} gets its first work (on {})",
        list(routes)
    )]
    BackendServerNew {
        /// Address of the backend server.
        backend_server: BackendServerId,
        /// Routes that use it.
        routes: Vec<RouteId>,
    },
    /// The capacity of a route has changed.
    #[display(
        "route {route}: slots {slots}, in the smallest group {smallest_group_slots}; \
         connections {connections}"
    )]
    Capacity {
        /// Name of the route.
        route: RouteId,
        /// Concurrent requests, summed over all backend servers.
        slots: Amount,
        /// Concurrent requests of the smallest group. It bounds searches, which need every group.
        smallest_group_slots: Amount,
        /// Connections, summed over all backend servers.
        connections: Amount,
    },
}

/// A quantity before and after.
#[derive(Clone, Copy, Debug, Display, PartialEq, Serialize)]
#[display("{from} -> {to} ({percent:+.1} %)")]
pub struct Amount {
    /// Quantity in the old document.
    pub from: u64,
    /// Quantity in the new document.
    pub to: u64,
    /// Change in per cent of the old quantity.
    pub percent: f64,
}

impl Amount {
    pub(super) fn new(from: u64, to: u64) -> Self {
        let base = from.max(1) as f64;
        let percent = (to as f64 - from as f64) / base * 100.0;
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
        ([], to) => format!("are also held by {}", list(to)),
        (from, []) => format!("are no longer held by {}", list(from)),
        (from, to) => format!("move from {} to {}", list(from), list(to)),
    }
}
