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
use std::time::Duration;

/// Multiple of the silence_timeout after which a mere new connection, without an answer on it, is proof
/// enough where nothing at all was answered meanwhile: all older connections may be silent.
const LONE_FACTOR: u32 = 4;

/// How a busy connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Nothing out of the ordinary.
    Healthy,
    /// No answer within the silence_timeout, and no proof of why.
    Overdue,
    /// Its attempt was overtaken: the connection is silent.
    Silent,
}

impl Pool {
    /// Looks at a busy connection. It is silent if it is overdue by the `silence_timeout` with its server
    /// and an attempt that was sent later to the same server has been answered.
    ///
    /// That one was sent later is the point: a server that is slow, or that pauses, answers in about
    /// the order of sending, and its connections must not be closed for it.
    pub fn health(&self, id: ConnectionId, silence_timeout: Duration, now: Time) -> Health {
        let Some(connection) = self.connections.get(&id) else {
            return Health::Healthy;
        };
        let State::Busy(since) = connection.state else {
            return Health::Healthy;
        };
        let Some(line) = self.lines.get(&connection.server) else {
            return Health::Healthy;
        };
        let age = now.saturating_sub(since);
        if age < silence_timeout {
            return Health::Healthy;
        }
        let overtaken = line.overtaken > since;
        let opened = line.connected >= since + silence_timeout && line.answered <= since;
        match overtaken || (opened && age >= silence_timeout * LONE_FACTOR) {
            true => Health::Silent,
            false => Health::Overdue,
        }
    }

    /// Gives up a silent connection, and with it the idle ones to the same server that were not
    /// seen to work since the attempt was put on it.
    pub fn discard_silent(&mut self, id: ConnectionId, now: Time) {
        self.discard_unverified(id, now);
        self.discard(id, now);
    }

    /// Gives up the idle connections to the server of a busy one that were not seen to work since
    /// the attempt was put on that: what lost track of the one has probably lost track of them too,
    /// and each would cost a further request its silence_timeout.
    pub fn discard_unverified(&mut self, id: ConnectionId, now: Time) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let State::Busy(since) = connection.state else {
            return;
        };
        let server = connection.server;
        let unproven = |other: &Connection| {
            other.server == server && other.state == State::Idle && other.proven < since
        };
        let others = self.connections.iter();
        let gone = others.filter(|(_, other)| unproven(other));
        let mut gone: Vec<ConnectionId> = gone.map(|(other, _)| *other).collect();
        gone.sort_unstable();
        for other in gone {
            self.discard(other, now);
        }
    }
}
