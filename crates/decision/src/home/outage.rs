//! Why a backend server is unreachable.

use crate::attempt::ConnectFailure;
use derive_more::Display;

/// The event that made a server unreachable.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Outage {
    #[display("connect: {_0}")]
    ConnectFailed(ConnectFailure),
    #[display("last connection lost")]
    ConnectionLost,
}
