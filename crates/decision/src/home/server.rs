//! Handles changes of backend servers: load, reachability, versions, leaving and replacement.

use super::action::Action;
use super::flight::Owner;
use super::outage::Outage;
use super::state::Home;
use crate::attempt::{ConnectFailure, ConnectionId, Failure};
use crate::backend::pool::Disconnect;
use crate::backend::{ColdLimit, StatusChange};
use crate::content::Content;
use crate::query::pin;
use crate::query::search::{Cause, Part, PartId};
use crate::reply::Report;
use crate::{Fingerprint, RequestId, Time};
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

impl<C: Content> Home<C> {
    /// Schedules waiters of the server's groups to resume, because it may have a free slot.
    pub(super) fn mark_free_slot(&mut self, server: BackendServerId) {
        let groups = self.placement.groups(server);
        self.groups_with_free_slots.extend(groups);
    }

    /// Schedules all waiters of the server's groups to resume, because it became usable or
    /// unusable.
    pub(super) fn mark_changed(&mut self, server: BackendServerId) {
        let groups = self.placement.groups(server);
        self.changed_groups.extend(groups);
    }

    /// Tells whether a server is reachable and not leaving.
    fn is_usable(&self, server: BackendServerId) -> bool {
        !self.fleet.is_leaving(server) && self.pool.is_reachable(server)
    }

    /// Tells whether a busy server is expected to accept work before the deadline: it is usable,
    /// not known to lack the version, and neither backing off nor excluded until then.
    pub(super) fn is_available_before(
        &self,
        server: BackendServerId,
        version: Option<IndexVersion>,
        deadline: Time,
        now: Time,
    ) -> bool {
        let until = self.back_offs.get(&server).copied().unwrap_or_default();
        let until = until.max(self.fleet.excluded_until(server, now).unwrap_or_default());
        self.is_usable(server) && !self.lacks_version(server, version) && until < deadline
    }

    /// Tells whether a server is known not to serve a version.
    pub(super) fn lacks_version(
        &self,
        server: BackendServerId,
        version: Option<IndexVersion>,
    ) -> bool {
        let served = self.fleet.versions(server);
        version.is_some_and(|version| !served.is_empty() && !served.contains(&version))
    }

    /// Tells whether all versions that a server is known to serve are below the minimum.
    pub(super) fn is_below_min_version(&self, server: BackendServerId) -> bool {
        let newest = self.fleet.versions(server).last();
        newest.is_some_and(|version| *version < self.route.minimum_index_version)
    }

    /// Tells whether a group has usable servers and all of them lack the version.
    pub(super) fn has_lost_version(&self, group: usize, version: Option<IndexVersion>) -> bool {
        let Some(group) = self.route.groups.get(group) else {
            return false;
        };
        let servers = group.backend_servers.iter();
        let mut usable = servers.filter(|server| self.is_usable(**server)).peekable();
        usable.peek().is_some() && usable.all(|server| self.lacks_version(*server, version))
    }

    /// Records the end of the back-off that a server asked for.
    pub(super) fn back_off(&mut self, server: BackendServerId, until: Time) {
        self.fleet_wake_stale = true;
        let old = self.back_offs.entry(server).or_default();
        *old = until.max(*old);
        let rationale = format!("back off until {until:?}");
        self.log(None, "back_off", Some(server), rationale);
    }

    /// Handles a poll of a server's load endpoint.
    pub(super) fn polled(&mut self, server: BackendServerId, report: Option<&Report>, now: Time) {
        let change = self.fleet.polled(server, report, now);
        self.apply_status_change(server, change, now);
        self.update_serving(server);
        self.mark_free_slot(server);
    }

    /// Handles a change of a server's status: survived a suspect request, restarted, or leaving.
    pub(super) fn apply_status_change(
        &mut self,
        server: BackendServerId,
        change: StatusChange,
        now: Time,
    ) {
        if change.survived {
            let withdrawals = self.suspects.survived(server, now).into_iter();
            self.actions
                .extend(withdrawals.map(Action::AnnounceCrashEvidence));
        }
        if change.restarted {
            self.back_offs.remove(&server);
            let leaving = self.fleet.is_leaving(server);
            self.pool.set_leaving(server, leaving, now);
            self.mark_changed(server);
        }
        if change.leaving {
            let start = self.fleet.start(server);
            self.actions.push(Action::AnnounceLeaving(server, start));
            self.mark_leaving(server, now);
        }
    }

