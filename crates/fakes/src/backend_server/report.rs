//! Bodies of the health and load endpoints.

use monsoonring_configuration::id::{Incarnation, IndexVersion};
use serde::Serialize;

/// Body of the load endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Number of slots in use.
    pub busy: usize,
    /// Total number of slots.
    pub slots: usize,
    /// Number of queued requests.
    pub queued: usize,
    /// Index versions that the server can serve.
    pub index_versions: Vec<IndexVersion>,
    /// Incarnation of the process.
    pub start: Incarnation,
}

impl Load {
    /// Returns the value of the header `monsoonring-load`.
    pub(crate) fn header(&self) -> String {
        format!("{}/{}/{}", self.busy, self.slots, self.queued)
    }
}

/// Health status of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// Accepts requests.
    Serving,
    /// Still starting; refuses requests.
    Starting,
    /// Refuses new requests and finishes running ones.
    Draining,
}

/// Body of the health endpoint.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Health {
    pub(crate) status: Status,
}
