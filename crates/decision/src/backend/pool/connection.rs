//! One connection.

use crate::Time;
use monsoonring_configuration::id::BackendServerId;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It is being opened.
    Opening,
    /// It is ready.
    Idle,
    /// An attempt was put on it at the given time.
    Busy(Time),
}

/// One connection.
#[derive(Clone, Debug)]
pub(super) struct Connection {
    pub(super) server: BackendServerId,
    pub(super) state: State,
    /// Time at which it was last seen to work: opened, or answered on.
    pub(super) verified_at: Time,
    /// Whether it leads to a start that is gone: it is not used again.
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
