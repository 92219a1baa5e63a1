//! Reading the health and load endpoints of a route's backend servers.

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

/// Time between two readings of one backend server.
const PERIOD: Duration = Duration::from_secs(1);

/// Most backend servers that a home reads in one period, after the first.
///
/// Reading one takes about 50 µs of a core; all 480 of a route of 160 groups would take twice what
/// control may take. The homes of such a route begin at different servers and tell each other what they
/// find, so that together they still see each server about once a period.
const MOST: usize = 100;

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

/// Whose turn it is.
#[derive(Debug)]
struct Turn {
    next: usize,
    begun: bool,
}

impl Turn {
    /// Returns the servers to be read in this period: at first all of them, since a home that starts
    /// knows nothing of any; later the next [`MOST`].
    fn take(&mut self, servers: &BTreeSet<BackendServerId>) -> Vec<BackendServerId> {
        let count = match std::mem::replace(&mut self.begun, true) {
            true => servers.len().min(MOST),
            false => servers.len(),
        };
        let first = self.next % servers.len().max(1);
        self.next = first + count;
        let servers = servers.iter().cycle().skip(first);
        servers.take(count).copied().collect()
    }
}

/// Starts the task that reads the endpoints of the servers in turn. Homes should begin at different
/// places, `first`.
pub(crate) fn spawn<C: Content>(
    servers: Servers,
    endpoint: Endpoint,
    report: EventSender<C>,
    first: usize,
) -> AbortOnDropHandle<()> {
    let task = tokio::spawn(async move {
        let mut turn = Turn {
            next: first,
            begun: false,
        };
        let mut ticks = interval(PERIOD);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let servers = servers.list();
            endpoint.retain(&servers);
            for server in turn.take(&servers) {
                let (endpoint, report) = (endpoint.clone(), report.clone());
                tokio::spawn(async move {
                    let answer = endpoint.poll(server).await;
                    let _ = report.send(Event::Polled(server, answer));
                });
            }
        }
    });
    AbortOnDropHandle::new(task)
}
