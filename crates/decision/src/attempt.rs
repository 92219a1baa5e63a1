//! One sending of (a part of) a request to one backend server.

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
    /// The server itself said that the request did not run.
    Refused {
        /// Why it refused.
        refusal: Refusal,
        /// When to come back, where the server said so.
        retry_after: Option<Duration>,
        /// What the server said of itself.
        report: Report,
    },
    /// No byte of the request left: the connection was found closed or could not be used.
    NotSent,
    /// The server ran the request and reported an error.
    ServerError {
        /// What the server said of itself.
        report: Report,
    },
    /// The connection ended after the request had left and before the whole reply arrived.
    Lost,
    /// The attempt was cancelled by closing its connection.
    Dropped,
    /// The reply was truncated, undecodable or belongs to another attempt.
    Mismatched,
    /// The server gave up in the middle: the attempt was cancelled, or its deadline passed there.
    Cancelled {
        /// What the server said of itself.
        report: Report,
    },
}

impl Failure {
    /// Tells whether the failure proves that the attempt did not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused { .. } | Self::NotSent)
    }
}

/// Why a connection could not be made.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Nobody listens at the address.
    #[display("refused")]
    Refused,
    /// The server took it and ended it at once, as one that has too many does.
    #[display("closed during connect")]
    Closed,
    /// Nothing came back in time.
    #[display("timed out")]
    TimedOut,
}

/// Why a backend server refused to run a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has more work than it wants.
    Shedding,
    /// It is leaving.
    Draining,
    /// It has not finished starting.
    Starting,
    /// The deadline had passed, or would have, before the work began.
    Deadline,
    /// It does not hold the pinned index version.
    IndexVersion {
        /// The versions that it does hold.
        served: Vec<IndexVersion>,
    },
    /// Its connection limit is reached.
    Connections,
    /// It could not make sense of the request.
    Malformed,
}
