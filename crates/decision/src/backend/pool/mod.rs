//! Connections to the backend servers of one route.
//!
//! A new connection costs milliseconds and a server takes few, so they are opened ahead of need: as
//! many as were lately in use at once and one to spare, within this home's share of the server's
//! limit, and never more than a few at the same time. They are closed one by one, long after the
//! need has gone.
//!
//! Invariant: no server has more connections open or being opened than the share, except those in
//! use when the share shrank, which are closed as soon as they are idle.

mod connection;
mod line;
mod silence;

pub use silence::Health;

use crate::Time;
use crate::attempt::ConnectionId;
use crate::placement::{self, Division, Homes};
use connection::{Connection, State};
use line::{Line, Share};
use monsoonring_configuration::document::{Capacity, Route};
use monsoonring_configuration::id::BackendServerId;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use std::time::Duration;

/// Age up to which an idle connection counts as verified by its last use.
const FRESH: Duration = Duration::from_secs(1);

/// Something that the home does for the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a connection; answered by [`Pool::opened`] or [`Pool::closed`].
    Open(ConnectionId, BackendServerId),
    /// Close a connection; the pool has forgotten it already.
    Close(ConnectionId),
}

fn share(division: &Division, capacity: Capacity) -> Share {
    Share {
        most: division.connections(capacity.connections),
        spare: division.spare,
        floor: division.min_idle,
        held_for: division.idle_time(capacity.connections),
    }
}

/// The end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnect {
    /// The server at its other end.
    pub server: BackendServerId,
    /// Whether the server counts as unreachable from now on; to be told to
    /// [`Fleet::set_reachable`](super::Fleet::set_reachable).
    pub became_unreachable: bool,
}

/// Connections to the backend servers of one route.
pub struct Pool {
    lines: FxHashMap<BackendServerId, Line>,
    connections: FxHashMap<ConnectionId, Connection>,
    next: ConnectionId,
    share: Share,
    capacity: Capacity,
    division: Division,
    /// Servers in other data centres: nothing is kept ready there without need.
    far: BTreeSet<BackendServerId>,
    /// What tells this home from the others when it is decided who keeps connections ready.
    identity: u64,
    /// Servers that something has happened to since the last [`Pool::reconcile`].
    changed: BTreeSet<BackendServerId>,
    closing: Vec<ConnectionId>,
    /// Time at which time alone may have given some line something to do; never too late.
    due: Option<Time>,
}

impl Pool {
    /// Makes the empty pool of a route at a home that takes its part of the `division`; connection
    /// ids count from `first`.
    pub fn new(
        route: &Route,
        division: impl Into<Division>,
        first: ConnectionId,
        now: Time,
    ) -> Self {
        let division = division.into();
        let mut pool = Self {
            lines: FxHashMap::default(),
            connections: FxHashMap::default(),
            next: first,
            share: share(&division, route.capacity),
            identity: 0,
            capacity: route.capacity,
            division,
            far: BTreeSet::new(),
            changed: BTreeSet::new(),
            closing: Vec::new(),
            due: None,
        };
        pool.adopt(route, now);
        pool
    }

    /// Takes over a new configuration. Connections to removed servers are closed when idle.
    pub fn reconfigure(&mut self, route: &Route, now: Time) {
        self.capacity = route.capacity;
        self.adopt(route, now);
        self.divide();
    }

    /// Takes over the homes of the route.
    pub fn set_homes(&mut self, homes: impl Into<Homes>, _now: Time) {
        self.division = self.division.with_homes(homes);
        self.divide();
    }

    fn divide(&mut self) {
        self.share = share(&self.division, self.capacity);
        self.changed.extend(self.lines.keys());
    }

    /// Takes over what tells this home from others.
    pub fn set_identity(&mut self, identity: u64) {
        self.identity = identity;
    }

    /// Takes over which servers are in other data centres.
    pub fn set_far(&mut self, far: BTreeSet<BackendServerId>) {
        self.far = far;
        self.changed.extend(self.lines.keys());
    }

    /// Returns how the servers are divided among the homes.
    pub fn division(&self) -> Division {
        self.division
    }

    /// Takes over whether a server is leaving: no connection is opened, idle ones are closed.
    pub fn set_leaving(&mut self, server: BackendServerId, leaving: bool, _now: Time) {
        if let Some(line) = self.lines.get_mut(&server) {
            line.leaving = leaving;
            self.changed.insert(server);
        }
    }

    /// Takes an idle connection to `server`. Where there is none the miss counts as demand.
    pub fn acquire(&mut self, server: BackendServerId, now: Time) -> Option<ConnectionId> {
        self.take(server, Time::ZERO, now)
    }

