//! What daemons pass on to each other.

use monsoonring_configuration::document::Class;
use monsoonring_configuration::id::{CallerId, Revision, RouteId};
use monsoonring_configuration::section::transfer::Part;
use monsoonring_decision::configuration::Version;
use monsoonring_decision::idempotency::{Key, Refusal};
use monsoonring_decision::outcome::Outcome;
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

/// A send of a non-idempotent request on its way to the incarnation that may run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Send {
    /// The request.
    pub request: Request,
    /// The key that it came with.
    pub key: Key,
    /// The caller's count of its sends, where it gave one.
    pub send: Option<u32>,
}

/// Why a daemon did not do what it was asked to; none of it ran there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// It is no home of the route.
    NotHome,
    /// Its ledger refuses.
    Ledger(Refusal),
}

/// A document on its way between daemons.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sections {
    /// Which document it is: the one asked for, or a greater one that has come into force since.
    pub version: Version,
    /// All its sections.
    pub parts: Vec<Part>,
}

/// What a send came to at another daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SendReply {
    /// It has this outcome.
    Ended(Outcome),
    /// The key was used for another request before; this one did not run.
    Conflict,
    /// The ledger there refuses it.
    Refused(Refusal),
}
