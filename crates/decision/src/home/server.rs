//! What is learned of backend servers and of the route.

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
    /// Lets those who wait for a server of the same groups look again.
    pub(super) fn touch(&mut self, server: BackendServerId) {
        let groups = self.placement.groups(server);
        self.touched.extend(groups);
    }

    /// Lets all who wait for a server of the same groups look again: it became usable, or ceased to
    /// be.
    pub(super) fn changed(&mut self, server: BackendServerId) {
        let groups = self.placement.groups(server);
        self.changed.extend(groups);
    }

    /// Tells whether new work may ever be given to a server, as far as known now.
    fn is_usable(&self, server: BackendServerId) -> bool {
        !self.fleet.is_leaving(server) && self.pool.is_reachable(server)
    }

    /// Tells whether a server without room now is expected to have some before the deadline: it is
    /// usable, not known to lack the version, and has not asked to be left alone for longer.
    pub(super) fn is_hopeful(
        &self,
        server: BackendServerId,
        version: Option<IndexVersion>,
        deadline: Time,
        now: Time,
    ) -> bool {
        let until = self.back_offs.get(&server).copied().unwrap_or_default();
        let until = until.max(self.fleet.excluded_until(server, now).unwrap_or_default());
        self.is_usable(server) && !self.lacks(server, version) && until < deadline
    }

    /// Tells whether a server is known not to serve a version.
    pub(super) fn lacks(&self, server: BackendServerId, version: Option<IndexVersion>) -> bool {
        let known = self.fleet.versions(server);
        version.is_some_and(|version| !known.is_empty() && !known.contains(&version))
    }

    /// Tells whether all that a server is known to serve is below the minimum.
    pub(super) fn is_old(&self, server: BackendServerId) -> bool {
        let newest = self.fleet.versions(server).last();
        newest.is_some_and(|version| *version < self.route.minimum_index_version)
    }

    /// Tells whether a group has usable servers, and all of them lack the version.
    pub(super) fn has_vanished(&self, group: usize, version: Option<IndexVersion>) -> bool {
        let Some(group) = self.route.groups.get(group) else {
            return false;
        };
        let servers = group.backend_servers.iter();
        let mut usable = servers.filter(|server| self.is_usable(**server)).peekable();
        usable.peek().is_some() && usable.all(|server| self.lacks(*server, version))
    }

    /// Takes over until when a server wants no work.
    pub(super) fn back_off(&mut self, server: BackendServerId, until: Time) {
        self.fleet_changed = true;
        let old = self.back_offs.entry(server).or_default();
        *old = until.max(*old);
        let why = format!("back off until {until:?}");
        self.log(None, "back_off", Some(server), why);
    }

    /// Takes in what the load endpoint of a server says.
    pub(super) fn polled(&mut self, server: BackendServerId, report: Option<&Report>, now: Time) {
        let news = self.fleet.polled(server, report, now);
        self.heed(server, news, now);
        self.learn(server);
        self.touch(server);
    }

    /// Acts on what is new about a server.
    pub(super) fn heed(&mut self, server: BackendServerId, news: StatusChange, now: Time) {
        if news.survived {
            self.suspects.survived(server, now);
        }
        if news.restarted {
            self.back_offs.remove(&server);
            let leaving = self.fleet.is_leaving(server);
            self.pool.set_leaving(server, leaving, now);
            self.changed(server);
        }
        if news.leaving {
            let start = self.fleet.start(server);
            self.actions.push(Action::AnnounceLeaving(server, start));
            self.leave(server, now);
        }
    }

    /// Takes over from another home that a server is leaving.
    pub(super) fn told_leaving(
        &mut self,
        server: BackendServerId,
        start: Option<Incarnation>,
        now: Time,
    ) {
        if self.fleet.mark_leaving(server, start, now) {
            self.leave(server, now);
        }
    }

    /// Other starts are at these addresses: nothing that was learned of the earlier ones holds.
    /// What is in flight may still be answered and is waited for as usual.
    pub(super) fn replaced(&mut self, servers: &BTreeSet<BackendServerId>, now: Time) {
        for &server in servers {
            self.log(None, "replaced", Some(server), "another start");
            self.back_offs.remove(&server);
            self.fleet.replaced(server, now);
            self.pool.replaced(server, now);
            self.fleet_changed = true;
            self.learn(server);
            self.changed(server);
        }
    }

    /// Takes over which servers are cold. Those that are so no more take any number again.
    pub(super) fn set_cold(&mut self, cold: &BTreeMap<BackendServerId, ColdLimit>, now: Time) {
        self.fleet.set_cold(cold, now);
        self.fleet_changed = true;
        for (&server, cold) in cold {
            if self.placement.servers().contains(&server) {
                let why = format!("bears {} a second until {:?}", cold.max_rate, cold.until);
                self.log(None, "cold", Some(server), why);
                self.changed(server);
            }
        }
    }

    /// Gives a leaving server no new work, what waits for a connection to it included. What it
    /// works on already, it may finish.
    fn leave(&mut self, server: BackendServerId, now: Time) {
        // Members tell every home; a server of other routes is only remembered.
        if self.placement.servers().contains(&server) {
            self.log(None, "leave", Some(server), "no new work");
        }
        self.pool.set_leaving(server, true, now);
        self.evacuate(server, now);
        self.learn(server);
        self.changed(server);
    }

    /// Moves what waits for a connection to a server to others.
    pub(super) fn evacuate(&mut self, server: BackendServerId, now: Time) {
        for id in self.flights.queued(server) {
            let Some(flight) = self.withdraw(id, now) else {
                continue;
            };
            self.release_owner(&flight, flight.owner);
            match flight.owner {
                Owner::Part(request, part) => self.move_part(request, part, now),
                Owner::Execution(request) => self.move_execution(request, now),
                Owner::Nobody => {}
            }
        }
    }

    fn move_part(&mut self, request: RequestId, part: PartId, now: Time) {
        self.with_run(request, now, |home, run| {
            let idle = |part: &Part| part.live.is_empty();
            if run.parts.get(&part).is_some_and(idle) {
                home.assign(run, part, Cause::Remainder, now);
            }
        });
    }

    /// A connection is ready.
    pub(super) fn opened(&mut self, connection: ConnectionId, now: Time) {
        let Some(server) = self.pool.opened(connection, now) else {
            return;
        };
        self.fleet.set_reachable(server, true, now);
        self.outages.remove(&server);
        self.learn(server);
        *self.callable.entry(server).or_default() += 1;
        self.touch(server);
    }

    /// A connection could not be made, or has ended.
    pub(super) fn closed(&mut self, connection: ConnectionId, now: Time) {
        match self.flights.on(connection) {
            Some(attempt) => self.failed(attempt, &Failure::Lost, now),
            None => self.ended(connection, now),
        }
    }

    /// A connection could not be made. Where the server ended it at once, opening another would end
    /// the same, and each try takes a slot of the server for some milliseconds; that says nothing of
    /// the server's health.
    pub(super) fn unopened(&mut self, connection: ConnectionId, why: ConnectFailure, now: Time) {
        let ending = match why {
            ConnectFailure::Closed => self.pool.rejected(connection, now),
            ConnectFailure::Refused | ConnectFailure::TimedOut => self.pool.closed(connection, now),
        };
        let Some(ending) = ending else {
            return;
        };
        let text = format!("connect: {why}");
        self.log(None, "unopened", Some(ending.server), text);
        if why != ConnectFailure::Closed {
            self.prove(ending.server, now);
        }
        self.lose(ending, Outage::ConnectFailed(why), now);
    }

    /// Takes a connection that has ended off the books. If it was the last sign that the server can
    /// be reached, what waits for it goes elsewhere.
    pub(super) fn ended(&mut self, connection: ConnectionId, now: Time) {
        let Some(ending) = self.pool.closed(connection, now) else {
            return;
        };
        self.lose(ending, Outage::ConnectionLost, now);
    }

    fn lose(&mut self, ending: Disconnect, outage: Outage, now: Time) {
        self.touch(ending.server);
        if !ending.became_unreachable {
            *self.callable.entry(ending.server).or_default() += 1;
            return;
        }
        let server = ending.server;
        self.log(None, "unreachable", Some(server), outage.to_string());
        self.outages.insert(server, outage);
        self.fleet.set_reachable(server, false, now);
        self.evacuate(server, now);
        self.learn(server);
        self.changed(server);
    }

    /// A server can't be connected to: what it lost connections under may have crashed it.
    fn prove(&mut self, server: BackendServerId, now: Time) {
        for (fingerprint, period) in self.suspects.unreachable(server, now) {
            self.accuse(fingerprint, period, server, now);
        }
    }

    /// Refuses requests of a fingerprint from now on, here and at the other homes.
    pub(super) fn accuse(
        &mut self,
        fingerprint: Fingerprint,
        period: Duration,
        server: BackendServerId,
        now: Time,
    ) {
        let why = format!("fingerprint {fingerprint:016x} for {period:?}");
        self.log(None, "suspect", Some(server), why);
        self.actions
            .push(Action::AnnounceSuspect(fingerprint, period));
        self.condemn(fingerprint, now);
    }

    /// Looks again at what a server can serve, and at the pin if that has changed.
    pub(super) fn learn(&mut self, server: BackendServerId) {
        let usable = self.is_usable(server);
        let versions = self.fleet.versions(server);
        if self.placement.learn(server, usable, versions) {
            self.changed(server);
            self.repin();
        }
    }

    pub(super) fn repin(&mut self) {
        let groups: Vec<pin::Group> = (0..self.route.groups.len())
            .map(|group| self.support(group))
            .collect();
        let minimum = self.route.minimum_index_version;
        if let Some(version) = self.pin.update(&groups, minimum) {
            let why = format!("version {version}");
            self.log(None, "pin", None, why);
        }
    }

    fn support(&self, group: usize) -> pin::Group {
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
