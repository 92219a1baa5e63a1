//! Connection pool for the backend servers of one route.
//!
//! Opening a connection takes milliseconds and servers accept few, so connections are opened ahead
//! of demand: as many as were recently in use concurrently, plus spare ones, within this home's
//! share of the server's limit. Only a few are opened at a time, and idle ones are closed one by
//! one long after demand has dropped.
//!
//! Invariant: the number of connections to a server, open or opening, never exceeds the share. The
//! only exception are connections in use when the share shrinks, which are closed when they become
//! idle.

mod connection;
mod server_pool;
mod silence;

pub use silence::Health;

use crate::Time;
use crate::attempt::ConnectionId;
use crate::placement::{self, Division, Homes};
use connection::{Connection, State};
use monsoonring_configuration::document::{Capacity, Route};
use monsoonring_configuration::id::BackendServerId;
use rustc_hash::FxHashMap;
use server_pool::{Limits, ServerPool};
use std::collections::BTreeSet;
use std::time::Duration;

/// Age up to which an idle connection counts as verified by its last use.
const MAX_VERIFIED_AGE: Duration = Duration::from_secs(1);

/// A command for the driver of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a connection; the result is reported with [`Pool::opened`], [`Pool::closed`] or
    /// [`Pool::rejected`].
    Open(ConnectionId, BackendServerId),
    /// Close a connection, which the pool has already removed.
    Close(ConnectionId),
}

fn limits(division: &Division, capacity: Capacity) -> Limits {
    Limits {
        max: division.connections(capacity.connections),
        spare: division.spare,
        min_idle: division.min_idle,
        idle_time: division.idle_time(capacity.connections),
    }
}

/// A connection that has ended or could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnect {
    /// Server of the connection.
    pub server: BackendServerId,
    /// Whether the server has just become unreachable; must be passed to
    /// [`Fleet::set_reachable`](super::Fleet::set_reachable).
    pub became_unreachable: bool,
}

/// Connections to the backend servers of one route.
pub struct Pool {
    server_pools: FxHashMap<BackendServerId, ServerPool>,
    connections: FxHashMap<ConnectionId, Connection>,
    next_id: ConnectionId,
    limits: Limits,
    capacity: Capacity,
    division: Division,
    /// Servers in other data centres, for which no idle connections are kept without demand.
    remote: BTreeSet<BackendServerId>,
    /// Identity of this home, used to select the servers for which it keeps idle connections.
    identity: u64,
    /// Servers with events since the last [`Pool::reconcile`].
    changed: BTreeSet<BackendServerId>,
    closing: Vec<ConnectionId>,
    /// Lower bound of the next time at which a timer of some server expires.
    due: Option<Time>,
}

impl Pool {
    /// Creates an empty pool for a route, at a home with the given share of each server; connection
    /// ids start at `first`.
    pub fn new(
        route: &Route,
        division: impl Into<Division>,
        first: ConnectionId,
        now: Time,
    ) -> Self {
        let division = division.into();
        let mut pool = Self {
            server_pools: FxHashMap::default(),
            connections: FxHashMap::default(),
            next_id: first,
            limits: limits(&division, route.capacity),
            identity: 0,
            capacity: route.capacity,
            division,
            remote: BTreeSet::new(),
            changed: BTreeSet::new(),
            closing: Vec::new(),
            due: None,
        };
        pool.apply_route(route, now);
        pool
    }

    /// Applies a new configuration. Connections to removed servers are closed once idle.
    pub fn reconfigure(&mut self, route: &Route, now: Time) {
        self.capacity = route.capacity;
        self.apply_route(route, now);
        self.update_limits();
    }

    /// Sets the homes of the route, which determine this home's share.
    pub fn set_homes(&mut self, homes: impl Into<Homes>, _now: Time) {
        self.division = self.division.with_homes(homes);
        self.update_limits();
    }

    fn update_limits(&mut self) {
        self.limits = limits(&self.division, self.capacity);
        self.changed.extend(self.server_pools.keys());
    }

    /// Sets the identity of this home; it must differ between homes.
    pub fn set_identity(&mut self, identity: u64) {
        self.identity = identity;
    }

    /// Sets which servers are in other data centres.
    pub fn set_remote(&mut self, remote: BTreeSet<BackendServerId>) {
        self.remote = remote;
        self.changed.extend(self.server_pools.keys());
    }