    /// Takes an idle connection that was opened or used a moment ago, fit for a non-idempotent
    /// request. Where there is none the miss counts as demand for a new one.
    ///
    /// A connection that was idle for long may have been forgotten by something between the two
    /// ends. A request put on it gets no answer, and one that must not be sent twice could then
    /// only end as unknown.
    pub fn acquire_fresh(&mut self, server: BackendServerId, now: Time) -> Option<ConnectionId> {
        let fresh = self.take(server, now.saturating_sub(FRESH), now);
        if fresh.is_none() {
            self.replace_stale(server, now);
        }
        fresh
    }

    /// Returns what is to be opened and closed now.
    ///
    /// It is asked after each event: only servers to which something happened are looked at, and
    /// all of them only when time has given some of them something to do.
    pub fn reconcile(&mut self, now: Time) -> Vec<Command> {
        self.take_due(now);
        let mut opens = Vec::new();
        for server in std::mem::take(&mut self.changed) {
            self.close_excess(server, now);
            self.open_missing(server, now, &mut opens);
            self.settle(server);
        }
        let closes = std::mem::take(&mut self.closing);
        closes
            .into_iter()
            .map(Command::Close)
            .chain(opens)
            .collect()
    }

    fn take_due(&mut self, now: Time) {
        if self.due.is_none_or(|due| due > now) {
            return;
        }
        let due = self.lines.iter().filter(|(_, line)| line.is_due(now));
        self.changed.extend(due.map(|(server, _)| *server));
        let later = self.lines.values().filter(|line| !line.is_due(now));
        self.due = later.filter_map(Line::wake).min();
    }

    /// Notes when a server is to be looked at again, or forgets it if it has gone for good.
    fn settle(&mut self, server: BackendServerId) {
        let Some(line) = self.lines.get(&server) else {
            return;
        };
        if line.is_over() {
            self.lines.remove(&server);
            return;
        }
        self.due = self.due.into_iter().chain(line.wake()).min();
    }

    /// Records that a connection is ready. Returns its server.
    pub fn opened(&mut self, id: ConnectionId, now: Time) -> Option<BackendServerId> {
        let connection = self.connections.get_mut(&id)?;
        if connection.state != State::Opening {
            return None;
        }
        connection.state = State::Idle;
        connection.proven = now;
        let server = connection.server;
        let line = self.lines.get_mut(&server)?;
        line.opened(id, now);
        self.changed.insert(server);
        Some(server)
    }

    /// Records that a connection could not be made or has ended by itself, under an attempt
    /// (`Failure::Lost`) or idle.
    pub fn closed(&mut self, id: ConnectionId, now: Time) -> Option<Disconnect> {
        let connection = self.connections.remove(&id)?;
        let server = connection.server;
        let line = self.lines.get_mut(&server)?;
        let was_reachable = line.reachable;
        line.closed(id, &connection, now);
        self.changed.insert(server);
        Some(Disconnect {
            server,
            became_unreachable: was_reachable && !line.reachable,
        })
    }

    /// Another start is at the address of a server: the idle connections lead to one that is gone and
    /// are closed, those in use are when they are given back.
    pub fn replaced(&mut self, server: BackendServerId, now: Time) {
        let mut idle = Vec::new();
        for (id, connection) in &mut self.connections {
            let is_there = connection.server == server;
            match connection.state {
                State::Idle if is_there => idle.push(*id),
                State::Busy(_) if is_there => connection.retired = true,
                _ => {}
            }
        }
        idle.sort_unstable();
        for id in idle {
            self.discard(id, now);
        }
        if let Some(line) = self.lines.get_mut(&server) {
            line.replaced(now);
            self.changed.insert(server);
        }
    }

