//! Queues attempts, sends them on connections, and cancels them.
//!
//! An attempt counts as outstanding at its server as soon as the server is chosen, also while it
//! waits for a connection. Otherwise a burst that finds no open connection would choose the same
//! server for every request. Callers see the wait for a connection too, so learned latencies
//! include it.

use super::action::{Action, Send};
use super::completion::MAX_CHECK_INTERVAL;
use super::event::Request;
use super::flight::{Flight, Owner};
use super::state::Home;
use super::timer::Timer;
use crate::attempt::{AttemptId, ConnectionId, ReplyIdentity};
use crate::backend::pool::Command;
use crate::content::Content;
use crate::query::coverage::KeySet;
use crate::query::execution::Execution;
use crate::query::search::{Cause, Search, Waiter};
use crate::{RequestId, Time};
use monsoonring_configuration::id::{BackendServerId, IndexVersion};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after a request's deadline at which its connection is given up. A server reports by then
/// that it stopped at the deadline, so a connection without a reply is broken.
const REPLY_GRACE: Duration = Duration::from_secs(1);

/// Time within which a server has to confirm a cancellation; the fleet detects missing
/// confirmations.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);

/// Time from a denied hedge to the late hedge that may use the budget's reserve, as a share of the
/// hedge delay. If hedges start at the 95th percentile of the latency, late ones start at about the
/// 99th, so that ordinary slowness requests a fifth as many.
const LATE_HEDGE_DELAY_SHARE: f64 = 0.5;

/// Number of waiters of a group that are resumed without finding a free slot before the others are
/// left waiting.
const MAX_MISSES: usize = 4;

/// Parameters of a new attempt.
pub(super) struct AttemptSpec<'a, C: Content> {
    pub(super) owner: Owner,
    pub(super) request: &'a Request<C>,
    pub(super) server: BackendServerId,
    pub(super) keys: KeySet,
    pub(super) version: Option<IndexVersion>,
    pub(super) cause: Cause,
}

/// Returns the connections on which an attempt may not be sent: those of earlier attempts of the
/// same request, unless replies identify the attempt.
fn used_connections<'a, C: Content>(
    identity: ReplyIdentity,
    flight: &Flight,
    searches: &'a BTreeMap<RequestId, Search<C>>,
    executions: &'a BTreeMap<RequestId, Execution<C>>,
) -> &'a [ConnectionId] {
    if identity == ReplyIdentity::Attempt {
        return &[];
    }
    let used = match flight.owner {
        // A first attempt is the first one at its server.
        Owner::Part(..) if flight.cause == Cause::First => None,
        Owner::Part(request, _) => searches.get(&request).map(|search| &search.connections[..]),
        Owner::Execution(request) => {
            let execution = executions.get(&request);
            execution.map(|execution| &execution.connections[..])
        }
        Owner::Detached => None,
    };
    used.unwrap_or_default()
}

impl<C: Content> Home<C> {
    /// Creates an attempt and adds it to the queue of its server.
    pub(super) fn enqueue(&mut self, spec: AttemptSpec<'_, C>, now: Time) -> AttemptId {
        let id = self.next_attempt;
        self.next_attempt += 1;
        let server = spec.server;
        let hedge_delay = self.hedge_delay(&spec, now);
        let flight = Flight {
            id,
            owner: spec.owner,
            server,
            class: spec.request.class,
            fingerprint: spec.request.fingerprint,
            keys: spec.keys,
            version: spec.version,
            connection: None,
            cause: spec.cause,
            deadline: spec.request.deadline,
            hedge_at: hedge_delay.map(|delay| now + delay),
            late_hedge_delay: hedge_delay.map(|delay| delay.mul_f64(LATE_HEDGE_DELAY_SHARE)),
            check_at: None,
            give_up_at: spec.request.deadline + REPLY_GRACE,
        };
        self.timers.set(flight.next_due(), Timer::Attempt(id));
        let work = self.params(spec.request).work;
        self.fleet.sent_for(work, server, id, now);
        self.flights.queue(flight);
        *self.pending_acquires.entry(server).or_default() += 1;
        id
    }

    fn hedge_delay(&self, spec: &AttemptSpec<'_, C>, now: Time) -> Option<Duration> {
        let hedge = self.route.hedge;
        let is_allowed = hedge.budget_percent > 0.0
            && !spec.cause.is_second()
            && matches!(spec.owner, Owner::Part(..));
        let work = self.params(spec.request).work;
        is_allowed.then(|| {
            self.fleet
                .hedge_delay_of(work, spec.server, hedge.quantile, now)
        })
    }

