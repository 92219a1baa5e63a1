//! What operators see.

use super::Node;
use crate::service::Explain;
use monsoonring_configuration::id::RouteId;
use monsoonring_decision::home::action::Decision;
use monsoonring_decision::{RequestId, Time};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

/// Decisions kept for `explain`.
const KEPT: usize = 20_000;

/// The latest decisions, for questions about one request. They are kept as they come, and written
/// out for the few that somebody asks about.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent(Arc<Mutex<VecDeque<Kept>>>);

/// A decision on a request.
#[derive(Clone, Debug)]
struct Kept {
    at: Time,
    route: RouteId,
    decision: Decision,
}

impl Kept {
    fn is_on(&self, request: RequestId) -> bool {
        self.decision.request == Some(request)
    }

    fn line(&self) -> Value {
        json!({
            "at_ms": self.at.as_millis(),
            "route": &*self.route,
            "decision": self.decision.what,
            "backend_server": self.decision.backend_server,
            "reason": self.decision.why.to_string(),
        })
    }
}

impl Recent {
    /// Keeps a decision on a request.
    pub(crate) fn keep(&self, at: Time, route: &RouteId, decision: Decision) {
        if decision.request.is_none() {
            return;
        }
        let kept = Kept {
            at,
            route: route.clone(),
            decision,
        };
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if lines.len() == KEPT {
            lines.pop_front();
        }
        lines.push_back(kept);
    }

    fn of(&self, request: RequestId) -> Vec<Value> {
        let lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = lines.iter().filter(|kept| kept.is_on(request));
        lines.map(Kept::line).collect()
    }
}

impl Node {
    /// Describes the daemon.
    pub(super) async fn describe(&self) -> Value {
        let view = self.control.view();
        let members = view.members.iter().map(|member| {
            let state = if view.suspects.contains(&member.id) {
                "suspect"
            } else {
                "alive"
            };
            json!({ "address": member.id, "data_centre": &*member.data_centre, "state": state })
        });
        let members: Vec<_> = members.collect();
        let mut routes = Vec::new();
        for entry in self.routes.list() {
            let home = match &entry.handle {
                Some(handle) => handle.state().await,
                None => None,
            };
            let homes: Vec<_> = entry.homes.iter().map(|home| home.id).collect();
            routes.push(json!({ "name": &*entry.route.name, "homes": homes, "home": home }));
        }
        let ready = self.stopping.ready().and_then(|()| self.control.ready());
        json!({
            "address": self.own.id,
            "data_centre": &*self.own.data_centre,
            "ready": ready.is_ok(),
            "not_ready_because": ready.err(),
            "configuration": {
                "revision": view.version.map(|version| version.revision),
                "digest": view.version.map(|version| format!("{:032x}", version.digest)),
                "conflicts": view.conflicts,
            },
            "isolated": view.isolated,
            "members": members,
            "routes": routes,
        })
    }

    /// Explains a request or the standing of a backend server.
    pub(super) async fn explained(&self, query: Explain) -> Option<Value> {
        match query {
            Explain::Request(request) => {
                let decisions = self.recent.of(request);
                let known = !decisions.is_empty();
                known.then(|| {
                    json!({
                        "request": format!("{request:032x}"),
                        "decisions": decisions,
                    })
                })
            }
            Explain::BackendServer {
                route,
                backend_server,
            } => {
                let state = self.routes.get(&route)?.handle?.state().await?;
                let servers = state.get("backend_servers")?.as_array()?.clone();
                let address = json!(backend_server);
                let server = servers
                    .into_iter()
                    .find(|server| server["server"] == address)?;
                Some(json!({ "route": &*route, "backend_server": server }))
            }
        }
    }
}
