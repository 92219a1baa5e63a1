//! Routing of requests to registered backend servers.
//!
//! The operators' configuration names services, hosts and path prefixes; backend servers register
//! under a service. [`Table`] holds one version of the configuration and [`Registry`] the
//! registered servers. [`shards`] combines the two into the route that a
//! [`Home`](crate::home::Home) serves: a set of services, with one group of replicas per service.
//!
//! A home serves exactly one set, so all parts of an answer come from the same set. Repartitioning
//! an index creates a new set and a new home, and answers never mix the two.

pub mod bootstrap;
pub mod delivery;
pub mod evacuation;
pub mod helper;
pub mod members;
pub mod mirror;
pub mod registry;
pub mod shards;
pub mod source;
pub mod split;
pub mod table;
pub mod timing;

pub use members::Members;
pub use registry::Registry;
pub use table::Table;

use std::sync::Arc;

/// Name under which equivalent backend servers register.
pub type ServiceId = Arc<str>;

/// Identifies one start of a backend server; a restart on the same address gets a new name.
pub type InstanceId = Arc<str>;

/// Services that together hold a whole index, in configuration order.
pub type Shards = Arc<[ServiceId]>;
