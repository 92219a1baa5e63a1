//! Non-idempotent requests: one server, once.
//!
//! There is no hedge here, no retry after a lost connection and no cancellation. The states of
//! [`Execution`] leave no other way.

use super::dispatch::Task;
use super::event::Request;
use super::flight::{Flight, Owner};
use super::state::Home;
use crate::attempt::Failure;
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

/// The only group of a route whose requests run at one server.
const EXECUTE_GROUP: usize = 0;

impl<C: Content> Home<C> {
    /// Starts a non-idempotent request.
    pub(super) fn execute(&mut self, request: Request<C>, now: Time) {
        self.place(Execution::new(request, now), now);
    }

    /// Finds the one server for a request of which nothing has run; without one it waits, or ends
    /// as not run.
    fn place(&mut self, execution: Execution<C>, now: Time) {
        if !execution.is_waiting() {
            self.executions.insert(execution.request.id, execution);
            return;
        }
        let cause = execution.cause;
        if cause == Cause::Retry && execution.attempts >= self.route.retry.attempts {
            self.end_unplaced(execution, now);
            return;
        }
        if !self.suspects.may_send(execution.request.fingerprint, now) {
            self.hold_execution(execution);
            return;
        }
        match self.pick_for_execution(&execution, now) {
            Some((server, why))
                if self.afford(EXECUTE_GROUP, cause, Importance::Required(0), now) =>
            {
                self.log(Some(execution.request.id), "execute", Some(server), why);
                self.queue_execution(execution, server, now);
            }
            Some(_) => self.end_unplaced(execution, now),
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
        let fresh =
            self.fleet
                .choose_with(candidates, &execution.tried, None, Repeat::Never, now, rng);
        let choice = match fresh {
            Some(choice) => Some(choice),
            None if execution.tried.is_empty() => None,
            None => self
                .fleet
                .choose_with(candidates, &[], None, Repeat::Never, now, rng),
        };
        choice.map(|choice| (choice.server, choice.why))
    }

    fn queue_execution(&mut self, execution: Execution<C>, server: BackendServerId, now: Time) {
        let task = Task {
            owner: Owner::Execution(execution.request.id),
            request: &execution.request,
            server,
            asked: KeySet::default(),
            version: None,
            cause: execution.cause,
        };
        let id = self.enqueue(task, now);
        self.executions
            .insert(execution.request.id, execution.queue(id));
    }

    fn hold_execution(&mut self, execution: Execution<C>) {
        let request = &execution.request;
        let held = self.held.entry(request.fingerprint).or_default();
        held.insert(execution.waiter());
        self.executions.insert(request.id, execution);
    }

    fn park_execution(&mut self, execution: Execution<C>, now: Time) {
        let request = &execution.request;
        let deadline = request.deadline;
        let servers = self.placement.servers();
        let hopeful = |server: &BackendServerId| self.is_hopeful(*server, None, deadline, now);
        if !servers.iter().any(hopeful) {
            self.end_unplaced(execution, now);
            return;
        }
        for group in 0..self.route.groups.len() {
            let waiting = self.waiting.entry(group).or_default();
            waiting.insert(execution.waiter());
        }
        self.executions.insert(request.id, execution);
    }

    fn end_unplaced(&mut self, execution: Execution<C>, now: Time) {
        let reason = execution.reason;
        self.finish_execution(execution, reason, now);
    }

    /// Tries again for a request that waited.
    pub(super) fn resume_execution(&mut self, id: RequestId, now: Time) {
        if let Some(execution) = self.executions.remove(&id) {
            self.place(execution, now);
        }
    }

    /// Finds another server for a request whose server can't be used any more.
    pub(super) fn move_execution(&mut self, id: RequestId, now: Time) {
        if let Some(mut execution) = self.executions.remove(&id) {
            execution.cause = Cause::Remainder;
            self.place(execution, now);
        }
    }

    /// Marks the attempt as possibly running, and returns the request.
    pub(super) fn depart_execution(&mut self, id: RequestId) -> Option<Request<C>> {
        let execution = self.executions.remove(&id)?;
        let request = execution.request.clone();
        self.executions.insert(id, execution.send());
        Some(request)
    }

    /// Takes the attempt out of the queue; the request waits again.
    pub(super) fn withdraw_execution(&mut self, id: RequestId) {
        if let Some(execution) = self.executions.remove(&id) {
            self.executions.insert(id, execution.withdraw());
        }
    }

    /// Takes in how the one attempt ended without a result.
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
            Disposition::NotRun(unrun) => {
                execution.state = State::Waiting(unrun);
                self.place_again(execution, failure, now);
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

    fn place_again(&mut self, mut execution: Execution<C>, failure: &Failure, now: Time) {
        if search::is_final(failure) {
            self.end_unplaced(execution, now);
            return;
        }
        execution.cause = match failure {
            Failure::NotSent => Cause::Remainder,
            _ => Cause::Retry,
        };
        self.place(execution, now);
    }

    /// Takes in the result of the one attempt.
    pub(super) fn execution_succeeded(&mut self, id: RequestId, value: C::Value, now: Time) {
        if let Some(execution) = self.executions.remove(&id) {
            let outcome = Outcome::Executed(value);
            self.end(&execution.request, execution.started, outcome, now);
        }
    }

    /// The caller went away. A request that may be running goes on: its result is still worth
    /// knowing when the caller sends it again under the same key.
    pub(super) fn abandon_execution(&mut self, id: RequestId, now: Time) {
        let Some(execution) = self.executions.remove(&id) else {
            return;
        };
        if execution.is_sent() {
            self.executions.insert(id, execution);
            return;
        }
        self.finish_execution(execution, Reason::Abandoned, now);
    }

    /// Ends the requests of a fingerprint that crashes servers, except for those that may be
    /// running: how they end is still to be seen.
    pub(super) fn condemn_executions(&mut self, fingerprint: Fingerprint, now: Time) {
        let executions = self.executions.values();
        let like = executions
            .filter(|execution| execution.request.fingerprint == fingerprint)
            .filter(|execution| !execution.is_sent());
        let ids: Vec<RequestId> = like.map(|execution| execution.request.id).collect();
        for id in ids {
            if let Some(execution) = self.executions.remove(&id) {
                self.finish_execution(execution, Reason::Suspect, now);
            }
        }
    }

    /// Ends a request without a result: not run where that is proved, unknown otherwise.
    pub(super) fn finish_execution(&mut self, execution: Execution<C>, reason: Reason, now: Time) {
        if let Some(attempt) = execution.attempt() {
            self.disown(attempt, now);
        }
        for group in 0..self.route.groups.len() {
            self.forget(group, &execution.waiter());
        }
        let request = execution.request.clone();
        let began = execution.started;
        let outcome = execution.give_up(reason);
        self.end(&request, began, outcome, now);
    }

    /// Lets an attempt go on without its request; one that waits is taken back.
    fn disown(&mut self, attempt: u64, now: Time) {
        if self.withdraw(attempt, now).is_some() {
            return;
        }
        if let Some(flight) = self.flights.get_mut(attempt) {
            flight.owner = Owner::Nobody;
        }
    }

    fn end(&mut self, request: &Request<C>, began: Time, outcome: Outcome<C::Value>, now: Time) {
        self.log(Some(request.id), "finish", None, summary(&outcome));
        self.finish(request, began, outcome, now);
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
