//! Messages that daemons send to each other.

use monsoonring_configuration::document::Class;
use monsoonring_configuration::id::{CallerId, Revision, RouteId};
use monsoonring_configuration::section::transfer::Part;
use monsoonring_decision::configuration::Version;
use monsoonring_decision::idempotency::{Key, Refusal};
use monsoonring_decision::outcome::Outcome;
use monsoonring_decision::{Fingerprint, RequestId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A forwarded request. Its deadline is that of the call, less [`crate::peer::DEADLINE_GRACE`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Request id.
    pub id: RequestId,
    /// Route that the request is for.
    pub route: RouteId,
    /// Revision of the configuration that the forwarding daemon checked the request against.
    pub revision: Revision,
    /// Caller that sent the request.
    pub caller: CallerId,
    /// Priority of the request in admission.
    pub class: Class,
    /// Hash of route and body.
    pub fingerprint: Fingerprint,
    /// JSON text for the backend servers.
    pub body: Arc<str>,
}

/// A non-idempotent request, forwarded to the incarnation that may run it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Send {
    /// The forwarded request.
    pub request: Request,
    /// Idempotency key of the request.
    pub key: Key,
    /// Number of this send, as counted by the caller, if given.
    pub send: Option<u32>,
}

/// Reason for rejecting a forwarded request. The request did not run at the rejecting daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The daemon is not a home of the route.
    NotHome,
    /// The idempotency ledger refuses the request.
    Ledger(Refusal),
}

/// A configuration document, relative to the sections that the receiver holds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sections {
    /// Version of the document: the requested one or a newer one.
    pub version: Version,
    /// All sections of the document.
    pub parts: Vec<Part>,
}

/// Reply to a forwarded [`Send`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum SendReply {
    /// Outcome of the request.
    Ended(Outcome),
    /// The key belongs to a different request; this one did not run.
    Conflict,
    /// The peer's ledger refuses the request.
    Refused(Refusal),
}