    /// Gives back a connection on which an attempt was answered.
    pub fn release(&mut self, id: ConnectionId, now: Time) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.retired {
            self.discard(id, now);
            return;
        }
        let State::Busy(sent) = connection.state else {
            return;
        };
        connection.state = State::Idle;
        connection.proven = now;
        let server = connection.server;
        if let Some(line) = self.lines.get_mut(&server) {
            line.released(id, sent, now);
        }
        self.changed.insert(server);
    }

    /// Gives back a connection that was taken and on which nothing was sent.
    pub fn put_back(&mut self, id: ConnectionId, _now: Time) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !matches!(connection.state, State::Busy(_)) {
            return;
        }
        connection.state = State::Idle;
        if let Some(line) = self.lines.get_mut(&connection.server) {
            line.put_back(id);
        }
        self.changed.insert(connection.server);
    }

    /// Gives up a connection that can't be used again; [`Self::reconcile`] returns its `Close`.
    pub fn discard(&mut self, id: ConnectionId, _now: Time) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let Some(line) = self.lines.get_mut(&connection.server) {
            line.remove(id, &connection);
        }
        self.changed.insert(connection.server);
        self.closing.push(id);
    }

    /// Records that a server ended a new connection at once because it has too many. It counts as
    /// unreachable for a while if there is no other connection to it.
    pub fn rejected(&mut self, id: ConnectionId, now: Time) -> Option<Disconnect> {
        let connection = self.connections.remove(&id)?;
        let server = connection.server;
        let line = self.lines.get_mut(&server)?;
        let was_reachable = line.reachable;
        line.rejected(id, &connection, now);
        self.changed.insert(server);
        Some(Disconnect {
            server,
            became_unreachable: was_reachable && !line.reachable,
        })
    }

    /// Takes in that a server refused a connection because its limit is reached: no more are
    /// opened for a while.
    pub fn connection_limit_reached(&mut self, server: BackendServerId, now: Time) {
        if let Some(line) = self.lines.get_mut(&server) {
            line.connection_limit_reached(now);
            self.changed.insert(server);
        }
    }

    /// Tells whether a server can be reached.
    pub fn is_reachable(&self, server: BackendServerId) -> bool {
        self.lines.get(&server).is_some_and(|line| line.reachable)
    }

    /// Returns how many connections to `server` are open or being opened.
    pub fn connections(&self, server: BackendServerId) -> usize {
        self.lines.get(&server).map_or(0, Line::len)
    }

    /// Returns how many connections to `server` are idle and ready.
    pub fn idle(&self, server: BackendServerId) -> usize {
        self.lines.get(&server).map_or(0, |line| line.idle.len())
    }

    /// Returns the time at which [`Self::reconcile`] has something to do, if nothing else happens.
    pub fn next_wake(&self) -> Option<Time> {
        self.due
    }

    fn adopt(&mut self, route: &Route, now: Time) {
        self.lines
            .values_mut()
            .for_each(|line| line.configured = false);
        let servers = route.groups.iter().flat_map(|group| &group.backend_servers);
        for server in servers {
            let line = self.lines.entry(*server).or_insert_with(|| Line::new(now));
            line.configured = true;
        }
        self.changed.extend(self.lines.keys());
    }

    /// Takes the idle connection that was used last, if it was proven at or after `since`.
    fn take(&mut self, server: BackendServerId, since: Time, now: Time) -> Option<ConnectionId> {
        let line = self.lines.get_mut(&server)?;
        self.changed.insert(server);
        let last = line.idle.last().copied();
        let connection = last.and_then(|id| self.connections.get_mut(&id));
        let Some(connection) = connection.filter(|connection| connection.proven >= since) else {
            line.missed(now);
            return None;
        };
        connection.state = State::Busy(now);
        line.idle.pop();
        line.taken(now);
        last
    }

    /// Returns what a server may have of this home.
    ///
    /// A connection is kept ready without need where one is in use all the time, which is at the servers
    /// nearby. Where every host kept one at every server, 89 hosts asked for more than the 76 that a
    /// server takes, and it ended 203,276 connections in a calm minute.
    fn share_of(&self, server: BackendServerId) -> Share {
        let kept = self.division.idle_share(self.capacity.connections);
        let is_drawn = kept >= 1.0 || placement::uniform_hash(self.identity, server) < kept;
        let is_kept = is_drawn && !self.far.contains(&server);
        Share {
            floor: if is_kept { self.share.floor } else { 0 },
            ..self.share
        }
    }

    /// Makes place for a verified connection where idle ones stand in its way.
    fn replace_stale(&mut self, server: BackendServerId, now: Time) {
        let share = self.share_of(server);
        let oldest = self.lines.get(&server).and_then(|line| {
            let none_comes = line.opening == 0 && line.missing(share, now) == 0;
            line.idle.first().copied().filter(|_| none_comes)
        });
        if let Some(id) = oldest {
            self.discard(id, now);
        }
    }

    fn close_excess(&mut self, server: BackendServerId, now: Time) {
        let share = self.share_of(server);
        if let Some(line) = self.lines.get_mut(&server) {
            line.elapse(share, now);
        }
        while let Some(line) = self.lines.get_mut(&server) {
            let Some(id) = line.excess(share) else {
                return;
            };
            self.discard(id, now);
        }
    }

    fn open_missing(&mut self, server: BackendServerId, now: Time, opens: &mut Vec<Command>) {
        let share = self.share_of(server);
        let Some(line) = self.lines.get_mut(&server) else {
            return;
        };
        for _ in 0..line.missing(share, now) {
            let id = self.next;
            self.next += 1;
            line.opening += 1;
            self.connections
                .insert(id, Connection::opening(server, now));
            opens.push(Command::Open(id, server));
        }
    }
}
