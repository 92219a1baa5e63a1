//! State of a gateway for operators: `GET /state`, in the same format as the native daemon's.

use super::control;
use super::members;
use super::state::State;
use crate::operator::render;
use monsoonring_configuration::id::DataCentreId;
use monsoonring_decision::gateway::shards;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// Sends requests for the status of a task.
pub(super) type StatusSender<T> = mpsc::UnboundedSender<oneshot::Sender<T>>;

/// Collects the status of the tasks of a gateway.
#[derive(Clone)]
pub(super) struct Describe {
    pub(super) address: SocketAddr,
    pub(super) data_centre: DataCentreId,
    pub(super) state: Arc<State>,
    pub(super) control: StatusSender<control::Status>,
    pub(super) members: StatusSender<members::Status>,
}

impl Describe {
    /// Describes the gateway; `not_ready_because` is the reason given to the load balancer.
    pub(super) async fn describe(&self, not_ready_because: Option<&str>) -> Value {
        let control = request_status(&self.control).await;
        let members = request_status(&self.members).await;
        json!({
            "address": self.address,
            "data_centre": &*self.data_centre,
            "ready": not_ready_because.is_none(),
            "not_ready_because": not_ready_because,
            "configuration": configuration(control.as_ref()),
            "registry": control.as_ref().map(registry),
            "hosts": members.as_ref().map(|members| members.hosts),
            "members": members.as_ref().map_or_else(Vec::new, |members| {
                members.changes.iter().map(render::member).collect()
            }),
            "routes": self.sets().await,
            "facts": members.map_or_else(Vec::new, |members| {
                members.facts.iter().map(render::fact).collect()
            }),
        })
    }

    /// Describes the homes, each with the name of its set of shards.
    async fn sets(&self) -> Vec<Value> {
        let Some(view) = self.state.view() else {
            return Vec::new();
        };
        let mut sets = Vec::new();
        for (set, home) in &*view.homes {
            sets.push(json!({
                "name": shards::name(set),
                // Every host is a home, so there are no assigned ones to list.
                "homes": [],
                "home": home.state().await,
            }));
        }
        sets.sort_by_key(|set| set["name"].to_string());
        sets
    }
}

/// Requests the status of a task; returns `None` if the task has ended.
async fn request_status<T>(sender: &StatusSender<T>) -> Option<T> {
    let (reply, receiver) = oneshot::channel();
    sender.send(reply).ok()?;
    receiver.await.ok()
}

fn configuration(status: Option<&control::Status>) -> Value {
    let version = status.and_then(|status| status.version);
    json!({
        "revision": version,
        "digest": version.map(|version| version.to_string()),
        "conflicts": 0,
        "age_ms": status.and_then(|status| status.age).map(|age| age.as_millis()),
        "source": status.map(|status| if status.is_store_lost { "store, lost" } else { "store" }),
    })
}

fn registry(status: &control::Status) -> Value {
    json!({
        "registered": status.registered,
        "doubted": status.missing,
        "usable": status.usable,
        "emptied_data_centres": status.evacuated.iter().map(|name| &**name).collect::<Vec<&str>>(),
    })
}