    /// Returns how server capacity is divided among the homes.
    pub fn division(&self) -> Division {
        self.division
    }

    /// Sets whether a server is leaving. No connections are opened to one that is, and idle ones
    /// are closed.
    pub fn set_leaving(&mut self, server: BackendServerId, leaving: bool, _now: Time) {
        if let Some(server_pool) = self.server_pools.get_mut(&server) {
            server_pool.leaving = leaving;
            self.changed.insert(server);
        }
    }

    /// Takes an idle connection to `server` that is not among `used`. A miss counts as demand.
    ///
    /// `used` are the connections that carried earlier attempts of the same request. A server may
    /// send its reply to one of them again, late, and not every protocol tells two attempts of one
    /// request apart: the copy would be taken for the reply to the new attempt.
    pub fn acquire(
        &mut self,
        server: BackendServerId,
        used: &[ConnectionId],
        now: Time,
    ) -> Option<ConnectionId> {
        self.take(server, used, Time::ZERO, now)
    }

    /// Takes an idle connection like [`Self::acquire`] that was opened or used recently, for a
    /// non-idempotent request.
    ///
    /// A middlebox may have dropped a connection that was idle for long. A request sent on it gets
    /// no reply, and one that must not be repeated would end with an unknown outcome.
    pub fn acquire_fresh(
        &mut self,
        server: BackendServerId,
        used: &[ConnectionId],
        now: Time,
    ) -> Option<ConnectionId> {
        let fresh = self.take(server, used, now.saturating_sub(MAX_VERIFIED_AGE), now);
        if fresh.is_none() {
            self.evict_stale(server, now);
        }
        fresh
    }

    /// Returns whether there are idle connections to `server` and all of them are among `used`.
    pub fn is_idle_only_among(&self, server: BackendServerId, used: &[ConnectionId]) -> bool {
        let server_pool = self.server_pools.get(&server);
        server_pool.is_some_and(|server_pool| {
            !server_pool.idle.is_empty() && server_pool.idle.iter().all(|id| used.contains(id))
        })
    }

    /// Closes a connection in use once its attempt has ended, if the limit allows no new one. An
    /// attempt that can't use this connection would otherwise wait for as long as others use it.
    pub fn replace_after_use(&mut self, id: ConnectionId, now: Time) {
        let Some(server) = self
            .connections
            .get(&id)
            .map(|connection| connection.server)
        else {
            return;
        };
        let limits = self.limits_for(server);
        let server_pool = self.server_pools.get(&server);
        if server_pool.is_some_and(|server_pool| server_pool.is_at_limit(limits, now)) {
            if let Some(connection) = self.connections.get_mut(&id) {
                connection.retired = true;
            }
        }
    }

    /// Returns the connections to open and close.
    ///
    /// Called after each event: it visits only servers with events since the last call, or whose
    /// timers have expired.
    pub fn reconcile(&mut self, now: Time) -> Vec<Command> {
        self.collect_due(now);
        let mut opens = Vec::new();
        for server in std::mem::take(&mut self.changed) {
            self.close_excess(server, now);
            self.evict_used(server, now);
            self.open_missing(server, now, &mut opens);
            self.schedule(server);
        }
        let closes = std::mem::take(&mut self.closing);
        closes
            .into_iter()
            .map(Command::Close)
            .chain(opens)
            .collect()
    }

    fn collect_due(&mut self, now: Time) {
        if self.due.is_none_or(|due| due > now) {
            return;
        }
        let due = self
            .server_pools
            .iter()
            .filter(|(_, server_pool)| server_pool.is_due(now));
        self.changed.extend(due.map(|(server, _)| *server));
        let later = self
            .server_pools
            .values()
            .filter(|server_pool| !server_pool.is_due(now));
        self.due = later.filter_map(ServerPool::next_wake).min();
    }

    /// Schedules the next visit of a server, or removes a server that is no longer needed.
    fn schedule(&mut self, server: BackendServerId) {
        let Some(server_pool) = self.server_pools.get(&server) else {
            return;
        };
        if server_pool.is_finished() {
            self.server_pools.remove(&server);
            return;
        }
        self.due = self.due.into_iter().chain(server_pool.next_wake()).min();
    }