    /// Handles another home's announcement that a server is leaving.
    pub(super) fn leaving_announced(
        &mut self,
        server: BackendServerId,
        start: Option<Incarnation>,
        now: Time,
    ) {
        if self.fleet.mark_leaving(server, start, now) {
            self.mark_leaving(server, now);
        }
    }

    /// Resets the state of servers that were replaced. Attempts in flight may still be answered and
    /// continue.
    pub(super) fn replaced(&mut self, servers: &BTreeSet<BackendServerId>, now: Time) {
        for &server in servers {
            self.log(
                None,
                "replaced",
                Some(server),
                "new start number at this address",
            );
            self.back_offs.remove(&server);
            self.fleet.replaced(server, now);
            self.pool.replaced(server, now);
            self.fleet_wake_stale = true;
            self.update_serving(server);
            self.mark_changed(server);
        }
    }

    /// Replaces the set of cold servers. Servers that are no longer in it have no rate limit.
    pub(super) fn set_cold(&mut self, cold: &BTreeMap<BackendServerId, ColdLimit>, now: Time) {
        self.fleet.set_cold(cold, now);
        self.fleet_wake_stale = true;
        for (&server, cold) in cold {
            if self.placement.servers().contains(&server) {
                let rationale = format!(
                    "at most {} requests per second until {:?}",
                    cold.max_rate, cold.until
                );
                self.log(None, "cold", Some(server), rationale);
                self.mark_changed(server);
            }
        }
    }

    /// Stops new work for a leaving server, and moves its queue to other servers. Sent attempts may
    /// finish there.
    fn mark_leaving(&mut self, server: BackendServerId, now: Time) {
        // Announcements reach every home; a server of other routes is only recorded.
        if self.placement.servers().contains(&server) {
            self.log(None, "leave", Some(server), "no new work");
        }
        self.pool.set_leaving(server, true, now);
        self.move_queued(server, now);
        self.update_serving(server);
        self.mark_changed(server);
    }

    /// Moves the queued attempts of a server to other servers.
    pub(super) fn move_queued(&mut self, server: BackendServerId, now: Time) {
        for id in self.flights.queued(server) {
            let Some(flight) = self.withdraw(id, now) else {
                continue;
            };
            self.release_owner(&flight, flight.owner);
            match flight.owner {
                Owner::Part(request, part) => self.move_part(request, part, now),
                Owner::Execution(request) => self.move_execution(request, now),
                Owner::Detached => {}
            }
        }
    }

    fn move_part(&mut self, request: RequestId, part: PartId, now: Time) {
        self.with_search(request, now, |home, search| {
            let is_idle = |part: &Part| part.live.is_empty();
            if search.parts.get(&part).is_some_and(is_idle) {
                home.assign(search, part, Cause::Remainder, now);
            }
        });
    }

    /// Handles an opened connection.
    pub(super) fn opened(&mut self, connection: ConnectionId, now: Time) {
        let Some(server) = self.pool.opened(connection, now) else {
            return;
        };
        self.fleet.set_reachable(server, true, now);
        self.outages.remove(&server);
        self.update_serving(server);
        *self.pending_acquires.entry(server).or_default() += 1;
        self.mark_free_slot(server);
    }

    /// Handles a connection that could not be opened or was closed.
    pub(super) fn closed(&mut self, connection: ConnectionId, now: Time) {
        match self.flights.attempt_on(connection) {
            Some(attempt) => self.failed(attempt, &Failure::Lost, now),
            None => self.connection_ended(connection, now),
        }
    }

    /// Handles a connection that could not be opened. A server that closes it immediately is
    /// healthy but at its connection limit: another connect would fail the same way and cost the
    /// server a slot for some milliseconds, so the pool backs off.
    pub(super) fn connect_failed(
        &mut self,
        connection: ConnectionId,
        failure: ConnectFailure,
        now: Time,
    ) {
        let disconnect = match failure {
            ConnectFailure::Closed => self.pool.rejected(connection, now),
            ConnectFailure::Refused | ConnectFailure::TimedOut => self.pool.closed(connection, now),
        };
        let Some(disconnect) = disconnect else {
            return;
        };
        let reason = format!("connect: {failure}");
        self.log(None, "unopened", Some(disconnect.server), reason);
        if failure != ConnectFailure::Closed {
            self.announce_crash_suspects(disconnect.server, now);
        }
        self.connection_lost(disconnect, Outage::ConnectFailed(failure), now);
    }

