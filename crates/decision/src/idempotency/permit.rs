//! The permission to run a key once, as a token that is used up.
//!
//! A ledger hands out one permit for a key. "Not run" can be recorded only through a permit on
//! which no byte left, or whose server itself said that it refused: the other state has no method
//! for it. A permit that is dropped leaves its key recorded as running for good: it never runs again,
//! and keeps its place in the ledger.

use super::key::{Fenced, Serial};
use super::{Fence, record};
use crate::Time;
use crate::attempt::Failure;
use crate::outcome::Reason;
use monsoonring_configuration::id::CallerId;

/// State of a permit of which no byte has left.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Unsent(());

/// State of a permit whose request may be running.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sent(());

/// Where the record of a key lies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Slot {
    Fenced(Fence, Serial),
    Own(CallerId, Box<str>),
}

impl Slot {
    pub(crate) fn fenced(key: &Fenced) -> Self {
        Self::Fenced(key.fence, key.serial)
    }
}

/// Permission to run one key once.
#[derive(Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "exploration", derive(Clone))]
#[must_use = "a dropped permit leaves its key unusable and its outcome unknown"]
pub struct Permit<S> {
    pub(crate) slot: Slot,
    deadline: Time,
    _state: S,
}

impl Permit<Unsent> {
    pub(crate) fn new(slot: Slot, deadline: Time) -> Self {
        Self {
            slot,
            deadline,
            _state: Unsent(()),
        }
    }

    /// Notes that the request is about to leave; called last thing before the first byte.
    ///
    /// # Errors
    ///
    /// Gives the permit back where the deadline has passed. A process that was paused between
    /// taking the request and sending it would otherwise run what its caller has given up; it
    /// shows as work at a backend server with no request in progress anywhere.
    pub fn mark_sent(self, now: Time) -> Result<Permit<Sent>, Self> {
        if now >= self.deadline {
            return Err(self);
        }
        Ok(Permit {
            slot: self.slot,
            deadline: self.deadline,
            _state: Sent(()),
        })
    }
}

impl Permit<Sent> {
    /// Goes back to the state before sending, where the failure proves that nothing ran.
    ///
    /// # Errors
    ///
    /// Gives the permit back where the failure proves nothing.
    pub fn retract(self, failure: &Failure) -> Result<Permit<Unsent>, Self> {
        match failure {
            Failure::Refused { .. } | Failure::NotSent => Ok(Permit::new(self.slot, self.deadline)),
            _ => Err(self),
        }
    }
}

/// How a request that left ended; it cannot be "not run".
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum SentOutcome {
    /// It ran; the value is JSON text.
    Executed(Box<str>),
    /// It ran and failed.
    Failed(Reason),
    /// It may have run.
    Unknown(Reason),
}

impl From<SentOutcome> for record::Outcome {
    fn from(ran: SentOutcome) -> Self {
        match ran {
            SentOutcome::Executed(value) => Self::Executed(value),
            SentOutcome::Failed(reason) => Self::Failed { reason },
            SentOutcome::Unknown(reason) => Self::Unknown { reason },
        }
    }
}

/// A permit in whichever state it is, for a driver that keeps it between events.
#[derive(Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "exploration", derive(Clone))]
pub enum AnyPermit {
    /// No byte has left.
    Unsent(Permit<Unsent>),
    /// The request may be running.
    Sent(Permit<Sent>),
}

impl AnyPermit {
    /// Notes that the request is about to leave, and tells whether it may.
    pub fn mark_sent(self, now: Time) -> (Self, bool) {
        match self {
            Self::Unsent(permit) => match permit.mark_sent(now) {
                Ok(permit) => (Self::Sent(permit), true),
                Err(permit) => (Self::Unsent(permit), false),
            },
            // A second attempt while the first may be running is what a permit is there to
            // prevent; a driver that asks for it gets "no".
            Self::Sent(permit) => (Self::Sent(permit), false),
        }
    }

    /// Notes that an attempt failed.
    #[must_use]
    pub fn on_failure(self, failure: &Failure) -> Self {
        match self {
            Self::Unsent(permit) => Self::Unsent(permit),
            Self::Sent(permit) => match permit.retract(failure) {
                Ok(permit) => Self::Unsent(permit),
                Err(permit) => Self::Sent(permit),
            },
        }
    }

    pub(crate) fn into_parts(self) -> (Slot, bool) {
        match self {
            Self::Unsent(permit) => (permit.slot, false),
            Self::Sent(permit) => (permit.slot, true),
        }
    }
}
