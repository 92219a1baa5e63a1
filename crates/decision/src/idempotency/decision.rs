//! What arrives at a ledger and what it decides.

use super::key::Fence;
use super::permit::{Permit, Unsent};
use super::record::Outcome;
use crate::outcome::Reason;
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::id::{CallerId, RouteId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Result of asking for a key.
pub type Result<T> = std::result::Result<T, Refusal>;

/// One send of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Id of this send.
    pub id: RequestId,
    /// Who sent it.
    pub caller: CallerId,
    /// The route that it is for.
    pub route: RouteId,
    /// Hash of route and body.
    pub fingerprint: Fingerprint,
    /// Time by which it must have left, on this process's clock.
    pub deadline: Time,
    /// Number in the header `monsoonring-send`, 1 for a first send; only own keys need it.
    pub send: Option<u32>,
    /// Whether another daemon passed it on; it takes one hop only.
    pub passed_on: bool,
}

/// What is to be done with a send.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it; it is recorded.
    Run(Permit<Unsent>),
    /// It is running; the send is among those named when it ends.
    Join,
    /// It has ended before; tell the recorded outcome, marked as such.
    Replay(Outcome),
    /// Don't run it, and tell why.
    Refuse(Refusal),
    /// Pass it to this incarnation, where it is a member, else to whoever says that it holds the
    /// fence ([`super::Lookup::Fence`]); if there is none, tell "unknown".
    PassTo(Fence),
    /// A later send of an own key that isn't recorded here: ask the other members
    /// ([`super::Lookup::Own`]).
    LookUp,
}

/// Why a send, or the issue of a key, is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// There is no room for another record.
    Full {
        /// Time after which there may be room.
        retry_after: Duration,
    },
    /// The daemon is stopping.
    Stopping,
    /// An own key came without its number of the send.
    Unmarked,
    /// The key was used for another request before.
    Mismatch,
    /// The key wasn't issued for this caller and route by the incarnation that it names.
    Forged,
    /// The key is past its expiry and nothing is known of it.
    Expired,
    /// Too many sends of this key wait already.
    Crowded,
    /// The key's holder isn't here.
    Gone,
    /// The key's holder is this incarnation now.
    Moved(Fence),
}

impl Refusal {
    /// Returns what the caller is to be told.
    ///
    /// "Not run" speaks of this send. It is said only where the key has no earlier run
    /// (`Full`, `Stopping`), where this very request never ran under the key (`Mismatch`), and on
    /// an unmarked own key, whose caller says by the missing mark that it never sent it otherwise.
    pub fn outcome(self) -> Outcome {
        match self {
            Self::Full { retry_after } => Outcome::NotRun {
                reason: Reason::Overload,
                retry_after: Some(retry_after),
            },
            Self::Stopping => stopping(),
            Self::Unmarked | Self::Mismatch => Outcome::NotRun {
                reason: Reason::Fence,
                retry_after: None,
            },
            Self::Forged | Self::Expired | Self::Crowded | Self::Gone | Self::Moved(_) => {
                Outcome::Unknown {
                    reason: Reason::Fence,
                }
            }
        }
    }
}

/// "Not run" of a daemon that is stopping.
pub(super) fn stopping() -> Outcome {
    Outcome::NotRun {
        reason: Reason::Stopping,
        retry_after: Some(Duration::ZERO),
    }
}
