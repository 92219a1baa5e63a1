//! The request that a ledger receives and the decision that it returns.

use super::key::Fence;
use super::permit::{Permit, Unsent};
use super::record::Outcome;
use crate::outcome::Reason;
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::id::{CallerId, RouteId};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Result of issuing a key.
pub type Result<T> = std::result::Result<T, Refusal>;

/// One send of a non-idempotent request; a retry by the caller is another send.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Id of this send, unique over all daemons.
    pub id: RequestId,
    /// The caller; a key is valid for one caller only.
    pub caller: CallerId,
    /// The route; a fenced key is valid for one route only.
    pub route: RouteId,
    /// Hash of route and body.
    pub fingerprint: Fingerprint,
    /// Deadline for sending the request to a backend server, on this process's clock.
    pub deadline: Time,
    /// Value of the header `monsoonring-send`, 1 for the first send; required for own keys only.
    pub send: Option<u32>,
    /// Whether another daemon forwarded it; a request is forwarded once.
    pub passed_on: bool,
}

/// What the daemon does with a send.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it; the ledger has recorded the key.
    Run(Permit<Unsent>),
    /// The key is running: wait for [`super::ledger::Completion`], which lists this send.
    Join,
    /// The key has ended: return the recorded outcome, marked as a replay.
    Replay(Outcome),
    /// Don't run it.
    Refuse(Refusal),
    /// Forward it to this incarnation if it is a member, else to the member that holds the fence
    /// ([`super::Lookup::Fence`]); without either, answer "unknown".
    ForwardTo(Fence),
    /// A retry under an own key that has no record here: look the key up at the other members
    /// ([`super::Lookup::Own`]).
    LookUp,
}

/// Why the ledger refuses a send or doesn't issue a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The ledger is full.
    Full {
        /// Time until the next reservation expires.
        retry_after: Duration,
    },
    /// The daemon is stopping.
    Stopping,
    /// An own key came without the header `monsoonring-send`.
    Unmarked,
    /// The key was used before for a request with another fingerprint.
    Mismatch,
    /// The MAC is invalid: the key was not issued by this fence for this caller and route.
    Forged,
    /// The key has expired and has no record.
    Expired,
    /// [`super::ledger::MAX_JOINED`] sends wait for this key already.
    Crowded,
    /// This incarnation does not hold the key's fence.
    Gone,
    /// The fence was handed over to the given incarnation.
    Moved(Fence),
}

impl Refusal {
    /// Returns the outcome for the caller.
    ///
    /// "Not run" applies to this send. It is returned only if the key has not run before (`Full`,
    /// `Stopping`), if this request never ran under the key (`Mismatch`), and for an own key
    /// without a send number: a caller that omits the number has never sent the key with one.
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

/// Returns "not run" for a daemon that is stopping; the caller can retry immediately.
pub(super) fn stopping() -> Outcome {
    Outcome::NotRun {
        reason: Reason::Stopping,
        retry_after: Some(Duration::ZERO),
    }
}
