//! Counters and attempt records for tests and benchmarks. They survive crashes and restarts.

use crate::endpoint::ConnectionId;
use crate::http::NotRun;
use monsoonring_configuration::id::{Incarnation, IndexVersion};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Maximum number of connection events kept.
const MAX_CONNECTION_EVENTS: usize = 10_000;

/// Event counters of a server, over all of its processes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests received, whatever their outcome.
    pub received: u64,
    /// Requests that started to execute.
    pub started: u64,
    /// Requests that finished executing.
    pub completed: u64,
    /// Queued or running attempts cancelled by `DELETE`.
    pub cancelled: u64,
    /// Queued or running attempts abandoned because their connection closed.
    pub abandoned: u64,
    /// Requests whose deadline passed during execution.
    pub overran: u64,
    /// Requests refused without running, by reason.
    pub refused: BTreeMap<NotRun, u64>,
    /// Requests that crashed the process.
    pub crashes: u64,
    /// Connections accepted, including those refused afterwards.
    pub connections_opened: u64,
    /// Connections refused because the limit was reached.
    pub connections_refused: u64,
    /// Connections currently open, except refused ones.
    pub connections_open: u64,
    /// Maximum of `connections_open`.
    pub connections_peak: u64,
    /// Maximum number of slots in use, sampled when a request starts.
    pub busy_peak: u64,
}

impl Counters {
    /// Returns the number of requests refused for a reason.
    pub fn refused_for(&self, reason: NotRun) -> u64 {
        self.refused.get(&reason).copied().unwrap_or(0)
    }
}

/// An attempt as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Attempt id.
    pub attempt: String,
    /// Request id.
    pub request: Option<String>,
    /// Whether it was sent to `/execute` instead of `/query`.
    pub executes: bool,
    /// Idempotency key; `/execute` requires one.
    pub key: Option<String>,
    /// Pinned index version.
    pub index_version: Option<IndexVersion>,
    /// Time left until the deadline when sent, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Number of its connection within the process.
    pub connection: ConnectionId,
    /// Incarnation of the process that received it.
    pub start: Incarnation,
}

/// What happened to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionChange {
    /// It was accepted.
    Opened,
    /// It was refused because the limit was reached.
    Refused,
    /// It ended; a refused one is not recorded again.
    Closed,
}

/// A change of a connection, in the order in which the server saw them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionEvent {
    /// When the server saw it.
    pub at: Instant,
    /// Number of the connection within the process.
    pub connection: ConnectionId,
    /// What happened.
    pub change: ConnectionChange,
}

/// How often requests with one idempotency key started and completed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// Number of executions started; more than one is a duplicate execution.
    pub started: u64,
    /// Number of executions completed.
    pub completed: u64,
}

/// Runs by idempotency key.
pub type RunsByKey = BTreeMap<String, Runs>;

#[derive(Default)]
pub(crate) struct Journal {
    state: Mutex<State>,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) counters: Counters,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) runs: RunsByKey,
    pub(crate) connections: Vec<ConnectionEvent>,
}

impl Journal {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record_connection(&self, connection: ConnectionId) {
        let mut state = self.lock();
        let counters = &mut state.counters;
        counters.connections_open += 1;
        counters.connections_peak = counters.connections_peak.max(counters.connections_open);
        state.log_connection(connection, ConnectionChange::Opened);
    }

    pub(crate) fn record_refused_connection(&self, connection: ConnectionId) {
        let mut state = self.lock();
        state.counters.connections_refused += 1;
        state.log_connection(connection, ConnectionChange::Refused);
    }

    pub(crate) fn record_closed_connection(&self, connection: ConnectionId) {
        let mut state = self.lock();
        state.counters.connections_open -= 1;
        state.log_connection(connection, ConnectionChange::Closed);
    }

    pub(crate) fn record_refusal(&self, reason: NotRun) {
        *self.lock().counters.refused.entry(reason).or_default() += 1;
    }
}

impl State {
    /// Records a change of a connection; the oldest are dropped beyond [`MAX_CONNECTION_EVENTS`].
    fn log_connection(&mut self, connection: ConnectionId, change: ConnectionChange) {
        if self.connections.len() >= MAX_CONNECTION_EVENTS {
            self.connections.drain(..MAX_CONNECTION_EVENTS / 2);
        }
        self.connections.push(ConnectionEvent {
            at: Instant::now(),
            connection,
            change,
        });
    }

    pub(crate) fn record_start(&mut self, key: Option<&str>, busy: u64) {
        self.counters.started += 1;
        self.counters.busy_peak = self.counters.busy_peak.max(busy);
        if let Some(key) = key {
            self.runs.entry(key.to_owned()).or_default().started += 1;
        }
    }

    pub(crate) fn record_completion(&mut self, key: Option<&str>) {
        self.counters.completed += 1;
        if let Some(key) = key {
            self.runs.entry(key.to_owned()).or_default().completed += 1;
        }
    }
}
