//! Non-idempotent requests: at most one server runs each.
//!
//! They are never hedged, retried after a lost connection, or cancelled. The states of
//! [`Execution`] enforce this.

use super::dispatch::AttemptSpec;
use super::event::Request;
use super::flight::{Flight, Owner};
use super::state::Home;
use crate::attempt::{ConnectionId, Failure};
use crate::backend::Repeat;
use crate::budget::Importance;
use crate::content::Content;
use crate::outcome::{Outcome, Reason};
use crate::query::attempt::Disposition;
use crate::query::coverage::KeySet;
use crate::query::execution::{Execution, State};
use crate::query::search::{self, Cause};
use crate::rationale::LeastLoaded;
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::id::BackendServerId;

/// Index of the only group of a route for non-idempotent requests.
const EXECUTE_GROUP: usize = 0;

impl<C: Content> Home<C> {
    /// Starts a non-idempotent request.
    pub(super) fn execute(&mut self, request: Request<C>, now: Time) {
        self.assign_execution(Execution::new(request, now), now);
    }

    /// Assigns a server to a request that has not run. Without a server the request waits, or ends
    /// as not run.
    fn assign_execution(&mut self, execution: Execution<C>, now: Time) {
        if !execution.is_waiting() {
            self.executions.insert(execution.request.id, execution);
            return;
        }
        let cause = execution.cause;
        if cause == Cause::Retry && execution.attempts >= self.route.retry.attempts {
            self.end_unassigned(execution, now);
            return;
        }
        if !self.suspects.can_send(execution.request.fingerprint, now) {
            self.quarantine_execution(execution);
            return;
        }
        match self.pick_for_execution(&execution, now) {
            Some((server, rationale))
                if self.take_budget(EXECUTE_GROUP, cause, Importance::Required(0), now) =>
            {
                self.log(
                    Some(execution.request.id),
                    "execute",
                    Some(server),
                    rationale,
                );
                self.queue_execution(execution, server, now);
            }
            Some(_) => self.end_unassigned(execution, now),
            None => self.park_execution(execution, now),
        }
    }

    fn pick_for_execution(
        &mut self,
        execution: &Execution<C>,
        now: Time,
    ) -> Option<(BackendServerId, LeastLoaded)> {
        let candidates = self.placement.servers();
        let rng = &mut self.rng;
        let untried =
            self.fleet
                .choose_with(candidates, &execution.tried, None, Repeat::Never, now, rng);
        let choice = match untried {
            Some(choice) => Some(choice),
            None if execution.tried.is_empty() => None,
            None => self
                .fleet
                .choose_with(candidates, &[], None, Repeat::Never, now, rng),
        };
        choice.map(|choice| (choice.server, choice.rationale))
    }

    fn queue_execution(&mut self, execution: Execution<C>, server: BackendServerId, now: Time) {
        let spec = AttemptSpec {
            owner: Owner::Execution(execution.request.id),
            request: &execution.request,
            server,
            keys: KeySet::default(),
            version: None,
            cause: execution.cause,
        };
        let id = self.enqueue(spec, now);
        self.executions
            .insert(execution.request.id, execution.queue(id));
    }

    fn quarantine_execution(&mut self, execution: Execution<C>) {
        let request = &execution.request;
        let quarantined = self.quarantined.entry(request.fingerprint).or_default();
        quarantined.insert(execution.waiter());
        self.executions.insert(request.id, execution);
    }

    fn park_execution(&mut self, execution: Execution<C>, now: Time) {
        let request = &execution.request;
        let deadline = request.deadline;
        let servers = self.placement.servers();
        let is_available =
            |server: &BackendServerId| self.is_available_before(*server, None, deadline, now);
        if !servers.iter().any(is_available) {
            self.end_unassigned(execution, now);
            return;
        }
        for group in 0..self.route.groups.len() {
            let waiting = self.waiting.entry(group).or_default();
            waiting.insert(execution.waiter());
        }
        self.executions.insert(request.id, execution);
    }

    fn end_unassigned(&mut self, execution: Execution<C>, now: Time) {
        let reason = execution.reason;
        self.finish_execution(execution, reason, now);
    }

    /// Resumes a request that waited for a server.
    pub(super) fn resume_execution(&mut self, id: RequestId, now: Time) {
        if let Some(execution) = self.executions.remove(&id) {
            self.assign_execution(execution, now);
        }
    }

    /// Assigns another server to a request whose server became unusable before the request was
    /// sent.
    pub(super) fn move_execution(&mut self, id: RequestId, now: Time) {
        if let Some(mut execution) = self.executions.remove(&id) {
            execution.cause = Cause::Remainder;
            self.assign_execution(execution, now);
        }
    }

    /// Marks the request as possibly running, and returns it.
    pub(super) fn mark_execution_sent(
        &mut self,
        id: RequestId,
        connection: Option<ConnectionId>,
    ) -> Option<Request<C>> {
        let mut execution = self.executions.remove(&id)?;
        execution.connections.extend(connection);
        let request = execution.request.clone();
        self.executions.insert(id, execution.send());
        Some(request)
    }

