//! Permits: tokens that allow a key to run once.
//!
//! A ledger issues one permit per key. "Not run" can be recorded only with a permit in the state
//! [`Unsent`]: no byte of the request was sent, or the server itself refused it. If a permit is
//! dropped, its key stays recorded as running: it never runs again and its record is kept.

use super::key::{Fenced, Serial};
use super::{Fence, record};
use crate::Time;
use crate::attempt::Failure;
use crate::outcome::Reason;
use monsoonring_configuration::id::CallerId;

/// State of a permit whose request has not been sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Unsent(());

/// State of a permit whose request may be running.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Sent(());

/// Position of a key's record in the ledger.
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

    /// Marks the request as sent; call immediately before writing the first byte.
    ///
    /// # Errors
    ///
    /// Returns the permit if the deadline has passed. Otherwise a process that is paused before
    /// sending would run a request that its caller has given up.
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
    /// Returns the permit to the unsent state if the failure proves that the request did not run.
    ///
    /// # Errors
    ///
    /// Returns the permit unchanged if the request may have run.
    pub fn retract(self, failure: &Failure) -> Result<Permit<Unsent>, Self> {
        match failure {
            Failure::Refused { .. } | Failure::NotSent => Ok(Permit::new(self.slot, self.deadline)),
            _ => Err(self),
        }
    }
}

/// Outcome of a request that was sent; it can't be "not run".
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
    fn from(outcome: SentOutcome) -> Self {
        match outcome {
            SentOutcome::Executed(value) => Self::Executed(value),
            SentOutcome::Failed(reason) => Self::Failed { reason },
            SentOutcome::Unknown(reason) => Self::Unknown { reason },
        }
    }
}

/// A permit in either state, for a driver that stores it between events.
#[derive(Debug, PartialEq, Eq, Hash)]
#[cfg_attr(feature = "exploration", derive(Clone))]
pub enum AnyPermit {
    /// No byte of the request was sent.
    Unsent(Permit<Unsent>),
    /// The request may be running.
    Sent(Permit<Sent>),
}

impl AnyPermit {
    /// Marks the request as sent, and returns whether it may be sent.
    pub fn mark_sent(self, now: Time) -> (Self, bool) {
        match self {
            Self::Unsent(permit) => match permit.mark_sent(now) {
                Ok(permit) => (Self::Sent(permit), true),
                Err(permit) => (Self::Unsent(permit), false),
            },
            // The first attempt may be running: a second one is never permitted.
            Self::Sent(permit) => (Self::Sent(permit), false),
        }
    }

    /// Returns to the unsent state if the failure proves that the request did not run.
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
