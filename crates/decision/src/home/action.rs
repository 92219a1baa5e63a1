//! What a home wants done.

use crate::attempt::{AttemptId, ConnectionId};
use crate::content::{Content, Json};
use crate::outcome::Outcome;
use crate::rationale::Rationale;
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::Range;
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use std::sync::Arc;
use std::time::Duration;

/// Something that the daemon does for a home.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<C: Content = Json> {
    /// Open a connection; answered by `Opened` or `Closed`.
    Open(ConnectionId, BackendServerId),
    /// Close a connection. An attempt on it ends without a further event.
    Close(ConnectionId),
    /// Send an attempt on an idle connection.
    Send(Send<C>),
    /// Tell the backend server, on another connection, to cancel an attempt. The attempt's own
    /// connection stays in use until its reply arrives.
    Cancel(AttemptId, BackendServerId),
    /// The one final result of a request.
    Finish(RequestId, Outcome<C::Value>),
    /// Tell the other homes that a backend server is leaving.
    AnnounceLeaving(BackendServerId, Option<Incarnation>),
    /// Tell the other homes that requests with this fingerprint crash backend servers.
    AnnounceSuspect(Fingerprint, Duration),
    /// Feed `Tick` at this time, or earlier; kept by any event from that time on, as in
    /// [`Wakeup`](super::Wakeup).
    Wake(Time),
    /// Write a line to the log.
    Log(Decision),
}

/// One attempt on its way to a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Send<C: Content = Json> {
    /// The attempt.
    pub attempt: AttemptId,
    /// The idle connection it goes out on.
    pub connection: ConnectionId,
    /// The server at its other end.
    pub backend_server: BackendServerId,
    /// The request that it belongs to.
    pub request: RequestId,
    /// The keys asked for; empty for a non-idempotent request.
    pub ranges: Vec<Range>,
    /// The pinned version; `None` while nothing is known of the server's versions.
    pub index_version: Option<IndexVersion>,
    /// Time after which the reply is of no use. A driver that comes to send later than this must
    /// not send, and reports `Failure::NotSent`.
    pub deadline: Time,
    /// What the request asks.
    pub body: C::Query,
    /// Idempotency key of a non-idempotent request; `None` for a search.
    pub execute_key: Option<Arc<str>>,
}

/// A routing or placement decision, for the log and for `explain`.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request decided on, if it is about one.
    pub request: Option<RequestId>,
    /// What was decided: `send`, `hedge`, `retry`, `refuse`, `deny`, `discard`, `leave`, `pin`, …
    pub what: &'static str,
    /// The backend server concerned, if there is one.
    pub backend_server: Option<BackendServerId>,
    /// Why it was decided.
    pub why: Rationale,
}
