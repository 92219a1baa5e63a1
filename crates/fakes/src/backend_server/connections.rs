//! Open connections of one process, their limit, and injected silence.

use crate::endpoint::{Connection, ConnectionId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The open connections of one process, except refused ones.
pub(crate) struct Table {
    limit: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    open: BTreeMap<ConnectionId, Connection>,
    /// Connections to silence, including ones not yet accepted.
    silent: BTreeSet<ConnectionId>,
}

impl Table {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            state: Mutex::default(),
        }
    }

    /// Adds a connection; `false` if the limit is reached.
    pub(crate) fn open(&self, connection: &Connection) -> bool {
        let mut state = self.lock();
        if state.open.len() >= self.limit {
            return false;
        }
        if state.silent.contains(&connection.id) {
            connection.silence();
        }
        state.open.insert(connection.id, connection.clone());
        true
    }

    /// Returns whether the connection is open and within the limit.
    pub(crate) fn contains(&self, connection: ConnectionId) -> bool {
        self.lock().open.contains_key(&connection)
    }

    /// Removes a connection; `false` if it was refused.
    pub(crate) fn close(&self, connection: ConnectionId) -> bool {
        self.lock().open.remove(&connection).is_some()
    }

    pub(crate) fn silence(&self, connection: ConnectionId) {
        let mut state = self.lock();
        state.silent.insert(connection);
        if let Some(connection) = state.open.get(&connection) {
            connection.silence();
        }
    }

    pub(crate) fn ids(&self) -> Vec<ConnectionId> {
        self.lock().open.keys().copied().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
