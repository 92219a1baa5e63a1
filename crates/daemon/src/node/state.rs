//! Reports the daemon's state to operators.

use super::Node;
use super::routes::Entry;
use crate::control::View;
use crate::operator::render;
use crate::service::Explain;
use serde_json::{Value, json};

impl Node {
    /// Returns the daemon's state as JSON.
    pub(super) async fn describe(&self) -> Value {
        let view = self.control.view();
        let ready = self
            .stopping
            .check_ready()
            .and_then(|()| self.control.check_ready());
        json!({
            "address": self.own.id,
            "data_centre": &*self.own.data_centre,
            "ready": ready.is_ok(),
            "not_ready_because": ready.err(),
            "configuration": configuration(&view),
            "isolated": view.isolated,
            "members": self.members().await,
            "routes": self.describe_routes().await,
            "facts": self.facts().await,
            "keys_running": self.ledger.ledger().running(),
        })
    }

    async fn members(&self) -> Vec<Value> {
        let mut members = self.control.members().await;
        members.sort_by_key(|member| member.id);
        members.iter().map(render::member).collect()
    }

    async fn describe_routes(&self) -> Vec<Value> {
        let mut entries = self.routes.list();
        entries.sort_by(|left, right| left.route.name.cmp(&right.route.name));
        let mut routes = Vec::new();
        for entry in entries {
            routes.push(route(&entry).await);
        }
        routes
    }

    /// Returns the facts in force. They explain why this daemon avoids servers or refuses requests
    /// that caused no failure here.
    async fn facts(&self) -> Vec<Value> {
        let facts = self.control.facts().await;
        facts.iter().map(render::fact).collect()
    }

    /// Returns the decisions on a request or the state of a backend server; `None` if unknown.
    pub(super) async fn explain(&self, query: Explain) -> Option<Value> {
        match query {
            Explain::Request(request) => {
                let decisions = self.history.for_request(request, self.clock.now());
                let found = !decisions.is_empty();
                found.then(|| {
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

fn configuration(view: &View) -> Value {
    json!({
        "revision": view.version.map(|version| version.revision),
        "digest": view.version.map(|version| format!("{:032x}", version.digest)),
        "conflicts": view.conflicts,
    })
}

async fn route(entry: &Entry) -> Value {
    let home = match &entry.handle {
        Some(handle) => handle.state().await,
        None => None,
    };
    json!({
        "name": &*entry.route.name,
        "kind": entry.route.kind,
        "homes": entry.homes.iter().map(|home| home.id).collect::<Vec<_>>(),
        "home": home,
    })
}
