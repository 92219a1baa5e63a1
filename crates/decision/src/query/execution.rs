//! A non-idempotent request in progress, which runs at most once.
//!
//! It holds the proof that nothing has run, a queued attempt that contains the proof, or a sent
//! attempt without it. After an attempt was sent, another server can be chosen only if a failure
//! returned the proof.

use super::attempt::{Attempt, NotRunProof, Queued, Sent};
use super::search::{self, Cause, Waiter};
use crate::Time;
use crate::attempt::{AttemptId, ConnectionId, Failure};
use crate::content::Content;
use crate::home::event::Request;
use crate::outcome::{Outcome, Reason};
use monsoonring_configuration::id::BackendServerId;
use smallvec::SmallVec;
use std::time::Duration;

/// State of the only attempt.
#[derive(Debug)]
pub(crate) enum State {
    /// No attempt: waits for a usable server.
    Waiting(NotRunProof),
    /// The attempt waits for a connection.
    Queued(Attempt<Queued>),
    /// The attempt may be running.
    Sent(Attempt<Sent>),
}

/// A non-idempotent request, its state and its history.
#[derive(Debug)]
pub(crate) struct Execution<C: Content> {
    pub(crate) request: Request<C>,
    pub(crate) started: Time,
    pub(crate) state: State,
    /// Servers at which an attempt failed without running.
    pub(crate) tried: Vec<BackendServerId>,
    /// Connections on which an attempt was sent, which no later attempt may use.
    pub(crate) connections: SmallVec<[ConnectionId; 2]>,
    /// Number of attempts.
    pub(crate) attempts: u32,
    /// Longest retry delay returned by a server.
    pub(crate) retry_after: Option<Duration>,
    /// Reason of the last failure.
    pub(crate) reason: Reason,
    /// Cause of the next attempt.
    pub(crate) cause: Cause,
    /// Whether the caller disconnected.
    pub(crate) abandoned: bool,
}

impl<C: Content> Execution<C> {
    pub(crate) fn new(request: Request<C>, now: Time) -> Self {
        Self {
            request,
            started: now,
            state: State::Waiting(NotRunProof::on_arrival()),
            tried: Vec::new(),
            connections: SmallVec::new(),
            attempts: 0,
            retry_after: None,
            reason: Reason::Unavailable,
            cause: Cause::First,
            abandoned: false,
        }
    }

    /// Adds an attempt, which waits in the queue of a server.
    pub(crate) fn queue(mut self, id: AttemptId) -> Self {
        self.state = match self.state {
            State::Waiting(proof) => State::Queued(Attempt::new(id, proof)),
            state => state,
        };
        self.attempts += 1;
        self
    }

    /// Cancels the queued attempt.
    pub(crate) fn withdraw(mut self) -> Self {
        self.state = match self.state {
            State::Queued(attempt) => State::Waiting(attempt.withdraw()),
            state => state,
        };
        self.attempts = self.attempts.saturating_sub(1);
        self
    }

    /// Marks the queued attempt as sent.
    pub(crate) fn send(mut self) -> Self {
        self.state = match self.state {
            State::Queued(attempt) => State::Sent(attempt.send()),
            state => state,
        };
        self
    }

    /// Returns whether the request waits for a server.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting(_))
    }

    /// Returns the request's position in the queue.
    pub(crate) fn waiter(&self) -> Waiter {
        let request = &self.request;
        (request.class, self.started, request.id, None)
    }

    /// Returns the queued or sent attempt.
    pub(crate) fn attempt(&self) -> Option<AttemptId> {
        match &self.state {
            State::Waiting(_) => None,
            State::Queued(attempt) => Some(attempt.id()),
            State::Sent(attempt) => Some(attempt.id()),
        }
    }

    /// Returns whether the request may be running.
    pub(crate) fn is_sent(&self) -> bool {
        matches!(self.state, State::Sent(_))
    }

    /// Records a failed attempt at `server`.
    pub(crate) fn record_failure(&mut self, failure: &Failure, server: BackendServerId) {
        self.tried.push(server);
        self.reason = search::reason(failure);
        if let Failure::Refused { retry_after, .. } = failure {
            self.retry_after = self.retry_after.max(*retry_after);
        }
    }

    /// Ends the request without a result: "not run" with a proof, "unknown" otherwise.
    pub(crate) fn give_up(self, reason: Reason) -> Outcome<C::Value> {
        match self.state {
            State::Waiting(proof) => proof.into_outcome(reason, self.retry_after),
            State::Queued(attempt) => attempt.withdraw().into_outcome(reason, self.retry_after),
            State::Sent(attempt) => attempt.into_unknown(reason),
        }
    }
}
