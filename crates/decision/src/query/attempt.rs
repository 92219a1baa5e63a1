//! The life of an attempt, as types.
//!
//! Symptom guarded against: a caller is told "not run", sends a repair ticket again, and two teams
//! go to the same valve. It would come about when some path of failures ends in
//! `Outcome::NotRun` although bytes had left. Here that outcome is built from an [`NotRunProof`] alone.
//! There is one of them per request, it can't be copied, it goes into the attempt when the attempt
//! is sent, and it comes back only with a failure that proves that nothing ran.

use crate::attempt::{AttemptId, Failure};
use crate::outcome::{Outcome, Reason};
use std::time::Duration;

/// Proof that nothing of a request has run.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Makes the proof for a request that has just arrived. Called once per request.
    pub(crate) fn on_arrival() -> Self {
        Self(())
    }

    /// Ends the request as not run.
    pub fn into_outcome<V>(self, reason: Reason, retry_after: Option<Duration>) -> Outcome<V> {
        Outcome::NotRun {
            reason,
            retry_after: retry_after_or_default(reason, retry_after),
        }
    }
}

/// Time after which to come back where no server named one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns when it is worth coming back: what a server named, or a second where the reason is one
/// that passes. Callers that are told nothing come back at once, all together.
pub(crate) fn retry_after_or_default(reason: Reason, named: Option<Duration>) -> Option<Duration> {
    let passes = matches!(
        reason,
        Reason::Overload | Reason::Unavailable | Reason::Lost
    );
    named.or(passes.then_some(DEFAULT_RETRY_AFTER))
}

/// An attempt of a non-idempotent request in the state `S`.
#[derive(Debug, PartialEq, Eq)]
pub struct Attempt<S> {
    id: AttemptId,
    state: S,
}

/// State of an attempt that waits for a connection; no byte has left.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued(NotRunProof);

/// State of an attempt that was handed over for sending; it may be running.
#[derive(Debug, PartialEq, Eq)]
pub struct Sent(());

/// How a sent attempt ended without a result.
#[derive(Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It provably did not run.
    NotRun(NotRunProof),
    /// It ran and failed.
    Ran,
    /// It may have run.
    InDoubt,
}

impl<S> Attempt<S> {
    /// Returns the attempt's id.
    pub fn id(&self) -> AttemptId {
        self.id
    }
}

impl Attempt<Queued> {
    /// Makes an attempt that waits for a connection.
    pub fn new(id: AttemptId, unrun: NotRunProof) -> Self {
        let state = Queued(unrun);
        Self { id, state }
    }

    /// Takes the attempt back.
    pub fn withdraw(self) -> NotRunProof {
        self.state.0
    }

    /// Hands the attempt over for sending; the proof is gone from here on.
    pub fn send(self) -> Attempt<Sent> {
        Attempt {
            id: self.id,
            state: Sent(()),
        }
    }
}

impl Attempt<Sent> {
    /// Ends the attempt. Only a refusal by the server itself, or the driver's word that no byte
    /// left, gives the proof back.
    pub fn fail(self, failure: &Failure) -> Disposition {
        match failure {
            Failure::Refused { .. } | Failure::NotSent => Disposition::NotRun(NotRunProof(())),
            Failure::ServerError { .. } => Disposition::Ran,
            Failure::Lost | Failure::Dropped | Failure::Mismatched | Failure::Cancelled { .. } => {
                Disposition::InDoubt
            }
        }
    }

    /// Gives the attempt up while it may be running.
    pub fn into_unknown<V>(self, reason: Reason) -> Outcome<V> {
        Outcome::Unknown { reason }
    }
}

/// The attempts of one search, which goes to many servers at once.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Fanout {
    sent: u32,
    unrun: u32,
}

impl Fanout {
    /// Counts an attempt handed over for sending.
    pub fn send(&mut self) {
        self.sent += 1;
    }

    /// Counts the end of an attempt; called once per attempt.
    pub fn fail(&mut self, failure: &Failure) {
        if failure.is_not_run() {
            self.unrun += 1;
        }
    }

    /// Returns the proof if each attempt sent has provably not run.
    pub fn unrun(&self) -> Option<NotRunProof> {
        (self.sent == self.unrun).then_some(NotRunProof(()))
    }
}
