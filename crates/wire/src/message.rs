//! Requests on their way to a home.

use monsoonring_configuration::document::Class;
use monsoonring_configuration::id::{CallerId, Revision, RouteId};
use monsoonring_decision::{Fingerprint, RequestId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A request that the daemon which took it passes on. Its deadline travels with the call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// The route that it is for.
    pub route: RouteId,
    /// Revision of the configuration that it was checked against.
    pub revision: Revision,
    /// Who sent it.
    pub caller: CallerId,
    /// How much it counts.
    pub class: Class,
    /// Hash of route and body.
    pub fingerprint: Fingerprint,
    /// JSON text that goes to the backend servers.
    pub body: Arc<str>,
}
