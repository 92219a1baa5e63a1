//! Client for the platform's host list, which lags behind the real state.

use super::client::{Client, Result};
use hyper::StatusCode;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

const HOSTS: &str = "/hosts";

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// State of a host in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum State {
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// An entry of the list: the peer address of a daemon or the address of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub(crate) struct Host {
    pub(crate) address: SocketAddr,
    pub(crate) state: State,
}

#[derive(Deserialize)]
struct Body {
    hosts: Vec<Host>,
}

/// Reads the host list.
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

    /// Reads the current list.
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
