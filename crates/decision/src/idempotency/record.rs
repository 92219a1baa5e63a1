//! The record of one key in a ledger.

use crate::outcome::{self, Reason};
use crate::{Fingerprint, RequestId, Time};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Final outcome of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran; the value is JSON text.
    Executed(Box<str>),
    /// It did not run, and will not under this key.
    NotRun {
        /// Why it did not run.
        reason: Reason,
        /// Delay after which the caller should retry under another key.
        retry_after: Option<Duration>,
    },
    /// It ran and failed.
    Failed {
        /// Why it failed.
        reason: Reason,
    },
    /// It may have run; it will not be run again.
    Unknown {
        /// Why its result is unknown.
        reason: Reason,
    },
}

impl Outcome {
    pub(crate) fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }

    pub(crate) fn bytes(&self) -> usize {
        match self {
            Self::Executed(value) => value.len(),
            _ => 0,
        }
    }
}

impl From<Outcome> for outcome::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Executed(value) => Self::Executed(value),
            Outcome::NotRun {
                reason,
                retry_after,
            } => Self::NotRun {
                reason,
                retry_after,
            },
            Outcome::Failed { reason } => Self::Failed {
                reason,
                retry_after: None,
            },
            Outcome::Unknown { reason } => Self::Unknown { reason },
        }
    }
}

impl From<outcome::Outcome> for Outcome {
    fn from(outcome: outcome::Outcome) -> Self {
        match outcome {
            outcome::Outcome::Executed(value) => Self::Executed(value),
            outcome::Outcome::NotRun {
                reason,
                retry_after,
            } => Self::NotRun {
                reason,
                retry_after,
            },
            outcome::Outcome::Failed { reason, .. } => Self::Failed { reason },
            outcome::Outcome::Unknown { reason } => Self::Unknown { reason },
            // Only searches are answered; a non-idempotent request never gets this outcome.
            outcome::Outcome::Answered(_) => Self::Unknown {
                reason: Reason::Fence,
            },
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    /// The permit is issued; `joined` are later sends that wait for the outcome.
    Running {
        joined: Vec<RequestId>,
    },
    Done(Outcome),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Record {
    pub(crate) fingerprint: Fingerprint,
    /// Time on the holder's clock until which the record is kept.
    pub(crate) until: Time,
    pub(crate) state: State,
}

impl Record {
    pub(crate) fn running(fingerprint: Fingerprint, until: Time) -> Self {
        Self {
            fingerprint,
            until,
            state: State::Running { joined: Vec::new() },
        }
    }

    pub(crate) fn done(fingerprint: Fingerprint, until: Time, outcome: Outcome) -> Self {
        Self {
            fingerprint,
            until,
            state: State::Done(outcome),
        }
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, State::Running { .. })
    }

    pub(crate) fn is_needed(&self, now: Time) -> bool {
        self.until > now || self.is_running()
    }

    pub(crate) fn bytes(&self) -> usize {
        match &self.state {
            State::Running { .. } => 0,
            State::Done(outcome) => outcome.bytes(),
        }
    }

    /// Returns the outcome for a handover: a running key counts as "unknown", because the successor
    /// never learns its result.
    pub(crate) fn final_outcome(&self) -> Outcome {
        match &self.state {
            State::Running { .. } => Outcome::Unknown {
                reason: Reason::Stopping,
            },
            State::Done(outcome) => outcome.clone(),
        }
    }
}