    /// Sends queued attempts on idle connections. Acquires a connection once per queued attempt and
    /// once per freed connection only, because the pool counts each failed acquire as demand for
    /// another connection.
    pub(super) fn send_queued(&mut self, now: Time) {
        while let Some((server, count)) = self.pending_acquires.pop_first() {
            for _ in 0..count {
                self.send_next(server, now);
            }
        }
    }

    fn send_next(&mut self, server: BackendServerId, now: Time) {
        let Some(first) = self.flights.first_queued(server) else {
            return;
        };
        if let Some(connection) = self.acquire_for(first, server, now) {
            self.send_or_quarantine(first, connection, now);
            return;
        }
        if !self.is_barred(first, server) {
            return;
        }
        // Other requests can use the connections that the first one can't.
        for id in self.flights.queued(server) {
            if self.is_barred(id, server) {
                continue;
            }
            if let Some(connection) = self.acquire_for(id, server, now) {
                self.pool.replace_after_use(connection, now);
                self.send_or_quarantine(id, connection, now);
            }
            return;
        }
    }

    /// Takes an idle connection for a queued attempt.
    fn acquire_for(
        &mut self,
        id: AttemptId,
        server: BackendServerId,
        now: Time,
    ) -> Option<ConnectionId> {
        let identity = self.policy.reply_identity;
        let flight = self.flights.get(id)?;
        let used = used_connections(identity, flight, &self.searches, &self.executions);
        match flight.owner {
            Owner::Execution(_) => self.pool.acquire_fresh(server, used, now),
            _ => self.pool.acquire(server, used, now),
        }
    }

    /// Returns whether earlier attempts of the same request have used all idle connections.
    fn is_barred(&self, id: AttemptId, server: BackendServerId) -> bool {
        let identity = self.policy.reply_identity;
        let flight = self.flights.get(id);
        flight.is_some_and(|flight| {
            let used = used_connections(identity, flight, &self.searches, &self.executions);
            self.pool.is_idle_only_among(server, used)
        })
    }

    fn send_or_quarantine(&mut self, id: AttemptId, connection: ConnectionId, now: Time) {
        if self.can_send(id, now) {
            self.send(id, connection, now);
            return;
        }
        self.pool.put_back(connection, now);
        let Some(flight) = self.flights.get(id) else {
            return;
        };
        *self.pending_acquires.entry(flight.server).or_default() += 1;
        self.quarantine(id, flight.owner, now);
    }

    fn can_send(&self, id: AttemptId, now: Time) -> bool {
        let flight = self.flights.get(id);
        flight.is_some_and(|flight| self.suspects.can_send(flight.fingerprint, now))
    }

    /// Withdraws an attempt whose fingerprint was quarantined while the attempt was queued; its
    /// owner waits for the quarantine to end.
    fn quarantine(&mut self, id: AttemptId, owner: Owner, now: Time) {
        let Some(flight) = self.withdraw(id, now) else {
            return;
        };
        let (request, part) = match owner {
            Owner::Part(request, part) => (request, Some(part)),
            Owner::Execution(request) => (request, None),
            Owner::Detached => return,
        };
        self.release_owner(&flight, owner);
        let quarantined = self.quarantined.entry(flight.fingerprint).or_default();
        quarantined.insert((flight.class, now, request, part));
    }

    /// Removes a withdrawn attempt from its owner.
    pub(super) fn release_owner(&mut self, flight: &Flight, owner: Owner) {
        match owner {
            Owner::Part(request, part) => {
                let search = self.searches.get_mut(&request);
                if let Some(part) = search.and_then(|search| search.parts.get_mut(&part)) {
                    part.live.retain(|live| *live != flight.id);
                    part.attempts = part.attempts.saturating_sub(1);
                }
            }
            Owner::Execution(request) => self.withdraw_execution(request),
            Owner::Detached => {}
        }
    }

    fn send(&mut self, id: AttemptId, connection: ConnectionId, now: Time) {
        let Some(flight) = self.flights.mark_sent(id, connection) else {
            return;
        };
        let previous_due = flight.next_due();
        let timeout = self.fleet.silence_timeout(flight.server, now);
        flight.check_at = Some(now + timeout.min(MAX_CHECK_INTERVAL));
        let flight = flight.clone();
        self.timers.clear(previous_due, Timer::Attempt(id));
        self.timers.set(flight.next_due(), Timer::Attempt(id));
        let Some(request) = self.mark_sent(&flight) else {
            return;
        };
        self.fleet.transmitted(id, now);
        self.fleet_wake_stale |= self.fleet.is_cold(flight.server);
        self.suspects
            .sent(id, flight.fingerprint, flight.server, now);
        self.actions.push(Action::Send(Send {
            attempt: id,
            connection,
            backend_server: flight.server,
            request: request.id,
            ranges: flight.keys.ranges().to_vec(),
            index_version: flight.version,
            deadline: flight.deadline,
            body: request.body,
            execute_key: request.execute_key,
        }));
    }

