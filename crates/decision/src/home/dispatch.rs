//! Bringing attempts onto connections, and off them.
//!
//! An attempt counts as outstanding at its server from the moment that the server is chosen, also
//! while it waits for a connection: otherwise a burst that finds no connection open would choose
//! the same server again and again. The time that a caller sees includes that wait, so the learned
//! latencies do too.

use super::action::{Action, Send};
use super::ending::LOOK_AT_MOST;
use super::event::Request;
use super::flight::{Flight, Owner};
use super::state::Home;
use super::timer::Timer;
use crate::Time;
use crate::attempt::{AttemptId, ConnectionId};
use crate::backend::pool::Command;
use crate::content::Content;
use crate::query::coverage::KeySet;
use crate::query::search::{Cause, Waiter};
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use std::time::Duration;

/// How long after its request's deadline an attempt may still occupy a connection. A server gives
/// up at the deadline and says so; without an answer the connection has gone silent, and would
/// be lost from the home's share for good.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Time within which cancellations are confirmed. The fleet looks for those that were not.
const CONFIRMATION: Duration = Duration::from_secs(5);

/// Time from a hedge that was denied to the one that may use the budget's reserve, as a share of the
/// hedge's delay. With this the second comes at about the 99th percentile if the first comes at the
/// 95th, so that ordinary slowness alone asks for a fifth of what it asked for first.
const LATE: f64 = 0.5;

/// How many of those who wait may find no room before the others are not asked any more.
const MISSES_AT_MOST: usize = 4;

/// What a new attempt is about.
pub(super) struct Task<'a, C: Content> {
    pub(super) owner: Owner,
    pub(super) request: &'a Request<C>,
    pub(super) server: BackendServerId,
    pub(super) asked: KeySet,
    pub(super) version: Option<IndexVersion>,
    pub(super) cause: Cause,
}

impl<C: Content> Home<C> {
    /// Makes an attempt and puts it into the queue of its server.
    pub(super) fn enqueue(&mut self, task: Task<'_, C>, now: Time) -> AttemptId {
        let id = self.next_attempt;
        self.next_attempt += 1;
        let server = task.server;
        let hedge_delay = self.hedge_delay(&task, now);
        let flight = Flight {
            id,
            owner: task.owner,
            server,
            class: task.request.class,
            fingerprint: task.request.fingerprint,
            asked: task.asked,
            version: task.version,
            connection: None,
            cause: task.cause,
            deadline: task.request.deadline,
            hedge_at: hedge_delay.map(|delay| now + delay),
            late_by: hedge_delay.map(|delay| delay.mul_f64(LATE)),
            check_at: None,
            lost_at: task.request.deadline + ANSWER_GRACE,
        };
        self.timers.set(flight.next(), Timer::Attempt(id));
        let work = self.params(task.request).work;
        self.fleet.sent_for(work, server, id, now);
        self.flights.queue(flight);
        *self.callable.entry(server).or_default() += 1;
        id
    }

    fn hedge_delay(&self, task: &Task<'_, C>, now: Time) -> Option<Duration> {
        let hedge = self.route.hedge;
        let may = hedge.budget_percent > 0.0
            && !task.cause.is_second()
            && matches!(task.owner, Owner::Part(..));
        let work = self.params(task.request).work;
        may.then(|| {
            self.fleet
                .hedge_delay_of(work, task.server, hedge.quantile, now)
        })
    }

    /// Sends what waits for connections that are there. Each attempt asks for a connection once
    /// when it is queued and each connection once when it is free: the pool counts every miss as
    /// demand for one more.
    pub(super) fn transmit(&mut self, now: Time) {
        while let Some((server, asks)) = self.callable.pop_first() {
            for _ in 0..asks {
                self.transmit_first(server, now);
            }
        }
    }

    fn transmit_first(&mut self, server: BackendServerId, now: Time) {
        let Some(id) = self.flights.first(server) else {
            return;
        };
        let owner = self.flights.get(id).map(|flight| flight.owner);
        let connection = match owner {
            Some(Owner::Execution(_)) => self.pool.acquire_fresh(server, now),
            _ => self.pool.acquire(server, now),
        };
        let Some(connection) = connection else {
            return;
        };
        if self.may_send(id, now) {
            self.send(id, connection, now);
            return;
        }
        self.pool.put_back(connection, now);
        *self.callable.entry(server).or_default() += 1;
        if let Some(owner) = owner {
            self.hold(id, owner, now);
        }
    }

    fn may_send(&self, id: AttemptId, now: Time) -> bool {
        let flight = self.flights.get(id);
        flight.is_some_and(|flight| self.suspects.may_send(flight.fingerprint, now))
    }

    /// Takes back an attempt whose fingerprint went into quarantine while it waited.
    fn hold(&mut self, id: AttemptId, owner: Owner, now: Time) {
        let Some(flight) = self.withdraw(id, now) else {
            return;
        };
        let (request, part) = match owner {
            Owner::Part(request, part) => (request, Some(part)),
            Owner::Execution(request) => (request, None),
            Owner::Nobody => return,
        };
        self.release_owner(&flight, owner);
        let held = self.held.entry(flight.fingerprint).or_default();
        held.insert((flight.class, now, request, part));
    }

    /// Makes the owner forget an attempt that was withdrawn before it was sent.
    pub(super) fn release_owner(&mut self, flight: &Flight, owner: Owner) {
        match owner {
            Owner::Part(request, part) => {
                let run = self.runs.get_mut(&request);
                if let Some(part) = run.and_then(|run| run.parts.get_mut(&part)) {
                    part.live.retain(|live| *live != flight.id);
                    part.attempts = part.attempts.saturating_sub(1);
                }
            }
            Owner::Execution(request) => self.withdraw_execution(request),
            Owner::Nobody => {}
        }
    }

