//! What a server says of itself.

use monsoonring_configuration::id::{Incarnation, IndexVersion};
use serde::Serialize;

/// Body of the load endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Load {
    /// Requests being worked on.
    pub busy: usize,
    /// Requests worked on at the same time at most.
    pub slots: usize,
    /// Requests that wait.
    pub queued: usize,
    /// Index versions that can be served.
    pub index_versions: Vec<IndexVersion>,
    /// Start number of the process.
    pub start: Incarnation,
}

impl Load {
    /// The value of the header `monsoonring-load`.
    pub(crate) fn header(&self) -> String {
        format!("{}/{}/{}", self.busy, self.slots, self.queued)
    }
}

/// Health of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It takes requests.
    Serving,
    /// It has just started and takes none yet.
    Starting,
    /// It is leaving and takes no new ones.
    Draining,
}

/// Body of the health endpoint.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Health {
    pub(crate) status: Status,
}
