//! How attempts end: replies, results, failures and silence.
//!
//! Whatever ends, four machines are told before the owner decides: the fleet (is the server well?),
//! the pool (may the connection be used again?), the table of suspects (was it a crash?) and the
//! budgets. Events about an attempt that is not on record change nothing: it has ended before.

use super::action::Action;
use super::flight::{Flight, Owner};
use super::state::Home;
use super::timer::Timer;
use crate::attempt::{AttemptId, ConnectionId, Failure, Refusal};
use crate::backend::Verdict;
use crate::query::merge;
use crate::query::run::{self, Cause, PartId, Run};
use crate::reply::{Reply, Report};
use crate::{RequestId, Time};

impl Home {
    /// Takes in a reply to an attempt of a search.
    pub(super) fn replied(&mut self, id: AttemptId, reply: Reply, now: Time) {
        if merge::check(&reply).is_err() {
            self.failed(id, &Failure::Mismatched, now);
            return;
        }
        let Some(flight) = self.land(id) else {
            return;
        };
        self.answered(&flight, &reply.report, now);
        if let Owner::Part(request, part) = flight.owner {
            self.with_run(request, now, |home, run| {
                home.take_reply(run, part, &flight, reply, now);
            });
        }
    }

    /// Takes in the result of a non-idempotent request.
    pub(super) fn executed(&mut self, id: AttemptId, value: Box<str>, report: &Report, now: Time) {
        let Some(flight) = self.land(id) else {
            return;
        };
        self.answered(&flight, report, now);
        if let Owner::Execution(request) = flight.owner {
            self.execution_succeeded(request, value, now);
        }
    }

    /// Takes an attempt that was sent off the record.
    fn land(&mut self, id: AttemptId) -> Option<Flight> {
        let flight = self.flights.land(id)?;
        self.timers.clear(flight.next(), Timer::Attempt(id));
        self.touch(flight.server);
        self.freed.insert(flight.fingerprint);
        Some(flight)
    }

    fn answered(&mut self, flight: &Flight, report: &Report, now: Time) {
        let news = self.fleet.replied(flight.id, report, now);
        let replicas = self.placement.replicas(flight.server).to_vec();
        self.suspects.succeeded(flight.id, &replicas, now);
        self.retries.succeeded(now);
        self.hedges.succeeded(now);
        if let Some(connection) = flight.connection {
            self.free(connection, flight, now);
        }
        self.heed(flight.server, news, now);
        self.learn(flight.server);
    }

    /// Gives a connection back and lets the next attempt have it.
    fn free(&mut self, connection: ConnectionId, flight: &Flight, now: Time) {
        self.pool.release(connection, now);
        *self.callable.entry(flight.server).or_default() += 1;
    }

    fn take_reply(
        &mut self,
        run: &mut Run,
        part: PartId,
        flight: &Flight,
        reply: Reply,
        now: Time,
    ) {
        run.land(part, flight.id);
        let version = reply.index_version;
        if !run.agrees(version, self.route.minimum_index_version) {
            let why = format!("version {version:?}, pinned {:?}", run.pin);
            self.log(Some(run.request.id), "discard", Some(flight.server), why);
            run.exclude(part, flight.server);
            self.again(run, part, Cause::Retry, now);
            return;
        }
        let change = run.accept(part, &flight.asked, reply);
        self.cancel_losers(change.losers, flight.id, now);
        run.exclude(part, flight.server);
        let cause = if change.progress {
            Cause::Rest
        } else {
            Cause::Retry
        };
        self.again(run, part, cause, now);
    }

    /// Asks for what a part still lacks, of the groups that hold it now, unless another attempt
    /// for it is in progress.
    fn again(&mut self, run: &mut Run, id: PartId, cause: Cause, now: Time) {
        let idle = run.parts.get(&id).is_some_and(|part| part.live.is_empty());
        if !idle {
            return;
        }
        let Some(part) = run.parts.remove(&id) else {
            return;
        };
        for made in run.deal(&part.wanted, &self.route, &part) {
            self.assign(run, made, cause, now);
        }
    }

    /// Takes in that an attempt ended without a usable reply.
    pub(super) fn failed(&mut self, id: AttemptId, failure: &Failure, now: Time) {
        let Some(flight) = self.land(id) else {
            return;
        };
        let verdict = self.fleet.failed(id, failure, now);
        self.blame(&flight, failure, &verdict, now);
        self.learn(flight.server);
        self.tell_owner(&flight, failure, now);
    }

