//! Type aliases for the ids that all crates share.
//!
//! They are not newtypes because conversions between crates would not add any checks.

use std::net::SocketAddr;
use std::sync::Arc;

/// Name of a query route, unique within a document.
pub type RouteId = Arc<str>;

/// Name of a caller, unique within a document.
pub type CallerId = Arc<str>;

/// Name of a group of replicas, unique within a route.
pub type GroupId = Arc<str>;

/// Address on which a backend server accepts requests.
pub type BackendServerId = SocketAddr;

/// Name of a data centre.
pub type DataCentreId = Arc<str>;

/// Version of an index; higher is newer.
pub type IndexVersion = u64;

/// Revision that the configuration service assigns to a document; higher is newer.
pub type Revision = u64;

/// Position of an item in a route's key space.
pub type Key = u64;

/// Number of a process's start; a later start at the same address has a higher number.
pub type Incarnation = u64;
