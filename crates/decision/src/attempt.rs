//! An attempt: one send of a request, or of a part of one, to one backend server.

use crate::reply::Report;
use derive_more::Display;
use monsoonring_configuration::id::IndexVersion;
use std::time::Duration;

/// Id of an attempt, unique within the incarnation of a daemon.
pub type AttemptId = u64;

/// Id of a connection to a backend server, unique within the incarnation of a daemon.
pub type ConnectionId = u64;

/// How an attempt ended without a usable reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The server reported that it did not run the request.
    Refused {
        /// Why it refused.
        refusal: Refusal,
        /// Retry delay, if the server returned one.
        retry_after: Option<Duration>,
        /// State that the server reported.
        report: Report,
    },
    /// No byte of the request was sent: the connection was closed or unusable.
    NotSent,
    /// The server ran the request and reported an error.
    ServerError {
        /// State that the server reported.
        report: Report,
    },
    /// The connection was lost after the request was sent and before the reply was complete.
    Lost,
    /// The daemon cancelled the attempt by closing its connection.
    Dropped,
    /// The reply was truncated, malformed or for another attempt.
    Mismatched,
    /// The server stopped while running the request: it was cancelled or its deadline passed.
    Cancelled {
        /// State that the server reported.
        report: Report,
    },
}

impl Failure {
    /// Returns whether the failure proves that the attempt did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::NotSent)
    }
}

/// What a backend server's reply identifies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReplyIdentity {
    /// The attempt: a late copy of a reply is never taken for the reply to another attempt.
    #[default]
    Attempt,
    /// The request only: its attempts are told apart by their connections.
    Request,
}

/// Why a connection attempt failed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The address does not accept connections.
    #[display("refused")]
    Refused,
    /// The server accepted the connection and closed it, as it does at its connection limit.
    #[display("closed during connect")]
    Closed,
    /// The connection was not established within the timeout.
    #[display("timed out")]
    TimedOut,
}

/// Why a backend server refused to run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It sheds load.
    Shedding,
    /// It is draining before it stops.
    Draining,
    /// It is still starting.
    Starting,
    /// The deadline had passed, or would have passed before the request ran.
    Deadline,
    /// It does not serve the pinned index version.
    IndexVersion {
        /// The versions that it serves.
        served: Vec<IndexVersion>,
    },
    /// It has reached its connection limit.
    Connections,
    /// It could not parse the request.
    Malformed,
}
