//! Handles the end of attempts: replies, results, failures and silent connections.
//!
//! Each end first updates the fleet (server health), the pool (connection reuse), the crash
//! detector and the budgets; then the owner of the attempt decides what to do next. Events about
//! unknown attempts are ignored, because those attempts have ended already.

use super::action::Action;
use super::flight::{Flight, Owner};
use super::state::Home;
use super::timer::Timer;
use crate::attempt::{AttemptId, ConnectionId, Failure, Refusal};
use crate::backend::Verdict;
use crate::backend::pool::Health;
use crate::backend::suspect::CONFIRMATION_TIME;
use crate::content::Content;
use crate::query::merge;
use crate::query::search::{self, Cause, PartId, Search};
use crate::reply::{Reply, Report};
use crate::{RequestId, Time};
use std::time::Duration;

/// Interval between two checks of an overdue attempt's connection, as a share of the server's
/// silence timeout.
const CHECK_INTERVAL_SHARE: f64 = 0.25;

/// Longest time until an attempt's connection is checked, also while the server's usual latency is
/// unknown.
pub(super) const MAX_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl<C: Content> Home<C> {
    /// Handles the reply to an attempt of a search.
    pub(super) fn replied(&mut self, id: AttemptId, reply: Reply<C::Value>, now: Time) {
        let owner = self.flights.get(id).map(|flight| flight.owner);
        let is_execution = matches!(owner, Some(Owner::Execution(_)));
        if is_execution || merge::check(&reply).is_err() {
            self.failed(id, &Failure::Mismatched, now);
            return;
        }
        let Some(flight) = self.take_sent(id) else {
            return;
        };
        self.record_success(&flight, &reply.report, now);
        if let Owner::Part(request, part) = flight.owner {
            self.with_search(request, now, |home, search| {
                home.merge_reply(search, part, &flight, reply, now);
            });
        }
    }

    /// Handles the result of a non-idempotent request.
    pub(super) fn executed(&mut self, id: AttemptId, value: C::Value, report: &Report, now: Time) {
        let owner = self.flights.get(id).map(|flight| flight.owner);
        if matches!(owner, Some(Owner::Part(..))) {
            self.failed(id, &Failure::Mismatched, now);
            return;
        }
        let Some(flight) = self.take_sent(id) else {
            return;
        };
        self.record_success(&flight, report, now);
        if let Owner::Execution(request) = flight.owner {
            self.execution_succeeded(request, value, now);
        }
    }

    /// Removes an attempt that was sent, together with its timer.
    fn take_sent(&mut self, id: AttemptId) -> Option<Flight> {
        let flight = self.flights.take_sent(id)?;
        self.timers.clear(flight.next_due(), Timer::Attempt(id));
        self.mark_free_slot(flight.server);
        self.freed_fingerprints.insert(flight.fingerprint);
        Some(flight)
    }

    fn record_success(&mut self, flight: &Flight, report: &Report, now: Time) {
        let change = self.fleet.replied(flight.id, report, now);
        let replicas = self.placement.replicas(flight.server);
        if let Some(withdrawals) = self.suspects.succeeded(flight.id, replicas, now) {
            self.log_crash_evidence(flight.fingerprint, flight.server, "a replica answered", now);
            let withdrawals = withdrawals.into_iter();
            self.actions
                .extend(withdrawals.map(Action::AnnounceCrashEvidence));
        }
        if let Some(budgets) = self.budgets_of(flight.server) {
            budgets.succeeded(now);
        }
        if let Some(connection) = flight.connection {
            self.release_connection(connection, flight, now);
        }
        self.apply_status_change(flight.server, change, now);
        self.update_serving(flight.server);
    }

    /// Returns a connection to the pool and lets the next queued attempt use it.
    fn release_connection(&mut self, connection: ConnectionId, flight: &Flight, now: Time) {
        self.pool.release(connection, now);
        *self.pending_acquires.entry(flight.server).or_default() += 1;
    }

    fn merge_reply(
        &mut self,
        search: &mut Search<C>,
        part: PartId,
        flight: &Flight,
        reply: Reply<C::Value>,
        now: Time,
    ) {
        search.remove_attempt(part, flight.id);
        let version = reply.index_version;
        if !search.accepts_version(version, self.route.minimum_index_version) {
            let rationale = format!("reply at version {version:?}, pinned {:?}", search.pin);
            self.log(
                Some(search.request.id),
                "discard",
                Some(flight.server),
                rationale,
            );
            // An attempt without a version may have reached the server before its versions were
            // known; the server may hold the pinned one as well.
            if flight.version.is_some() {
                search.exclude(part, flight.server);
            }
            self.reassign_part(search, part, Cause::Retry, now);
            return;
        }
        let change = search.accept(part, &flight.keys, reply);
        self.counts.hedges_won += u64::from(flight.cause.is_hedge() && change.progress);
        self.cancel_losers(change.losers, flight.id, now);
        search.exclude(part, flight.server);
        let cause = if change.progress {
            Cause::Remainder
        } else {
            Cause::Retry
        };
        self.reassign_part(search, part, cause, now);
    }

    /// Assigns the keys that a part still lacks to the groups that hold them now, unless another
    /// attempt of the part is in progress.
    fn reassign_part(&mut self, search: &mut Search<C>, id: PartId, cause: Cause, now: Time) {
        let is_idle = search
            .parts
            .get(&id)
            .is_some_and(|part| part.live.is_empty());
        if !is_idle {
            return;
        }
        let Some(part) = search.parts.remove(&id) else {
            return;
        };
        for new_part in search.add_parts(&part.wanted, &self.route, &part) {
            self.assign(search, new_part, cause, now);
        }
    }

    /// Handles an attempt that ended without a usable reply.
    pub(super) fn failed(&mut self, id: AttemptId, failure: &Failure, now: Time) {
        let Some(flight) = self.take_sent(id) else {
            return;
        };
        let verdict = self.fleet.failed(id, failure, now);
        self.apply_failure(&flight, failure, &verdict, now);
        self.update_serving(flight.server);
        self.notify_owner(&flight, failure, now);
    }

    /// Updates connection, back-off, budgets, server state and crash detector after a failure.
    fn apply_failure(&mut self, flight: &Flight, failure: &Failure, verdict: &Verdict, now: Time) {
        if let Some(connection) = flight.connection {
            self.settle_connection(connection, flight, failure, verdict, now);
        }
        if let Some(until) = verdict.back_off {
            self.back_off(flight.server, until);
        }
        if !matches!(failure, Failure::Cancelled { .. } | Failure::Dropped) {
            if let Some(budgets) = self.budgets_of(flight.server) {
                budgets.failed(now);
            }
        }
        self.apply_status_change(flight.server, verdict.status_change, now);
        if !verdict.crash_evidence {
            self.suspects.ended(flight.id, now);
            return;
        }
        let refused = self.suspects.lost(flight.id, now);
        self.timers.set(
            now + CONFIRMATION_TIME,
            Timer::Quarantine(flight.fingerprint),
        );
        self.log_crash_evidence(flight.fingerprint, flight.server, "connection lost", now);
        self.announce_crash_evidence(flight.fingerprint, now);
        if let Some((fingerprint, period)) = refused {
            self.announce_suspect(fingerprint, period, flight.server, now);
        }
    }

    /// Decides whether a connection is reused. After a mismatched reply the rest of another reply
    /// may follow and answer the wrong request, so the connection is closed.
    fn settle_connection(
        &mut self,
        connection: ConnectionId,
        flight: &Flight,
        failure: &Failure,
        verdict: &Verdict,
        now: Time,
    ) {
        if is_connection_limit(failure) {
            self.pool.connection_limit_reached(flight.server, now);
        }
        match failure {
            Failure::Lost => self.connection_ended(connection, now),
            Failure::Mismatched | Failure::NotSent | Failure::Dropped => {
                self.discard_connection(connection, flight, now);
            }
            _ if verdict.discard_connection => self.discard_connection(connection, flight, now),
            _ => self.release_connection(connection, flight, now),
        }
    }

    /// Closes a connection and lets the next queued attempt acquire another.
    fn discard_connection(&mut self, connection: ConnectionId, flight: &Flight, now: Time) {
        self.pool.discard(connection, now);
        *self.pending_acquires.entry(flight.server).or_default() += 1;
    }

    fn notify_owner(&mut self, flight: &Flight, failure: &Failure, now: Time) {
        match flight.owner {
            Owner::Part(request, part) => self.part_failed(request, part, flight, failure, now),
            Owner::Execution(request) => self.execution_failed(request, flight, failure, now),
            Owner::Detached => {}
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
        self.with_search(request, now, |home, search| {
            search.remove_attempt(part, flight.id);
            search.record_failure(part, failure);
            let refused = match failure {
                Failure::Refused { refusal, .. } => Some(refusal),
                _ => None,
            };
            if matches!(refused, Some(Refusal::IndexVersion { .. })) {
                search.exclude(part, flight.server);
            }
            if search::is_final(failure) {
                search.give_up(part);
                return;
            }
            let cause = match failure {
                Failure::NotSent => Cause::Remainder,
                _ => Cause::Retry,
            };
            home.reassign_part(search, part, cause, now);
        });
    }

    /// Handles the due timers of an attempt: hedge, connection check, and giving up its connection.
    pub(super) fn attempt_due(&mut self, id: AttemptId, now: Time) {
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        if flight.give_up_at <= now {
            self.give_up_connection(id, now);
            return;
        }
        let hedge_due = flight.hedge_at.take_if(|at| *at <= now).is_some();
        let check_due = flight.check_at.take_if(|at| *at <= now).is_some();
        let owner = flight.owner;
        let health = if check_due {
            self.check_connection(id, now)
        } else {
            Health::Healthy
        };
        if health == Health::Silent {
            self.give_up_connection(id, now);
            return;
        }
        if let Owner::Part(request, part) = owner {
            if hedge_due {
                self.hedge(id, request, part, now);
            }
            if health == Health::Overdue && self.route.hedge.budget_percent > 0.0 {
                self.send_second(request, part, Cause::Overdue, now);
            }
        }
        self.reset_timer(id);
    }

    /// Sends a hedge, or schedules the late hedge if the budget denies it.
    fn hedge(&mut self, id: AttemptId, request: RequestId, part: PartId, now: Time) {
        let Some(flight) = self.flights.get_mut(id) else {
            return;
        };
        let late_hedge_delay = flight.late_hedge_delay.take();
        let cause = match late_hedge_delay {
            Some(_) => Cause::Hedge,
            None => Cause::LateHedge,
        };
        if self.send_second(request, part, cause, now) {
            return;
        }
        if let Some(flight) = self.flights.get_mut(id) {
            flight.hedge_at = late_hedge_delay.map(|delay| now + delay);
        }
    }

    fn reset_timer(&mut self, id: AttemptId) {
        if let Some(flight) = self.flights.get(id) {
            self.timers.set(flight.next_due(), Timer::Attempt(id));
        }
    }

    /// Checks whether the connection of an attempt is silent and should be given up. A device
    /// between the two hosts may have dropped the connection without notice; without this check it
    /// would block its request until the deadline and then the next request as well.
    ///
    /// Once an attempt is overdue, idle connections of the same age are no longer trusted, and the
    /// next attempt is routed to the server to probe it.
    ///
    /// The connection of a non-idempotent attempt is never given up before the deadline. If the
    /// guess was wrong, the request would end as unknown although its result was on the way; if it
    /// was right, it would only end as unknown sooner.
    fn check_connection(&mut self, id: AttemptId, now: Time) -> Health {
        let Some(flight) = self.flights.get_mut(id) else {
            return Health::Healthy;
        };
        let Some(connection) = flight.connection else {
            return Health::Healthy;
        };
        let timeout = self.fleet.silence_timeout(flight.server, now);
        flight.check_at = Some(
            now + timeout
                .mul_f64(CHECK_INTERVAL_SHARE)
                .min(MAX_CHECK_INTERVAL),
        );
        let health = self.pool.health(connection, timeout, now);
        if health != Health::Healthy {
            self.pool.discard_unverified(connection, now);
            self.fleet.overdue(id, now);
        }
        match flight.owner {
            Owner::Execution(_) => Health::Healthy,
            _ => health,
        }
    }

    /// Gives up a silent connection. Neither the server nor the request's fingerprint is blamed.
    fn give_up_connection(&mut self, id: AttemptId, now: Time) {
        let Some(flight) = self.take_sent(id) else {
            return;
        };
        let rationale = format!("no data received for attempt {id}");
        self.log(None, "silent", Some(flight.server), rationale);
        self.fleet.forget(id, now);
        self.suspects.ended(id, now);
        if let Some(connection) = flight.connection {
            self.pool.discard_silent(connection, now);
            *self.pending_acquires.entry(flight.server).or_default() += 1;
        }
        match flight.owner {
            Owner::Part(request, part) => self.part_silent(request, part, &flight, now),
            _ => self.notify_owner(&flight, &Failure::Lost, now),
        }
    }

    /// Retries a part whose connection is silent, outside the retry budget. The first attempt never
    /// arrived, so the retry adds no load, and many connections go silent at the same time, which
    /// would exhaust the budget. Each such retry costs a connection that has to be opened again,
    /// which bounds them.
    fn part_silent(&mut self, request: RequestId, part: PartId, flight: &Flight, now: Time) {
        self.with_search(request, now, |home, search| {
            search.remove_attempt(part, flight.id);
            search.record_failure(part, &Failure::Lost);
            home.reassign_part(search, part, Cause::Remainder, now);
        });
    }
}

/// Tells whether the server refused because its connection limit was reached.
fn is_connection_limit(failure: &Failure) -> bool {
    let connections = Refusal::Connections;
    matches!(failure, Failure::Refused { refusal, .. } if *refusal == connections)
}