    /// Records that a connection is open. Returns its server.
    pub fn opened(&mut self, id: ConnectionId, now: Time) -> Option<BackendServerId> {
        let connection = self.connections.get_mut(&id)?;
        if connection.state != State::Opening {
            return None;
        }
        connection.state = State::Idle;
        connection.verified_at = now;
        let server = connection.server;
        let server_pool = self.server_pools.get_mut(&server)?;
        server_pool.opened(id, now);
        self.changed.insert(server);
        Some(server)
    }

    /// Records that a connection could not be opened, or was lost while idle or during an attempt.
    pub fn closed(&mut self, id: ConnectionId, now: Time) -> Option<Disconnect> {
        let connection = self.connections.remove(&id)?;
        let server = connection.server;
        let server_pool = self.server_pools.get_mut(&server)?;
        let was_reachable = server_pool.reachable;
        server_pool.closed(id, &connection, now);
        self.changed.insert(server);
        Some(Disconnect {
            server,
            became_unreachable: was_reachable && !server_pool.reachable,
        })
    }

    /// Records that a new process runs at the address of a server. Idle connections to the old
    /// process are closed; busy ones are closed when they are released.
    pub fn replaced(&mut self, server: BackendServerId, now: Time) {
        let mut idle = Vec::new();
        for (id, connection) in &mut self.connections {
            let is_same_server = connection.server == server;
            match connection.state {
                State::Idle if is_same_server => idle.push(*id),
                State::Busy(_) if is_same_server => connection.retired = true,
                _ => {}
            }
        }
        idle.sort_unstable();
        for id in idle {
            self.discard(id, now);
        }
        if let Some(server_pool) = self.server_pools.get_mut(&server) {
            server_pool.replaced(now);
            self.changed.insert(server);
        }
    }

