//! Polls the management endpoints of a route's backend servers and cancels attempts.
//!
//! The product's own backend servers have endpoints for health, load and cancellation. Other
//! backend servers have no such endpoints: they report their load in their answers, and an attempt
//! is cancelled by closing its connection.

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

/// Time that a cancelled attempt has to finish before its connection is closed. Opening a new
/// connection costs the server a work slot, and most attempts that lost against a hedge finish
/// within a short pause of their server. The work of abandoned requests should end within half a
/// second.
const CANCEL_GRACE: Duration = Duration::from_millis(200);

/// The management interface of a route's backend servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Management {
    /// Endpoints for health, load and cancellation.
    Endpoints,
    /// No endpoints; attempts are cancelled by closing their connections.
    None,
}

/// The running management interface of a route.
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
        events: &EventSender<C>,
    ) -> Channel {
        match self {
            Self::None => Channel::None,
            Self::Endpoints => {
                let servers = poll::Servers::for_route(&settings.route);
                let endpoint = Endpoint::default();
                let first = usize::try_from(settings.seed).unwrap_or_default();
                let poller = poll::spawn(servers.clone(), endpoint.clone(), events.clone(), first);
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
    /// Replaces the polled servers with those of a new configuration.
    pub(crate) fn update(&self, route: &Route) {
        if let Self::Endpoints { servers, .. } = self {
            servers.replace(route);
        }
    }

    /// Cancels an attempt through its server's endpoint, or by closing its connection after
    /// [`CANCEL_GRACE`].
    pub(crate) fn cancel<C: Content>(
        &self,
        attempt: AttemptId,
        server: BackendServerId,
        events: &EventSender<C>,
    ) {
        match self {
            Self::Endpoints { endpoint, .. } => {
                let endpoint = endpoint.clone();
                tokio::spawn(async move { endpoint.cancel(server, attempt).await });
            }
            Self::None => {
                let events = events.clone();
                tokio::spawn(async move {
                    sleep(CANCEL_GRACE).await;
                    // The home ignores this event if the attempt has ended in the meantime.
                    let _ = events.send(Event::Failed(attempt, Failure::Dropped));
                });
            }
        }
    }
}
