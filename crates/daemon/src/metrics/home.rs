//! Metrics of homes, by route: attempts, hedges, retries, search results and backend servers.

use super::gauge_value;
use super::label::{Attempt, AttemptKind, ByRoute, Discard, FailedAttempt, Hedge, ServerEvent};
use super::registrar::Registrar;
use super::routes::Routes;
use monsoonring_configuration::id::RouteId;
use monsoonring_decision::attempt::{Failure, Refusal};
use monsoonring_decision::home::Counts;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use std::sync::Arc;
use std::time::Duration;

type ByRouteCounter = Family<ByRoute, Counter>;

/// Metrics of homes.
#[derive(Debug, Default)]
pub struct Home {
    routes: Arc<Routes>,
    attempts: Family<Attempt, Counter>,
    denied: Family<Attempt, Counter>,
    withdrawn: ByRouteCounter,
    cancelled: ByRouteCounter,
    failures: Family<FailedAttempt, Counter>,
    hedges: Family<Hedge, Counter>,
    discarded: Family<Discard, Counter>,
    restarts: ByRouteCounter,
    ranges_given_up: ByRouteCounter,
    pin_changes: ByRouteCounter,
    connections_opened: ByRouteCounter,
    connections_silent: ByRouteCounter,
    crashing_requests: ByRouteCounter,
    server_events: Family<ServerEvent, Counter>,
    leaving: Family<ByRoute, Gauge>,
    in_progress: Family<ByRoute, Gauge>,
    parts_waiting: Family<ByRoute, Gauge>,
    longest_wait: Family<ByRoute, Gauge>,
}

/// Current values of a home's gauges.
#[derive(Clone, Copy, Debug, Default)]
pub struct Snapshot {
    /// Requests in progress.
    pub in_progress: usize,
    /// Backend servers that are leaving.
    pub leaving: usize,
    /// Parts of searches that are queued here because their backend servers are at capacity.
    pub parts_waiting: usize,
    /// Longest queueing delay among the groups, from the load reports of their backend servers.
    pub longest_wait: Duration,
}

impl Home {
    pub(super) fn register(registrar: &mut Registrar, routes: Arc<Routes>) -> Self {
        let home = Self {
            routes,
            ..Self::default()
        };
        home.register_attempts(registrar);
        home.register_searches(registrar);
        home.register_servers(registrar);
        home
    }

    fn register_attempts(&self, registrar: &mut Registrar) {
        registrar.add(
            "attempts",
            "Attempts sent to backend servers, by route and kind",
            self.attempts.clone(),
        );
        registrar.add(
            "attempts_denied",
            "Attempts that a budget did not allow, by route and kind",
            self.denied.clone(),
        );
        registrar.add(
            "attempts_withdrawn",
            "Attempts taken back before a byte of them left, by route",
            self.withdrawn.clone(),
        );
        registrar.add(
            "attempts_cancelled",
            "Attempts cancelled at backend servers, by route",
            self.cancelled.clone(),
        );
        registrar.add(
            "attempts_failed",
            "Attempts that ended without a reply, by route and reason",
            self.failures.clone(),
        );
        registrar.add(
            "hedges",
            "Hedges that ended, by route and whether their reply was taken",
            self.hedges.clone(),
        );
        registrar.add(
            "home_requests_in_progress",
            "Requests in progress at this home, by route",
            self.in_progress.clone(),
        );
        registrar.add(
            "home_parts_waiting",
            "Parts of searches that wait at this home for room at a backend server, by route",
            self.parts_waiting.clone(),
        );
        registrar.add(
            "home_longest_wait_milliseconds",
            "Longest time that an attempt would wait at the backend servers of a group, by their reports, by route",
            self.longest_wait.clone(),
        );
    }

    fn register_searches(&self, registrar: &mut Registrar) {
        registrar.add(
            "replies_discarded",
            "Replies that were not merged, by route and reason",
            self.discarded.clone(),
        );
        registrar.add(
            "searches_restarted",
            "Searches begun again at a newer index version, by route",
            self.restarts.clone(),
        );
        registrar.add(
            "ranges_given_up",
            "Ranges of keys that no backend server could be asked for, by route",
            self.ranges_given_up.clone(),
        );
        registrar.add(
            "pin_changes",
            "Changes of the index version that new searches pin, by route",
            self.pin_changes.clone(),
        );
    }

    fn register_servers(&self, registrar: &mut Registrar) {
        registrar.add(
            "connections_opened",
            "Connections opened to backend servers, by route",
            self.connections_opened.clone(),
        );
        registrar.add(
            "connections_silent",
            "Connections given up because nothing came on them any more, by route",
            self.connections_silent.clone(),
        );
        registrar.add(
            "crashing_requests",
            "Fingerprints of requests found here to crash backend servers, by route",
            self.crashing_requests.clone(),
        );
        registrar.add(
            "backend_server_events",
            "What was found of backend servers, by route and event",
            self.server_events.clone(),
        );
        registrar.add(
            "backend_servers_leaving",
            "Backend servers that get no new work because they are leaving, by route",
            self.leaving.clone(),
        );
    }

