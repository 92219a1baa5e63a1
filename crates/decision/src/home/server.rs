//! What is learned of backend servers and of the route.

use super::action::Action;
use super::flight::Owner;
use super::state::Home;
use crate::Time;
use crate::attempt::{AttemptId, ConnectionId, Failure};
use crate::backend::News;
use crate::query::coverage::Set;
use crate::query::pin;
use crate::query::run::{Cause, Part, PartId, Run};
use crate::reply::Report;
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::{BackendServerId, Incarnation, IndexVersion};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Which groups a backend server is in.
#[derive(Debug, Default)]
pub(super) struct Placement {
    groups: BTreeMap<BackendServerId, Vec<usize>>,
    replicas: BTreeMap<BackendServerId, Vec<BackendServerId>>,
    servers: Vec<BackendServerId>,
    /// What each server was last known to be able to serve; empty while it is not usable.
    serving: BTreeMap<BackendServerId, Serving>,
}

/// What a backend server was last known to be able to serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Serving {
    usable: bool,
    versions: Vec<IndexVersion>,
}

impl Placement {
    pub(super) fn new(route: &Route) -> Self {
        let mut placement = Self::default();
        for (index, group) in route.groups.iter().enumerate() {
            for server in &group.backend_servers {
                placement.groups.entry(*server).or_default().push(index);
                let replicas = placement.replicas.entry(*server).or_default();
                replicas.extend(&group.backend_servers);
            }
        }
        placement.servers = placement.groups.keys().copied().collect();
        placement
    }

    /// Returns all servers of the route.
    pub(super) fn servers(&self) -> &[BackendServerId] {
        &self.servers
    }

    /// Returns the servers that hold what `server` holds, itself included.
    pub(super) fn replicas(&self, server: BackendServerId) -> &[BackendServerId] {
        self.replicas.get(&server).map_or(&[], Vec::as_slice)
    }

    fn groups(&self, server: BackendServerId) -> &[usize] {
        self.groups.get(&server).map_or(&[], Vec::as_slice)
    }

    /// Takes in what a server can serve. Returns whether that is new.
    fn learn(&mut self, server: BackendServerId, usable: bool, versions: &[IndexVersion]) -> bool {
        let serving = self.serving.entry(server).or_default();
        if serving.usable == usable && serving.versions == versions {
            return false;
        }
        serving.usable = usable;
        serving.versions = versions.to_vec();
        true
    }
}

impl Home {
    /// Lets those who wait for a server of the same groups look again.
    pub(super) fn touch(&mut self, server: BackendServerId) {
        let groups = self.placement.groups(server);
        self.touched.extend(groups);
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
    ) -> bool {
        let until = self.back_offs.get(&server).copied().unwrap_or_default();
        self.is_usable(server) && !self.lacks(server, version) && until < deadline
    }

