//! Why a backend server can't be reached.

use crate::attempt::ConnectFailure;
use derive_more::Display;

/// What made a server count as unreachable.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Down {
    #[display("connect: {_0}")]
    Unopened(ConnectFailure),
    #[display("last connection lost")]
    Lost,
}
