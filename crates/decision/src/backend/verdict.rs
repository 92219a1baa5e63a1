//! Conclusions from the outcome of an attempt about the server, its connection and the request.

use crate::Time;
use monsoonring_configuration::id::BackendServerId;

/// Consequences of a failed attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Server of the attempt; `None` for an unknown attempt.
    pub server: Option<BackendServerId>,
    /// Whether the connection can't be reused.
    pub discard_connection: bool,
    /// Whether it is certain that the request did not run.
    pub not_run: bool,
    /// Whether the request may have crashed the server.
    pub crash_evidence: bool,
    /// End of the back-off during which the server gets no new attempts.
    pub back_off: Option<Time>,
    /// Changes in the status that the server reports.
    pub status_change: StatusChange,
}

/// Changes in the status that a server reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusChange {
    /// The server is reported as leaving for the first time; other homes must be notified.
    pub leaving: bool,
    /// The server reported a higher incarnation than before.
    pub restarted: bool,
    /// The process is still running after a lost connection, so it did not crash. Must be passed to
    /// [`suspect::Detector::survived`](super::suspect::Detector::survived).
    pub survived: bool,
}
