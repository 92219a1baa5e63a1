//! What an event says about a server, its connection and the request.

use crate::Time;
use monsoonring_configuration::id::BackendServerId;

/// What the failure of an attempt means.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// The server of the attempt; `None` where the attempt is not known.
    pub server: Option<BackendServerId>,
    /// Whether the connection can't be used again.
    pub discard_connection: bool,
    /// Whether the request provably did not run.
    pub not_run: bool,
    /// Whether the request may have crashed the server.
    pub crash_evidence: bool,
    /// Time until which the server gets no new work.
    pub back_off: Option<Time>,
    /// What is new in what the server said of itself.
    pub status_change: StatusChange,
}

/// What is new in something that a server said of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StatusChange {
    /// First sign that the server is leaving: the other homes are to be told.
    pub leaving: bool,
    /// The server has a higher start number than before.
    pub restarted: bool,
    /// The process that lost a connection still runs: the loss was no crash, and
    /// [`suspect::Detector::survived`](super::suspect::Detector::survived) is to be told.
    pub survived: bool,
}