    /// Passes a failure on to the machines that it concerns.
    fn blame(&mut self, flight: &Flight, failure: &Failure, verdict: &Verdict, now: Time) {
        if let Some(connection) = flight.connection {
            self.vacate(connection, flight, failure, verdict, now);
        }
        if let Some(until) = verdict.back_off {
            self.back_off(flight.server, until);
        }
        if !matches!(failure, Failure::Cancelled { .. }) {
            self.retries.failed(now);
            self.hedges.failed(now);
        }
        self.heed(flight.server, verdict.news, now);
        if !verdict.crash_evidence {
            self.suspects.ended(flight.id, now);
        } else if let Some((fingerprint, period)) = self.suspects.lost(flight.id, now) {
            let why = format!("fingerprint {fingerprint:016x} for {period:?}");
            self.log(None, "suspect", Some(flight.server), why);
            self.actions.push(Action::TellSuspect(fingerprint, period));
            self.condemn(fingerprint, now);
        }
    }

    /// Decides whether a connection is used again. A reply that did not match what was asked may be
    /// followed by the rest of another one: whatever is read there next would answer the wrong
    /// request, so the connection is closed.
    fn vacate(
        &mut self,
        connection: ConnectionId,
        flight: &Flight,
        failure: &Failure,
        verdict: &Verdict,
        now: Time,
    ) {
        if is_crowded(failure) {
            self.pool.crowded(flight.server, now);
        }
        match failure {
            Failure::Lost => self.ended(connection, now),
            Failure::Mismatched | Failure::NotSent => self.scrap(connection, flight, now),
            _ if verdict.discard_connection => self.scrap(connection, flight, now),
            _ => self.free(connection, flight, now),
        }
    }

    /// Closes a connection; what waits behind it asks for another.
    fn scrap(&mut self, connection: ConnectionId, flight: &Flight, now: Time) {
        self.pool.discard(connection, now);
        *self.callable.entry(flight.server).or_default() += 1;
    }

    fn tell_owner(&mut self, flight: &Flight, failure: &Failure, now: Time) {
        match flight.owner {
            Owner::Part(request, part) => self.part_failed(request, part, flight, failure, now),
            Owner::Execution(request) => self.execution_failed(request, flight, failure, now),
            Owner::Nobody => {}
        }
    }

    fn part_failed(
        &mut self,
        request: RequestId,
        part: PartId,
        flight: &Flight,
        failure: &Failure,
        now: Time,
    ) {
        self.with_run(request, now, |home, run| {
            run.land(part, flight.id);
            run.note(part, failure);
            let refused = match failure {
                Failure::Refused { refusal, .. } => Some(refusal),
                _ => None,
            };
            if matches!(refused, Some(Refusal::IndexVersion { .. })) {
                run.exclude(part, flight.server);
            }
            if run::is_final(failure) {
                run.give_up(part);
                return;
            }
            let cause = match failure {
                Failure::NotSent => Cause::Rest,
                _ => Cause::Retry,
            };
            home.again(run, part, cause, now);
        });
    }

    /// Something is due for an attempt.
    pub(super) fn overdue(&mut self, id: AttemptId, now: Time) {
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let owner = flight.owner;
        let is_slow = flight.hedge_at.is_some_and(|at| at <= now);
        if is_slow {
            flight.hedge_at = None;
        }
        let is_lost = flight.lost_at <= now;
        let is_silent = flight.silent_at <= now;
        if is_silent {
            let patience = self.fleet.patience(flight.server, now);
            flight.silent_at = now + patience.max(MIN_PATIENCE);
        }
        if is_lost {
            self.give_up_connection(id, now);
            return;
        }
        self.timers.set(flight.next(), Timer::Attempt(id));
        if is_silent {
            self.find_silent(now);
        }
        if let (true, Owner::Part(request, part)) = (is_slow, owner) {
            self.hedge(request, part, now);
        }
    }

    /// Closes connections that are silent while others to the same server answer. What lies between
    /// the two ends has lost track of them: without this, each would hold its request until the
    /// deadline and then, idle again in the books, the next one.
    fn find_silent(&mut self, now: Time) {
        let fleet = &self.fleet;
        let silent = self.pool.silent(now, |server| fleet.patience(server, now));
        for connection in silent {
            let Some(id) = self.flights.on(connection) else {
                continue;
            };
            self.give_up_connection(id, now);
        }
    }

    /// Gives up a connection on which nothing comes any more. The server is not blamed, and the
    /// request is not suspected.
    fn give_up_connection(&mut self, id: AttemptId, now: Time) {
        let Some(flight) = self.land(id) else {
            return;
        };
        let why = format!("attempt {id} has had no answer");
        self.log(None, "silent", Some(flight.server), why);
        self.fleet.forget(id, now);
        self.suspects.ended(id, now);
        if let Some(connection) = flight.connection {
            self.pool.condemn(connection, now);
            *self.callable.entry(flight.server).or_default() += 1;
        }
        self.tell_owner(&flight, &Failure::Lost, now);
    }
}

/// Tells whether the server's connection limit was reached.
fn is_crowded(failure: &Failure) -> bool {
    let connections = Refusal::Connections;
    matches!(failure, Failure::Refused { refusal, .. } if *refusal == connections)
}

/// Shortest time between two looks at the same attempt.
const MIN_PATIENCE: Time = Time::from_millis(5);