    /// Returns a connection to the pool after a reply on it.
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
        connection.verified_at = now;
        let server = connection.server;
        if let Some(server_pool) = self.server_pools.get_mut(&server) {
            server_pool.released(id, sent, now);
        }
        self.changed.insert(server);
    }

    /// Returns a connection to the pool on which nothing was sent.
    pub fn put_back(&mut self, id: ConnectionId, _now: Time) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if !matches!(connection.state, State::Busy(_)) {
            return;
        }
        connection.state = State::Idle;
        if let Some(server_pool) = self.server_pools.get_mut(&connection.server) {
            server_pool.put_back(id);
        }
        self.changed.insert(connection.server);
    }

    /// Discards a connection that can't be reused; [`Self::reconcile`] returns its `Close`.
    pub fn discard(&mut self, id: ConnectionId, _now: Time) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let Some(server_pool) = self.server_pools.get_mut(&connection.server) {
            server_pool.remove(id, &connection);
        }
        self.changed.insert(connection.server);
        self.closing.push(id);
    }

    /// Records that a server closed a new connection immediately because of its connection limit.
    /// The server becomes unreachable for a while if there are no other connections to it.
    pub fn rejected(&mut self, id: ConnectionId, now: Time) -> Option<Disconnect> {
        let connection = self.connections.remove(&id)?;
        let server = connection.server;
        let server_pool = self.server_pools.get_mut(&server)?;
        let was_reachable = server_pool.reachable;
        server_pool.rejected(id, &connection, now);
        self.changed.insert(server);
        Some(Disconnect {
            server,
            became_unreachable: was_reachable && !server_pool.reachable,
        })
    }

    /// Records that a server refused a request because of its connection limit: opening connections
    /// is paused.
    pub fn connection_limit_reached(&mut self, server: BackendServerId, now: Time) {
        if let Some(server_pool) = self.server_pools.get_mut(&server) {
            server_pool.connection_limit_reached(now);
            self.changed.insert(server);
        }
    }

    /// Returns whether a server can be reached.
    pub fn is_reachable(&self, server: BackendServerId) -> bool {
        self.server_pools
            .get(&server)
            .is_some_and(|server_pool| server_pool.reachable)
    }

    /// Returns the number of connections to `server` that are open or opening.
    pub fn connections(&self, server: BackendServerId) -> usize {
        self.server_pools.get(&server).map_or(0, ServerPool::len)
    }

    /// Returns the number of idle connections to `server`.
    pub fn idle(&self, server: BackendServerId) -> usize {
        self.server_pools
            .get(&server)
            .map_or(0, |server_pool| server_pool.idle.len())
    }

    /// Returns the next time at which [`Self::reconcile`] has work to do without further events.
    pub fn next_wake(&self) -> Option<Time> {
        self.due
    }

    fn apply_route(&mut self, route: &Route, now: Time) {
        self.server_pools
            .values_mut()
            .for_each(|server_pool| server_pool.configured = false);
        let servers = route.groups.iter().flat_map(|group| &group.backend_servers);
        for server in servers {
            let server_pool = self
                .server_pools
                .entry(*server)
                .or_insert_with(|| ServerPool::new(now));
            server_pool.configured = true;
        }
        self.changed.extend(self.server_pools.keys());
    }

    /// Takes the most recently used idle connection that is not among `used`, if it was verified at
    /// or after `verified_since`.
    fn take(
        &mut self,
        server: BackendServerId,
        used: &[ConnectionId],
        verified_since: Time,
        now: Time,
    ) -> Option<ConnectionId> {
        let server_pool = self.server_pools.get_mut(&server)?;
        self.changed.insert(server);
        let index = server_pool.idle.iter().rposition(|id| !used.contains(id));
        server_pool.needs_unused |= index.is_none() && !server_pool.idle.is_empty();
        let id = index.map(|index| server_pool.idle[index]);
        let connection = id.and_then(|id| self.connections.get_mut(&id));
        let Some((connection, index)) = connection
            .filter(|connection| connection.verified_at >= verified_since)
            .zip(index)
        else {
            server_pool.missed(now);
            return None;
        };
        connection.state = State::Busy(now);
        server_pool.idle.remove(index);
        server_pool.acquired(now);
        id
    }

    /// Returns the connection limits for a server.
    ///
    /// A minimum of idle connections is kept only at nearby servers, and with many homes only at a
    /// selected part of them. If every home kept one at every server, their number could exceed the
    /// servers' connection limits.
    fn limits_for(&self, server: BackendServerId) -> Limits {
        let idle_share = self.division.idle_share(self.capacity.connections);
        let is_selected =
            idle_share >= 1.0 || placement::uniform_hash(self.identity, server) < idle_share;
        let keeps_idle = is_selected && !self.remote.contains(&server);
        Limits {
            min_idle: if keeps_idle { self.limits.min_idle } else { 0 },
            ..self.limits
        }
    }

    /// Closes an idle connection if an attempt that can use none of them would otherwise wait for a
    /// new one, which the limit does not allow.
    fn evict_used(&mut self, server: BackendServerId, now: Time) {
        let limits = self.limits_for(server);
        let oldest = self.server_pools.get(&server).and_then(|server_pool| {
            let is_blocked = server_pool.needs_unused && server_pool.is_at_limit(limits, now);
            server_pool.idle.first().copied().filter(|_| is_blocked)
        });
        if let Some(id) = oldest {
            self.discard(id, now);
        }
    }

    /// Closes an idle connection that is not verified, if it prevents a new one from being opened.
    fn evict_stale(&mut self, server: BackendServerId, now: Time) {
        let limits = self.limits_for(server);
        let oldest = self.server_pools.get(&server).and_then(|server_pool| {
            let none_opening = server_pool.opening == 0 && server_pool.to_open(limits, now) == 0;
            server_pool.idle.first().copied().filter(|_| none_opening)
        });
        if let Some(id) = oldest {
            self.discard(id, now);
        }
    }

    fn close_excess(&mut self, server: BackendServerId, now: Time) {
        let limits = self.limits_for(server);
        if let Some(server_pool) = self.server_pools.get_mut(&server) {
            server_pool.advance(limits, now);
        }
        while let Some(server_pool) = self.server_pools.get_mut(&server) {
            let Some(id) = server_pool.excess_idle(limits) else {
                return;
            };
            self.discard(id, now);
        }
    }

    fn open_missing(&mut self, server: BackendServerId, now: Time, opens: &mut Vec<Command>) {
        let limits = self.limits_for(server);
        let Some(server_pool) = self.server_pools.get_mut(&server) else {
            return;
        };
        for _ in 0..server_pool.to_open(limits, now) {
            let id = self.next_id;
            self.next_id += 1;
            server_pool.opening += 1;
            self.connections
                .insert(id, Connection::opening(server, now));
            opens.push(Command::Open(id, server));
        }
    }
}