    /// Puts a request whose attempt was withdrawn back into the waiting state.
    pub(super) fn withdraw_execution(&mut self, id: RequestId) {
        if let Some(execution) = self.executions.remove(&id) {
            self.executions.insert(id, execution.withdraw());
        }
    }

    /// Handles the failure of the only attempt: assigns another server if the request provably did
    /// not run, and ends it otherwise.
    pub(super) fn execution_failed(
        &mut self,
        id: RequestId,
        flight: &Flight,
        failure: &Failure,
        now: Time,
    ) {
        let Some(mut execution) = self.executions.remove(&id) else {
            return;
        };
        execution.record_failure(failure, flight.server);
        let State::Sent(attempt) = execution.state else {
            self.executions.insert(id, execution);
            return;
        };
        match attempt.fail(failure) {
            Disposition::NotRun(proof) if execution.abandoned => {
                execution.state = State::Waiting(proof);
                self.finish_execution(execution, Reason::Abandoned, now);
            }
            Disposition::NotRun(proof) => {
                execution.state = State::Waiting(proof);
                self.reassign_execution(execution, failure, now);
            }
            Disposition::Ran => {
                let outcome = Outcome::Failed {
                    reason: Reason::BackendServer,
                    retry_after: None,
                };
                self.end(&execution.request, execution.started, outcome, now);
            }
            Disposition::InDoubt => {
                let reason = search::reason(failure);
                let outcome = Outcome::Unknown { reason };
                self.end(&execution.request, execution.started, outcome, now);
            }
        }
    }

    fn reassign_execution(&mut self, mut execution: Execution<C>, failure: &Failure, now: Time) {
        if search::is_final(failure) {
            self.end_unassigned(execution, now);
            return;
        }
        execution.cause = match failure {
            Failure::NotSent => Cause::Remainder,
            _ => Cause::Retry,
        };
        self.assign_execution(execution, now);
    }

    /// Ends a request with the result of its only attempt.
    pub(super) fn execution_succeeded(&mut self, id: RequestId, value: C::Value, now: Time) {
        if let Some(execution) = self.executions.remove(&id) {
            let outcome = Outcome::Executed(value);
            self.end(&execution.request, execution.started, outcome, now);
        }
    }

    /// Ends an abandoned request unless it may be running. In that case the result is kept for a
    /// caller that sends the request again with the same idempotency key, but no further attempt is
    /// sent.
    pub(super) fn abandon_execution(&mut self, id: RequestId, now: Time) {
        let Some(mut execution) = self.executions.remove(&id) else {
            return;
        };
        if execution.is_sent() {
            execution.abandoned = true;
            self.executions.insert(id, execution);
            return;
        }
        self.finish_execution(execution, Reason::Abandoned, now);
    }

    /// Ends waiting requests of a fingerprint that crashes servers. Those that may be running
    /// continue, because their result is still open.
    pub(super) fn end_suspect_executions(&mut self, fingerprint: Fingerprint, now: Time) {
        let executions = self.executions.values();
        let matching = executions
            .filter(|execution| execution.request.fingerprint == fingerprint)
            .filter(|execution| !execution.is_sent());
        let ids: Vec<RequestId> = matching.map(|execution| execution.request.id).collect();
        for id in ids {
            if let Some(execution) = self.executions.remove(&id) {
                self.finish_execution(execution, Reason::Suspect, now);
            }
        }
    }

    /// Ends a request without a result: as not run if that is proven, as unknown otherwise.
    pub(super) fn finish_execution(&mut self, execution: Execution<C>, reason: Reason, now: Time) {
        if let Some(attempt) = execution.attempt() {
            self.detach_attempt(attempt, now);
        }
        for group in 0..self.route.groups.len() {
            self.remove_waiter(group, &execution.waiter());
        }
        let request = execution.request.clone();
        let started = execution.started;
        let outcome = execution.give_up(reason);
        self.end(&request, started, outcome, now);
    }

    /// Detaches an attempt from its request; withdraws it if it is still queued.
    fn detach_attempt(&mut self, attempt: u64, now: Time) {
        if self.withdraw(attempt, now).is_some() {
            return;
        }
        if let Some(flight) = self.flights.get_mut(attempt) {
            flight.owner = Owner::Detached;
        }
    }

    fn end(&mut self, request: &Request<C>, started: Time, outcome: Outcome<C::Value>, now: Time) {
        self.log(Some(request.id), "finish", None, summary(&outcome));
        self.finish(request, started, outcome, now);
    }
}

fn summary<V>(outcome: &Outcome<V>) -> String {
    match outcome {
        Outcome::NotRun { reason, .. } => format!("not run: {reason}"),
        Outcome::Failed { reason, .. } => format!("failed: {reason}"),
        Outcome::Unknown { reason } => format!("unknown: {reason}"),
        _ => "executed".to_owned(),
    }
}
