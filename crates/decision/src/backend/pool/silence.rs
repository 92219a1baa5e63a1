//! Detection of silent connections.
//!
//! A middlebox may lose track of an open connection. Requests sent on it then get neither a reply
//! nor an error, while new connections to the same server work. This must not be blamed on the
//! server, or healthy replicas would be taken out of use after a restart of a network element. The
//! other connections to the same server make the difference.

use super::connection::State;
use super::{Connection, Pool};
use crate::Time;
use crate::attempt::ConnectionId;
use std::time::Duration;

/// Multiple of the silence timeout after which a newly opened connection is sufficient evidence, if
/// no reply has arrived since: all older connections may be silent.
const UNANSWERED_FACTOR: u32 = 4;

/// Health of a busy connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// No reply is overdue.
    Healthy,
    /// No reply within the silence timeout, for unknown reasons.
    Overdue,
    /// The connection is silent: a later attempt at the same server was answered first.
    Silent,
}

impl Pool {
    /// Returns the health of a busy connection. It is silent if its reply is overdue and an attempt
    /// that was sent later to the same server has been answered.
    ///
    /// A slow or paused server answers approximately in the order of sending, so its connections
    /// don't count as silent.
    pub fn health(&self, id: ConnectionId, silence_timeout: Duration, now: Time) -> Health {
        let Some(connection) = self.connections.get(&id) else {
            return Health::Healthy;
        };
        let State::Busy(sent_at) = connection.state else {
            return Health::Healthy;
        };
        let Some(server_pool) = self.server_pools.get(&connection.server) else {
            return Health::Healthy;
        };
        let age = now.saturating_sub(sent_at);
        if age < silence_timeout {
            return Health::Healthy;
        }
        let answered_later = server_pool.latest_answered_send > sent_at;
        let opened_since = server_pool.last_opened >= sent_at + silence_timeout
            && server_pool.last_answered <= sent_at;
        match answered_later || (opened_since && age >= silence_timeout * UNANSWERED_FACTOR) {
            true => Health::Silent,
            false => Health::Overdue,
        }
    }

    /// Discards a silent connection, together with the idle connections to the same server that
    /// were not verified since the attempt was sent.
    pub fn discard_silent(&mut self, id: ConnectionId, now: Time) {
        self.discard_unverified(id, now);
        self.discard(id, now);
    }

    /// Discards the idle connections to the server of a busy one that were not verified since its
    /// attempt was sent. They have probably become silent too, and each would delay another request
    /// by the silence timeout.
    pub fn discard_unverified(&mut self, id: ConnectionId, now: Time) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let State::Busy(sent_at) = connection.state else {
            return;
        };
        let server = connection.server;
        let is_unverified = |other: &Connection| {
            other.server == server && other.state == State::Idle && other.verified_at < sent_at
        };
        let others = self.connections.iter();
        let unverified = others.filter(|(_, other)| is_unverified(other));
        let mut unverified: Vec<ConnectionId> = unverified.map(|(other, _)| *other).collect();
        unverified.sort_unstable();
        for other in unverified {
            self.discard(other, now);
        }
    }
}
