//! The lagging list of hosts.

use super::client::{Client, Result};
use hyper::StatusCode;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// Path of the list.
const HOSTS: &str = "/hosts";

/// Time that a read may take.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a host as the list has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    /// It is there.
    Live,
    /// It is going away.
    Leaving,
}

/// One line of the list: a daemon's peer address or a backend server's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct Host {
    /// The address.
    pub(crate) address: SocketAddr,
    /// The state.
    pub(crate) state: State,
}

#[derive(Deserialize)]
struct Body {
    hosts: Vec<Host>,
}

/// Reads the list.
#[derive(Clone, Debug)]
pub(crate) struct List {
    client: Client,
}

impl List {
    pub(crate) fn new(peer: SocketAddr) -> Self {
        Self {
            client: Client::new(peer),
        }
    }

    /// Reads the list as it is now.
    pub(crate) async fn read(&self) -> Result<Vec<Host>> {
        let (head, bytes) = self.client.get(HOSTS, READ_TIMEOUT).await?;
        if head.status != StatusCode::OK {
            return Err(self.client.status(HOSTS, &head));
        }
        let body = serde_json::from_slice::<Body>(&bytes);
        let body = body.map_err(|error| self.client.unreadable(HOSTS, &error))?;
        Ok(body.hosts)
    }
}
