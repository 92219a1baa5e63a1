//! Connections to the backend servers of one route.

use crate::Time;
use crate::attempt::ConnectionId;
use monsoonring_configuration::document::Route;
use monsoonring_configuration::id::BackendServerId;
use std::time::Duration;

/// Something that the home does for the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a connection; answered by [`Pool::opened`] or [`Pool::closed`].
    Open(ConnectionId, BackendServerId),
    /// Close a connection; the pool has forgotten it already.
    Close(ConnectionId),
}

/// The end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// The server at its other end.
    pub server: BackendServerId,
    /// Whether the server counts as unreachable from now on; to be told to
    /// [`Fleet::set_reachable`](super::Fleet::set_reachable).
    pub down: bool,
}

/// Connections to the backend servers of one route.
pub struct Pool {}

impl Pool {
    /// Makes the empty pool of a route that has `homes` homes; connection ids count from `first`.
    pub fn new(_route: &Route, _homes: usize, _first: ConnectionId, _now: Time) -> Self {
        Self {}
    }

    /// Takes over a new configuration. Connections to removed servers are closed when idle.
    pub fn reconfigure(&mut self, _route: &Route, _now: Time) {}

    /// Takes over the number of homes of the route.
    pub fn set_homes(&mut self, _homes: usize, _now: Time) {}

    /// Takes over whether a server is leaving: no connection is opened, idle ones are closed.
    pub fn set_leaving(&mut self, _server: BackendServerId, _leaving: bool, _now: Time) {}

    /// Takes an idle connection to `server`. Where there is none the miss counts as demand.
    pub fn acquire(&mut self, _server: BackendServerId, _now: Time) -> Option<ConnectionId> {
        None
    }

    /// Takes an idle connection that was opened or used a moment ago, fit for a non-idempotent
    /// request. Where there is none the miss counts as demand for a new one.
    pub fn acquire_fresh(&mut self, _server: BackendServerId, _now: Time) -> Option<ConnectionId> {
        None
    }

    /// Returns what is to be opened and closed now.
    pub fn want(&mut self, _now: Time) -> Vec<Command> {
        Vec::new()
    }

    /// Records that a connection is ready. Returns its server.
    pub fn opened(&mut self, _id: ConnectionId, _now: Time) -> Option<BackendServerId> {
        None
    }

    /// Records that a connection could not be made or has ended.
    pub fn closed(&mut self, _id: ConnectionId, _now: Time) -> Option<Ending> {
        None
    }

    /// Gives back a connection on which an attempt was answered.
    pub fn release(&mut self, _id: ConnectionId, _now: Time) {}

    /// Gives up a connection that can't be used again; [`Self::want`] returns its `Close`.
    pub fn discard(&mut self, _id: ConnectionId, _now: Time) {}

    /// Returns the busy connections that are silent: overdue by `patience` of their server, while
    /// others to the same server answered since.
    pub fn silent(
        &self,
        _now: Time,
        _patience: impl Fn(BackendServerId) -> Duration,
    ) -> Vec<ConnectionId> {
        Vec::new()
    }

    /// Tells whether a server can be reached.
    pub fn is_reachable(&self, _server: BackendServerId) -> bool {
        true
    }

    /// Returns how many connections to `server` are open or being opened.
    pub fn connections(&self, _server: BackendServerId) -> usize {
        0
    }

    /// Returns the time at which [`Self::want`] has something to do, if nothing else happens.
    pub fn next_wake(&self) -> Option<Time> {
        None
    }
}