    /// Removes a closed connection. If the server becomes unreachable, its queue moves to other
    /// servers.
    pub(super) fn connection_ended(&mut self, connection: ConnectionId, now: Time) {
        let Some(disconnect) = self.pool.closed(connection, now) else {
            return;
        };
        self.connection_lost(disconnect, Outage::ConnectionLost, now);
    }

    fn connection_lost(&mut self, disconnect: Disconnect, outage: Outage, now: Time) {
        self.mark_free_slot(disconnect.server);
        if !disconnect.became_unreachable {
            *self.pending_acquires.entry(disconnect.server).or_default() += 1;
            return;
        }
        let server = disconnect.server;
        self.log(None, "unreachable", Some(server), outage.to_string());
        self.outages.insert(server, outage);
        self.fleet.set_reachable(server, false, now);
        self.move_queued(server, now);
        self.update_serving(server);
        self.mark_changed(server);
    }

    /// Announces the fingerprints that may have crashed a server that refuses connections: those in
    /// flight when its connections were lost.
    fn announce_crash_suspects(&mut self, server: BackendServerId, now: Time) {
        for confirmation in self.suspects.unreachable(server, now) {
            let fingerprint = confirmation.fingerprint;
            self.freed_fingerprints.insert(fingerprint);
            self.log_crash_evidence(fingerprint, server, "connect failed", now);
            self.announce_crash_evidence(fingerprint, now);
            if let Some(period) = confirmation.refusal {
                self.announce_suspect(fingerprint, period, server, now);
            }
        }
    }

    /// Announces new evidence against a fingerprint to the other homes.
    pub(super) fn announce_crash_evidence(&mut self, fingerprint: Fingerprint, now: Time) {
        let announcements = self.suspects.take_announcements(fingerprint, now);
        let announcements = announcements.into_iter();
        self.actions
            .extend(announcements.map(Action::AnnounceCrashEvidence));
    }

    /// Logs the evidence against a fingerprint after a change, and the cause of the change.
    pub(super) fn log_crash_evidence(
        &mut self,
        fingerprint: Fingerprint,
        server: BackendServerId,
        cause: &'static str,
        now: Time,
    ) {
        let summary = self.suspects.summary(fingerprint, now);
        let rationale = format!("{cause}, fingerprint {fingerprint:016x}: {summary}");
        self.log(None, "crash_evidence", Some(server), rationale);
    }

    /// Refuses requests of a fingerprint from now on, and announces it to the other homes.
    pub(super) fn announce_suspect(
        &mut self,
        fingerprint: Fingerprint,
        period: Duration,
        server: BackendServerId,
        now: Time,
    ) {
        let rationale = format!("refusing fingerprint {fingerprint:016x} for {period:?}");
        self.log(None, "suspect", Some(server), rationale);
        self.actions
            .push(Action::AnnounceSuspect(fingerprint, period));
        self.end_suspects(fingerprint, now);
    }

    /// Updates what a server can serve, and the pinned version if that changed.
    pub(super) fn update_serving(&mut self, server: BackendServerId) {
        let usable = self.is_usable(server);
        let versions = self.fleet.versions(server);
        if self.placement.update(server, usable, versions) {
            self.mark_changed(server);
            self.update_pin();
        }
    }

    pub(super) fn update_pin(&mut self) {
        let groups: Vec<pin::Group> = (0..self.route.groups.len())
            .map(|group| self.pin_group(group))
            .collect();
        let minimum = self.route.minimum_index_version;
        if let Some(version) = self.pin.update(&groups, minimum) {
            let rationale = format!("version {version}");
            self.log(None, "pin", None, rationale);
        }
    }

    fn pin_group(&self, group: usize) -> pin::Group {
        let group = &self.route.groups[group];
        let servers = group.backend_servers.iter();
        let usable = servers.filter(|server| self.is_usable(**server));
        pin::Group {
            weight: group.weight,
            replicas: usable
                .map(|server| self.fleet.versions(*server).to_vec())
                .collect(),
        }
    }
}
