//! A non-idempotent request in progress: one server, once.
//!
//! It holds exactly one of: the proof that nothing has run, an attempt that waits for a connection
//! (with the proof inside), or an attempt that was handed over for sending (without it). There is
//! no way from the last state to another server but through a failure that gives the proof back.

use super::attempt::{Attempt, NotRunProof, Queued, Sent};
use super::search::{self, Cause, Waiter};
use crate::Time;
use crate::attempt::{AttemptId, Failure};
use crate::content::Content;
use crate::home::event::Request;
use crate::outcome::{Outcome, Reason};
use monsoonring_configuration::id::BackendServerId;
use std::time::Duration;

/// Where the one attempt stands.
#[derive(Debug)]
pub(crate) enum State {
    /// No attempt is being made: a server is to be chosen, or expected to come back.
    Waiting(NotRunProof),
    /// The attempt waits for a connection.
    Queued(Attempt<Queued>),
    /// The attempt may be running.
    Sent(Attempt<Sent>),
}

/// A non-idempotent request in progress.
#[derive(Debug)]
pub(crate) struct Execution<C: Content> {
    pub(crate) request: Request<C>,
    pub(crate) started: Time,
    pub(crate) state: State,
    /// Servers that provably did not run it.
    pub(crate) tried: Vec<BackendServerId>,
    /// Attempts made.
    pub(crate) attempts: u32,
    /// The latest time that a server named for coming back.
    pub(crate) retry_after: Option<Duration>,
    /// Why the last attempt did not run.
    pub(crate) reason: Reason,
    /// Why the next attempt is made.
    pub(crate) cause: Cause,
}

impl<C: Content> Execution<C> {
    pub(crate) fn new(request: Request<C>, now: Time) -> Self {
        Self {
            request,
            started: now,
            state: State::Waiting(NotRunProof::on_arrival()),
            tried: Vec::new(),
            attempts: 0,
            retry_after: None,
            reason: Reason::Unavailable,
            cause: Cause::First,
        }
    }

    /// Puts the request into the queue of a server.
    pub(crate) fn queue(mut self, id: AttemptId) -> Self {
        self.state = match self.state {
            State::Waiting(unrun) => State::Queued(Attempt::new(id, unrun)),
            other => other,
        };
        self.attempts += 1;
        self
    }

    /// Takes the request out of the queue.
    pub(crate) fn withdraw(mut self) -> Self {
        self.state = match self.state {
            State::Queued(attempt) => State::Waiting(attempt.withdraw()),
            other => other,
        };
        self.attempts = self.attempts.saturating_sub(1);
        self
    }

    /// Marks the request as possibly running from now on.
    pub(crate) fn send(mut self) -> Self {
        self.state = match self.state {
            State::Queued(attempt) => State::Sent(attempt.send()),
            other => other,
        };
        self
    }

    /// Tells whether a server is to be found.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting(_))
    }

    /// Returns the request's place among those who wait.
    pub(crate) fn waiter(&self) -> Waiter {
        let request = &self.request;
        (request.class, self.started, request.id, None)
    }

    /// Returns the attempt that is queued or sent.
    pub(crate) fn attempt(&self) -> Option<AttemptId> {
        match &self.state {
            State::Waiting(_) => None,
            State::Queued(attempt) => Some(attempt.id()),
            State::Sent(attempt) => Some(attempt.id()),
        }
    }

    /// Tells whether the request may be running.
    pub(crate) fn is_sent(&self) -> bool {
        matches!(self.state, State::Sent(_))
    }

    /// Notes how the attempt at a server failed.
    pub(crate) fn record_failure(&mut self, failure: &Failure, server: BackendServerId) {
        self.tried.push(server);
        self.reason = search::reason(failure);
        if let Failure::Refused { retry_after, .. } = failure {
            self.retry_after = self.retry_after.max(*retry_after);
        }
    }

    /// Ends the request without a result: not run where that is proved, unknown otherwise.
    pub(crate) fn give_up(self, reason: Reason) -> Outcome<C::Value> {
        match self.state {
            State::Waiting(unrun) => unrun.into_outcome(reason, self.retry_after),
            State::Queued(attempt) => attempt.withdraw().into_outcome(reason, self.retry_after),
            State::Sent(attempt) => attempt.into_unknown(reason),
        }
    }
}
