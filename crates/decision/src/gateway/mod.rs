//! Forwarding: which backend servers a request that nobody here reads is meant for.
//!
//! The operators' configuration names services, hosts and path prefixes, and backend servers
//! register themselves under a service. Both change on their own. [`Table`] holds what one version
//! of the configuration says, [`Registry`] which servers there are, and [`shards`] makes of the two
//! what a [`Home`](crate::home::Home) works on: a set of services, one group of replicas for each.
//!
//! All parts of an answer come from one set, because a home has only one: another set is another
//! home. That is how an answer keeps to one snapshot while an index is repartitioned.

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

/// Name under which backend servers that answer the same requests register.
pub type ServiceId = Arc<str>;

/// Name of one start of a backend server; a later start on the same address has another one.
pub type InstanceId = Arc<str>;

/// The services whose answers make up a whole one, in the configuration's order.
pub type Shards = Arc<[ServiceId]>;
