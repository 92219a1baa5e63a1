//! Reading the health and load endpoints of a route's backend servers.

use crate::backend::{Endpoint, Report};
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::home::Event;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{MissedTickBehavior, interval};

/// Time between two readings of one backend server.
const PERIOD: Duration = Duration::from_secs(1);

/// The backend servers that are read; shared by the route's task, which replaces them.
#[derive(Clone, Debug)]
pub(crate) struct Servers(Arc<Mutex<BTreeSet<BackendServerId>>>);

impl Servers {
    pub(crate) fn of(route: &Route) -> Self {
        Self(Arc::new(Mutex::new(servers(route))))
    }

    pub(crate) fn replace(&self, route: &Route) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = servers(route);
    }

    fn list(&self) -> BTreeSet<BackendServerId> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

fn servers(route: &Route) -> BTreeSet<BackendServerId> {
    route
        .groups
        .iter()
        .flat_map(|group| &group.backend_servers)
        .copied()
        .collect()
}

/// Starts the task that reads the endpoints of all servers once in a [`PERIOD`].
pub(crate) fn spawn(servers: Servers, endpoint: Endpoint, report: Report) -> AbortHandle {
    let task = tokio::spawn(async move {
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for server in servers.list() {
                let (endpoint, report) = (endpoint.clone(), report.clone());
                tokio::spawn(async move {
                    let answer = endpoint.poll(server).await;
                    let _ = report.send(Event::Polled(server, answer));
                });
            }
        }
    });
    task.abort_handle()
}