    /// Tells whether a server is known not to serve a version.
    fn lacks(&self, server: BackendServerId, version: Option<IndexVersion>) -> bool {
        let known = self.fleet.versions(server);
        version.is_some_and(|version| !known.is_empty() && !known.contains(&version))
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
    pub(super) fn heed(&mut self, server: BackendServerId, news: News, now: Time) {
        if news.survived {
            self.suspects.survived(server, now);
        }
        if news.restarted {
            self.back_offs.remove(&server);
            let leaving = self.fleet.is_leaving(server);
            self.pool.set_leaving(server, leaving, now);
            self.touch(server);
        }
        if news.leaving {
            let start = self.fleet.start(server);
            self.actions.push(Action::TellLeaving(server, start));
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
        if self.fleet.leave(server, start, now) {
            self.leave(server, now);
        }
    }

    /// Gives a leaving server no new work, what waits for a connection to it included. What it
    /// works on already, it may finish.
    fn leave(&mut self, server: BackendServerId, now: Time) {
        self.log(None, "leave", Some(server), "no new work".to_owned());
        self.pool.set_leaving(server, true, now);
        self.evacuate(server, now);
        self.learn(server);
        self.touch(server);
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

    fn move_part(&mut self, request: u128, part: PartId, now: Time) {
        self.with_run(request, now, |home, run| {
            let idle = |part: &Part| part.live.is_empty();
            if run.parts.get(&part).is_some_and(idle) {
                home.assign(run, part, Cause::Rest, now);
            }
        });
    }

    /// A connection is ready.
    pub(super) fn opened(&mut self, connection: ConnectionId, now: Time) {
        let Some(server) = self.pool.opened(connection, now) else {
            return;
        };
        self.fleet.set_reachable(server, true, now);
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

    /// Takes a connection that has ended off the books. If it was the last sign that the server can
    /// be reached, what waits for it goes elsewhere.
    pub(super) fn ended(&mut self, connection: ConnectionId, now: Time) {
        let Some(ending) = self.pool.closed(connection, now) else {
            return;
        };
        self.touch(ending.server);
        if !ending.down {
            *self.callable.entry(ending.server).or_default() += 1;
            return;
        }
        let server = ending.server;
        self.log(
            None,
            "unreachable",
            Some(server),
            "connection refused or ended".to_owned(),
        );
        self.fleet.set_reachable(server, false, now);
        self.evacuate(server, now);
        self.learn(server);
    }

    /// Looks again at what a server can serve, and at the pin if that has changed.
    pub(super) fn learn(&mut self, server: BackendServerId) {
        let usable = self.is_usable(server);
        let versions = self.fleet.versions(server);
        if self.placement.learn(server, usable, versions) {
            self.repin();
        }
    }

    fn repin(&mut self) {
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

    /// Takes over a new configuration of the route. Queries in progress keep what they have merged;
    /// what they lack is asked of the servers that hold it now.
    pub(super) fn reroute(&mut self, route: Arc<Route>, now: Time) {
        self.fleet.reconfigure(&route, now);
        self.pool.reconfigure(&route, now);
        self.gate.reconfigure(&route);
        self.hedges.set_percent(route.hedge.budget_percent);
        self.retries.set_percent(route.retry.budget_percent);
        let gone = self.replace(route);
        for server in gone {
            self.evacuate(server, now);
        }
        let groups = 0..self.route.groups.len();
        self.touched.extend(groups);
        for id in self.runs.keys().copied().collect::<Vec<_>>() {
            self.with_run(id, now, |home, run| home.redeal(run, now));
        }
        self.repin();
    }

    /// Puts the route in force; returns the servers that are no longer in it.
    fn replace(&mut self, route: Arc<Route>) -> Vec<BackendServerId> {
        let new = Placement::new(&route);
        let old = std::mem::replace(&mut self.placement, new);
        let serving = old.serving.into_iter();
        let stays = |server: &BackendServerId| self.placement.groups.contains_key(server);
        let kept: BTreeMap<_, _> = serving.filter(|(server, _)| stays(server)).collect();
        let gone = old.servers.into_iter().filter(|server| !stays(server));
        let gone: Vec<BackendServerId> = gone.collect();
        self.placement.serving = kept;
        let waiting = std::mem::take(&mut self.waiting);
        self.waiting
            .insert(0, waiting.into_values().flatten().collect());
        self.route = route;
        gone
    }

    /// Deals the missing keys of a run out again by the new placement. A part that its servers
    /// still hold as a whole stays as it is. Of the others, attempts that were sent may still bring
    /// what they were asked for, and what they bring first is not asked again.
    fn redeal(&mut self, run: &mut Run, now: Time) {
        let mut lacking = Set::default();
        for (id, part) in std::mem::take(&mut run.parts) {
            match self.home_of(&part) {
                Some(group) => {
                    run.parts.insert(id, Part { group, ..part });
                }
                None => {
                    lacking.join(&part.wanted);
                    self.detach(run, &part.live, now);
                }
            }
        }
        lacking.join(&run.unplanned(&self.route));
        for part in run.deal(&lacking, &self.route, &Part::default()) {
            self.assign(run, part, Cause::Rest, now);
        }
    }

    /// Returns the group that holds a part as a whole and has all servers that work on it. A part
    /// on which nobody works has none: it is dealt out again.
    fn home_of(&self, part: &Part) -> Option<usize> {
        let servers: Vec<BackendServerId> = part
            .live
            .iter()
            .filter_map(|id| self.flights.get(*id))
            .map(|flight| flight.server)
            .collect();
        if servers.is_empty() {
            return None;
        }
        self.route.groups.iter().position(|group| {
            let holds = part.wanted.difference(&Set::from(group.keys)).is_empty();
            holds && servers.iter().all(|s| group.backend_servers.contains(s))
        })
    }

    /// Leaves attempts without a part: those not yet sent are taken back.
    fn detach(&mut self, run: &mut Run, live: &[AttemptId], now: Time) {
        for id in live {
            if self.withdraw(*id, now).is_none() {
                run.detached.push(*id);
            }
        }
    }
}
