//! What a backend server says, after the daemon has decoded it.

use monsoonring_configuration::Range;
use monsoonring_configuration::id::{Incarnation, IndexVersion, Key};
use serde::{Deserialize, Serialize};

/// One search result. Nobody here looks into the value; by default it is JSON text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item<V = Box<str>> {
    /// Position in the route's key space.
    pub key: Key,
    /// The result.
    pub value: V,
}

/// A reply with status 200 to one attempt of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<V = Box<str>> {
    /// Version that the items were taken from; `None` where the server did not say.
    pub index_version: Option<IndexVersion>,
    /// The keys that the server says it looked through.
    pub ranges: Vec<Range>,
    /// The items found.
    pub items: Vec<Item<V>>,
    /// What the server says of itself.
    pub report: Report,
}

/// What a backend server says of itself, on a reply or on its load endpoint. It may lag or mislead.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Work at the server.
    pub load: Option<Load>,
    /// Index versions that it can serve; empty where it did not say.
    pub index_versions: Vec<IndexVersion>,
    /// Start number of its process.
    pub start: Option<Incarnation>,
    /// Whether it says that it is leaving.
    pub draining: bool,
}

/// Work at a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests being worked on.
    pub busy: u32,
    /// Requests that it works on at the same time at most.
    pub slots: u32,
    /// Requests that wait.
    pub queued: u32,
}