    /// Records a home's decision, identified by its label in the log. Other labels are ignored.
    pub fn record_decision(&self, route: &RouteId, what: &str) {
        match what {
            "send" | "execute" => self.record_attempt(route, AttemptKind::First),
            "hedge" | "late hedge" => self.record_attempt(route, AttemptKind::Hedge),
            "retry" | "overdue" => self.record_attempt(route, AttemptKind::Retry),
            "rest" => self.record_attempt(route, AttemptKind::Rest),
            "withdraw" => self.inc(&self.withdrawn, route),
            "discard" => self.record_discard(route, "index_version"),
            "restart" => self.inc(&self.restarts, route),
            "give_up" => self.inc(&self.ranges_given_up, route),
            "pin" => self.inc(&self.pin_changes, route),
            "silent" => self.inc(&self.connections_silent, route),
            "suspect" => self.inc(&self.crashing_requests, route),
            "leave" => self.record_server_event(route, "leaving"),
            "unreachable" => self.record_server_event(route, "unreachable"),
            "back_off" => self.record_server_event(route, "back_off"),
            "unopened" => self.record_server_event(route, "unopened"),
            "crash_evidence" => self.record_server_event(route, "crash_evidence"),
            _ => {}
        }
    }

    /// Records a failed attempt.
    pub fn record_failure(&self, route: &RouteId, failure: &Failure) {
        let label = FailedAttempt {
            route: self.routes.label(route),
            reason: reason(failure),
        };
        self.failures.get_or_create(&label).inc();
        if matches!(failure, Failure::Mismatched) {
            self.record_discard(route, "mismatched");
        }
    }

    /// Records an attempt that was cancelled at its backend server.
    pub fn record_cancellation(&self, route: &RouteId) {
        self.inc(&self.cancelled, route);
    }

    /// Records an opened connection to a backend server.
    pub fn record_connection(&self, route: &RouteId) {
        self.inc(&self.connections_opened, route);
    }

    /// Adds the difference between two readings of a home's counters.
    pub fn add_counts(&self, route: &RouteId, before: Counts, now: Counts) {
        if before == now {
            return;
        }
        let hedges = [
            ("won", now.hedges_won - before.hedges_won),
            ("lost", now.hedges_lost - before.hedges_lost),
        ];
        for (result, count) in hedges {
            let route = self.routes.label(route);
            let label = Hedge { route, result };
            self.hedges.get_or_create(&label).inc_by(count);
        }
        let denied = [
            (AttemptKind::Hedge, now.hedges_denied - before.hedges_denied),
            (
                AttemptKind::Retry,
                now.retries_denied - before.retries_denied,
            ),
        ];
        for (kind, count) in denied {
            let route = self.routes.label(route);
            let label = Attempt { route, kind };
            self.denied.get_or_create(&label).inc_by(count);
        }
    }

    /// Sets the gauges of a home.
    pub fn set_gauges(&self, route: &RouteId, snapshot: &Snapshot) {
        let label = ByRoute {
            route: self.routes.label(route),
        };
        let set = |gauge: &Family<ByRoute, Gauge>, value| {
            gauge.get_or_create(&label).set(value);
        };
        set(&self.in_progress, gauge_value(snapshot.in_progress));
        set(&self.leaving, gauge_value(snapshot.leaving));
        set(&self.parts_waiting, gauge_value(snapshot.parts_waiting));
        let longest_wait = snapshot.longest_wait.as_millis();
        set(
            &self.longest_wait,
            longest_wait.try_into().unwrap_or(i64::MAX),
        );
    }

    fn record_attempt(&self, route: &RouteId, kind: AttemptKind) {
        let route = self.routes.label(route);
        self.attempts.get_or_create(&Attempt { route, kind }).inc();
    }

    fn record_discard(&self, route: &RouteId, reason: &'static str) {
        let route = self.routes.label(route);
        let label = Discard { route, reason };
        self.discarded.get_or_create(&label).inc();
    }

    fn record_server_event(&self, route: &RouteId, event: &'static str) {
        let route = self.routes.label(route);
        let label = ServerEvent { route, event };
        self.server_events.get_or_create(&label).inc();
    }

    fn inc(&self, family: &ByRouteCounter, route: &RouteId) {
        let route = self.routes.label(route);
        family.get_or_create(&ByRoute { route }).inc();
    }
}

/// Returns the label value of a failure.
fn reason(failure: &Failure) -> &'static str {
    match failure {
        Failure::Refused { refusal, .. } => match refusal {
            Refusal::Shedding => "shedding",
            Refusal::Draining => "draining",
            Refusal::Starting => "starting",
            Refusal::Deadline => "deadline",
            Refusal::IndexVersion { .. } => "index_version",
            Refusal::Connections => "connections",
            Refusal::Malformed => "malformed",
        },
        Failure::NotSent => "not_sent",
        Failure::ServerError { .. } => "ran",
        Failure::Lost => "lost",
        Failure::Mismatched => "mismatched",
        Failure::Cancelled { .. } => "cancelled",
        Failure::Dropped => "dropped",
    }
}
