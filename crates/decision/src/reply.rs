//! Decoded replies and reports of backend servers.

use monsoonring_configuration::Range;
use monsoonring_configuration::id::{Incarnation, IndexVersion, Key};
use serde::{Deserialize, Serialize};

/// One search result. The value is opaque to this crate; by default it is JSON text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<V = Box<str>> {
    /// Key in the route's key space.
    pub key: Key,
    /// Content of the result.
    pub value: V,
}

/// A reply with status 200 to one attempt of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<V = Box<str>> {
    /// Index version of the items; `None` if the server did not report one.
    pub index_version: Option<IndexVersion>,
    /// The keys that the server claims to have searched.
    pub ranges: Vec<Range>,
    /// The items that the server found.
    pub items: Vec<Item<V>>,
    /// State that the server reported.
    pub report: Report,
}

/// State reported by a backend server, in a reply or at its load endpoint. It may be stale or
/// wrong.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Load of the server; `None` if it did not report one.
    pub load: Option<Load>,
    /// Index versions that it serves; empty if it did not report any.
    pub index_versions: Vec<IndexVersion>,
    /// Start number of the server's process, which changes with each restart.
    pub start: Option<Incarnation>,
    /// Whether it is draining before it stops.
    pub draining: bool,
}

/// Load of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Number of requests that are running.
    pub busy: u32,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Number of requests that are queued.
    pub queued: u32,
}
