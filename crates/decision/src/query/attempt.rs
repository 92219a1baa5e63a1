//! Typestates of an attempt, which prevent a wrong "not run".
//!
//! If a request that may have run ended as `Outcome::NotRun`, the caller would retry it and it
//! could run twice. That outcome can only be built from a [`NotRunProof`]. A request has one, which
//! can't be copied; sending the attempt consumes it, and only a failure that proves that nothing
//! ran returns it.

use crate::attempt::{AttemptId, Failure};
use crate::outcome::{Outcome, Reason};
use std::time::Duration;

/// Proof that no part of a request has run.
#[derive(Debug, PartialEq, Eq)]
pub struct NotRunProof(());

impl NotRunProof {
    /// Returns the proof for a request that has just arrived; call once per request.
    pub(crate) fn on_arrival() -> Self {
        Self(())
    }

    /// Returns [`Outcome::NotRun`], with a default retry delay for transient reasons.
    pub fn into_outcome<V>(self, reason: Reason, retry_after: Option<Duration>) -> Outcome<V> {
        Outcome::NotRun {
            reason,
            retry_after: retry_after_or_default(reason, retry_after),
        }
    }
}

/// Retry delay if no server returned one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the server's retry delay, or a default for the reason: [`DEFAULT_RETRY_AFTER`] if it is
/// transient, so that callers don't retry immediately and simultaneously, and none if the daemon is
/// stopping, because the others can serve the request.
pub(crate) fn retry_after_or_default(
    reason: Reason,
    retry_after: Option<Duration>,
) -> Option<Duration> {
    retry_after.or(match reason {
        Reason::Overload | Reason::Unavailable | Reason::Lost => Some(DEFAULT_RETRY_AFTER),
        Reason::Stopping => Some(Duration::ZERO),
        _ => None,
    })
}

/// An attempt of a non-idempotent request, in state `S`.
#[derive(Debug, PartialEq, Eq)]
pub struct Attempt<S> {
    id: AttemptId,
    state: S,
}

/// State of an attempt that waits for a connection; no byte has been sent.
#[derive(Debug, PartialEq, Eq)]
pub struct Queued(NotRunProof);

/// State of an attempt that has been handed to the driver; it may be running.
#[derive(Debug, PartialEq, Eq)]
pub struct Sent(());

/// What is known about a sent attempt that failed.
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
    /// Returns the id, unique within the incarnation of a daemon.
    pub fn id(&self) -> AttemptId {
        self.id
    }
}

impl Attempt<Queued> {
    /// Returns an attempt that waits for a connection.
    pub fn new(id: AttemptId, proof: NotRunProof) -> Self {
        let state = Queued(proof);
        Self { id, state }
    }

    /// Cancels the attempt and returns the proof.
    pub fn withdraw(self) -> NotRunProof {
        self.state.0
    }

    /// Marks the attempt as sent, which consumes the proof.
    pub fn send(self) -> Attempt<Sent> {
        Attempt {
            id: self.id,
            state: Sent(()),
        }
    }
}

impl Attempt<Sent> {
    /// Ends the attempt. The proof is returned only if the server itself refused the request, or if
    /// the driver reports that no byte was sent.
    pub fn fail(self, failure: &Failure) -> Disposition {
        match failure {
            Failure::Refused { .. } | Failure::NotSent => Disposition::NotRun(NotRunProof(())),
            Failure::ServerError { .. } => Disposition::Ran,
            Failure::Lost | Failure::Dropped | Failure::Mismatched | Failure::Cancelled { .. } => {
                Disposition::InDoubt
            }
        }
    }

    /// Gives up the attempt, which may be running.
    pub fn into_unknown<V>(self, reason: Reason) -> Outcome<V> {
        Outcome::Unknown { reason }
    }
}

/// Counts the attempts of one search, which fans out to many servers.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Fanout {
    sent: u32,
    not_run: u32,
}

impl Fanout {
    /// Counts an attempt that is sent.
    pub fn record_send(&mut self) {
        self.sent += 1;
    }

    /// Counts a failed attempt; call once per attempt.
    pub fn record_failure(&mut self, failure: &Failure) {
        if failure.is_not_run() {
            self.not_run += 1;
        }
    }

    /// Returns the proof if none of the sent attempts ran.
    pub fn not_run_proof(&self) -> Option<NotRunProof> {
        (self.sent == self.not_run).then_some(NotRunProof(()))
    }
}
