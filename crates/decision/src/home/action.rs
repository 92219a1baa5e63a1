//! Actions that a home asks its driver to carry out.

use crate::attempt::{AttemptId, ConnectionId};
use crate::backend::suspect::Announcement;
use crate::content::{Content, Json};
use crate::outcome::Outcome;
use crate::rationale::Rationale;
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use std::sync::Arc;
use std::time::Duration;

/// An instruction for the daemon, returned by [`Home::handle`](super::Home::handle).
#[derive(Clone, Debug, PartialEq)]
pub enum Action<C: Content = Json> {
    /// Opens a connection. The driver answers with `Opened`, `Closed` or `ConnectFailed`.
    Open(ConnectionId, BackendServerId),
    /// Closes a connection. The driver reports no event for an attempt on it.
    Close(ConnectionId),
    /// Sends an attempt on an idle connection.
    Send(Send<C>),
    /// Asks the backend server, on another connection, to cancel an attempt. The attempt's own
    /// connection stays in use until its reply arrives.
    Cancel(AttemptId, BackendServerId),
    /// Delivers the final result of a request. There is exactly one per request.
    Finish(RequestId, Outcome<C::Value>),
    /// Announces to the other homes that a backend server is leaving.
    AnnounceLeaving(BackendServerId, Option<Incarnation>),
    /// Announces to the other homes that requests with this fingerprint crash backend servers, and
    /// for how long to refuse them.
    AnnounceSuspect(Fingerprint, Duration),
    /// Announces to the other homes that a backend server crashed under a request, or withdraws
    /// that.
    AnnounceCrashEvidence(Announcement),
    /// Schedules a `Tick` at this time or earlier. Any event at or after that time replaces it, see
    /// [`Wakeup`](super::Wakeup).
    Wake(Time),
    /// Writes a decision to the log.
    Log(Decision),
}

/// An attempt to send to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Send<C: Content = Json> {
    /// Id that the events about this attempt refer to.
    pub attempt: AttemptId,
    /// The idle connection to send it on.
    pub connection: ConnectionId,
    /// The server that the connection leads to.
    pub backend_server: BackendServerId,
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The requested key ranges; empty for a non-idempotent request.
    pub ranges: Vec<Range>,
    /// The pinned version; `None` while the server's versions are unknown.
    pub index_version: Option<IndexVersion>,
    /// Time after which the reply is useless. A driver that gets to send later than this must not
    /// send, and reports `Failure::NotSent`.
    pub deadline: Time,
    /// The body of the request.
    pub body: C::Query,
    /// Idempotency key of a non-idempotent request; `None` for a search.
    pub execute_key: Option<Arc<str>>,
}

/// A routing or placement decision, for the log and for `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request, if the decision concerns a single one.
    pub request: Option<RequestId>,
    /// Kind of decision: `send`, `hedge`, `retry`, `refuse`, `deny`, `discard`, `leave`, `pin`, …
    pub label: &'static str,
    /// The backend server, if the decision concerns one.
    pub backend_server: Option<BackendServerId>,
    /// Reason for the decision.
    pub rationale: Rationale,
}
