//! Connections that went silent.
//!
//! Something between the two ends can lose track of an open connection: what is sent on it gets no
//! answer and no error, for good, while new connections to the same server work. Blaming the server
//! would take a healthy replica out, seen as all homes marking servers down after a restart of a
//! network element. What tells the two apart is the other connections to the same server.

use super::connection::State;
use super::{Connection, Pool};
use crate::Time;
use crate::attempt::ConnectionId;
use monsoonring_configuration::id::BackendServerId;
use std::time::Duration;

/// Multiple of the patience after which a mere new connection, without an answer on it, is proof
/// enough: all older connections may be silent.
const LONE_FACTOR: u32 = 4;

impl Pool {
    /// Returns the busy connections that are silent: overdue by `patience` of their server, while
    /// others to the same server answered since.
    pub fn silent(
        &self,
        now: Time,
        patience: impl Fn(BackendServerId) -> Duration,
    ) -> Vec<ConnectionId> {
        let connections = self.connections.iter();
        let mut silent: Vec<ConnectionId> = connections
            .filter(|(_, connection)| self.is_silent(connection, now, &patience))
            .map(|(id, _)| *id)
            .collect();
        silent.sort_unstable();
        silent
    }

    /// Gives up a silent connection, and with it the idle ones to the same server that were not
    /// seen to work since the attempt was put on it: what lost track of the one has probably lost
    /// track of them too, and each would cost a further request its patience.
    pub fn condemn(&mut self, id: ConnectionId, now: Time) {
        let Some(connection) = self.connections.get(&id).cloned() else {
            return;
        };
        let State::Busy(since) = connection.state else {
            self.discard(id, now);
            return;
        };
        let unproven = |other: &Connection| {
            other.server == connection.server && other.state == State::Idle && other.proven < since
        };
        let connections = self.connections.iter();
        let mut gone: Vec<ConnectionId> = connections
            .filter(|(_, other)| unproven(other))
            .map(|(other, _)| *other)
            .collect();
        gone.sort_unstable();
        self.discard(id, now);
        for other in gone {
            self.discard(other, now);
        }
    }

    fn is_silent(
        &self,
        connection: &Connection,
        now: Time,
        patience: impl Fn(BackendServerId) -> Duration,
    ) -> bool {
        let State::Busy(since) = connection.state else {
            return false;
        };
        let Some(line) = self.lines.get(&connection.server) else {
            return false;
        };
        let patience = patience(connection.server);
        let age = now.saturating_sub(since);
        // A later attempt that was answered in the time that this one has been waiting too long.
        let answered = age >= patience && line.answered >= since + patience;
        let opened = age >= patience * LONE_FACTOR && line.connected >= since + patience;
        answered || opened
    }
}