    fn send(&mut self, id: AttemptId, connection: ConnectionId, now: Time) {
        let Some(flight) = self.flights.board(id, connection) else {
            return;
        };
        let planned = flight.next();
        let patience = self.fleet.silence_timeout(flight.server, now);
        flight.check_at = Some(now + patience.min(LOOK_AT_MOST));
        let flight = flight.clone();
        self.timers.clear(planned, Timer::Attempt(id));
        self.timers.set(flight.next(), Timer::Attempt(id));
        let Some(request) = self.depart(&flight) else {
            return;
        };
        self.fleet.transmitted(id, now);
        self.fleet_changed |= self.fleet.is_cold(flight.server);
        self.suspects
            .sent(id, flight.fingerprint, flight.server, now);
        self.actions.push(Action::Send(Send {
            attempt: id,
            connection,
            backend_server: flight.server,
            request: request.id,
            ranges: flight.asked.ranges().to_vec(),
            index_version: flight.version,
            deadline: flight.deadline,
            body: request.body,
            execute_key: request.execute_key,
        }));
    }

    /// Tells the owner that its attempt may be running from now on.
    fn depart(&mut self, flight: &Flight) -> Option<Request<C>> {
        match flight.owner {
            Owner::Part(request, _) => {
                let run = self.runs.get_mut(&request)?;
                run.fanout.record_send();
                Some(run.request.clone())
            }
            Owner::Execution(request) => self.depart_execution(request),
            Owner::Nobody => None,
        }
    }

    /// Takes an attempt out of the queue of its server; no byte of it has left.
    pub(super) fn withdraw(&mut self, id: AttemptId, now: Time) -> Option<Flight> {
        let is_sent = self.flights.get(id)?.connection.is_some();
        if is_sent {
            return None;
        }
        let flight = self.flights.remove(id)?;
        self.timers.clear(flight.next(), Timer::Attempt(id));
        self.fleet.forget(id, now);
        let mut why = format!("attempt {id} had not left");
        match flight.cause {
            Cause::Hedge | Cause::LateHedge => {
                if let Some(budgets) = self.budgets_of(flight.server) {
                    budgets.give_back_hedge();
                }
                why.push_str(", hedge given back");
            }
            Cause::Overdue => {
                if let Some(budgets) = self.budgets_of(flight.server) {
                    budgets.give_back_retry();
                }
                why.push_str(", retry given back");
            }
            _ => {}
        }
        self.log(None, "withdraw", Some(flight.server), why);
        self.touch(flight.server);
        Some(flight)
    }

    /// Cancels an attempt that nobody needs any more. One that was sent stays on record until its
    /// reply frees the connection.
    pub(super) fn cancel(&mut self, id: AttemptId, now: Time) {
        if self.withdraw(id, now).is_some() {
            return;
        }
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        flight.owner = Owner::Nobody;
        let server = flight.server;
        self.fleet.cancelling(id, now);
        if self.fleet_at.is_none_or(|at| at > now + CONFIRMATION) {
            self.fleet_changed = true;
        }
        self.actions.push(Action::Cancel(id, server));
    }

    /// Lets those try again whose group has changed or whose turn may have come.
    fn serve_held(&mut self, now: Time) {
        for fingerprint in std::mem::take(&mut self.freed) {
            let held = self.held.remove(&fingerprint).unwrap_or_default();
            for waiter in held {
                self.resume(waiter, now);
            }
        }
    }

    /// Serves those who wait: all of a group whose servers changed, and of a group that only has
    /// room again as many as find some. Past saturation there are many who wait, and asking them
    /// all after each reply would cost more than the replies.
    pub(super) fn serve(&mut self, now: Time) {
        self.serve_held(now);
        for group in std::mem::take(&mut self.changed) {
            self.touched.remove(&group);
            self.serve_group(group, usize::MAX, now);
        }
        for group in std::mem::take(&mut self.touched) {
            self.serve_group(group, MISSES_AT_MOST, now);
        }
    }

    fn serve_group(&mut self, group: usize, misses_at_most: usize, now: Time) {
        let Some(mut waiting) = self.waiting.remove(&group) else {
            return;
        };
        let mut misses = 0;
        while misses < misses_at_most {
            let Some(waiter) = waiting.pop_first() else {
                return;
            };
            let queued = self.next_attempt;
            self.resume(waiter, now);
            misses += usize::from(self.next_attempt == queued);
        }
        self.waiting.entry(group).or_default().append(&mut waiting);
    }

    /// Takes one who waits off the lists. Without this, a group whose servers are all gone would
    /// collect one entry for each request of that time.
    pub(super) fn forget(&mut self, group: usize, waiter: &Waiter) {
        if let Some(waiting) = self.waiting.get_mut(&group) {
            waiting.remove(waiter);
        }
    }

    fn resume(&mut self, waiter: Waiter, now: Time) {
        match waiter.3 {
            Some(part) => self.resume_part(waiter.2, part, now),
            None => self.resume_execution(waiter.2, now),
        }
    }

    /// Carries out what the pool wants.
    pub(super) fn command(&mut self, now: Time) {
        for command in self.pool.reconcile(now) {
            self.actions.push(match command {
                Command::Open(id, server) => Action::Open(id, server),
                Command::Close(id) => Action::Close(id),
            });
        }
    }
}
