//! Aliases for the ids that cross crate borders.
//!
//! They are aliases of standard types and not new types: an address is what a backend server and a
//! member are known by, and a conversion at each border would add noise without adding a check.

use std::net::SocketAddr;
use std::sync::Arc;

/// Name of a query route, unique within a document.
pub type RouteId = Arc<str>;

/// Name of a caller, unique within a document.
pub type CallerId = Arc<str>;

/// Name of a group of replicas, unique within a route.
pub type GroupId = Arc<str>;

/// The address on which a backend server takes requests.
pub type BackendServerId = SocketAddr;

/// Name of a data centre.
pub type DataCentreId = Arc<str>;

/// Version of an index; a higher one is newer.
pub type IndexVersion = u64;

/// Revision that the configuration service gives a document; a higher one is newer.
pub type Revision = u64;

/// Position of an item in a route's key space.
pub type Key = u64;

/// Start number of a process: a later start of the same address has a higher one.
pub type Incarnation = u64;
