//! State of one connection.

use crate::Time;
use monsoonring_configuration::id::BackendServerId;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The connection is being opened.
    Opening,
    /// The connection is ready for an attempt.
    Idle,
    /// An attempt has used the connection since the given time.
    Busy(Time),
}

/// A connection to a backend server.
#[derive(Clone, Debug)]
pub(super) struct Connection {
    pub(super) server: BackendServerId,
    pub(super) state: State,
    /// Time at which the connection last worked: when it was opened, or a reply arrived.
    pub(super) verified_at: Time,
    /// Whether the connection is closed after its attempt: the server's process was replaced, or a
    /// new connection is needed.
    pub(super) retired: bool,
}

impl Connection {
    pub(super) fn opening(server: BackendServerId, now: Time) -> Self {
        Self {
            server,
            state: State::Opening,
            verified_at: now,
            retired: false,
        }
    }
}
