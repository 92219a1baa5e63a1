//! Polls the health and load endpoints of a route's backend servers.

use crate::backend::{Endpoint, EventSender};
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::content::Content;
use monsoonring_decision::home::Event;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::task::AbortOnDropHandle;

/// Interval between batches of polls.
const POLL_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of backend servers that a home polls in one period, after the first.
///
/// Bounds the CPU time of polling on large routes. The homes of a route start at different servers
/// and share what they find, so that together they still poll each server about once a period.
const MAX_POLLS_PER_PERIOD: usize = 100;

/// The backend servers to poll, shared with the route's task, which replaces them.
#[derive(Clone, Debug)]
pub(crate) struct Servers(Arc<Mutex<BTreeSet<BackendServerId>>>);

impl Servers {
    pub(crate) fn for_route(route: &Route) -> Self {
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

/// Position in the rotation over the servers.
#[derive(Debug)]
struct Rotation {
    next: usize,
    started: bool,
}

impl Rotation {
    /// Returns the servers to poll in this period: all of them in the first, since a new home has
    /// no reports yet, then the next [`MAX_POLLS_PER_PERIOD`].
    fn next_batch(&mut self, servers: &BTreeSet<BackendServerId>) -> Vec<BackendServerId> {
        let count = match std::mem::replace(&mut self.started, true) {
            true => servers.len().min(MAX_POLLS_PER_PERIOD),
            false => servers.len(),
        };
        let first = self.next % servers.len().max(1);
        self.next = first + count;
        let servers = servers.iter().cycle().skip(first);
        servers.take(count).copied().collect()
    }
}

/// Starts the task that polls the servers in rotation, beginning at index `first`, which should
/// differ between the homes of a route.
pub(crate) fn spawn<C: Content>(
    servers: Servers,
    endpoint: Endpoint,
    events: EventSender<C>,
    first: usize,
) -> AbortOnDropHandle<()> {
    let task = tokio::spawn(async move {
        let mut rotation = Rotation {
            next: first,
            started: false,
        };
        let mut ticks = interval(POLL_PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let servers = servers.list();
            endpoint.retain(&servers);
            for server in rotation.next_batch(&servers) {
                let (endpoint, events) = (endpoint.clone(), events.clone());
                tokio::spawn(async move {
                    let answer = endpoint.poll(server).await;
                    let _ = events.send(Event::Polled(server, answer));
                });
            }
        }
    });
    AbortOnDropHandle::new(task)
}