    /// Records in the owner that the attempt may be running from now on, and returns the request.
    fn mark_sent(&mut self, flight: &Flight) -> Option<Request<C>> {
        match flight.owner {
            Owner::Part(request, _) => {
                let search = self.searches.get_mut(&request)?;
                search.fanout.record_send();
                search.connections.extend(flight.connection);
                Some(search.request.clone())
            }
            Owner::Execution(request) => self.mark_execution_sent(request, flight.connection),
            Owner::Detached => None,
        }
    }

    /// Removes a queued attempt and refunds its hedge or retry. Returns `None` if the attempt was
    /// already sent.
    pub(super) fn withdraw(&mut self, id: AttemptId, now: Time) -> Option<Flight> {
        let is_sent = self.flights.get(id)?.connection.is_some();
        if is_sent {
            return None;
        }
        let flight = self.flights.remove(id)?;
        self.timers.clear(flight.next_due(), Timer::Attempt(id));
        self.fleet.forget(id, now);
        let mut rationale = format!("attempt {id} was not sent");
        match flight.cause {
            Cause::Hedge | Cause::LateHedge => {
                if let Some(budgets) = self.budgets_of(flight.server) {
                    budgets.give_back_hedge();
                }
                rationale.push_str(", hedge given back");
            }
            Cause::Overdue => {
                if let Some(budgets) = self.budgets_of(flight.server) {
                    budgets.give_back_retry();
                }
                rationale.push_str(", retry given back");
            }
            _ => {}
        }
        self.log(None, "withdraw", Some(flight.server), rationale);
        self.mark_free_slot(flight.server);
        Some(flight)
    }

    /// Cancels an attempt whose result is no longer needed. A sent attempt keeps its connection
    /// until its reply arrives.
    pub(super) fn cancel(&mut self, id: AttemptId, now: Time) {
        if self.withdraw(id, now).is_some() {
            return;
        }
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        flight.owner = Owner::Detached;
        let server = flight.server;
        self.fleet.cancelling(id, now);
        if self
            .fleet_wake_at
            .is_none_or(|at| at > now + CANCEL_TIMEOUT)
        {
            self.fleet_wake_stale = true;
        }
        self.actions.push(Action::Cancel(id, server));
    }

    /// Resumes the waiters of fingerprints for which an attempt has ended.
    fn resume_quarantined(&mut self, now: Time) {
        for fingerprint in std::mem::take(&mut self.freed_fingerprints) {
            let quarantined = self.quarantined.remove(&fingerprint).unwrap_or_default();
            for waiter in quarantined {
                self.resume(waiter, now);
            }
        }
    }

    /// Resumes waiters. If a group's usable servers changed, all of its waiters are resumed. If a
    /// slot became free, they are resumed until [`MAX_MISSES`] of them find no slot: under overload
    /// there are many waiters, and resuming all after each reply would cost more than the replies.
    pub(super) fn resume_waiters(&mut self, now: Time) {
        self.resume_quarantined(now);
        for group in std::mem::take(&mut self.changed_groups) {
            self.groups_with_free_slots.remove(&group);
            self.resume_group(group, usize::MAX, now);
        }
        for group in std::mem::take(&mut self.groups_with_free_slots) {
            self.resume_group(group, MAX_MISSES, now);
        }
    }

    fn resume_group(&mut self, group: usize, max_misses: usize, now: Time) {
        let Some(mut waiting) = self.waiting.remove(&group) else {
            return;
        };
        let mut misses = 0;
        while misses < max_misses {
            let Some(waiter) = waiting.pop_first() else {
                return;
            };
            let before = self.next_attempt;
            self.resume(waiter, now);
            misses += usize::from(self.next_attempt == before);
        }
        self.waiting.entry(group).or_default().append(&mut waiting);
    }

    /// Removes a waiter whose request has ended. Otherwise the list would grow without bound while
    /// all servers of a group are down.
    pub(super) fn remove_waiter(&mut self, group: usize, waiter: &Waiter) {
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

    /// Turns the commands of the pool into actions.
    pub(super) fn apply_pool_commands(&mut self, now: Time) {
        for command in self.pool.reconcile(now) {
            self.actions.push(match command {
                Command::Open(id, server) => Action::Open(id, server),
                Command::Close(id) => Action::Close(id),
            });
        }
    }
}
