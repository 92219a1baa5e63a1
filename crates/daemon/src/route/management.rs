//! What goes to the backend servers of a route beside its requests, and how an attempt is cancelled.
//!
//! The product's own backend servers have endpoints for health, load and cancellation. Others have
//! none that is worth a call: what their answers say of their load has to do, and an attempt is
//! cancelled by closing its connection.

use super::controller::Settings;
use super::poll;
use crate::backend::{Endpoint, EventSender};
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::BackendServerId;
use monsoonring_decision::attempt::{AttemptId, Failure};
use monsoonring_decision::content::Content;
use monsoonring_decision::home::Event;
use std::time::Duration;
use tokio::time::sleep;
use tokio_util::task::AbortOnDropHandle;

/// Time that a cancelled attempt has to end by itself before its connection is closed. A new
/// connection occupies a work slot for about 6 ms, and most attempts that lost against a hedge end
/// within one pause of their server, up to 150 ms; callers that left expect their work to end within
/// half a second.
const CLOSE_AFTER: Duration = Duration::from_millis(200);

/// Which way backend servers are spoken to beside requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Management {
    /// Over their endpoints.
    Endpoints,
    /// Not at all.
    None,
}

/// The way as it is in use.
pub(crate) enum Channel {
    Endpoints {
        endpoint: Endpoint,
        servers: poll::Servers,
        _poller: AbortOnDropHandle<()>,
    },
    None,
}

impl Management {
    pub(crate) fn start<K, C: Content>(
        self,
        settings: &Settings<K>,
        report: &EventSender<C>,
    ) -> Channel {
        match self {
            Self::None => Channel::None,
            Self::Endpoints => {
                let servers = poll::Servers::of(&settings.route);
                let endpoint = Endpoint::default();
                let first = usize::try_from(settings.seed).unwrap_or_default();
                let poller = poll::spawn(servers.clone(), endpoint.clone(), report.clone(), first);
                Channel::Endpoints {
                    endpoint,
                    servers,
                    _poller: poller,
                }
            }
        }
    }
}

impl Channel {
    /// Takes over the servers of a new configuration.
    pub(crate) fn follow(&self, route: &Route) {
        if let Self::Endpoints { servers, .. } = self {
            servers.replace(route);
        }
    }

    /// Cancels an attempt.
    pub(crate) fn cancel<C: Content>(
        &self,
        attempt: AttemptId,
        server: BackendServerId,
        report: &EventSender<C>,
    ) {
        match self {
            Self::Endpoints { endpoint, .. } => {
                let endpoint = endpoint.clone();
                tokio::spawn(async move { endpoint.cancel(server, attempt).await });
            }
            Self::None => {
                let report = report.clone();
                tokio::spawn(async move {
                    sleep(CLOSE_AFTER).await;
                    // An attempt that has ended meanwhile is not on record any more.
                    let _ = report.send(Event::Failed(attempt, Failure::Dropped));
                });
            }
        }
    }
}
