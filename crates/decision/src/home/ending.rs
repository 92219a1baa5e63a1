//! How attempts end: replies, results, failures and silence.
//!
//! Whatever ends, four machines are told before the owner decides: the fleet (is the server well?),
//! the pool (may the connection be used again?), the table of suspects (was it a crash?) and the
//! budgets. Events about an attempt that is not on record change nothing: it has ended before.

use super::flight::{Flight, Owner};
use super::state::Home;
use super::timer::Timer;
use crate::attempt::{AttemptId, ConnectionId, Failure, Refusal};
use crate::backend::Verdict;
use crate::backend::pool::Health;
use crate::content::Content;
use crate::query::merge;
use crate::query::search::{self, Cause, PartId, Search};
use crate::reply::{Reply, Report};
use crate::{RequestId, Time};
use std::time::Duration;

/// Time between two looks at an overdue attempt, as a share of the patience with its server.
const LOOK: f64 = 0.25;

/// Longest time until an attempt is looked at: what its server usually takes may not be known yet.
pub(super) const LOOK_AT_MOST: Duration = Duration::from_millis(50);

impl<C: Content> Home<C> {
    /// Takes in a reply to an attempt of a search.
    pub(super) fn replied(&mut self, id: AttemptId, reply: Reply<C::Value>, now: Time) {
        let owner = self.flights.get(id).map(|flight| flight.owner);
        let is_other = matches!(owner, Some(Owner::Execution(_)));
        if is_other || merge::check(&reply).is_err() {
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
    pub(super) fn executed(&mut self, id: AttemptId, value: C::Value, report: &Report, now: Time) {
        let owner = self.flights.get(id).map(|flight| flight.owner);
        if matches!(owner, Some(Owner::Part(..))) {
            self.failed(id, &Failure::Mismatched, now);
            return;
        }
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
        let replicas = self.placement.replicas(flight.server);
        self.suspects.succeeded(flight.id, replicas, now);
        if let Some(budgets) = self.budgets_of(flight.server) {
            budgets.succeeded(now);
        }
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
        run: &mut Search<C>,
        part: PartId,
        flight: &Flight,
        reply: Reply<C::Value>,
        now: Time,
    ) {
        run.remove_attempt(part, flight.id);
        let version = reply.index_version;
        if !run.accepts_version(version, self.route.minimum_index_version) {
            let why = format!("version {version:?}, pinned {:?}", run.pin);
            self.log(Some(run.request.id), "discard", Some(flight.server), why);
            // One that was asked for no version may serve the pinned one as well.
            if flight.version.is_some() {
                run.exclude(part, flight.server);
            }
            self.again(run, part, Cause::Retry, now);
            return;
        }
        let change = run.accept(part, &flight.asked, reply);
        self.counts.hedges_won += u64::from(flight.cause.is_hedge() && change.progress);
        self.cancel_losers(change.losers, flight.id, now);
        run.exclude(part, flight.server);
        let cause = if change.progress {
            Cause::Remainder
        } else {
            Cause::Retry
        };
        self.again(run, part, cause, now);
    }

    /// Asks for what a part still lacks, of the groups that hold it now, unless another attempt
    /// for it is in progress.
    fn again(&mut self, run: &mut Search<C>, id: PartId, cause: Cause, now: Time) {
        let idle = run.parts.get(&id).is_some_and(|part| part.live.is_empty());
        if !idle {
            return;
        }
        let Some(part) = run.parts.remove(&id) else {
            return;
        };
        for made in run.add_parts(&part.wanted, &self.route, &part) {
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
        if !matches!(failure, Failure::Cancelled { .. } | Failure::Dropped) {
            if let Some(budgets) = self.budgets_of(flight.server) {
                budgets.failed(now);
            }
        }
        self.heed(flight.server, verdict.status_change, now);
        if !verdict.crash_evidence {
            self.suspects.ended(flight.id, now);
        } else if let Some((fingerprint, period)) = self.suspects.lost(flight.id, now) {
            self.accuse(fingerprint, period, flight.server, now);
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
            self.pool.connection_limit_reached(flight.server, now);
        }
        match failure {
            Failure::Lost => self.ended(connection, now),
            Failure::Mismatched | Failure::NotSent | Failure::Dropped => {
                self.scrap(connection, flight, now);
            }
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
            run.remove_attempt(part, flight.id);
            run.record_failure(part, failure);
            let refused = match failure {
                Failure::Refused { refusal, .. } => Some(refusal),
                _ => None,
            };
            if matches!(refused, Some(Refusal::IndexVersion { .. })) {
                run.exclude(part, flight.server);
            }
            if search::is_final(failure) {
                run.give_up(part);
                return;
            }
            let cause = match failure {
                Failure::NotSent => Cause::Remainder,
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
        if flight.lost_at <= now {
            self.give_up_connection(id, now);
            return;
        }
        let hedges = flight.hedge_at.take_if(|at| *at <= now).is_some();
        let checks = flight.check_at.take_if(|at| *at <= now).is_some();
        let owner = flight.owner;
        let health = if checks {
            self.check(id, now)
        } else {
            Health::Healthy
        };
        if health == Health::Silent {
            self.give_up_connection(id, now);
            return;
        }
        if let Owner::Part(request, part) = owner {
            if hedges {
                self.hedge(id, request, part, now);
            }
            if health == Health::Overdue && self.route.hedge.budget_percent > 0.0 {
                self.double(request, part, Cause::Overdue, now);
            }
        }
        self.remind(id);
    }

    /// Hedges an attempt, or plans to try again later if that is denied.
    fn hedge(&mut self, id: AttemptId, request: RequestId, part: PartId, now: Time) {
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let late_by = flight.late_by.take();
        let cause = match late_by {
            Some(_) => Cause::Hedge,
            None => Cause::LateHedge,
        };
        if self.double(request, part, cause, now) {
            return;
        }
        if let Some(flight) = self.flights.get_mut(id) {
            flight.hedge_at = late_by.map(|late_by| now + late_by);
        }
    }

    fn remind(&mut self, id: AttemptId) {
        if let Some(flight) = self.flights.get(id) {
            self.timers.set(flight.next(), Timer::Attempt(id));
        }
    }

    /// Looks whether the connection of an attempt is silent and is to be given up. What lies between
    /// the two ends has lost track of it: without this, it would hold its request until the deadline
    /// and then, idle again in the books, the next one.
    ///
    /// As soon as an attempt is overdue, idle connections of its age are not trusted any more, and
    /// the next attempt is steered to the server, where it finds out how things stand.
    ///
    /// A non-idempotent attempt is never given up before its deadline. A wrong guess would end it
    /// as unknown although its result was on the way, and a right one would only end it as unknown
    /// earlier.
    fn check(&mut self, id: AttemptId, now: Time) -> Health {
        let Some(flight) = self.flights.get_mut(id) else {
            return Health::Healthy;
        };
        let Some(connection) = flight.connection else {
            return Health::Healthy;
        };
        let patience = self.fleet.silence_timeout(flight.server, now);
        flight.check_at = Some(now + patience.mul_f64(LOOK).min(LOOK_AT_MOST));
        let health = self.pool.health(connection, patience, now);
        if health != Health::Healthy {
            self.pool.discard_unverified(connection, now);
            self.fleet.overdue(id, now);
        }
        match flight.owner {
            Owner::Execution(_) => Health::Healthy,
            _ => health,
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
            self.pool.discard_silent(connection, now);
            *self.callable.entry(flight.server).or_default() += 1;
        }
        match flight.owner {
            Owner::Part(request, part) => self.part_silent(request, part, &flight, now),
            _ => self.tell_owner(&flight, &Failure::Lost, now),
        }
    }

    /// Asks another server in place of one whose connection is silent. That costs no budget. The
    /// first attempt never arrived, so that this one adds nothing to what servers do; and silence
    /// meets many connections at the same time, when budgets are soon spent. There can be no more of
    /// these than connections given up, each of which takes a new connect to come back.
    fn part_silent(&mut self, request: RequestId, part: PartId, flight: &Flight, now: Time) {
        self.with_run(request, now, |home, run| {
            run.remove_attempt(part, flight.id);
            run.record_failure(part, &Failure::Lost);
            home.again(run, part, Cause::Remainder, now);
        });
    }
}

/// Tells whether the server's connection limit was reached.
fn is_crowded(failure: &Failure) -> bool {
    let connections = Refusal::Connections;
    matches!(failure, Failure::Refused { refusal, .. } if *refusal == connections)
}
